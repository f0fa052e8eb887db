"""State of one request, and parsing of its headers."""

from enum import Enum, auto
from hashlib import sha256
from typing import NamedTuple

from cuminhatch.codecs.http1 import Header, RequestHead, ResponseHead
from cuminhatch.decisions.claims import StoredResponse
from cuminhatch.decisions.configuration import Rule
from cuminhatch.decisions.permits import Permit
from cuminhatch.decisions.response_copies import CopyFinder
from cuminhatch.decisions.servers import ServerView
from cuminhatch.messages import RequestReceived
from cuminhatch.outcomes import ATTEMPT_HEADER, REQUEST_ID_HEADER
from cuminhatch.services.dispatch._pool import ServerPool

DEADLINE_HEADER = b"request-deadline-ms"
KEY_HEADER = b"idempotency-key"
EXPECT_HEADER = b"expect"

# Body bytes buffered for a retry; a longer body is streamed and not retried.
# For 1000 requests in progress the buffers take 64 MB of the daemon's 256 MB.
RETRY_BODY_BYTES_MAX = 64 * 1024
# A keyed request is buffered whole, because its digest covers the body.
KEYED_BODY_BYTES_MAX = 1024 * 1024
# A longer response is stored without its body.
STORED_RESPONSE_BYTES_MAX = 1024 * 1024
IDEMPOTENCY_KEY_BYTES_MAX = 255
TRACE_ID_BYTES_MAX = 128
TIMEOUT_MAX_MS = 600_000
# A refusal is sent this long before the deadline, so that it reaches the
# caller in time despite clock differences and network delay.
REFUSAL_MARGIN_MS = 5.0
# Refusing a keyed request takes longer: its claim is voided first, which is a
# write to the table service.
KEYED_REFUSAL_MARGIN_MS = 100.0
# Largest part of the timeout that the margin may take.
REFUSAL_MARGIN_SHARE_MAX = 0.25

_TRACE_ID_BYTES = (
    b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.:/+="
)


class Phase(Enum):
    """Processing phase of a request."""

    COLLECTING_BODY = auto()
    AWAITING_CLAIM = auto()
    QUEUED = auto()
    AWAITING_PERMIT = auto()
    AWAITING_RESPONSE = auto()
    FORWARDING_RESPONSE = auto()
    AWAITING_VOID = auto()


class RequestRecord:
    """State of one request from a caller."""

    __slots__ = (
        "attempt_id",
        "attempt_tag",
        "attempts",
        "body",
        "body_length",
        "claim_id",
        "deadline_ms",
        "find_copy",
        "forwarded_headers",
        "head",
        "idempotency_key",
        "is_body_complete",
        "is_body_kept",
        "is_caller_gone",
        "is_fresh_tried",
        "is_keyed",
        "is_read_paused",
        "may_have_run",
        "note_sequence",
        "pending_refusal",
        "permit",
        "permit_requests",
        "phase",
        "pool",
        "received_ms",
        "request_id",
        "response_bytes",
        "response_bytes_left",
        "response_head",
        "response_parts",
        "rule",
        "sent_ms",
        "start_deadline_ms",
        "timer",
        "trace_id",
        "view",
    )

    def __init__(
        self,
        message: RequestReceived,
        parsed: "ParsedRequestHeaders",
        rule: Rule,
        pool: ServerPool,
    ) -> None:
        """
        Start a request that is neither queued nor sent.

        :param message: the request as received.
        :param parsed: its parsed headers, with a trace id.
        :param rule: routing rule that matches the request.
        :param pool: pool of backend servers of its service.
        """
        self.request_id = message.request_id
        self.head = message.head
        self.rule = rule
        self.pool = pool
        self.trace_id = parsed.trace_id
        self.forwarded_headers = parsed.headers
        self.received_ms = message.received_ms
        # Sequence number of the configuration that routed the request.
        self.note_sequence = 0
        self.body = bytearray(message.data) if not message.is_complete else message.data
        self.body_length = message.body_length
        self.is_body_complete = message.is_complete
        self.is_body_kept = True
        self.is_read_paused = False
        self.phase = Phase.QUEUED
        self.idempotency_key = b""
        self.is_keyed = False
        if parsed.idempotency_key is not None and not rule.is_idempotent:
            self.idempotency_key = parsed.idempotency_key
            self.is_keyed = True
        timeout_ms = (
            rule.deadline_ms if parsed.timeout_ms is None else parsed.timeout_ms
        )
        margin_ms = KEYED_REFUSAL_MARGIN_MS if self.is_keyed else REFUSAL_MARGIN_MS
        self.deadline_ms = self.received_ms + timeout_ms
        # A request that has not been sent by then is refused.
        self.start_deadline_ms = self.deadline_ms - min(
            margin_ms, timeout_ms * REFUSAL_MARGIN_SHARE_MAX
        )
        self.claim_id: str | None = None
        self.permit: Permit | None = None
        self.permit_requests = 0
        # 0 while no attempt is in flight.
        self.attempt_id = 0
        # Value of ``Cuminhatch-Attempt`` of the latest attempt.
        self.attempt_tag = b""
        self.attempts = 0
        # Backend server of the latest attempt.
        self.view: ServerView | None = None
        self.sent_ms = 0.0
        self.is_fresh_tried = False
        # Set if any attempt may have run, even if a later one did not.
        self.may_have_run = False
        self.is_caller_gone = False
        # Body bytes still expected, None if no length is declared or the
        # response has no body.
        self.response_bytes_left: int | None = None
        self.response_head: ResponseHead | None = None
        self.find_copy: CopyFinder | None = None
        self.response_parts: list[bytes] = []
        self.response_bytes = 0
        # Status and reason to send once the claim is voided.
        self.pending_refusal: tuple[int, str] | None = None
        self.timer: int | None = None

    @property
    def is_long(self) -> bool:
        """Return whether the request is of the ``long`` work class."""
        return self.rule.work_class == "long"

    @property
    def is_response_started(self) -> bool:
        """Return whether the response head has been sent to the caller."""
        return self.phase is Phase.FORWARDING_RESPONSE

    def has_expected_length(self, data: bytes, is_complete: bool) -> bool:
        """
        Return whether the body still agrees with its declared length.

        :param data: next part of the response body.
        :param is_complete: whether it is the last part.
        """
        left = self.response_bytes_left
        if left is None:
            return True
        return len(data) == left if is_complete else len(data) <= left

    def collect_response(self, data: bytes) -> None:
        """
        Buffer a part of the response body of a keyed request.

        The buffer is dropped once the body is too long to be stored.

        :param data: the part.
        """
        self.response_bytes += len(data)
        if self.response_bytes <= STORED_RESPONSE_BYTES_MAX:
            self.response_parts.append(data)
        else:
            self.response_parts.clear()

    def to_stored_response(self) -> StoredResponse:
        """Return the buffered response of a keyed request, for storage."""
        head = self.response_head
        is_kept = self.response_bytes <= STORED_RESPONSE_BYTES_MAX
        return StoredResponse(
            head.status,
            tuple((name, value) for name, value in head.headers),
            b"".join(self.response_parts) if is_kept else b"",
            is_kept,
        )


class ParsedRequestHeaders(NamedTuple):
    """
    Values of the request headers that dispatch acts on.

    ``idempotency_key`` is None if the header is absent. ``timeout_ms`` is how
    long the caller waits, None if the header is absent or not a number.
    ``trace_id`` is the value of ``X-Request-Id``, empty if the header is
    absent, too long or contains characters that are not allowed. ``headers``
    are those to forward to the backend server.
    """

    idempotency_key: bytes | None
    timeout_ms: float | None
    trace_id: bytes
    headers: tuple[Header, ...]


def parse_request_headers(head: RequestHead) -> ParsedRequestHeaders:
    """
    Parse the headers that dispatch acts on, in one pass.

    If a header is repeated, the first one counts; of timeouts, the first valid
    one. The trace id goes to logs, headers and the timeline, so its length and
    its characters are restricted.

    :param head: head of the request.
    """
    idempotency_key = timeout_ms = trace_id = None
    kept = []
    for header in head.headers:
        name, value = header
        if name == DEADLINE_HEADER:
            if timeout_ms is None:
                timeout_ms = parse_timeout(value)
        elif name == REQUEST_ID_HEADER:
            if trace_id is None:
                trace_id = value
        elif name not in (EXPECT_HEADER, ATTEMPT_HEADER):
            kept.append(header)
            if name == KEY_HEADER and idempotency_key is None:
                idempotency_key = value.strip()
    if trace_id is None or not is_trace_id_safe(trace_id):
        trace_id = b""
    return ParsedRequestHeaders(idempotency_key, timeout_ms, trace_id, tuple(kept))


def parse_timeout(value: bytes) -> float | None:
    """
    Parse ``Request-Deadline-Ms``, the time that the caller waits.

    :param value: value of the header.
    :returns: the timeout, at most ``TIMEOUT_MAX_MS``; None if the value is not
        a number of at most 9 digits.
    """
    text = value.strip()
    if text.isdigit() and len(text) <= 9:
        return float(min(int(text), TIMEOUT_MAX_MS))
    return None


def is_trace_id_safe(value: bytes) -> bool:
    """
    Return whether a trace id has an allowed length and allowed characters.

    :param value: value of ``X-Request-Id``.
    """
    is_short = 0 < len(value) <= TRACE_ID_BYTES_MAX
    return is_short and not value.translate(None, _TRACE_ID_BYTES)


def compute_request_digest(record: RequestRecord) -> str:
    """
    Return the SHA-256 digest of method, target and body.

    :param record: a request whose body is complete.
    """
    digest = sha256()
    for part in (record.head.method, record.head.target, record.body):
        # The length prefix marks where one part ends and the next begins.
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()


def build_forwarded_head(record: RequestRecord, now_ms: float) -> RequestHead:
    """
    Return the request head for the backend server.

    Its deadline header holds the time that is left.

    :param record: the request.
    :param now_ms: current time.
    """
    left_ms = max(0, int(record.deadline_ms - now_ms))
    added = (
        Header(DEADLINE_HEADER, b"%d" % left_ms),
        Header(REQUEST_ID_HEADER, record.trace_id),
        Header(ATTEMPT_HEADER, record.attempt_tag),
    )
    head = record.head
    return RequestHead(head.method, head.target, record.forwarded_headers + added)
