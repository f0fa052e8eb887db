"""State of one request and of its attempts at backend servers."""

from enum import Enum, auto
from math import inf

from cuminhatch.codecs.dialect import RequestMetadata, ResponseMetadata
from cuminhatch.codecs.http1 import ResponseHead
from cuminhatch.decisions.configuration import Rule, Team
from cuminhatch.decisions.resending import SendHistory
from cuminhatch.decisions.response_copies import CopyFinder
from cuminhatch.decisions.response_origin import ResponseEvidence
from cuminhatch.decisions.server_records import ServerRecord
from cuminhatch.decisions.service_admission import AdmissionTicket
from cuminhatch.errors import ServiceError
from cuminhatch.messages import RequestReceived

# Longer request bodies are streamed and cannot be resent.
REQUEST_BUFFER_MAX_BYTES = 64 * 1024
# Applies if the caller sends no timeout.
DEFAULT_TIMEOUT_MS = 30_000.0
# A streamed response may end this long after the timeout of its rule: most of
# it has been delivered by then.
STREAM_GRACE_MS = 200.0


class Stage(Enum):
    """
    Stage of a request.

    The names of the members are label values of a metric.
    """

    # The body of an upload is received before a server is chosen.
    RECEIVING = auto()
    # The load of candidate servers has been requested.
    MEASURING = auto()
    # No server has free capacity; placement is retried.
    WAITING = auto()
    # At least one attempt is in progress.
    RUNNING = auto()
    # The response is streamed to the caller.
    ANSWERING = auto()


class StageError(ServiceError):
    """The stage of a request would go back after its response has begun."""


class Attempt:
    """State of one attempt at one backend server."""

    __slots__ = (
        "attempt_id",
        "body_length",
        "body_min_rate",
        "body_parts",
        "body_sent_bytes",
        "evidence",
        "facts",
        "find_copy",
        "head",
        "is_hedge",
        "predicted_ms",
        "predicted_slowdown",
        "record",
        "response_bytes",
        "sent_ms",
    )

    def __init__(
        self,
        attempt_id: int,
        record: ServerRecord,
        sent_ms: float,
        is_hedge: bool,
        predicted_slowdown: float,
    ) -> None:
        """
        Start without a response.

        :param attempt_id: id of the attempt, unique in the process.
        :param record: record of the backend server.
        :param sent_ms: current time.
        :param is_hedge: whether it runs in parallel to an earlier attempt.
        :param predicted_slowdown: predicted time divided by the usual time.
        """
        self.attempt_id = attempt_id
        self.record = record
        self.sent_ms = sent_ms
        self.is_hedge = is_hedge
        self.predicted_slowdown = predicted_slowdown
        # Predicted time to the response, set when it is sent.
        self.predicted_ms = 0.0
        self.head: ResponseHead | None = None
        self.facts: ResponseMetadata | None = None
        self.evidence: ResponseEvidence | None = None
        self.find_copy: CopyFinder | None = None
        self.body_length: int | None = None
        # Buffered until the response is complete, so that a truncated response
        # can be replaced by one of another server.
        self.body_parts: list[bytes] = []
        self.response_bytes = 0
        # How much of the request body was sent, and the lowest rate for the
        # rest in bytes per ms, if it is sent in slices.
        self.body_sent_bytes = 0
        self.body_min_rate = 0.0


class Exchange:
    """State of one request of a caller."""

    __slots__ = (
        "_stage",
        "access_version",
        "attempted_server_ids",
        "attempts",
        "body",
        "body_length",
        "caller_deadline_ms",
        "deadline_ms",
        "deadline_timer",
        "facts",
        "head",
        "hedge_result",
        "hedge_timer",
        "is_admitted",
        "is_body_buffered",
        "is_body_complete",
        "is_caller_gone",
        "is_hedging",
        "is_read_paused",
        "is_received_ahead",
        "is_search_widened",
        "last_failure",
        "may_have_run",
        "measurement_id",
        "placeable_ms",
        "placement_retries",
        "quota_team",
        "received_ms",
        "request_id",
        "rule",
        "service_id",
        "streaming_attempt",
        "team",
        "ticket",
        "wide_searches",
    )

    def __init__(
        self,
        message: RequestReceived,
        facts: RequestMetadata,
        rule: Rule,
        service_id: str,
    ) -> None:
        """
        Start without an attempt.

        :param message: the request as received.
        :param facts: facts read from its head.
        :param rule: rule that the request matches.
        :param service_id: service that the request is routed to.
        """
        self.request_id = message.request_id
        self.head = message.head
        self.facts = facts
        self.rule = rule
        self.service_id = service_id
        # The team that the request is accepted for, None for none.
        self.team: Team | None = None
        # ``ForwardingState.access_version`` of the last check of access.
        self.access_version = 0
        # Place in admission control; None while it is not active.
        self.ticket: AdmissionTicket | None = None
        # It has been sent to a server, or was about to be.
        self.is_admitted = False
        # The team whose quota the request counts in, None for none. ``team``
        # may change with the configuration.
        self.quota_team: Team | None = None
        self.received_ms = message.received_ms
        # When a server could be chosen: later if the body was received first.
        self.placeable_ms = message.received_ms
        timeout_ms = facts.budget_ms
        if timeout_ms is None:
            timeout_ms = DEFAULT_TIMEOUT_MS
        self.caller_deadline_ms = self.received_ms + timeout_ms
        if rule.timeout_ms is not None:
            timeout_ms = min(timeout_ms, rule.timeout_ms)
        # By then the caller gets the head of a response or an error response.
        self.deadline_ms = self.received_ms + timeout_ms
        self.body: bytearray | bytes = bytearray(message.data)
        self.body_length = message.body_length
        self.is_body_complete = message.is_complete
        self.is_body_buffered = True
        # The whole body is kept until the request ends, whatever its length.
        self.is_received_ahead = False
        self.is_read_paused = False
        self._stage = Stage.MEASURING
        self.measurement_id = 0
        # Retries after a failed attempt. Placements that are repeated because
        # no server had free capacity do not count.
        self.placement_retries = 0
        # Candidates of all failure domains have been asked for their load.
        self.is_search_widened = False
        self.wide_searches = 0
        # The measurement in progress is for a hedged attempt.
        self.is_hedging = False
        self.attempts: dict[int, Attempt] = {}
        # The attempt whose response is streamed to the caller.
        self.streaming_attempt: Attempt | None = None
        # One entry per attempt that has reached its server or still may, so a
        # server can occur more than once.
        self.attempted_server_ids: list[str] = []
        # A backend server may have executed the request.
        self.may_have_run = False
        self.is_caller_gone = False
        # Why the latest attempt failed.
        self.last_failure = ""
        self.deadline_timer: int | None = None
        self.hedge_timer: int | None = None
        # "won" or "lost" once a hedge has started; used where operators limit
        # hedges to a share.
        self.hedge_result = ""

    @property
    def stage(self) -> Stage:
        """Return the stage of the request; ``ANSWERING`` is the last one."""
        return self._stage

    @stage.setter
    def stage(self, stage: Stage) -> None:
        """
        Enter a stage.

        :param stage: the new stage.
        :raises StageError: a response is being streamed, so that another one
            would end up in its body.
        """
        if self._stage is Stage.ANSWERING:
            raise StageError(f"a request enters {stage.name} while it is answered")
        self._stage = stage

    @property
    def stream_ends_ms(self) -> float:
        """Return when a streamed response is broken off, ``inf`` for never."""
        if self.rule.timeout_ms is None:
            return inf
        return self.received_ms + self.rule.timeout_ms + STREAM_GRACE_MS

    @property
    def is_awaiting_response(self) -> bool:
        """Tell whether attempts are in progress, none with a response yet."""
        return self._stage is Stage.RUNNING and all(
            attempt.head is None for attempt in self.attempts.values()
        )

    def find_hedge_obstacle(self) -> str:
        """Return why no hedged attempt may start now, or an empty string."""
        if not self.is_awaiting_response:
            return "response-arriving"
        if not self.is_body_buffered:
            # Only the rest of the body could be sent.
            return "body-not-kept"
        return ""

    @property
    def is_idempotent(self) -> bool:
        """Tell whether the request may be executed more than once."""
        return self.rule.is_idempotent

    @property
    def trace_id(self) -> str:
        """Return the value of the caller's ``X-Request-Id`` header."""
        return self.facts.request_id.decode("latin-1")

    @property
    def tried_server_ids(self) -> frozenset[str]:
        """Return ``attempted_server_ids`` without repetitions."""
        return frozenset(self.attempted_server_ids)

    def get_history(self, now_ms: float) -> SendHistory:
        """
        Return the facts that decide whether the request may be resent.

        :param now_ms: current time.
        """
        return SendHistory(
            self.is_idempotent,
            self.may_have_run,
            self.is_body_buffered,
            len(self.tried_server_ids),
            self.rule.servers_max,
            self.deadline_ms - now_ms,
        )
