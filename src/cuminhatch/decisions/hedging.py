"""When a second send beside the first may bring an earlier answer."""

# The second send looks for a server first and shares the target latency with
# the wait before it.
OVERHEAD_MS = 15.0
# An answer that is not later than this many predicted times is not late.
PREDICTED_FACTOR = 1.3


def hedge_after_ms(usual_ms: float, predicted_ms: float, target_ms: float) -> float:
    """
    Return how long to wait for an answer before a second send.

    It is the latest time at which usual work on another server still ends
    within the target latency, unless the first server was expected to take
    longer than that.

    :param usual_ms: time of the work at usual speed.
    :param predicted_ms: expected time on the server that was chosen.
    :param target_ms: target latency of the rule.
    """
    latest_ms = target_ms - usual_ms - OVERHEAD_MS
    return max(latest_ms, predicted_ms * PREDICTED_FACTOR)
