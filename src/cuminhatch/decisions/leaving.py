"""Whether a backend server is leaving."""

from typing import NamedTuple

# One refused connection may be a full listen queue; several in a row mean
# that nobody listens.
REFUSED_LIMIT = 2
# An observation of a peer carries an estimated time. It has to be clearly
# later than the sign of leaving to take that back.
RETURN_MARGIN_MS = 1000.0


class LeavingSigns(NamedTuple):
    """
    What is known about the end of a backend server.

    ``reported_ms`` is when it last said that it drains, by a response or a
    health answer; None if it never did. ``refused_count`` is the number of
    connections refused in a row.
    """

    is_withdrawn: bool = False
    is_listed: bool = False
    reported_ms: float | None = None
    refused_count: int = 0


NO_SIGNS = LeavingSigns()


def is_server_leaving(signs: LeavingSigns) -> bool:
    """
    Tell whether a backend server must get no new work.

    :param signs: what is known about it.
    """
    # Most servers show none, and every request asks.
    if signs is NO_SIGNS:
        return False
    return (
        signs.is_withdrawn
        or signs.is_listed
        or signs.reported_ms is not None
        or signs.refused_count >= REFUSED_LIMIT
    )


def after_observation(
    signs: LeavingSigns, is_leaving: bool, observed_ms: float
) -> LeavingSigns:
    """
    Return the signs after a probe, a peer's observation or a response.

    :param signs: what was known before.
    :param is_leaving: whether the backend server said that it drains.
    :param observed_ms: when it said so.
    :returns: the signs, with an older report taken back by a later answer
        without one.
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


def after_pause(signs: LeavingSigns) -> LeavingSigns:
    """
    Return the signs after some time without a connection attempt.

    :param signs: what was known before.
    :returns: the signs, with one refused connection less.
    """
    return signs._replace(refused_count=max(0, signs.refused_count - 1))
