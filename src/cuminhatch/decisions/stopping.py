"""Whether a request can end before the process that stops."""

from math import inf
from typing import NamedTuple

# A request that arrives late in a stop has to end before the process does, and
# another instance can take it at once. Few requests take four times as long
# as predicted.
LATE_REQUEST_MARGIN = 4.0


class StopSchedule(NamedTuple):
    """
    Monotonic times of a stop.

    From ``late_from_ms`` on the platform sends no new connections;
    ``ends_ms`` is when requests without a response are cut off. Requests
    received from ``refused_from_ms`` on are not sent to a server.
    """

    late_from_ms: float
    ends_ms: float
    refused_from_ms: float = inf


NO_STOP = StopSchedule(inf, inf)


def can_end_before_stop(
    stop: StopSchedule,
    received_ms: float,
    deadline_ms: float,
    now_ms: float,
    predicted_ms: float,
) -> bool:
    """
    Tell whether a request that is sent now can end before the process.

    :param stop: when the process ends.
    :param received_ms: when the request was received.
    :param deadline_ms: when the caller stops waiting.
    :param now_ms: current time.
    :param predicted_ms: predicted time until the response.
    """
    if deadline_ms <= stop.ends_ms:
        return True
    if received_ms >= stop.refused_from_ms:
        # No estimate bounds how long a server takes.
        return False
    margin = LATE_REQUEST_MARGIN if received_ms >= stop.late_from_ms else 1.0
    return now_ms + predicted_ms * margin <= stop.ends_ms
