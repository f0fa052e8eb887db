"""
When to hedge a request.

A hedge is a second send of a request, to another server, while the first one
is still unanswered.
"""

# Time to find a server for the hedge. It counts against the target latency,
# as does the delay before the hedge.
OVERHEAD_MS = 15.0
# A response counts as late only after this multiple of its predicted time.
PREDICTED_FACTOR = 1.3


def hedge_delay_ms(usual_ms: float, predicted_ms: float, target_ms: float) -> float:
    """
    Return how long to wait for a response before hedging.

    This is the latest time at which another server at normal speed can still
    respond within the target latency. If the first server was expected to
    take longer than that, the delay is longer.

    :param usual_ms: service time of the request at normal speed.
    :param predicted_ms: predicted time on the server that was chosen.
    :param target_ms: target latency of the rule.
    """
    latest_ms = target_ms - usual_ms - OVERHEAD_MS
    return max(latest_ms, predicted_ms * PREDICTED_FACTOR)
