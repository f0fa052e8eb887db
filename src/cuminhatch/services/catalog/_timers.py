"""Times of the catalog, and the messages that they send."""

from typing import NamedTuple

# A configuration must be in force two seconds after the store acknowledges
# it, and is changed far more seldom than registrations are.
CONFIGURATION_INTERVAL_MS = 950.0
# Without a reading of any instance for this long, the store has been away.
OUTAGE_GAP_MS = 2_500.0
# A reading without an end for this long does not hold back the next one.
STALE_READING_MS = 1_200.0
PULL_TIMEOUT_MS = 400.0
ENROLMENT_RETRY_MS = 2_000.0
# An instance stores a record of itself if no contact has answered by then.
ENROLMENT_DELAY_MS = 1_500.0
GREETING_INTERVAL_MS = 250.0
# Contacts without the store have nothing to tell; they are greeted less often.
GREETING_INTERVAL_MAX_MS = 2_000.0
# When the whole system starts for the first time, no caller waits, and the
# first contacts read the store for all.
FIRST_READING_WAIT_MS = 2_000.0
FIRST_READING_SPREAD_MS = 1_000.0


class TurnDue(NamedTuple):
    """The store is to be read, unless another instance has just done so."""


class EnrolmentDue(NamedTuple):
    """The record of this instance is to be stored, if others need it."""


class GreetingDue(NamedTuple):
    """
    The first contacts are to be greeted, unless one has answered.

    ``interval_ms`` is the time until the next greeting.
    """

    interval_ms: float
