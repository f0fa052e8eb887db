"""Messages between ``dispatch`` and ``claims``."""

from typing import NamedTuple

from cuminhatch.decisions.idempotency import StoredAnswer
from cuminhatch.outcomes import Outcome


class ClaimRequested(NamedTuple):
    """
    A keyed request needs the right to run.

    ``digest`` covers method, path and body. ``deadline_ms`` is monotonic.
    """

    request_id: int
    service_id: str
    key: str
    digest: str
    deadline_ms: float


class ClaimGranted(NamedTuple):
    """The request may run; no other request of its key may."""

    request_id: int
    claim_id: str


class ClaimRefused(NamedTuple):
    """
    The request must not run.

    ``answer`` is the stored answer of an earlier request of the key, if that
    has run and its answer was kept. ``status`` is the HTTP status for the
    caller if there is no stored answer.
    """

    request_id: int
    outcome: Outcome
    status: int
    reason: str
    answer: StoredAnswer | None


class ClaimAnswered(NamedTuple):
    """The request has run; its answer is to be kept under the key."""

    claim_id: str
    answer: StoredAnswer


class ClaimAbandoned(NamedTuple):
    """The request will never be sent; the claim is to be voided."""

    claim_id: str


class ClaimVoided(NamedTuple):
    """
    The claim has been given up.

    ``is_confirmed`` tells that the void is written in the table; only then
    may the caller be told ``not-run``.
    """

    request_id: int
    is_confirmed: bool


class ClaimLeftOpen(NamedTuple):
    """The request was sent and its end is unknown; the claim stays."""

    claim_id: str
