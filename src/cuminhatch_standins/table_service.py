"""
Stand-in for the platform's transactional table service.

``POST /transact``, ``GET /rows/{key}`` and ``GET /rows?after&before&limit``
belong to the platform's protocol. ``GET /stats`` returns the numbers of reads
and writes.

Faults besides the common ones: ``slow`` (delay in ms), ``reply_lost``
(transactions take effect, but get no response; a float is the probability,
an integer N affects the next N transactions), ``late`` (``{"count": N, "ms":
M}``: the next N transactions get no response and are applied M ms later).
"""

from random import Random
from typing import NamedTuple

from absl import flags

from cuminhatch.codecs.platform import (
    PlatformMessageError,
    decode_transaction,
    encode_row,
    encode_rows,
    encode_transaction_response,
)
from cuminhatch.decisions.platform import RowAbsent, TableTransaction
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
    is_late_transaction_fault,
    is_non_negative_number,
    is_probability_or_count,
)
from cuminhatch_standins._process import run_standin
from cuminhatch_standins._responses import (
    JSON_TYPE,
    CompleteRequest,
    decode_path_suffix,
    make_json_response,
    make_response,
)
from cuminhatch_standins.table_state import TableState

DEFAULT_SCAN_LIMIT = 1000
FAULTS = {
    **COMMON_FAULTS,
    "slow": FaultSpec(0, is_non_negative_number),
    "reply_lost": FaultSpec(0, is_probability_or_count),
    "late": FaultSpec(None, is_late_transaction_fault),
}

flags.DEFINE_integer(
    "seed", 1, "Seed for choosing the transactions that get no response."
)


class LateTransactionTimerExpired(NamedTuple):
    """The delay of a late transaction expired."""

    transaction: TableTransaction


class TableService(Service):
    """Serves a table over HTTP."""

    name = "table_service"

    def __init__(self, kernel: Kernel, random: Random) -> None:
        """
        Create an empty table.

        :param kernel: kernel of the process.
        :param random: source for choosing the transactions without a response.
        """
        super().__init__(kernel)
        self._random = random
        self._table = TableState()
        self._reads = 0
        self._writes = 0
        self._lost_response_probability = 0.0
        self._lost_responses_left = 0
        self._late_transactions_left = 0
        self._late_transaction_delay_ms = 0.0

    def message_handlers(self) -> MessageTable:
        """Return the handlers for requests, fault changes and the timer."""
        return {
            CompleteRequest: self._on_complete_request,
            FaultsChanged: self._on_faults_changed,
            LateTransactionTimerExpired: self._on_late_transaction_timer_expired,
            **IGNORED_CALLER_EVENTS,
        }

    def _on_faults_changed(self, message: FaultsChanged) -> None:
        if "reply_lost" in message.names:
            lost = message.faults["reply_lost"]
            is_count = isinstance(lost, int)
            self._lost_responses_left = lost if is_count else 0
            self._lost_response_probability = 0.0 if is_count else lost
        if "late" in message.names:
            late = message.faults["late"] or {"count": 0, "ms": 0}
            self._late_transactions_left, self._late_transaction_delay_ms = (
                late["count"],
                late["ms"],
            )

    def _on_complete_request(self, request: CompleteRequest) -> None:
        key = decode_path_suffix(request, "/rows/")
        if (request.method, request.path) == ("POST", "/transact"):
            self._transact(request)
        elif request.method == "GET" and key is not None:
            self._read(request, key)
        elif (request.method, request.path) == ("GET", "/rows"):
            self._scan(request)
        elif request.path == "/stats":
            stats = {"reads": self._reads, "writes": self._writes}
            self.send(LISTENER, make_json_response(request, 200, stats))
        else:
            self.send(LISTENER, make_json_response(request, 404, {}))

    def _transact(self, request: CompleteRequest) -> None:
        try:
            transaction = decode_transaction(request.body)
        except PlatformMessageError as error:
            self.send(LISTENER, make_json_response(request, 400, {"error": str(error)}))
            return
        self._writes += 1
        if self._late_transactions_left:
            self._late_transactions_left -= 1
            self.call_after(
                self._late_transaction_delay_ms,
                LateTransactionTimerExpired(transaction),
            )
            self.send(LISTENER, ResponseAborted(request.request_id))
            return
        status, body = encode_transaction_response(self._table.transact(transaction))
        if self._is_response_lost():
            self.send(LISTENER, ResponseAborted(request.request_id))
        else:
            self.send(LISTENER, make_response(request, status, body, (JSON_TYPE,)))

    def _is_response_lost(self) -> bool:
        if self._lost_responses_left:
            self._lost_responses_left -= 1
            return True
        return self._random.random() < self._lost_response_probability

    def _on_late_transaction_timer_expired(
        self, message: LateTransactionTimerExpired
    ) -> None:
        self._table.transact(message.transaction)

    def _read(self, request: CompleteRequest, key: str) -> None:
        self._reads += 1
        row = self._table.read(key)
        if isinstance(row, RowAbsent):
            response = make_json_response(request, 404, {})
        else:
            response = make_response(request, 200, encode_row(row), (JSON_TYPE,))
        self.send(LISTENER, response)

    def _scan(self, request: CompleteRequest) -> None:
        query = request.query
        limit = query.get("limit", str(DEFAULT_SCAN_LIMIT))
        if not limit.isdecimal():
            error = {"error": f"limit {limit!r} is not a number"}
            self.send(LISTENER, make_json_response(request, 400, error))
            return
        self._reads += 1
        rows = self._table.scan(
            query.get("after", ""), query.get("before", ""), int(limit)
        )
        self.send(
            LISTENER, make_response(request, 200, encode_rows(rows), (JSON_TYPE,))
        )


def main() -> None:
    """Run the stand-in for the table service."""
    run_standin(
        lambda kernel: TableService(kernel, Random(flags.FLAGS.seed)),
        FAULTS,
        get_delay_ms=lambda faults: faults["slow"],
    )


if __name__ == "__main__":
    main()
