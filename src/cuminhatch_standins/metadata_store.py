"""
Stand-in for the subset of the users' metadata store that the gateways use.

``GET /rows-get`` and ``POST /rows-tx`` belong to the platform's protocol.
``POST /operator`` writes a row of any table, for tests that act as operators
or backend servers. ``GET /stats`` returns the numbers of reads and writes.

Faults besides the common ones: ``slow`` (delay in ms), ``busy`` (503 for all
reads and transactions), ``reply_lost`` (the next N transactions take effect,
but get no response), ``restored`` (once: the store goes back to its state of N
ms before, with the version that it had then).

All responses about rows carry the header ``Store-Era``, which rises by one
each time the store is restored.
"""

from base64 import b64encode
from typing import Any, NamedTuple

import orjson

from cuminhatch.codecs.http1 import Header
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import ResponseAborted
from cuminhatch_standins._fault_injector import (
    IGNORED_CALLER_EVENTS,
    LISTENER,
    FaultsChanged,
)
from cuminhatch_standins._faults import (
    COMMON_FAULTS,
    FaultSpec,
    is_count,
    is_flag,
    is_non_negative_number,
)
from cuminhatch_standins._process import run_standin
from cuminhatch_standins._responses import CompleteRequest, make_json_response

OPERATOR_PATH = "/operator"
MAX_PAGE_ROWS = 500
# Written by operators and backend servers only, never by a transaction.
EXTERNALLY_WRITTEN_TABLES = frozenset({"op", "servers"})
FAULTS = {
    **COMMON_FAULTS,
    "slow": FaultSpec(0, is_non_negative_number),
    "busy": FaultSpec(False, is_flag),
    "reply_lost": FaultSpec(0, is_count),
    "restored": FaultSpec(0, is_non_negative_number),
}
FIRST_ERA = 1


class RowId(NamedTuple):
    """Table, partition and key of a row."""

    table: str
    partition: str
    key: str


class StoredRow(NamedTuple):
    """Value of a row, encoded in base64, and its version."""

    value: str
    version: int


class _Backup(NamedTuple):
    """All rows and the version of the store since a point in time."""

    at_ms: float
    version: int
    rows: dict[RowId, StoredRow]


class MetadataStore(Service):
    """Serves rows of several tables over HTTP."""

    name = "metadata_store"

    def __init__(self, kernel: Kernel) -> None:
        """
        Create a store without rows.

        :param kernel: kernel of the process.
        """
        super().__init__(kernel)
        self._rows: dict[RowId, StoredRow] = {}
        self._version = 0
        self._era = FIRST_ERA
        self._backups = [_Backup(float("-inf"), 0, {})]
        self._reads = 0
        self._writes = 0
        self._is_busy = False
        self._lost_responses_left = 0

    def message_handlers(self) -> MessageTable:
        """Return the handlers for requests and fault changes."""
        return {
            CompleteRequest: self._on_complete_request,
            FaultsChanged: self._on_faults_changed,
            **IGNORED_CALLER_EVENTS,
        }

    def _on_faults_changed(self, message: FaultsChanged) -> None:
        self._is_busy = message.faults["busy"]
        if "reply_lost" in message.names:
            self._lost_responses_left = message.faults["reply_lost"]
        if "restored" in message.names and message.faults["restored"]:
            self._restore(self.kernel.clock.now_ms - message.faults["restored"])

    def _restore(self, at_ms: float) -> None:
        """Go back to the state at a point in time, and begin a new era."""
        self._backups = [backup for backup in self._backups if backup.at_ms <= at_ms]
        self._version = self._backups[-1].version
        self._rows = dict(self._backups[-1].rows)
        self._era += 1

    def _on_complete_request(self, request: CompleteRequest) -> None:
        if request.path == "/stats":
            stats = {"reads": self._reads, "writes": self._writes}
            self.send(LISTENER, make_json_response(request, 200, stats))
        elif request.path == OPERATOR_PATH:
            self._write_as_operator(request)
        elif self._is_busy:
            self._respond(request, 503, {})
        elif request.path == "/rows-get":
            self._read_rows(request)
        elif (request.method, request.path) == ("POST", "/rows-tx"):
            self._transact(request)
        else:
            self.send(LISTENER, make_json_response(request, 404, {}))

    def _read_rows(self, request: CompleteRequest) -> None:
        self._reads += 1
        query = request.query
        limit = min(int(query.get("limit", MAX_PAGE_ROWS)), MAX_PAGE_ROWS)
        from_key, to_key = query.get("from", ""), query.get("to")
        row_ids = sorted(
            (row_id for row_id in self._rows if row_id.table == query["table"]),
            key=lambda row_id: row_id.key.encode(),
        )
        found = [
            row_id
            for row_id in row_ids
            if row_id.partition == query.get("part", "")
            and row_id.key.encode() >= from_key.encode()
            and (to_key is None or row_id.key.encode() < to_key.encode())
        ]
        rows = [
            {
                "table": row_id.table,
                "part": row_id.partition,
                "key": row_id.key,
                "value": self._rows[row_id].value,
                "ver": self._rows[row_id].version,
            }
            for row_id in found[:limit]
        ]
        body = {"rows": rows, "has-more": len(found) > limit}
        self._respond(request, 200, body)

    def _respond(
        self, request: CompleteRequest, status: int, body: dict[str, Any]
    ) -> None:
        body |= {"ver": self._version, "now-ms": int(self.kernel.clock.now_ms)}
        headers = (Header(b"store-era", b"%d" % self._era),)
        self.send(LISTENER, make_json_response(request, status, body, headers))

    def _transact(self, request: CompleteRequest) -> None:
        self._writes += 1
        transaction = orjson.loads(request.body)
        written = [*transaction["puts"], *transaction["remove"]]
        if any(row["table"] in EXTERNALLY_WRITTEN_TABLES for row in written):
            self._respond(request, 403, {})
            return
        if any(
            self._get_row(row).version != row["ver"] for row in transaction["expected"]
        ):
            self._respond(request, 412, {"rows": []})
            return
        self._apply(transaction["puts"], transaction["remove"])
        if self._lost_responses_left:
            self._lost_responses_left -= 1
            self.send(LISTENER, ResponseAborted(request.request_id))
        else:
            self._respond(request, 200, {})

    def _get_row(self, row: dict[str, Any]) -> StoredRow:
        return self._rows.get(_get_row_id(row), StoredRow("", 0))

    def _apply(self, puts: list[dict[str, Any]], remove: list[dict[str, Any]]) -> None:
        self._version += 1
        for row in puts:
            self._rows[_get_row_id(row)] = StoredRow(row["value"], self._version)
        for row in remove:
            self._rows.pop(_get_row_id(row), None)
        backup = _Backup(self.kernel.clock.now_ms, self._version, dict(self._rows))
        self._backups.append(backup)

    def _write_as_operator(self, request: CompleteRequest) -> None:
        """
        Write a row, or remove it if ``value`` is missing or null.

        A value that is not a string is stored as JSON. The stored value is
        base64, as in the platform's protocol.

        :param request: request whose body is the row as JSON.
        """
        row = orjson.loads(request.body)
        value = row.pop("value", None)
        if value is None:
            self._apply([], [row])
        else:
            data = value.encode() if isinstance(value, str) else orjson.dumps(value)
            self._apply([row | {"value": b64encode(data).decode()}], [])
        self._respond(request, 200, {})


def _get_row_id(row: dict[str, Any]) -> RowId:
    return RowId(row["table"], row.get("part", ""), row["key"])


def main() -> None:
    """Run the stand-in for the metadata store."""
    run_standin(MetadataStore, FAULTS, get_delay_ms=lambda faults: faults["slow"])


if __name__ == "__main__":
    main()
