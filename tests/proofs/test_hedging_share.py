"""
Proof: hedges stay within the share, and leave failures what they need.

The oracle counts the hedges and requests of instances that don't see each
other: in the window that ends at a hedge, each instance has at most its share,
so all instances together have it at a steady demand. Second sends of all kinds
stay within the ratio of the resend budget.
"""

from hypothesis import given, settings, strategies as st

from cuminhatch.decisions.hedging_share import HedgeAllowance
from cuminhatch.decisions.resending import ResendBudget, ResendLimits

WINDOW_MS = 1_000.0
LIMITS = ResendLimits(0.2, 0.0, WINDOW_MS)
STEP = st.tuples(
    st.integers(0, 2), st.sampled_from(["request"] * 6 + ["hedge"] * 2 + ["retry"])
)
PROOF = settings(derandomize=True, database=None, deadline=None, max_examples=200)


def count_window(times, now_ms):
    return sum(now_ms - WINDOW_MS < at_ms <= now_ms for at_ms in times)


@PROOF
@given(
    share=st.sampled_from([0.05, 0.1, 0.2, 0.5]),
    gap_ms=st.integers(1, 12),
    steps=st.lists(STEP, min_size=200, max_size=400),
)
def test_hedges_of_all_instances_stay_within_the_share(share, gap_ms, steps):
    """Guards against more second sends than operators or rule 8 allow."""
    instances = [
        (HedgeAllowance(share, WINDOW_MS), ResendBudget(LIMITS, 3), [], [], [])
        for _ in range(3)
    ]
    now_ms = 0.0
    for chosen, action in steps:
        now_ms += gap_ms
        allowance, budget, requests, hedges, retries = instances[chosen]
        if action == "request":
            allowance.count_request(now_ms)
            budget.count_request(now_ms)
            requests.append(now_ms)
        elif action == "retry":
            allowance.count_retry(now_ms)
            if budget.take(now_ms):
                retries.append(now_ms)
        elif not allowance.find_denial(budget, now_ms):
            left = budget.get_left(now_ms)
            assert left >= 2.0 + count_window(retries, now_ms)
            assert budget.take(now_ms)
            allowance.take(now_ms)
            hedges.append(now_ms)
        else:
            continue
        asked = count_window(requests, now_ms)
        if hedges and hedges[-1] == now_ms:
            assert count_window(hedges, now_ms) <= share * asked
            sends = count_window(hedges + retries, now_ms)
            assert sends <= LIMITS.ratio * asked


@PROOF
@given(
    share=st.sampled_from([0.02, 0.05, 0.1]),
    gaps=st.lists(st.integers(5, 40), min_size=2, max_size=6),
    phase=st.integers(1, 40),
)
def test_share_holds_in_every_window_at_a_steady_demand(share, gaps, phase):
    """
    Guards against a sum over instances that is beyond the share.

    Each instance has its own rate and hedges as soon as it may.
    """
    events = []
    for n, gap_ms in enumerate(gaps):
        allowance = HedgeAllowance(share, WINDOW_MS)
        at_ms = float(n * phase)
        while at_ms < 4 * WINDOW_MS:
            allowance.count_request(at_ms)
            events.append((at_ms, 1, 0))
            if allowance.get_left(at_ms) >= 1.0:
                allowance.take(at_ms)
                events.append((at_ms, 0, 1))
            at_ms += gap_ms
    events.sort()
    for end_ms in range(int(WINDOW_MS), int(4 * WINDOW_MS), 10):
        window = [e for e in events if end_ms - WINDOW_MS < e[0] <= end_ms]
        asked, hedges = (sum(e[n] for e in window) for n in (1, 2))
        assert hedges <= share * asked
