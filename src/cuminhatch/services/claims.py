"""Claims keys for requests, so that each key runs at most once."""

from itertools import count
from typing import Any, NamedTuple

from cuminhatch.codecs.claim_json import decode_claim_row, encode_claim_row
from cuminhatch.decisions.idempotency import (
    ENDED,
    HELD,
    STORING,
    Action,
    Claim,
    ClaimDecisions,
    ClaimRowFound,
    ClaimRowWritten,
    FetchObject,
    Grant,
    PutObject,
    ReadRow,
    Refuse,
    ReportVoid,
    Step,
    StoredAnswer,
    WriteRow,
    claim_row_key,
)
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
    ClaimAnswered,
    ClaimGranted,
    ClaimLeftOpen,
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

# About 2 KB each. Beyond this the oldest is forgotten: its row may stay
# claimed, and other attempts under its key are told ``unknown``.
UNSETTLED_CLAIMS_MAX = 4096
# An eighth of the 256 MB of a daemon. Answers that wait for a slow store
# beyond this are kept without their body.
STORING_BYTES_MAX = 32 * 1024 * 1024


class _DeadlinePassed(NamedTuple):
    request_id: int


class _ActionDue(NamedTuple):
    claim_id: str
    action: WriteRow | ReadRow


class _Record:
    """One attempt and the requests that wait for its end."""

    def __init__(self, request: ClaimRequested, row_key: str, claim: Claim) -> None:
        self.request = request
        self.row_key = row_key
        self.claim = claim
        self.joined: list[ClaimRequested] = []
        self.answer: StoredAnswer | None = None


class Claims(Service):
    """
    Owns the claims in progress of this instance.

    A claim that ``dispatch`` has been granted has no expiry, so it stays valid
    if the process freezes between the grant and the first byte sent: no other
    instance can have claimed the key in between. A grant for a request that
    ``dispatch`` no longer knows is to be abandoned by it.
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
        Start without claims.

        :param kernel: kernel of the process.
        :param instance_id: id of this instance.
        :param incarnation: number of this process among those of the
            instance; with the id it makes claim ids unique.
        :param decisions: replaces the decisions, for tests.
        """
        super().__init__(kernel)
        self._claim_prefix = f"{instance_id}.{incarnation}"
        self._decisions = decisions or ClaimDecisions()
        self._numbers = count(1)
        self._by_row: dict[str, _Record] = {}
        self._by_claim: dict[str, _Record] = {}
        self._by_token: dict[int, _Record] = {}
        self._by_request: dict[int, _Record] = {}
        self._timers: dict[int, int] = {}
        # Claims whose request has its final word but whose row is not
        # settled, oldest first.
        self._unsettled: dict[str, _Record] = {}
        self._storing_bytes = 0
        self._is_draining = False
        self._is_drained = False

    def message_handlers(self) -> MessageTable:
        """Return the messages of dispatch and platform."""
        return {
            ClaimRequested: self._on_claim_requested,
            ClaimAnswered: self._on_claim_answered,
            ClaimAbandoned: self._on_claim_abandoned,
            ClaimLeftOpen: self._on_claim_left_open,
            TableTransactReplied: self._on_transact_replied,
            TableReadReplied: self._on_read_replied,
            ObjectPutReplied: self._on_object_put,
            ObjectGetReplied: self._on_object_fetched,
            DrainStarted: self._on_drain_started,
            _DeadlinePassed: self._on_deadline_passed,
            _ActionDue: self._on_action_due,
        }

    # From dispatch

    def _on_claim_requested(self, message: ClaimRequested) -> None:
        self._timers[message.request_id] = self.kernel.call_at(
            message.deadline_ms, self.name, _DeadlinePassed(message.request_id)
        )
        record = self._by_row.get(claim_row_key(message.service_id, message.key))
        if record is None:
            self._begin(message)
        elif record.claim.digest != message.digest:
            self._refuse(message.request_id, Refuse(Outcome.NOT_RUN, 422, "key-reused"))
        elif record.answer is not None:
            self._refuse(message.request_id, _answer_refusal(record.answer))
        else:
            record.joined.append(message)
            self._by_request[message.request_id] = record

    def _on_claim_answered(self, message: ClaimAnswered) -> None:
        record = self._by_claim.get(message.claim_id)
        if record is None or record.claim.phase != HELD:
            return
        # Requests that joined need not wait for the row.
        self._end_joined(record, _answer_refusal(message.answer))
        answer = message.answer
        if self._storing_bytes + len(answer.body) > STORING_BYTES_MAX:
            answer = answer._replace(body=b"", is_body_kept=False)
        record.answer = answer
        self._storing_bytes += len(answer.body)
        now_ms = self.kernel.clock.now_ms
        self._take(record, self._decisions.on_answered(record.claim, answer, now_ms))

    def _on_claim_abandoned(self, message: ClaimAbandoned) -> None:
        record = self._by_claim.get(message.claim_id)
        if record is None or record.claim.phase != HELD:
            return
        # A grant that is returned has ended the request here, so that its
        # deadline is due again for the confirmation of the void.
        request = record.request
        self._by_request[request.request_id] = record
        self._timers[request.request_id] = self.kernel.call_at(
            request.deadline_ms, self.name, _DeadlinePassed(request.request_id)
        )
        self._take(record, self._decisions.give_up(record.claim))

    def _on_claim_left_open(self, message: ClaimLeftOpen) -> None:
        record = self._by_claim.get(message.claim_id)
        if record is None or record.claim.phase != HELD:
            return
        # The request may have run, so its row stays claimed for good.
        self._end_joined(record, Refuse(Outcome.UNKNOWN, 504, "claimed-by-another"))
        self._forget(record)

    # From the supervisor

    def _on_drain_started(self, message: DrainStarted) -> None:
        self._is_draining = True
        self._report_drained()

    def _report_drained(self) -> None:
        if self._is_draining and not self._by_claim and not self._is_drained:
            self._is_drained = True
            self.send(SUPERVISOR, DrainFinished(self.name))

    # From the platform

    def _on_transact_replied(self, message: TableTransactReplied) -> None:
        record = self._by_token.pop(message.token, None)
        if record is None:
            return
        result = _row_write_result(record.row_key, message.result)
        now_ms = self.kernel.clock.now_ms
        self._take(
            record, self._decisions.on_transact_result(record.claim, result, now_ms)
        )

    def _on_read_replied(self, message: TableReadReplied) -> None:
        record = self._by_token.pop(message.token, None)
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
        self._take(record, self._decisions.on_read_result(record.claim, found, now_ms))

    def _on_object_put(self, message: ObjectPutReplied) -> None:
        record = self._by_token.pop(message.token, None)
        if record is not None:
            self._take(
                record, self._decisions.on_object_put(record.claim, message.result)
            )

    def _on_object_fetched(self, message: ObjectGetReplied) -> None:
        record = self._by_token.pop(message.token, None)
        if record is not None:
            self._take(
                record, self._decisions.on_object_fetched(record.claim, message.result)
            )

    # Timers

    def _on_deadline_passed(self, message: _DeadlinePassed) -> None:
        record = self._by_request.get(message.request_id)
        if record is None:
            return
        if record.request.request_id == message.request_id:
            self._take(record, self._decisions.on_deadline(record.claim))
            return
        record.joined = [
            request
            for request in record.joined
            if request.request_id != message.request_id
        ]
        self._refuse(
            message.request_id, Refuse(Outcome.UNKNOWN, 504, "claimed-by-another")
        )

    def _on_action_due(self, message: _ActionDue) -> None:
        record = self._by_claim.get(message.claim_id)
        if record is not None:
            self._start(record, message.action)

    # Steps of a claim

    def _begin(
        self, request: ClaimRequested, joined: list[ClaimRequested] | None = None
    ) -> None:
        claim_id = f"{self._claim_prefix}.{next(self._numbers)}"
        step = self._decisions.begin_claim(
            claim_id, request.digest, request.deadline_ms, self.kernel.clock.now_ms
        )
        row_key = claim_row_key(request.service_id, request.key)
        record = _Record(request, row_key, step.claim)
        record.joined = joined or []
        self._by_row[row_key] = record
        self._by_claim[claim_id] = record
        self._by_request[request.request_id] = record
        for other in record.joined:
            self._by_request[other.request_id] = record
        self._take(record, step)

    def _take(self, record: _Record, step: Step) -> None:
        record.claim = step.claim
        for action in step.actions:
            self._act(record, action)
        if step.claim.phase == ENDED:
            self._forget(record)
        elif step.claim.is_told and step.claim.phase != STORING:
            self._keep_settling(record)

    def _act(self, record: _Record, action: Action) -> None:
        request_id = record.request.request_id
        if isinstance(action, Grant):
            self._drop_request(request_id)
            self.send("dispatch", ClaimGranted(request_id, record.claim.claim_id))
        elif isinstance(action, Refuse):
            self._refuse(request_id, action)
            self._pass_on(record, action)
        elif isinstance(action, ReportVoid):
            self._drop_request(request_id)
            self.send("dispatch", ClaimVoided(request_id, action.is_confirmed))
            self._pass_on(record, None)
        elif isinstance(action, WriteRow | ReadRow) and action.delay_ms > 0:
            self.call_after(action.delay_ms, _ActionDue(record.claim.claim_id, action))
        else:
            self._start(record, action)

    def _start(self, record: _Record, action: Action) -> None:
        token = next(self._numbers)
        self._by_token[token] = record
        key = record.row_key
        message: Any
        if isinstance(action, WriteRow):
            self._count("claim_writes_total")
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
            self._count("claim_reads_total")
            message = TableReadRequested(self.name, token, key)
        elif isinstance(action, PutObject):
            message = ObjectPutRequested(
                self.name, token, action.object_name, action.data
            )
        elif isinstance(action, FetchObject):
            message = ObjectGetRequested(self.name, token, action.object_name)
        else:
            raise TypeError(f"no table or object action: {action}")
        self.send("platform", message)

    def _keep_settling(self, record: _Record) -> None:
        self._unsettled[record.claim.claim_id] = record
        if len(self._unsettled) > UNSETTLED_CLAIMS_MAX:
            oldest = next(iter(self._unsettled.values()))
            logger.warning(
                "claims: {} stays claimed, too many claims are unsettled.",
                oldest.row_key,
            )
            oldest.claim = oldest.claim._replace(phase=ENDED)
            self._forget(oldest)

    def _pass_on(self, record: _Record, refusal: Refuse | None) -> None:
        """Let the requests that joined share the end, or claim themselves."""
        self._unlink_row(record)
        is_shared = refusal is not None and (
            refusal.outcome == Outcome.RAN or refusal.status == 422
        )
        if is_shared:
            self._end_joined(record, refusal)
            return
        now_ms = self.kernel.clock.now_ms
        alive = [other for other in record.joined if other.deadline_ms > now_ms]
        # The deadlines of the rest are due; a new claim for them is useless.
        record.joined = [other for other in record.joined if other not in alive]
        self._end_joined(record, Refuse(Outcome.UNKNOWN, 504, "claimed-by-another"))
        if alive:
            self._begin(alive[0], alive[1:])

    def _end_joined(self, record: _Record, refusal: Refuse) -> None:
        joined, record.joined = record.joined, []
        for request in joined:
            self._refuse(request.request_id, refusal)

    def _refuse(self, request_id: int, refusal: Refuse) -> None:
        self._drop_request(request_id)
        self.send("dispatch", ClaimRefused(request_id, *refusal))

    def _drop_request(self, request_id: int) -> None:
        self._by_request.pop(request_id, None)
        self.kernel.cancel(self._timers.pop(request_id, None))

    def _unlink_row(self, record: _Record) -> None:
        if self._by_row.get(record.row_key) is record:
            del self._by_row[record.row_key]

    def _forget(self, record: _Record) -> None:
        self._unlink_row(record)
        self._by_claim.pop(record.claim.claim_id, None)
        self._unsettled.pop(record.claim.claim_id, None)
        if record.answer is not None:
            self._storing_bytes -= len(record.answer.body)
            record.answer = None
        self._report_drained()

    def _count(self, name: str) -> None:
        self.send("metrics", CounterIncremented(name, {}))


def _answer_refusal(answer: StoredAnswer) -> Refuse:
    if not answer.is_body_kept:
        return Refuse(Outcome.RAN, 504, "answer-not-kept")
    return Refuse(Outcome.RAN, answer.status, "stored-answer", answer)


def _row_write_result(
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
