"""Rows, states and actions of claims on idempotency keys."""

from typing import NamedTuple

from cuminhatch.outcomes import Outcome

# States of a claim row.
CLAIMED = "claimed"
RAN = "ran"
VOID = "void"
# A row that cannot be decoded may record an execution, so it blocks the key.
UNREADABLE = "unreadable"

# Phases of a claim. CLAIMING writes the row, SETTLING voids a claim write
# whose reply was lost, WAITING polls a row claimed by another attempt,
# FETCHING reads a stored body, HELD has the claim, VOIDING abandons it,
# STORING stores the response.
CLAIMING = "claiming"
SETTLING = "settling"
WAITING = "waiting"
FETCHING = "fetching"
HELD = "held"
VOIDING = "voiding"
STORING = "storing"
ENDED = "ended"


class StoredResponse(NamedTuple):
    """
    The response to an executed request.

    ``headers`` are name and value pairs in order. ``is_body_kept`` is False
    if the body was not stored, for example because it was too large.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    is_body_kept: bool = True


class ResponseReference(NamedTuple):
    """
    A response whose body is in the object store.

    ``body_digest`` is the SHA-256 of the body in hexadecimal.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    object_name: str
    body_digest: str


class ClaimRow(NamedTuple):
    """Content of a claim row; ``answer`` is set if ``state`` is ``ran``."""

    state: str
    claim_id: str
    digest: str
    answer: StoredResponse | ResponseReference | None = None


class ClaimRowWritten(NamedTuple):
    """Result: the write succeeded; the row now has this version."""

    version: int


class ClaimRowFound(NamedTuple):
    """Result: the row as read or as reported by a failed write."""

    version: int
    row: ClaimRow | None


class Claim(NamedTuple):
    """
    State of one attempt to claim a key.

    ``version`` is the version of the row while the claim is held, otherwise
    the one that the last write was conditional on. ``tries`` counts the table
    operations of the current phase, for the backoff. ``is_reported`` is True
    once the final result of the claim has been reported to the service that
    handles the request.
    ``store_until_ms`` is when storing the response is given up.
    """

    claim_id: str
    digest: str
    deadline_ms: float
    phase: str = CLAIMING
    version: int = 0
    tries: int = 0
    is_granted: bool = False
    is_reported: bool = False
    answer: StoredResponse | ResponseReference | None = None
    store_until_ms: float = 0.0


class WriteRow(NamedTuple):
    """Action: write the row if it has this version, after a delay."""

    version: int
    row: ClaimRow
    delay_ms: float = 0.0


class ReadRow(NamedTuple):
    """Action: read the row after a delay."""

    delay_ms: float


class PutObject(NamedTuple):
    """Action: store the body of a response."""

    object_name: str
    data: bytes


class FetchObject(NamedTuple):
    """Action: fetch the body of a response."""

    object_name: str


class Grant(NamedTuple):
    """Action: let the request be executed."""


class EndRequest(NamedTuple):
    """Action: end the request with this result, without executing it."""

    outcome: Outcome
    status: int
    reason: str
    answer: StoredResponse | None = None


class ReportVoid(NamedTuple):
    """
    Action: report that a granted claim is abandoned.

    ``is_confirmed`` is True once the claim is known to be void, False while
    that is not certain yet.
    """

    is_confirmed: bool


Action = WriteRow | ReadRow | PutObject | FetchObject | Grant | EndRequest | ReportVoid


class Transition(NamedTuple):
    """The new state of a claim and the actions to perform."""

    claim: Claim
    actions: tuple[Action, ...] = ()
