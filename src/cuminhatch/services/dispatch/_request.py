"""The record of one request, and what its head says."""

from enum import Enum, auto
from hashlib import sha256
from typing import NamedTuple

from cuminhatch.codecs.http1 import Header, RequestHead, ResponseHead
from cuminhatch.decisions.configuration import Rule
from cuminhatch.decisions.idempotency import StoredAnswer
from cuminhatch.decisions.permits import Permit
from cuminhatch.decisions.servers import ServerView
from cuminhatch.messages import RequestReceived
from cuminhatch.outcomes import REQUEST_ID_HEADER
from cuminhatch.services.dispatch._pool import ServerPool

DEADLINE_HEADER = b"request-deadline-ms"
KEY_HEADER = b"idempotency-key"
EXPECT_HEADER = b"expect"

# Kept for a retry; more is streamed. With 1000 requests in progress this is
# a quarter of the daemon's memory.
KEPT_BODY_BYTES = 64 * 1024
# The digest of a keyed request needs the whole body.
KEYED_BODY_BYTES = 1024 * 1024
# Larger answers are stored without their body.
STORED_ANSWER_BYTES = 1024 * 1024
KEY_BYTES_MAX = 255
TRACE_ID_BYTES_MAX = 128
DEADLINE_MAX_MS = 600_000
# Caller and daemon have different clocks and a network between them; a
# refusal has to arrive before the deadline.
MARGIN_MS = 5.0
# A keyed request that is given up waits for its void, which is a write to the
# table service.
KEYED_MARGIN_MS = 100.0
MARGIN_SHARE_MAX = 0.25

_SAFE_BYTES = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.:/+="


class Phase(Enum):
    """Where a request is."""

    COLLECTING = auto()
    CLAIMING = auto()
    QUEUED = auto()
    AWAITING_PERMIT = auto()
    RUNNING = auto()
    RESPONDING = auto()
    VOIDING = auto()


class RequestRecord:
    """State of one request of a caller."""

    __slots__ = (
        "answer_bytes",
        "answer_head",
        "answer_parts",
        "attempt_id",
        "attempts",
        "body",
        "body_length",
        "claim_id",
        "deadline_ms",
        "due_ms",
        "forwarded_headers",
        "head",
        "is_body_complete",
        "is_body_kept",
        "is_caller_gone",
        "is_fresh_tried",
        "is_keyed",
        "is_maybe_run",
        "is_read_paused",
        "key",
        "note_sequence",
        "permit",
        "permit_requests",
        "phase",
        "pool",
        "received_ms",
        "refusal",
        "request_id",
        "response_left",
        "rule",
        "sent_ms",
        "timer",
        "trace_id",
        "view",
    )

    def __init__(
        self,
        message: RequestReceived,
        facts: "RequestFacts",
        rule: Rule,
        pool: ServerPool,
    ) -> None:
        """
        Start before anything is decided.

        :param message: the request as received.
        :param facts: what its headers tell, with a trace id.
        :param rule: rule that it falls under.
        :param pool: state of its service.
        """
        self.request_id = message.request_id
        self.head = message.head
        self.rule = rule
        self.pool = pool
        self.trace_id = facts.trace_id
        self.forwarded_headers = facts.headers
        self.received_ms = message.received_ms
        # Sequence of the configuration that the request follows.
        self.note_sequence = 0
        self.body = bytearray(message.data) if not message.is_complete else message.data
        self.body_length = message.body_length
        self.is_body_complete = message.is_complete
        self.is_body_kept = True
        self.is_read_paused = False
        self.phase = Phase.QUEUED
        self.key = b""
        self.is_keyed = False
        if facts.key is not None and not rule.is_idempotent:
            self.key = facts.key
            self.is_keyed = True
        budget_ms = rule.deadline_ms if facts.budget_ms is None else facts.budget_ms
        margin_ms = KEYED_MARGIN_MS if self.is_keyed else MARGIN_MS
        self.deadline_ms = self.received_ms + budget_ms
        # Work not started by then is refused.
        self.due_ms = self.deadline_ms - min(margin_ms, budget_ms * MARGIN_SHARE_MAX)
        self.claim_id: str | None = None
        self.permit: Permit | None = None
        self.permit_requests = 0
        self.attempt_id = 0
        self.attempts = 0
        self.view: ServerView | None = None
        self.sent_ms = 0.0
        self.is_fresh_tried = False
        # An earlier attempt may have run, whatever becomes of later ones.
        self.is_maybe_run = False
        self.is_caller_gone = False
        self.response_left: int | None = None
        self.answer_head: ResponseHead | None = None
        self.answer_parts: list[bytes] = []
        self.answer_bytes = 0
        self.refusal: tuple[int, str] | None = None
        self.timer: int | None = None

    @property
    def is_long(self) -> bool:
        """Tell whether the request is long work."""
        return self.rule.work_class == "long"

    @property
    def is_response_started(self) -> bool:
        """Tell whether the caller has got a part of the answer."""
        return self.phase is Phase.RESPONDING

    def is_part_whole(self, data: bytes, is_complete: bool) -> bool:
        """
        Tell whether the answer is as long as its head said, so far.

        :param data: next part of the answer.
        :param is_complete: whether it is the last one.
        """
        left = self.response_left
        if left is None:
            return True
        return len(data) == left if is_complete else len(data) <= left

    def keep_answer(self, data: bytes) -> None:
        """
        Collect a part of the answer of a keyed request.

        :param data: the part.
        """
        self.answer_bytes += len(data)
        if self.answer_bytes <= STORED_ANSWER_BYTES:
            self.answer_parts.append(data)
        else:
            self.answer_parts.clear()

    def stored_answer(self) -> StoredAnswer:
        """Return the collected answer of a keyed request."""
        head = self.answer_head
        is_kept = self.answer_bytes <= STORED_ANSWER_BYTES
        return StoredAnswer(
            head.status,
            tuple((name, value) for name, value in head.headers),
            b"".join(self.answer_parts) if is_kept else b"",
            is_kept,
        )


class RequestFacts(NamedTuple):
    """
    What the headers of a request tell the gateway.

    ``key`` is None without an idempotency key; ``budget_ms`` is the time
    that the caller waits, None where it gives none or no number;
    ``trace_id`` is empty where none can be used; ``headers`` are those to
    forward.
    """

    key: bytes | None
    budget_ms: float | None
    trace_id: bytes
    headers: tuple[Header, ...]


def read_request_facts(head: RequestHead) -> RequestFacts:
    """
    Read the headers that concern the gateway, in one pass.

    Of headers that are given more than once, the first holds. The trace id
    goes to logs, headers and the timeline, so only a bounded length of safe
    characters is taken.

    :param head: head of the request.
    """
    key = budget_ms = trace_id = None
    kept = []
    for header in head.headers:
        name, value = header
        if name == DEADLINE_HEADER:
            if budget_ms is None:
                budget_ms = parse_deadline(value)
        elif name == REQUEST_ID_HEADER:
            if trace_id is None:
                trace_id = value
        elif name != EXPECT_HEADER:
            kept.append(header)
            if name == KEY_HEADER and key is None:
                key = value.strip()
    if trace_id is None or not is_trace_id_safe(trace_id):
        trace_id = b""
    return RequestFacts(key, budget_ms, trace_id, tuple(kept))


def parse_deadline(value: bytes) -> float | None:
    """
    Return the time in a deadline header in ms, None if it is no number.

    :param value: value of the header.
    """
    text = value.strip()
    if text.isdigit() and len(text) <= 9:
        return float(min(int(text), DEADLINE_MAX_MS))
    return None


def is_trace_id_safe(value: bytes) -> bool:
    """
    Tell whether a caller's request id may be used.

    :param value: value of ``X-Request-Id``.
    """
    is_short = 0 < len(value) <= TRACE_ID_BYTES_MAX
    return is_short and not value.translate(None, _SAFE_BYTES)


def request_digest(record: RequestRecord) -> str:
    """
    Return the digest of method, path and body.

    :param record: a request with its whole body.
    """
    digest = sha256()
    for part in (record.head.method, record.head.target, record.body):
        # The length keeps parts apart that only together are the same.
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()


def forwarded_head(record: RequestRecord, now_ms: float) -> RequestHead:
    """
    Return the head for the backend server, with the remaining time.

    :param record: the request.
    :param now_ms: current time.
    """
    left_ms = max(0, int(record.deadline_ms - now_ms))
    added = (
        Header(DEADLINE_HEADER, b"%d" % left_ms),
        Header(REQUEST_ID_HEADER, record.trace_id),
    )
    head = record.head
    return RequestHead(head.method, head.target, record.forwarded_headers + added)
