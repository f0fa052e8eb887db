"""Tests of traffic splitting."""

from collections import Counter
from random import Random

import pytest

from cuminhatch.decisions.configuration import Rule, TrafficPart
from cuminhatch.decisions.traffic_split import weighted_round_robin


def split_rule(*weights):
    parts = tuple(TrafficPart(f"s{n}", weight) for n, weight in enumerate(weights))
    return Rule("r", parts[0].service_id, "*", "/", parts=parts)


def test_rule_without_parts_names_its_service():
    """Guards against a split that changes rules without parts."""
    assert weighted_round_robin(Random(1))(Rule("r", "desk", "*", "/")) == "desk"


@pytest.mark.parametrize("weights", [(90, 10), (1, 1), (3, 2, 1)])
def test_shares_hold_over_few_requests(weights):
    """Guards against shares that are right only on average."""
    pick, rule = weighted_round_robin(Random(3)), split_rule(*weights)
    total = 60
    counts = Counter(pick(rule) for _ in range(total))
    for n, weight in enumerate(weights):
        expected = total * weight / sum(weights)
        assert abs(counts[f"s{n}"] - expected) <= 1.5


def test_instances_with_few_requests_share_the_small_part():
    """Guards against instances that all start with the same part."""
    rule = split_rule(90, 10)
    counts = Counter()
    for seed in range(200):
        pick = weighted_round_robin(Random(seed))
        counts.update(pick(rule) for _ in range(5))
    assert 0.07 < counts["s1"] / counts.total() < 0.13


def test_part_of_weight_zero_gets_nothing():
    """Guards against a service of weight 0 that still gets requests."""
    pick, rule = weighted_round_robin(Random(5)), split_rule(1, 0)
    assert {pick(rule) for _ in range(50)} == {"s0"}
