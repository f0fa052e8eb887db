"""
When a pull that has failed is sent again.

The load that this bounds is that of an instance whose pulls all fail at once,
because the other instances are down and refuse connections.
"""

# Enough for an instance that restarts to listen again.
FIRST_PAUSE_MS = 25.0
# A configuration must be in force 2.5 s after it was acknowledged, so an
# instance asks several times within that time.
PAUSE_MAX_MS = 400.0
# Keeps instances that lost the same instance from asking together.
SPREAD = 0.25
# More doublings would not change the pause.
DOUBLINGS_MAX = 8


def pull_pause_ms(failures: int, random_share: float) -> float:
    """
    Return how long to wait before a pull is sent again.

    The first retry follows at once: another instance is likely to answer.

    :param failures: pulls that have failed in a row.
    :param random_share: random number from 0 to 1.
    """
    if failures <= 1:
        return 0.0
    doublings = min(failures - 2, DOUBLINGS_MAX)
    pause_ms = min(PAUSE_MAX_MS, FIRST_PAUSE_MS * 2.0**doublings)
    return pause_ms * (1.0 + SPREAD * (2.0 * random_share - 1.0))
