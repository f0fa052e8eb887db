"""The record of one request, and of its sends to backend servers."""

from enum import Enum, auto

from cuminhatch.codecs.dialect import AnswerFacts, CallerFacts
from cuminhatch.codecs.http1 import ResponseHead
from cuminhatch.decisions.configuration import Rule
from cuminhatch.decisions.resending import SendHistory
from cuminhatch.decisions.server_records import ServerRecord
from cuminhatch.messages import RequestReceived

# Kept to be sent again; longer bodies are streamed.
KEPT_BODY_BYTES = 64 * 1024
# A caller without a deadline of its own waits this long.
DEFAULT_BUDGET_MS = 30_000.0


class Stage(Enum):
    """Where a request is."""

    MEASURING = auto()
    WAITING = auto()
    RUNNING = auto()
    ANSWERING = auto()


class Attempt:
    """State of one send to one backend server."""

    __slots__ = (
        "answer_bytes",
        "attempt_id",
        "body_length",
        "facts",
        "head",
        "is_hedge",
        "parts",
        "record",
        "sent_ms",
        "slowness",
    )

    def __init__(
        self,
        attempt_id: int,
        record: ServerRecord,
        sent_ms: float,
        is_hedge: bool,
        slowness: float,
    ) -> None:
        """
        Start before the response.

        :param attempt_id: id of this send within the process.
        :param record: the backend server.
        :param sent_ms: current time.
        :param is_hedge: whether another send of the request is under way.
        :param slowness: predicted time by usual time.
        """
        self.attempt_id = attempt_id
        self.record = record
        self.sent_ms = sent_ms
        self.is_hedge = is_hedge
        self.slowness = slowness
        self.head: ResponseHead | None = None
        self.facts: AnswerFacts | None = None
        self.body_length: int | None = None
        # The answer is kept until it is whole, so that a broken one can be
        # replaced by that of another server.
        self.parts: list[bytes] = []
        self.answer_bytes = 0


class Exchange:
    """State of one request of a caller."""

    __slots__ = (
        "attempts",
        "body",
        "body_length",
        "deadline_ms",
        "due_ms",
        "facts",
        "failure",
        "head",
        "hedge_timer",
        "is_body_complete",
        "is_body_kept",
        "is_caller_gone",
        "is_maybe_run",
        "is_hedging",
        "is_read_paused",
        "is_widened",
        "measurement_id",
        "placements",
        "received_ms",
        "request_id",
        "rule",
        "sends",
        "service_id",
        "stage",
        "timer",
        "winner",
    )

    def __init__(
        self, message: RequestReceived, facts: CallerFacts, rule: Rule, service_id: str
    ) -> None:
        """
        Start before anything is decided.

        :param message: the request as received.
        :param facts: what its head tells.
        :param rule: rule that it falls under.
        :param service_id: service that takes it.
        """
        self.request_id = message.request_id
        self.head = message.head
        self.facts = facts
        self.rule = rule
        self.service_id = service_id
        self.received_ms = message.received_ms
        budget_ms = facts.budget_ms
        if budget_ms is None:
            budget_ms = DEFAULT_BUDGET_MS
        self.deadline_ms = self.received_ms + budget_ms
        # The caller gets a final answer by then, whatever happens.
        if rule.timeout_ms is not None:
            budget_ms = min(budget_ms, rule.timeout_ms)
        self.due_ms = self.received_ms + budget_ms
        self.body = bytearray(message.data)
        self.body_length = message.body_length
        self.is_body_complete = message.is_complete
        self.is_body_kept = True
        self.is_read_paused = False
        self.stage = Stage.MEASURING
        self.measurement_id = 0
        # Searches for a server after a failed send.
        self.placements = 0
        # All servers of the service have been looked at.
        self.is_widened = False
        # A measurement under way is for a second send beside the first.
        self.is_hedging = False
        self.attempts: dict[int, Attempt] = {}
        self.winner: Attempt | None = None
        # The server of each send that has reached one or still may; a server
        # stands here as often as it was sent the request.
        self.sends: list[str] = []
        # A backend server may have run the request.
        self.is_maybe_run = False
        self.is_caller_gone = False
        # Why the latest send brought no answer.
        self.failure = ""
        self.timer: int | None = None
        self.hedge_timer: int | None = None

    @property
    def is_idempotent(self) -> bool:
        """Tell whether the request may run more than once."""
        return self.rule.is_idempotent

    @property
    def trace_id(self) -> str:
        """Return the caller's id of the request."""
        return self.facts.request_id.decode("latin-1")

    @property
    def tried(self) -> frozenset[str]:
        """Return the servers that may have received the request."""
        return frozenset(self.sends)

    def history(self, now_ms: float) -> SendHistory:
        """
        Return what decides on a further send.

        :param now_ms: current time.
        """
        return SendHistory(
            self.is_idempotent,
            self.is_maybe_run,
            self.is_body_kept,
            len(self.tried),
            self.rule.servers_max,
            self.due_ms - now_ms,
        )
