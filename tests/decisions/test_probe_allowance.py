"""Tests of the limit on load probes."""

from random import Random

import pytest

from cuminhatch.decisions.probe_allowance import ProbeAllowance, share_probe_budget


@pytest.mark.parametrize(
    "domain_sizes", [(13,), (5, 4, 4), (1, 12), (67, 58, 69, 56, 62), (311, 1)]
)
@pytest.mark.parametrize("server_domain", [0, 1, None])
def test_all_instances_together_keep_the_limit(domain_sizes, server_domain):
    """Guards against load probes that exceed the shared budget."""
    bound, instances, seconds = 60.0, sum(domain_sizes), 40
    rng = Random(4)
    allowances = [
        ProbeAllowance(
            share_probe_budget(bound, instances, size, domain == server_domain), 0.0
        )
        for domain, size in enumerate(domain_sizes)
        for _ in range(size)
    ]
    taken = 0
    for step in range(seconds * 1_000):
        allowance = rng.choice(allowances)
        taken += allowance.take(float(step))
    # Each instance may send its first probe of a server at once.
    assert taken <= max(bound * seconds, instances + bound * 0.8 * seconds)


def test_share_of_near_servers_does_not_vanish_in_a_large_fleet():
    """
    Guards against placements without a load report.

    Of 312 instances 62 are in the failure domain of the server; each sends
    about 2 requests a second to a service and probes 4 of 10 servers for each.
    """
    near_per_s = share_probe_budget(60.0, 312, 62, True)
    assert near_per_s * 10 >= 4.5
    assert share_probe_budget(60.0, 312, 62, False) > 0.0


def test_burst_is_limited_to_the_tokens_of_four_seconds():
    """Guards against tokens saved up for hours and spent in a burst."""
    allowance = ProbeAllowance(60.0 / 13, 0.0)
    taken = sum(allowance.take(1e9) for _ in range(100))
    assert 1 <= taken <= 4 * 60.0 / 13
    assert not allowance.is_full(1e9)
    assert allowance.is_full(1e9 + 5_000.0)


def test_changed_share_does_not_refill_the_bucket():
    """Guards against a full bucket for each instance that joins."""
    allowance = ProbeAllowance(2.0, 0.0)
    while allowance.take(0.0):
        pass
    for instances in range(2, 100):
        allowance.set_rate(2.0 / instances, 0.0)
        assert not allowance.take(0.0)
