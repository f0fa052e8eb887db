"""What a caller is told about the end of its request."""

from enum import StrEnum

OUTCOME_HEADER = b"cuminhatch-outcome"
REASON_HEADER = b"cuminhatch-reason"
REQUEST_ID_HEADER = b"x-request-id"


class Outcome(StrEnum):
    """How a request ended, as told in the ``Cuminhatch-Outcome`` header."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
