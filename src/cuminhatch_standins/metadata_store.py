"""
Stand-in for the users' metadata store, as far as the daemons use it.

``GET /rows-get`` and ``POST /rows-tx`` are the platform's. ``POST /operator``
writes rows of any table, as operators and backend servers do; ``GET /stats``
counts calls.

Faults besides the common ones: ``slow`` (ms), ``busy`` (503 for all calls),
``reply_lost`` (the next N writes take effect and get no reply).
"""

from base64 import b64encode
from typing import Any, NamedTuple

import orjson

from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import ResponseAborted
from cuminhatch_standins._answers import WholeRequest, json_answer
from cuminhatch_standins._faults import (
    COMMON_FAULTS,
    FaultSpec,
    is_count,
    is_flag,
    is_number,
)
from cuminhatch_standins._front import FLOW_IGNORED, LISTENER, FaultsChanged
from cuminhatch_standins._process import run_standin

OPERATOR_PATH = "/operator"
PAGE_ROWS = 500
# Tables that only operators and backend servers write to.
FOREIGN_TABLES = frozenset({"op", "servers"})
FAULTS = {
    **COMMON_FAULTS,
    "slow": FaultSpec(0, is_number),
    "busy": FaultSpec(False, is_flag),
    "reply_lost": FaultSpec(0, is_count),
}


class RowName(NamedTuple):
    """Where a row is."""

    table: str
    part: str
    key: str


class StoredRow(NamedTuple):
    """Value of a row, in base64, and its version."""

    value: str
    version: int


class MetadataStore(Service):
    """Serves rows over HTTP."""

    name = "metadata_store"

    def __init__(self, kernel: Kernel) -> None:
        """
        Start with no rows.

        :param kernel: kernel of the process.
        """
        super().__init__(kernel)
        self._rows: dict[RowName, StoredRow] = {}
        self._version = 0
        self._reads = 0
        self._writes = 0
        self._is_busy = False
        self._lost = 0

    def message_handlers(self) -> MessageTable:
        """Return the messages of the front."""
        return {
            WholeRequest: self._on_whole_request,
            FaultsChanged: self._on_faults_changed,
            **FLOW_IGNORED,
        }

    def _on_faults_changed(self, message: FaultsChanged) -> None:
        self._is_busy = message.faults["busy"]
        if "reply_lost" in message.names:
            self._lost = message.faults["reply_lost"]

    def _on_whole_request(self, request: WholeRequest) -> None:
        if request.path == "/stats":
            stats = {"reads": self._reads, "writes": self._writes}
            self.send(LISTENER, json_answer(request, 200, stats))
        elif request.path == OPERATOR_PATH:
            self._write_foreign(request)
        elif self._is_busy:
            self.send(LISTENER, json_answer(request, 503, {}))
        elif request.path == "/rows-get":
            self._get(request)
        elif (request.method, request.path) == ("POST", "/rows-tx"):
            self._transact(request)
        else:
            self.send(LISTENER, json_answer(request, 404, {}))

    def _get(self, request: WholeRequest) -> None:
        self._reads += 1
        query = request.query
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        first, last = query.get("from", ""), query.get("to")
        names = sorted(
            (name for name in self._rows if name.table == query["table"]),
            key=lambda name: name.key.encode(),
        )
        found = [
            name
            for name in names
            if name.part == query.get("part", "")
            and name.key.encode() >= first.encode()
            and (last is None or name.key.encode() < last.encode())
        ]
        rows = [
            {
                "table": name.table,
                "part": name.part,
                "key": name.key,
                "value": self._rows[name].value,
                "ver": self._rows[name].version,
            }
            for name in found[:limit]
        ]
        body = {"rows": rows, "has-more": len(found) > limit}
        self._answer(request, 200, body)

    def _answer(self, request: WholeRequest, status: int, body: dict[str, Any]) -> None:
        body |= {"ver": self._version, "now-ms": int(self.kernel.clock.now_ms)}
        self.send(LISTENER, json_answer(request, status, body))

    def _transact(self, request: WholeRequest) -> None:
        self._writes += 1
        call = orjson.loads(request.body)
        written = [*call["puts"], *call["remove"]]
        if any(row["table"] in FOREIGN_TABLES for row in written):
            self._answer(request, 403, {})
            return
        if any(self._find(row).version != row["ver"] for row in call["expected"]):
            self._answer(request, 412, {"rows": []})
            return
        self._apply(call["puts"], call["remove"])
        if self._lost:
            self._lost -= 1
            self.send(LISTENER, ResponseAborted(request.request_id))
        else:
            self._answer(request, 200, {})

    def _find(self, row: dict[str, Any]) -> StoredRow:
        return self._rows.get(_name_of(row), StoredRow("", 0))

    def _apply(self, puts: list[dict[str, Any]], remove: list[dict[str, Any]]) -> None:
        self._version += 1
        for row in puts:
            self._rows[_name_of(row)] = StoredRow(row["value"], self._version)
        for row in remove:
            self._rows.pop(_name_of(row), None)

    def _write_foreign(self, request: WholeRequest) -> None:
        """Put or drop one row; a value that is no text stands for its JSON."""
        row = orjson.loads(request.body)
        value = row.pop("value", None)
        if value is None:
            self._apply([], [row])
        else:
            data = value.encode() if isinstance(value, str) else orjson.dumps(value)
            self._apply([row | {"value": b64encode(data).decode()}], [])
        self._answer(request, 200, {})


def _name_of(row: dict[str, Any]) -> RowName:
    return RowName(row["table"], row.get("part", ""), row["key"])


def main() -> None:
    """Run the stand-in."""
    run_standin(MetadataStore, FAULTS, delay_ms=lambda faults: faults["slow"])


if __name__ == "__main__":
    main()
