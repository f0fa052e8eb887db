"""
Claims idempotency keys: of the requests with one key, at most one runs.

A claim is a row of the table service. The waiters of a claim are later
requests on this instance with the same key.
"""

from itertools import count
from typing import Any, NamedTuple

from cuminhatch.codecs.claim_json import decode_claim_row, encode_claim_row
from cuminhatch.decisions.claims import (
    ENDED,
    HELD,
    STORING,
    Action,
    Claim,
    ClaimRowFound,
    ClaimRowWritten,
    EndRequest,
    FetchObject,
    Grant,
    PutObject,
    ReadRow,
    ReportVoid,
    StoredResponse,
    Transition,
    WriteRow,
)
from cuminhatch.decisions.idempotency import ClaimDecisions, claim_row_key
from cuminhatch.decisions.platform import (
    Committed,
    Mismatched,
    Row,
    RowAbsent,
    RowCheck,
    RowPut,
    TableTransaction,
    TableUnavailable,
)
from cuminhatch.kernel import SUPERVISOR, Kernel, MessageTable, Service
from cuminhatch.log import logger
from cuminhatch.messages import (
    ClaimAbandoned,
    ClaimCompleted,
    ClaimGranted,
    ClaimOutcomeUnknown,
    ClaimRefused,
    ClaimRequested,
    ClaimVoided,
    CounterIncremented,
    DrainFinished,
    DrainStarted,
    ObjectGetReplied,
    ObjectGetRequested,
    ObjectPutReplied,
    ObjectPutRequested,
    TableReadReplied,
    TableReadRequested,
    TableTransactReplied,
    TableTransactRequested,
)
from cuminhatch.outcomes import Outcome

# Claims whose request has ended while the outcome of a row write is unknown,
# about 2 KB each. Above this the oldest is dropped: its row may stay claimed,
# and other requests with its key then end with outcome ``unknown``.
MAX_UNSETTLED_CLAIMS = 4096
# An eighth of the 256 MB of a daemon. While the responses that wait for a slow
# platform take up this much, further ones are stored without their body.
MAX_PENDING_ANSWER_BYTES = 32 * 1024 * 1024


class _DeadlinePassed(NamedTuple):
    """The deadline of a request has passed."""

    request_id: int


class _ActionDue(NamedTuple):
    """The backoff of a row read or write has passed."""

    claim_id: str
    action: WriteRow | ReadRow


class _ClaimRecord:
    """The claim of one request, and the requests that wait for its end."""

    def __init__(self, request: ClaimRequested, row_key: str, claim: Claim) -> None:
        self.request = request
        self.row_key = row_key
        self.claim = claim
        self.waiters: list[ClaimRequested] = []
        self.answer: StoredResponse | None = None


class Claims(Service):
    """
    Owns the claims of this instance that are in progress.

    A granted claim has no expiry. It stays valid if the process is suspended
    between the grant and the first byte sent, since no other instance can
    claim the key meanwhile. ``dispatch`` abandons a grant for a request that
    it no longer knows.
    """

    name = "claims"

    def __init__(
        self,
        kernel: Kernel,
        instance_id: str,
        incarnation: int,
        decisions: ClaimDecisions | None = None,
    ) -> None:
        """
        Create the service without claims.

        :param kernel: kernel of the process.
        :param instance_id: id of this instance.
        :param incarnation: number that rises with each restart of the
            instance; together with the id it makes claim ids unique.
        :param decisions: decision functions to use instead of the defaults.
        """
        super().__init__(kernel)
        self._claim_prefix = f"{instance_id}.{incarnation}"
        self._decisions = decisions or ClaimDecisions()
        self._ids = count(1)
        self._records_by_row: dict[str, _ClaimRecord] = {}
        self._records_by_claim: dict[str, _ClaimRecord] = {}
        self._records_by_token: dict[int, _ClaimRecord] = {}
        self._records_by_request: dict[int, _ClaimRecord] = {}
        self._deadline_timers: dict[int, int] = {}
        # Oldest first.
        self._unsettled_claims: dict[str, _ClaimRecord] = {}
        self._pending_answer_bytes = 0
        self._is_draining = False
        self._is_drained = False

    def message_handlers(self) -> MessageTable:
        """Return the handlers of dispatch, platform and drain messages."""
        return {
            ClaimRequested: self._on_claim_requested,
            ClaimCompleted: self._on_claim_completed,
            ClaimAbandoned: self._on_claim_abandoned,
            ClaimOutcomeUnknown: self._on_claim_outcome_unknown,
            TableTransactReplied: self._on_transact_replied,
            TableReadReplied: self._on_read_replied,
            ObjectPutReplied: self._on_object_put,
            ObjectGetReplied: self._on_object_fetched,
            DrainStarted: self._on_drain_started,
            _DeadlinePassed: self._on_deadline_passed,
            _ActionDue: self._on_action_due,
        }

    # Messages from dispatch

    def _on_claim_requested(self, message: ClaimRequested) -> None:
        self._deadline_timers[message.request_id] = self.kernel.call_at(
            message.deadline_ms, self.name, _DeadlinePassed(message.request_id)
        )
        record = self._records_by_row.get(
            claim_row_key(message.service_id, message.key)
        )
        if record is None:
            self._begin_claim(message)
        elif record.claim.digest != message.digest:
            self._refuse(
                message.request_id, EndRequest(Outcome.NOT_RUN, 422, "key-reused")
            )
        elif record.answer is not None:
            self._refuse(message.request_id, _refusal_with_answer(record.answer))
        else:
            record.waiters.append(message)
            self._records_by_request[message.request_id] = record

    def _on_claim_completed(self, message: ClaimCompleted) -> None:
        record = self._records_by_claim.get(message.claim_id)
        if record is None or record.claim.phase != HELD:
            return
        # Waiters get the answer before the row is written.
        self._refuse_waiters(record, _refusal_with_answer(message.response))
        answer = message.response
        if self._pending_answer_bytes + len(answer.body) > MAX_PENDING_ANSWER_BYTES:
            answer = answer._replace(body=b"", is_body_kept=False)
        record.answer = answer
        self._pending_answer_bytes += len(answer.body)
        now_ms = self.kernel.clock.now_ms
        self._apply_transition(
            record, self._decisions.on_response_received(record.claim, answer, now_ms)
        )

    def _on_claim_abandoned(self, message: ClaimAbandoned) -> None:
        record = self._records_by_claim.get(message.claim_id)
        if record is None or record.claim.phase != HELD:
            return
        # The grant removed the request and its timer. Both are needed again:
        # the void is reported at the deadline even if it is not confirmed.
        request = record.request
        self._records_by_request[request.request_id] = record
        self._deadline_timers[request.request_id] = self.kernel.call_at(
            request.deadline_ms, self.name, _DeadlinePassed(request.request_id)
        )
        self._apply_transition(record, self._decisions.abandon_claim(record.claim))

    def _on_claim_outcome_unknown(self, message: ClaimOutcomeUnknown) -> None:
        record = self._records_by_claim.get(message.claim_id)
        if record is None or record.claim.phase != HELD:
            return
        # The request may have run, so its row stays claimed permanently.
        self._refuse_waiters(
            record, EndRequest(Outcome.UNKNOWN, 504, "claimed-by-another")
        )
        self._remove_record(record)

    # Messages from the supervisor

    def _on_drain_started(self, message: DrainStarted) -> None:
        self._is_draining = True
        self._report_drained()

    def _report_drained(self) -> None:
        if self._is_draining and not self._records_by_claim and not self._is_drained:
            self._is_drained = True
            self.send(SUPERVISOR, DrainFinished(self.name))

    # Messages from the platform

    def _on_transact_replied(self, message: TableTransactReplied) -> None:
        record = self._records_by_token.pop(message.token, None)
        if record is None:
            return
        result = _decode_write_result(record.row_key, message.result)
        now_ms = self.kernel.clock.now_ms
        self._apply_transition(
            record, self._decisions.on_write_result(record.claim, result, now_ms)
        )

    def _on_read_replied(self, message: TableReadReplied) -> None:
        record = self._records_by_token.pop(message.token, None)
        if record is None:
            return
        result = message.result
        if isinstance(result, Row):
            found: Any = ClaimRowFound(result.version, decode_claim_row(result.value))
        elif isinstance(result, RowAbsent):
            found = ClaimRowFound(0, None)
        else:
            found = result
        now_ms = self.kernel.clock.now_ms
        self._apply_transition(
            record, self._decisions.on_read_result(record.claim, found, now_ms)
        )

    def _on_object_put(self, message: ObjectPutReplied) -> None:
        record = self._records_by_token.pop(message.token, None)
        if record is not None:
            self._apply_transition(
                record, self._decisions.on_object_put(record.claim, message.result)
            )

    def _on_object_fetched(self, message: ObjectGetReplied) -> None:
        record = self._records_by_token.pop(message.token, None)
        if record is not None:
            self._apply_transition(
                record, self._decisions.on_object_fetched(record.claim, message.result)
            )

    # Timers

    def _on_deadline_passed(self, message: _DeadlinePassed) -> None:
        record = self._records_by_request.get(message.request_id)
        if record is None:
            return
        if record.request.request_id == message.request_id:
            self._apply_transition(record, self._decisions.on_deadline(record.claim))
            return
        record.waiters = [
            waiter
            for waiter in record.waiters
            if waiter.request_id != message.request_id
        ]
        self._refuse(
            message.request_id, EndRequest(Outcome.UNKNOWN, 504, "claimed-by-another")
        )

    def _on_action_due(self, message: _ActionDue) -> None:
        record = self._records_by_claim.get(message.claim_id)
        if record is not None:
            self._send_action(record, message.action)

    # Steps of a claim

    def _begin_claim(
        self, request: ClaimRequested, waiters: list[ClaimRequested] | None = None
    ) -> None:
        claim_id = f"{self._claim_prefix}.{next(self._ids)}"
        transition = self._decisions.begin_claim(
            claim_id, request.digest, request.deadline_ms, self.kernel.clock.now_ms
        )
        row_key = claim_row_key(request.service_id, request.key)
        record = _ClaimRecord(request, row_key, transition.claim)
        record.waiters = waiters or []
        self._records_by_row[row_key] = record
        self._records_by_claim[claim_id] = record
        self._records_by_request[request.request_id] = record
        for waiter in record.waiters:
            self._records_by_request[waiter.request_id] = record
        self._apply_transition(record, transition)

    def _apply_transition(self, record: _ClaimRecord, transition: Transition) -> None:
        record.claim = transition.claim
        for action in transition.actions:
            self._run_action(record, action)
        if transition.claim.phase == ENDED:
            self._remove_record(record)
        elif transition.claim.is_reported and transition.claim.phase != STORING:
            self._track_unsettled(record)

    def _run_action(self, record: _ClaimRecord, action: Action) -> None:
        request_id = record.request.request_id
        if isinstance(action, Grant):
            self._remove_request(request_id)
            self.send("dispatch", ClaimGranted(request_id, record.claim.claim_id))
        elif isinstance(action, EndRequest):
            self._refuse(request_id, action)
            self._resolve_waiters(record, action)
        elif isinstance(action, ReportVoid):
            self._remove_request(request_id)
            self.send("dispatch", ClaimVoided(request_id, action.is_confirmed))
            self._resolve_waiters(record, None)
        elif isinstance(action, WriteRow | ReadRow) and action.delay_ms > 0:
            self.call_after(action.delay_ms, _ActionDue(record.claim.claim_id, action))
        else:
            self._send_action(record, action)

    def _send_action(self, record: _ClaimRecord, action: Action) -> None:
        token = next(self._ids)
        self._records_by_token[token] = record
        key = record.row_key
        message: Any
        if isinstance(action, WriteRow):
            self._increment_counter("claim_writes_total")
            message = TableTransactRequested(
                self.name,
                token,
                TableTransaction(
                    f"{record.claim.claim_id}-{token}",
                    (RowCheck(key, action.version),),
                    (RowPut(key, encode_claim_row(action.row)),),
                ),
            )
        elif isinstance(action, ReadRow):
            self._increment_counter("claim_reads_total")
            message = TableReadRequested(self.name, token, key)
        elif isinstance(action, PutObject):
            message = ObjectPutRequested(
                self.name, token, action.object_name, action.data
            )
        elif isinstance(action, FetchObject):
            message = ObjectGetRequested(self.name, token, action.object_name)
        else:
            raise TypeError(f"not a table or object action: {action}")
        self.send("platform", message)

    def _track_unsettled(self, record: _ClaimRecord) -> None:
        self._unsettled_claims[record.claim.claim_id] = record
        if len(self._unsettled_claims) > MAX_UNSETTLED_CLAIMS:
            oldest = next(iter(self._unsettled_claims.values()))
            logger.warning(
                "claims: too many unsettled claims; dropped {}, whose row may "
                "stay claimed.",
                oldest.row_key,
            )
            oldest.claim = oldest.claim._replace(phase=ENDED)
            self._remove_record(oldest)

    def _resolve_waiters(
        self, record: _ClaimRecord, refusal: EndRequest | None
    ) -> None:
        """Refuse the waiters too if the refusal applies, else claim again."""
        self._remove_from_row_index(record)
        is_valid_for_waiters = refusal is not None and (
            refusal.outcome == Outcome.RAN or refusal.status == 422
        )
        if is_valid_for_waiters:
            self._refuse_waiters(record, refusal)
            return
        now_ms = self.kernel.clock.now_ms
        unexpired = [waiter for waiter in record.waiters if waiter.deadline_ms > now_ms]
        # The deadlines of the others have passed, so a new claim would not
        # help them.
        record.waiters = [
            waiter for waiter in record.waiters if waiter not in unexpired
        ]
        self._refuse_waiters(
            record, EndRequest(Outcome.UNKNOWN, 504, "claimed-by-another")
        )
        if unexpired:
            self._begin_claim(unexpired[0], unexpired[1:])

    def _refuse_waiters(self, record: _ClaimRecord, refusal: EndRequest) -> None:
        waiters, record.waiters = record.waiters, []
        for waiter in waiters:
            self._refuse(waiter.request_id, refusal)

    def _refuse(self, request_id: int, refusal: EndRequest) -> None:
        self._remove_request(request_id)
        self.send("dispatch", ClaimRefused(request_id, *refusal))

    def _remove_request(self, request_id: int) -> None:
        self._records_by_request.pop(request_id, None)
        self.kernel.cancel(self._deadline_timers.pop(request_id, None))

    def _remove_from_row_index(self, record: _ClaimRecord) -> None:
        if self._records_by_row.get(record.row_key) is record:
            del self._records_by_row[record.row_key]

    def _remove_record(self, record: _ClaimRecord) -> None:
        self._remove_from_row_index(record)
        self._records_by_claim.pop(record.claim.claim_id, None)
        self._unsettled_claims.pop(record.claim.claim_id, None)
        if record.answer is not None:
            self._pending_answer_bytes -= len(record.answer.body)
            record.answer = None
        self._report_drained()

    def _increment_counter(self, name: str) -> None:
        self.send("metrics", CounterIncremented(name, {}))


def _refusal_with_answer(answer: StoredResponse) -> EndRequest:
    if not answer.is_body_kept:
        return EndRequest(Outcome.RAN, 504, "answer-not-kept")
    return EndRequest(Outcome.RAN, answer.status, "stored-answer", answer)


def _decode_write_result(
    row_key: str, result: Committed | Mismatched | TableUnavailable
) -> ClaimRowWritten | ClaimRowFound | TableUnavailable:
    if isinstance(result, Committed):
        return ClaimRowWritten(result.versions[row_key])
    if isinstance(result, Mismatched):
        row = result.rows[row_key]
        if row is None:
            return ClaimRowFound(0, None)
        return ClaimRowFound(row.version, decode_claim_row(row.value))
    return result
