"""Moves each request from its caller to a backend server and back."""

from itertools import count
from random import Random
from typing import NamedTuple

from cuminhatch.codecs.http1 import ResponseHead
from cuminhatch.decisions.admission import NotAdmitted
from cuminhatch.decisions.choice import Choose, NotChosen, power_of_d
from cuminhatch.decisions.leaving import after_observation, after_pause
from cuminhatch.decisions.retries import FailedAttempt, RetryAllowed, may_retry
from cuminhatch.decisions.routing import NoRoute
from cuminhatch.decisions.servers import (
    LoadReport,
    ServerView,
    may_take_long,
    may_take_short,
    note_answer,
    note_connection_limit,
    note_failure,
    note_latency,
    note_observation,
    note_refused_connection,
    note_report,
    note_shed,
)
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import (
    Address,
    AttemptBody,
    AttemptBodySent,
    AttemptCancelled,
    AttemptFailed,
    AttemptReadPaused,
    AttemptReadResumed,
    AttemptRequested,
    AttemptResponse,
    AttemptResumed,
    AttemptStalled,
    CallerLeft,
    CallerResumed,
    CallerStalled,
    ClaimAbandoned,
    ClaimAnswered,
    ClaimGranted,
    ClaimLeftOpen,
    ClaimRefused,
    ClaimRequested,
    ClaimVoided,
    ConfigurationChanged,
    InstanceListChanged,
    LoadObserved,
    MembershipChanged,
    PermitGranted,
    PermitRefused,
    PermitRequested,
    PermitReturned,
    ProbeFailed,
    RequestBody,
    RequestFailed,
    RequestReadPaused,
    RequestReadResumed,
    RequestReceived,
    RequestRefused,
    ResponseAborted,
    ResponseBody,
)
from cuminhatch.messages.attempts import CONNECTION_LIMIT
from cuminhatch.outcomes import Outcome
from cuminhatch.services._answers import ran_answer, shed_answer, stored_answer
from cuminhatch.services._pool import ServerPool
from cuminhatch.services._request import (
    KEPT_BODY_BYTES,
    KEY_BYTES_MAX,
    KEYED_BODY_BYTES,
    Phase,
    RequestRecord,
    find_trace_id,
    forwarded_head,
    request_digest,
)
from cuminhatch.services._response_facts import ResponseFacts, read_facts
from cuminhatch.services._server_table import ServerTable
from cuminhatch.services._telemetry import Telemetry

# Two random choices already avoid most of the load of the fullest server;
# the third makes it likely that one is in the own failure domain.
CHOICES = 3
# A granted permit can be useless by the time it arrives.
PERMIT_REQUESTS_MAX = 3
# After a deadline, time for ``claims`` to tell how the claim ended.
CLAIM_GRACE_MS = 5.0
# Servers without probes are tried again; a refused attempt was not sent.
REFUSAL_KEPT_MS = 1000.0
# A server that answers errors at once would look idle.
SERVER_ERROR = 500
# Reason of an attempt that made no progress; others without a byte sent mean
# that the connection was refused.
TIMEOUT = "timeout"
# A missed deadline counts as a failure of the server if it had this many times
# its usual latency, and not less than the time given.
LATE_FACTOR = 10.0
LATE_MIN_MS = 100.0


class RequestDue(NamedTuple):
    """The time of a request is over."""

    request_id: int


class EjectionEnded(NamedTuple):
    """An ejected server may be tried by one request."""

    server_id: str


class RefusalAged(NamedTuple):
    """A refused connection is too old to tell whether a server leaves."""

    server_id: str


class ConnectionLimitAged(NamedTuple):
    """A server without a free connection may have one now."""

    service_id: str
    server_id: str


class Dispatch(Service):
    """Owns one record per request, and a view of each backend server."""

    name = "dispatch"

    def __init__(
        self,
        kernel: Kernel,
        instance_id: str,
        failure_domain: str = "",
        rng: Random | None = None,
        choose: Choose | None = None,
    ) -> None:
        """
        Start without a configuration; requests are refused until one comes.

        :param kernel: kernel of the process.
        :param instance_id: id of this instance, part of request ids.
        :param failure_domain: where this instance runs.
        :param rng: source of randomness for the choice of servers.
        :param choose: another choice than power-of-d, for comparisons.
        """
        super().__init__(kernel)
        self._instance_id = instance_id
        self._choose = choose or power_of_d(CHOICES, rng or Random())
        self._table = ServerTable(failure_domain)
        self._requests: dict[int, RequestRecord] = {}
        self._by_attempt: dict[int, RequestRecord] = {}
        # Requests that ended before ``claims`` answered for them.
        self._unanswered_claims: set[int] = set()
        self._attempt_ids = count(1)
        self._telemetry = Telemetry(kernel)

    def message_handlers(self) -> MessageTable:
        """Return the messages of all services that dispatch works with."""
        return {
            ConfigurationChanged: self._on_configuration_changed,
            InstanceListChanged: self._on_instance_list_changed,
            MembershipChanged: self._on_membership_changed,
            LoadObserved: self._on_load_observed,
            ProbeFailed: self._on_probe_failed,
            EjectionEnded: self._on_ejection_ended,
            RefusalAged: self._on_refusal_aged,
            ConnectionLimitAged: self._on_connection_limit_aged,
            RequestFailed: self._on_request_failed,
            RequestReceived: self._on_request_received,
            RequestBody: self._on_request_body,
            RequestDue: self._on_request_due,
            CallerLeft: self._on_caller_left,
            CallerStalled: self._on_caller_stalled,
            CallerResumed: self._on_caller_resumed,
            ClaimGranted: self._on_claim_granted,
            ClaimRefused: self._on_claim_refused,
            ClaimVoided: self._on_claim_voided,
            PermitGranted: self._on_permit_granted,
            PermitRefused: self._on_permit_refused,
            AttemptResponse: self._on_attempt_response,
            AttemptBody: self._on_attempt_body,
            AttemptFailed: self._on_attempt_failed,
            AttemptStalled: self._on_attempt_stalled,
            AttemptResumed: self._on_attempt_resumed,
        }

    @property
    def request_count(self) -> int:
        """Return the requests in progress, for the drain of the daemon."""
        return len(self._requests)

    def in_flight_of(self, server_id: str) -> int:
        """
        Return the own requests in flight to a backend server.

        :param server_id: id of the backend server.
        :returns: the count, 0 for a server that is not known.
        """
        found = self._table.find(server_id)
        return 0 if found is None else found[1].in_flight

    # Configuration and observations

    def _on_configuration_changed(self, message: ConfigurationChanged) -> None:
        now_ms = self.kernel.clock.now_ms
        changed, withdrawn = self._table.apply(message.configuration, now_ms)
        for pool in withdrawn:
            for queue in (pool.short_queue, pool.long_queue):
                for request_id in queue.request_ids:
                    record = self._requests[request_id]
                    self._refuse_waiting(record, "service-withdrawn")
        for pool in changed:
            self._drain_queues(pool)

    def _on_instance_list_changed(self, message: InstanceListChanged) -> None:
        now_ms = self.kernel.clock.now_ms
        for pool in self._table.set_leaving(message.leaving_ids, now_ms):
            self._drain_queues(pool)

    def _on_membership_changed(self, message: MembershipChanged) -> None:
        # Limits and choices hold without any view of the other instances.
        self._telemetry.observe("members", {}, float(len(message.members)))

    def _on_load_observed(self, message: LoadObserved) -> None:
        found = self._table.find(message.server_id)
        if found is None:
            return
        pool, view = found
        report = LoadReport(
            message.in_flight, message.queued, message.slots, message.observed_ms
        )
        note_observation(view, report, message.is_leaving)
        self._refresh(pool, view)

    def _on_probe_failed(self, message: ProbeFailed) -> None:
        found = self._table.find(message.server_id)
        if found is not None:
            self._note_failure(*found)

    def _on_ejection_ended(self, message: EjectionEnded) -> None:
        found = self._table.find(message.server_id)
        if found is not None:
            self._refresh(*found)

    def _on_refusal_aged(self, message: RefusalAged) -> None:
        found = self._table.find(message.server_id)
        if found is not None:
            pool, view = found
            view.signs = after_pause(view.signs)
            self._refresh(pool, view)

    def _on_connection_limit_aged(self, message: ConnectionLimitAged) -> None:
        pool = self._table.pool_of(message.service_id)
        if pool is None:
            return
        view = pool.views.get(message.server_id)
        if view is not None:
            self._refresh(pool, view)
        if not self.kernel.has_service("permits"):
            return
        for request_id in pool.long_queue.request_ids:
            record = self._requests[request_id]
            if record.phase is Phase.QUEUED:
                record.phase = Phase.AWAITING_PERMIT
                record.permit_requests = 0
                self._request_permit(record)

    def _note_failure(self, pool: ServerPool, view: ServerView) -> None:
        server_id = view.server.server_id
        now_ms = self.kernel.clock.now_ms
        if note_failure(view, pool.may_eject(server_id), now_ms):
            pool.ejected_ids.add(server_id)
            delay_ms = view.ejected_until_ms - now_ms
            self.call_after(delay_ms, EjectionEnded(server_id))
            self._telemetry.count("ejections_total", {"server": server_id})
        self._refresh(pool, view)

    def _refresh(self, pool: ServerPool, view: ServerView) -> None:
        pool.refresh(view, self.kernel.clock.now_ms)
        self._drain_queues(pool)

    # From the callers

    def _on_request_received(self, message: RequestReceived) -> None:
        head = message.head
        path = head.target.partition(b"?")[0].decode("latin-1")
        rule = self._table.match_rule(head.method.decode("latin-1"), path)
        if isinstance(rule, NoRoute):
            self._refuse_early(message, 404, rule.reason)
            return
        pool = self._table.pool_of(rule.service_id)
        if pool is None or not pool.views:
            self._refuse_early(message, 503, "no-backend-server")
            return
        record = RequestRecord(message, rule, pool, self._trace_id(message))
        record.note_sequence = self._table.sequence
        self._requests[message.request_id] = record
        pool.budget.on_request()
        if record.due_ms <= self.kernel.clock.now_ms:
            self._refuse(record, 503, "deadline-passed")
            return
        record.timer = self.kernel.call_at(
            record.due_ms, self.name, RequestDue(record.request_id)
        )
        if record.is_keyed:
            self._start_keyed(record)
        else:
            self._admit(record)

    def _trace_id(self, message: RequestReceived) -> bytes:
        given = find_trace_id(message.head)
        return given or f"{self._instance_id}-{message.request_id}".encode()

    def _refuse_early(self, message: RequestReceived, status: int, reason: str) -> None:
        trace_id = self._trace_id(message)
        self.send(
            "callers",
            RequestRefused(
                message.request_id, status, Outcome.NOT_RUN, reason, trace_id
            ),
        )
        self._telemetry.record_refusal(trace_id, reason, self._table.sequence)

    def _on_request_body(self, message: RequestBody) -> None:
        record = self._requests.get(message.request_id)
        if record is None or record.is_body_complete:
            return
        record.is_body_complete = message.is_complete
        if record.phase is Phase.COLLECTING:
            self._collect_body(record, message.data)
            return
        is_running = record.attempt_id != 0
        if record.is_body_kept:
            record.body += message.data
            if is_running and len(record.body) > KEPT_BODY_BYTES:
                record.is_body_kept = False
                record.body = b""
        if is_running:
            self.send(
                "backends",
                AttemptBodySent(record.attempt_id, message.data, message.is_complete),
            )
        elif len(record.body) > KEPT_BODY_BYTES and not record.is_body_complete:
            record.is_read_paused = True
            self.send("callers", RequestReadPaused(record.request_id))

    def _on_caller_left(self, message: CallerLeft) -> None:
        record = self._requests.get(message.request_id)
        if record is None or record.is_caller_gone:
            return
        if record.attempt_id == 0:
            self._drop_waiting(record)
        elif record.is_keyed:
            # It was sent, so it is left to run: its answer is for the next
            # request of the key.
            self._detach(record)
        else:
            self._cancel_attempt(record)
            self._finish(record, "caller-left")
            self._drain_queues(record.pool)

    def _detach(self, record: RequestRecord) -> None:
        record.is_caller_gone = True
        self._disarm(record)
        self.send("backends", AttemptReadResumed(record.attempt_id))

    def _drop_waiting(self, record: RequestRecord) -> None:
        """Forget a request that no attempt runs for and nobody waits for."""
        if record.phase is Phase.CLAIMING:
            self._unanswered_claims.add(record.request_id)
        elif record.claim_id is not None and record.phase is not Phase.VOIDING:
            self.send("claims", ClaimAbandoned(record.claim_id))
        self._leave_queue(record)
        self._finish(record, "caller-left")

    def _on_caller_stalled(self, message: CallerStalled) -> None:
        record = self._requests.get(message.request_id)
        if record is not None and record.attempt_id and not record.is_caller_gone:
            self.send("backends", AttemptReadPaused(record.attempt_id))

    def _on_caller_resumed(self, message: CallerResumed) -> None:
        record = self._requests.get(message.request_id)
        if record is not None and record.attempt_id and not record.is_caller_gone:
            self.send("backends", AttemptReadResumed(record.attempt_id))

    # Time

    def _arm(self, record: RequestRecord, at_ms: float) -> None:
        self.kernel.cancel(record.timer)
        record.timer = self.kernel.call_at(
            at_ms, self.name, RequestDue(record.request_id)
        )

    def _disarm(self, record: RequestRecord) -> None:
        self.kernel.cancel(record.timer)
        record.timer = None

    def _on_request_due(self, message: RequestDue) -> None:
        record = self._requests.get(message.request_id)
        if record is None or record.timer is None:
            return
        record.timer = None
        now_ms = self.kernel.clock.now_ms
        if record.phase is Phase.CLAIMING:
            if now_ms < record.deadline_ms:
                self._arm(record, record.deadline_ms + CLAIM_GRACE_MS)
                return
            self._unanswered_claims.add(record.request_id)
            self._end_unknown(record, "claim-unknown")
        elif record.phase is Phase.VOIDING:
            self._end_unknown(record, "void-unconfirmed")
        elif record.phase is Phase.RUNNING:
            if now_ms < record.deadline_ms:
                # The margin is for work that has not started; an answer may
                # still come in time.
                self._arm(record, record.deadline_ms)
                return
            self._on_deadline_running(record, now_ms)
        elif record.phase is not Phase.RESPONDING:
            self._refuse_waiting(record, "deadline-passed")

    def _on_deadline_running(self, record: RequestRecord, now_ms: float) -> None:
        waited_ms = now_ms - record.sent_ms
        usual_ms = record.pool.latency_ms
        if waited_ms >= max(LATE_MIN_MS, LATE_FACTOR * usual_ms):
            self._note_failure(record.pool, record.view)
        else:
            note_latency(record.view, waited_ms, now_ms)
        if record.is_keyed:
            self._tell_unknown(record, "deadline-passed")
            self._detach(record)
            return
        self._cancel_attempt(record)
        self._end_unknown(record, "deadline-passed")
        self._drain_queues(record.pool)

    # Claims

    def _start_keyed(self, record: RequestRecord) -> None:
        if not self.kernel.has_service("claims"):
            self._refuse(record, 503, "no-claims")
        elif not 0 < len(record.key) <= KEY_BYTES_MAX:
            self._refuse(record, 400, "bad-idempotency-key")
        elif (record.body_length or 0) > KEYED_BODY_BYTES:
            self._refuse(record, 413, "keyed-body-too-large")
        elif record.is_body_complete:
            self._request_claim(record)
        else:
            record.phase = Phase.COLLECTING
            self.send("callers", RequestReadResumed(record.request_id))

    def _collect_body(self, record: RequestRecord, data: bytes) -> None:
        record.body += data
        if len(record.body) > KEYED_BODY_BYTES:
            self._refuse(record, 413, "keyed-body-too-large")
        elif record.is_body_complete:
            self._request_claim(record)

    def _request_claim(self, record: RequestRecord) -> None:
        # Overload is found out before the claim: a refusal then costs no
        # write and is certain.
        refusal = self._check_admission(record)
        if refusal is not None:
            self._refuse(record, 503, refusal.reason)
            return
        record.phase = Phase.CLAIMING
        self.send(
            "claims",
            ClaimRequested(
                record.request_id,
                record.rule.service_id,
                record.key.decode("latin-1"),
                request_digest(record),
                record.due_ms,
            ),
        )

    def _on_claim_granted(self, message: ClaimGranted) -> None:
        record = self._requests.get(message.request_id)
        if record is not None and record.phase is Phase.CLAIMING:
            record.claim_id = message.claim_id
            self._admit(record)
        elif message.request_id in self._unanswered_claims:
            self._unanswered_claims.discard(message.request_id)
            self.send("claims", ClaimAbandoned(message.claim_id))

    def _on_claim_refused(self, message: ClaimRefused) -> None:
        self._unanswered_claims.discard(message.request_id)
        record = self._requests.get(message.request_id)
        if record is None or record.phase is not Phase.CLAIMING:
            return
        if message.answer is None:
            self._tell_refused(record, message.status, message.outcome, message.reason)
        elif message.answer.is_body_kept:
            self.send("callers", stored_answer(record, message.answer))
        else:
            self._tell_refused(record, 409, Outcome.RAN, "answer-not-kept")
        self._finish(record, message.reason)

    def _on_claim_voided(self, message: ClaimVoided) -> None:
        record = self._requests.get(message.request_id)
        if record is None or record.phase is not Phase.VOIDING:
            return
        if message.is_confirmed:
            status, reason = record.refusal
            self._tell_refused(record, status, Outcome.NOT_RUN, reason)
            self._finish(record, reason)
        else:
            self._end_unknown(record, "void-unconfirmed")

    # Admission

    def _check_admission(self, record: RequestRecord) -> NotAdmitted | None:
        pool = record.pool
        queue = pool.queue_of(record.rule.work_class)
        if not record.is_long and pool.open_views and not queue.length:
            return None
        service_ms = 0.0 if record.is_long else pool.latency_ms
        return queue.check(record.due_ms, service_ms, self.kernel.clock.now_ms)

    def _admit(self, record: RequestRecord) -> None:
        """Start a request, or let it wait, or refuse it."""
        pool = record.pool
        if not pool.views:
            self._refuse_waiting(record, "no-backend-server")
            return
        queue = pool.queue_of(record.rule.work_class)
        if not record.is_long and not queue.length:
            chosen = self._choose_for(record)
            if not isinstance(chosen, NotChosen):
                self._start_attempt(record, chosen)
                return
        service_ms = 0.0 if record.is_long else pool.latency_ms
        now_ms = self.kernel.clock.now_ms
        admitted = queue.offer(record.request_id, record.due_ms, service_ms, now_ms)
        if isinstance(admitted, NotAdmitted):
            self._refuse_waiting(record, admitted.reason)
            return
        record.phase = Phase.QUEUED
        if not record.is_long:
            return
        if self.kernel.has_service("permits"):
            record.phase = Phase.AWAITING_PERMIT
            self._request_permit(record)
        else:
            self._drain_long(pool)

    def _choose_for(self, record: RequestRecord) -> ServerView | NotChosen:
        now_ms = self.kernel.clock.now_ms
        candidates = record.pool.open_views
        if record.attempts and len(candidates) > 1:
            # A retry goes elsewhere if it can.
            candidates = [view for view in candidates if view is not record.view]
        return self._choose(candidates, now_ms)

    def _drain_queues(self, pool: ServerPool) -> None:
        """Start what waits, as far as servers are open."""
        queue = pool.short_queue
        if not queue.length and not pool.long_queue.length:
            return
        while queue.length and pool.open_views:
            record = self._requests[queue.take()]
            chosen = self._choose_for(record)
            if isinstance(chosen, NotChosen):
                self._admit(record)
                break
            self._start_attempt(record, chosen)
        if pool.long_queue.length and not self.kernel.has_service("permits"):
            self._drain_long(pool)

    def _drain_long(self, pool: ServerPool) -> None:
        queue = pool.long_queue
        while queue.length:
            now_ms = self.kernel.clock.now_ms
            chosen = self._choose(pool.long_candidates(now_ms), now_ms)
            if isinstance(chosen, NotChosen):
                return
            self._start_attempt(self._requests[queue.take()], chosen)

    def _leave_queue(self, record: RequestRecord) -> None:
        record.pool.queue_of(record.rule.work_class).remove(record.request_id)

    # Permits

    def _request_permit(self, record: RequestRecord) -> None:
        now_ms = self.kernel.clock.now_ms
        ids = record.pool.permit_candidates(record.view, now_ms)
        record.permit_requests += 1
        self.send(
            "permits",
            PermitRequested(self.name, record.request_id, "long", ids, record.due_ms),
        )

    def _on_permit_granted(self, message: PermitGranted) -> None:
        record = self._requests.get(message.token)
        if record is None or record.phase is not Phase.AWAITING_PERMIT:
            self.send("permits", PermitReturned(message.permit))
            return
        view = record.pool.views.get(message.permit.server_id)
        now_ms = self.kernel.clock.now_ms
        # The permit is the bound on long work; without it the local bound
        # would apply.
        is_usable = view is not None and may_take_long(view, now_ms, view.server.slots)
        if is_usable:
            self._leave_queue(record)
            record.permit = message.permit
            self._start_attempt(record, view)
            return
        self.send("permits", PermitReturned(message.permit))
        if view is not None and now_ms < view.full_until_ms:
            # Asks again when the server may have a free connection.
            record.phase = Phase.QUEUED
        elif record.permit_requests < PERMIT_REQUESTS_MAX:
            self._request_permit(record)
        else:
            self._refuse_waiting(record, "no-server-for-permit")

    def _on_permit_refused(self, message: PermitRefused) -> None:
        record = self._requests.get(message.token)
        if record is not None and record.phase is Phase.AWAITING_PERMIT:
            self._refuse_waiting(record, message.reason.replace(" ", "-"))

    # Attempts

    def _start_attempt(
        self, record: RequestRecord, view: ServerView, is_fresh: bool = False
    ) -> None:
        now_ms = self.kernel.clock.now_ms
        if not record.is_long and record.due_ms <= now_ms:
            self._refuse_waiting(record, "deadline-passed")
            return
        record.view = view
        record.attempts += 1
        record.attempt_id = attempt_id = next(self._attempt_ids)
        record.phase = Phase.RUNNING
        record.sent_ms = now_ms
        self._by_attempt[attempt_id] = record
        view.in_flight += 1
        view.long_in_flight += record.is_long
        record.pool.refresh(view, now_ms)
        server = view.server
        self.send(
            "backends",
            AttemptRequested(
                attempt_id,
                server.server_id,
                Address(server.host, server.port),
                forwarded_head(record, now_ms),
                record.body_length,
                bytes(record.body),
                record.is_body_complete,
                record.rule.response_timeout_ms,
                is_fresh,
            ),
        )
        if len(record.body) > KEPT_BODY_BYTES and not record.is_keyed:
            record.is_body_kept = False
            record.body = b""
        if not record.is_body_complete:
            record.is_read_paused = False
            self.send("callers", RequestReadResumed(record.request_id))
        if record.attempts > 1:
            self._telemetry.record_attempt(record)

    def _cancel_attempt(self, record: RequestRecord) -> None:
        self.send("backends", AttemptCancelled(record.attempt_id))
        self._end_attempt(record)

    def _end_attempt(self, record: RequestRecord) -> None:
        """Give back what the attempt holds; later messages of it are late."""
        self._by_attempt.pop(record.attempt_id, None)
        record.attempt_id = 0
        view = record.view
        view.in_flight -= 1
        view.long_in_flight -= record.is_long
        if record.permit is not None:
            self.send("permits", PermitReturned(record.permit))
            record.permit = None
        now_ms = self.kernel.clock.now_ms
        record.pool.queue_of(record.rule.work_class).on_end(now_ms)
        record.pool.refresh(view, now_ms)

    def _on_attempt_response(self, message: AttemptResponse) -> None:
        record = self._by_attempt.get(message.attempt_id)
        if record is None or record.phase is not Phase.RUNNING:
            return
        now_ms = self.kernel.clock.now_ms
        facts = read_facts(message.head)
        self._note_response(record, facts, message.head.status, now_ms)
        if facts.is_shed:
            self._on_shed(record, facts, message)
            return
        if not message.is_complete:
            # The attempt goes on; what its head says holds from now on.
            self._refresh(record.pool, record.view)
        self._disarm(record)
        record.phase = Phase.RESPONDING
        self._forward_head(record, facts, message)
        self._pass_data(record, message.data, message.is_complete)

    def _note_response(
        self, record: RequestRecord, facts: ResponseFacts, status: int, now_ms: float
    ) -> None:
        pool, view = record.pool, record.view
        if facts.load is not None:
            note_report(view, LoadReport(*facts.load, now_ms))
        if facts.is_draining:
            view.signs = after_observation(view.signs, True, now_ms)
        if facts.is_shed:
            note_shed(view, now_ms)
            self._telemetry.count("shed_total", {"server": view.server.server_id})
            return
        if status >= SERVER_ERROR:
            self._note_failure(pool, view)
            return
        latency_ms = now_ms - record.sent_ms
        if not record.is_long:
            pool.note_latency(latency_ms)
        pool.ejected_ids.discard(view.server.server_id)
        note_answer(view, latency_ms, not record.is_long, now_ms)

    def _forward_head(
        self, record: RequestRecord, facts: ResponseFacts, message: AttemptResponse
    ) -> None:
        head = message.head
        is_bodiless = record.head.method == b"HEAD" or head.status in (204, 304)
        record.response_left = None if is_bodiless else message.body_length
        if record.is_keyed:
            record.answer_head = ResponseHead(head.status, head.phrase, facts.headers)
        if not record.is_caller_gone:
            is_whole = record.is_part_whole(message.data, message.is_complete)
            answer = ran_answer(record, message, facts.headers, is_whole)
            self.send("callers", answer)

    def _pass_data(self, record: RequestRecord, data: bytes, is_complete: bool) -> None:
        """Account for a part of the answer, and end it if it is whole."""
        if not record.is_part_whole(data, is_complete):
            self._cancel_attempt(record)
            self._break_off(record, "body-length-mismatch")
            self._drain_queues(record.pool)
            return
        if record.response_left is not None:
            record.response_left -= len(data)
        if record.is_keyed:
            record.keep_answer(data)
        if is_complete:
            self._end_attempt(record)
            if record.claim_id is not None:
                answer = ClaimAnswered(record.claim_id, record.stored_answer())
                self.send("claims", answer)
            self._finish(record, "answered")
            self._drain_queues(record.pool)

    def _on_attempt_body(self, message: AttemptBody) -> None:
        record = self._by_attempt.get(message.attempt_id)
        if record is None:
            return
        if record.phase is not Phase.RESPONDING:
            # A body without its head can only be a part of the answer.
            self._cancel_attempt(record)
            self._give_up(record, True, "body-before-head")
            self._drain_queues(record.pool)
            return
        data, is_complete = message.data, message.is_complete
        if not record.is_caller_gone and record.is_part_whole(data, is_complete):
            self.send("callers", ResponseBody(record.request_id, data, is_complete))
        self._pass_data(record, data, is_complete)

    # Failures

    def _on_shed(
        self, record: RequestRecord, facts: ResponseFacts, message: AttemptResponse
    ) -> None:
        if message.is_complete:
            self._end_attempt(record)
        else:
            self._cancel_attempt(record)
        if self._retry(record, is_sent=True, is_shed=True, is_reused=False):
            pass
        elif record.is_keyed or record.is_maybe_run or not message.is_complete:
            self._give_up(record, False, "shed")
        else:
            self.send("callers", shed_answer(record, message, facts.headers))
            self._finish(record, "shed")
        self._drain_queues(record.pool)

    def _on_attempt_failed(self, message: AttemptFailed) -> None:
        record = self._by_attempt.get(message.attempt_id)
        if record is None:
            return
        self._end_attempt(record)
        if message.reason == CONNECTION_LIMIT:
            self._wait_for_connection(record)
            self._drain_queues(record.pool)
            return
        self._judge(record, message)
        reason = message.reason.replace(" ", "-")
        if record.is_response_started:
            self._break_off(record, reason)
        elif not self._retry(record, message.is_sent, False, message.is_reused):
            self._give_up(record, message.is_sent, reason)
        self._drain_queues(record.pool)

    def _wait_for_connection(self, record: RequestRecord) -> None:
        """Send a request elsewhere or later; the attempt does not count."""
        pool, view = record.pool, record.view
        now_ms = self.kernel.clock.now_ms
        if view.full_until_ms <= now_ms:
            note_connection_limit(view, now_ms)
            pool.refresh(view, now_ms)
            aged = ConnectionLimitAged(pool.spec.service_id, view.server.server_id)
            self.kernel.call_at(view.full_until_ms, self.name, aged)
        record.attempts -= 1
        if record.is_caller_gone or not record.is_body_kept:
            self._give_up(record, False, "connection-limit")
        else:
            self._admit(record)

    def _judge(self, record: RequestRecord, message: AttemptFailed) -> None:
        """Hold a failure against the server, unless the connection is old."""
        if message.is_reused and not record.is_response_started:
            return
        view = record.view
        if not message.is_sent and message.reason != TIMEOUT:
            note_refused_connection(view)
            refusal = RefusalAged(view.server.server_id)
            self.call_after(REFUSAL_KEPT_MS, refusal)
        self._note_failure(record.pool, view)

    def _retry(
        self, record: RequestRecord, is_sent: bool, is_shed: bool, is_reused: bool
    ) -> bool:
        """Try again if that is safe and paid for."""
        now_ms = self.kernel.clock.now_ms
        record.is_maybe_run |= is_sent and not is_shed
        if record.is_caller_gone:
            return False
        attempt = FailedAttempt(
            record.rule.is_idempotent,
            record.is_keyed,
            is_sent,
            is_shed,
            is_reused,
            record.is_body_kept,
            record.attempts,
            record.due_ms - now_ms,
        )
        decision = may_retry(attempt, record.pool.budget, now_ms)
        if not isinstance(decision, RetryAllowed):
            return False
        if decision.is_fresh and self._may_take_again(record, now_ms):
            self._start_attempt(record, record.view, is_fresh=True)
        else:
            self._admit(record)
        return True

    def _may_take_again(self, record: RequestRecord, now_ms: float) -> bool:
        # Long work has given its permit back.
        return not record.is_long and may_take_short(record.view, now_ms)

    def _give_up(self, record: RequestRecord, is_sent: bool, reason: str) -> None:
        """End a request that no attempt has answered."""
        record.is_maybe_run |= is_sent
        if not record.is_maybe_run:
            self._refuse_waiting(record, reason)
            return
        if record.claim_id is not None:
            self.send("claims", ClaimLeftOpen(record.claim_id))
        self._end_unknown(record, reason)

    def _break_off(self, record: RequestRecord, reason: str) -> None:
        """End a request whose answer is not whole."""
        if record.claim_id is not None:
            self.send("claims", ClaimLeftOpen(record.claim_id))
        if not record.is_caller_gone:
            self.send("callers", ResponseAborted(record.request_id))
        self._finish(record, reason)

    def _on_attempt_stalled(self, message: AttemptStalled) -> None:
        record = self._by_attempt.get(message.attempt_id)
        if record is not None:
            self.send("callers", RequestReadPaused(record.request_id))

    def _on_attempt_resumed(self, message: AttemptResumed) -> None:
        record = self._by_attempt.get(message.attempt_id)
        if record is not None:
            self.send("callers", RequestReadResumed(record.request_id))

    # Ends

    def _on_request_failed(self, message: RequestFailed) -> None:
        request_id = message.request_id
        if request_id in self._requests:
            self.fail_request(request_id, message.reason)
            return
        # Its first handler failed, or it has ended; the listener ignores
        # refusals of requests that it has answered.
        refusal = RequestRefused(request_id, 504, Outcome.UNKNOWN, message.reason)
        self.send("callers", refusal)

    def fail_request(self, request_id: int, reason: str) -> None:
        """
        End a request whose handler failed.

        :param request_id: the request; one that has ended is ignored.
        :param reason: short reason code for the caller.
        """
        record = self._requests.get(request_id)
        if record is None:
            return
        was_sent = record.attempt_id != 0
        if was_sent:
            self._cancel_attempt(record)
        self._leave_queue(record)
        if record.phase is Phase.RESPONDING:
            self._break_off(record, reason)
        elif record.phase is Phase.CLAIMING:
            self._unanswered_claims.add(request_id)
            self._end_unknown(record, reason)
        elif record.phase is Phase.VOIDING:
            self._end_unknown(record, reason)
        else:
            self._give_up(record, was_sent, reason)
        self._drain_queues(record.pool)

    def _refuse_waiting(self, record: RequestRecord, reason: str) -> None:
        """End a request that is not running; a claim is given up first."""
        self._leave_queue(record)
        if record.is_maybe_run:
            self._give_up(record, True, reason)
        elif record.claim_id is None:
            self._refuse(record, 503, reason)
        elif record.is_caller_gone:
            self.send("claims", ClaimAbandoned(record.claim_id))
            self._finish(record, reason)
        else:
            record.phase = Phase.VOIDING
            record.refusal = (503, reason)
            now_ms = self.kernel.clock.now_ms
            self._arm(record, max(record.deadline_ms, now_ms + CLAIM_GRACE_MS))
            self.send("claims", ClaimAbandoned(record.claim_id))

    def _refuse(self, record: RequestRecord, status: int, reason: str) -> None:
        """End a request that truly did not run."""
        self._tell_refused(record, status, Outcome.NOT_RUN, reason)
        self._finish(record, reason)

    def _end_unknown(self, record: RequestRecord, reason: str) -> None:
        self._tell_unknown(record, reason)
        self._finish(record, reason)

    def _tell_unknown(self, record: RequestRecord, reason: str) -> None:
        self._tell_refused(record, 504, Outcome.UNKNOWN, reason)

    def _tell_refused(
        self, record: RequestRecord, status: int, outcome: Outcome, reason: str
    ) -> None:
        if not record.is_caller_gone:
            refusal = RequestRefused(
                record.request_id, status, outcome, reason, record.trace_id
            )
            self.send("callers", refusal)

    def _finish(self, record: RequestRecord, reason: str) -> None:
        self._disarm(record)
        del self._requests[record.request_id]
        self._telemetry.record_end(record, reason)
