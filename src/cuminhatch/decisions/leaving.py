"""
Whether a backend server is leaving: draining, withdrawn or gone.

Four independent signs count: a release note that withdraws the server,
the platform's list of servers that leave, the server's own report that it
drains, and refused connections.
"""

from typing import NamedTuple

# One refused connection may be due to a full listen queue; several in a row
# mean that nothing listens on the port.
REFUSED_LIMIT = 2
# The time of an observation made by a peer is an estimate. So a response that
# does not report draining clears an earlier report of draining only if it was
# observed later by this margin.
RETURN_MARGIN_MS = 1000.0


class LeavingSigns(NamedTuple):
    """
    Signs that a backend server is leaving.

    ``is_withdrawn`` tells that a release note withdraws the server.
    ``is_listed_as_leaving`` tells that the platform lists it as leaving.
    ``reported_ms`` is when the server last reported, in a response or in the
    answer to a probe, that it drains; None if it never did or serves again.
    ``refused_count`` is the number of connections refused in a row.
    """

    is_withdrawn: bool = False
    is_listed_as_leaving: bool = False
    reported_ms: float | None = None
    refused_count: int = 0


NO_SIGNS = LeavingSigns()


def is_server_leaving(signs: LeavingSigns) -> bool:
    """
    Tell whether a backend server must get no new requests.

    :param signs: signs of the server.
    """
    # Checked for every request; most servers show no sign.
    if signs is NO_SIGNS:
        return False
    return (
        signs.is_withdrawn
        or signs.is_listed_as_leaving
        or signs.reported_ms is not None
        or signs.refused_count >= REFUSED_LIMIT
    )


def apply_observation(
    signs: LeavingSigns, is_leaving: bool, observed_ms: float
) -> LeavingSigns:
    """
    Return the signs after a response, a probe or a peer's observation.

    :param signs: signs before.
    :param is_leaving: whether the backend server reported that it drains.
    :param observed_ms: when the server was observed.
    :returns: the new signs. An observation that the server serves clears an
        older report that it drains.
    """
    if is_leaving:
        if signs.reported_ms is not None and signs.reported_ms >= observed_ms:
            return signs
        return signs._replace(reported_ms=observed_ms)
    if signs.reported_ms is None and signs.refused_count == 0:
        return signs
    if signs.reported_ms is None:
        return signs._replace(refused_count=0)
    if observed_ms - signs.reported_ms < RETURN_MARGIN_MS:
        return signs
    return signs._replace(reported_ms=None, refused_count=0)


def expire_refused_connection(signs: LeavingSigns) -> LeavingSigns:
    """
    Return the signs once a refused connection is too old to count.

    :param signs: signs before.
    :returns: the signs with one refused connection less.
    """
    return signs._replace(refused_count=max(0, signs.refused_count - 1))
