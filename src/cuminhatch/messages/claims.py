"""Messages between ``dispatch`` and ``claims``."""

from typing import NamedTuple

from cuminhatch.decisions.claims import StoredResponse
from cuminhatch.outcomes import Outcome


class ClaimRequested(NamedTuple):
    """
    A request with an idempotency key needs a claim before it may run.

    ``digest`` covers method, path and body. ``deadline_ms`` is in monotonic
    time.
    """

    request_id: int
    service_id: str
    key: str
    digest: str
    deadline_ms: float


class ClaimGranted(NamedTuple):
    """The request may run; no other request with its key may."""

    request_id: int
    claim_id: str


class ClaimRefused(NamedTuple):
    """
    The request must not run; also sent to repeat a stored response.

    ``response`` is the stored response to an earlier request with the same
    key, None if there is none to repeat. ``status`` is the HTTP status for
    the caller.
    """

    request_id: int
    outcome: Outcome
    status: int
    reason: str
    response: StoredResponse | None


class ClaimCompleted(NamedTuple):
    """The request has run; its response is to be stored under the key."""

    claim_id: str
    response: StoredResponse


class ClaimAbandoned(NamedTuple):
    """The request will never be sent; the claim is to be voided."""

    claim_id: str


class ClaimVoided(NamedTuple):
    """
    The request will not run.

    ``is_confirmed`` is True if the table service has stored the claim as void;
    only then may ``not-run`` be reported to the caller.
    """

    request_id: int
    is_confirmed: bool


class ClaimOutcomeUnknown(NamedTuple):
    """
    The request was sent and its outcome is unknown.

    Its row stays claimed permanently, since the request may have run.
    """

    claim_id: str
