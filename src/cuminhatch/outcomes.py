"""Outcome of a request as reported to its caller."""

from enum import StrEnum

OUTCOME_HEADER = b"cuminhatch-outcome"
REASON_HEADER = b"cuminhatch-reason"
REQUEST_ID_HEADER = b"x-request-id"
# Id of one attempt, which a backend server repeats in its response.
ATTEMPT_HEADER = b"cuminhatch-attempt"


class Outcome(StrEnum):
    """
    Whether a backend server ran the request.

    The value of the header ``Cuminhatch-Outcome``.
    """

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
