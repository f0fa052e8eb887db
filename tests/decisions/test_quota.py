"""Tests of the quotas of teams over all instances."""

from math import ceil
from random import Random

from bench.quota_fleet import LIMITS, Fleet
from cuminhatch.decisions.configuration import Team
from cuminhatch.decisions.quota import (
    LocalAdmission,
    QuotaFigures,
    QuotaPeer,
    QuotaReport,
    TeamCounts,
    TeamFigures,
    get_bound,
)
from cuminhatch.decisions.quota._aggregation import Aggregation
from cuminhatch.decisions.quota._choice import AggregatorChoice
from cuminhatch.decisions.quota._local import (
    START_MS,
    START_PARTS,
    START_REQUESTS,
    START_SHARE,
)
from cuminhatch.decisions.quota._types import get_capacity, get_rate
from cuminhatch.decisions.quota._window import WindowCount

TEAM = Team("t", None, 20.0, 20.0)
TEAMS = {"t": TEAM}


def make_local(share=None, known=1, now_ms=10_000.0):
    """Return the admission of an instance, with figures if share is given."""
    local = LocalAdmission(LIMITS, Random(1), 0.0)
    local.known_instances = known
    if share is not None:
        figures = (TeamFigures("t", 80.0, 0.0, share),)
        local.set_figures(QuotaFigures("a", "x", 1, True, 3, 3, figures), now_ms)
    return local


def count_admitted(local, start_ms, step_ms, count):
    times = (start_ms + number * step_ms for number in range(count))
    return sum(local.admit(TEAM, now_ms).is_admitted for now_ms in times)


def make_report(admitted, incarnation=1, id_="i"):
    counts = (TeamCounts("t", admitted, admitted, admitted, 0),)
    return QuotaReport(id_, "x", incarnation, counts)


def make_aggregation(reports=(), known=1):
    """Return an aggregator after five seconds, and after some reports."""
    aggregation = Aggregation("i", "x", 1, LIMITS, None, 0.0)
    for at_ms in range(0, 5_250, 250):
        for number in range(known):
            idle = QuotaReport(f"i{number or ''}", "x", 1, ())
            aggregation.add_report(idle, float(at_ms))
        aggregation.settle(float(at_ms))
        aggregation.update(TEAMS, known, float(at_ms))
    for report in reports:
        aggregation.add_report(report, 5_200.0)
    aggregation.update(TEAMS, known, 5_250.0)
    return aggregation


def get_balance(aggregation):
    return aggregation.make_figures(TEAMS).figures[0].balance


def test_share_is_admitted_at_even_distances():
    """Guards against runs of refusals, which callers see as an outage."""
    local = make_local(share=0.25)
    spaced = [local.admit(TEAM, 10_000.0 + n).is_admitted for n in range(40)]
    assert sum(spaced) == 10
    assert all(sum(spaced[n : n + 4]) == 1 for n in range(37))


def test_one_instance_alone_keeps_the_quota_before_figures_arrive():
    """Guards against a sudden load that arrives through one instance."""
    local = make_local(share=1.0)
    admitted = count_admitted(local, 10_000.0, 1.0, 900)
    assert admitted <= TEAM.burst + 8 + 0.9 * TEAM.rate_per_s + 1


def test_late_figures_bound_a_sudden_load():
    """Guards against a surge at an instance that is being cut off."""
    local = make_local(share=1.0)
    assert count_admitted(local, 10_450.0, 1.0, 500) < 10


def test_instance_without_figures_keeps_an_equal_part():
    """Guards against restarted instances that each use the whole quota."""
    local = make_local(known=50)
    equal_part = get_rate(TEAM, LIMITS) / 50
    at_start = count_admitted(local, 0.0, 10.0, 150)
    most = max(START_REQUESTS, START_PARTS * START_MS / 1_000.0 * equal_part)
    assert 1 <= at_start <= ceil(most)
    assert count_admitted(local, 1_500.0, 10.0, 500) <= 5.0 * equal_part + 1


def test_lone_instance_does_not_take_itself_for_the_only_one():
    """Guards against a whole quota at an instance that knows no other yet."""
    peer = QuotaPeer("i", "x", LIMITS, True, Random(1), 0.0)
    peer.teams = TEAMS
    admitted = 0
    for now_ms in range(0, 2_500, 10):
        if now_ms % 250 == 0:
            peer.tick(float(now_ms))
        admitted += peer.local.admit(TEAM, float(now_ms)).is_admitted
    assert admitted <= START_REQUESTS + 2


def test_refund_gives_the_admission_back():
    """Guards against quotas used up by requests that did not run."""
    local = make_local(share=1.0)
    assert local.admit(TEAM, 10_000.0).is_admitted
    assert local.admit(TEAM, 10_000.0).is_admitted
    local.refund("t", 10_001.0)
    (counts,) = local.list_counts(True, 10_002.0)
    assert counts[:4] == ("t", 2, 1, 1)


def test_refusal_tells_what_it_is_based_on():
    """Guards against refusals that operators cannot explain."""
    local = make_local(share=0.0)
    refusal = local.admit(TEAM, 10_100.0)
    assert (refusal.basis, refusal.share, refusal.figures_age_ms) == ("figures", 0, 100)
    assert 250.0 <= refusal.retry_after_ms <= 5_000.0
    assert (refusal.heard, refusal.known) == (3, 3)


def test_restarted_instance_asks_callers_back_within_a_second():
    """Guards against callers kept away for the time its part takes to fill."""
    refusal = make_local(known=100).admit(TEAM, START_MS)
    assert (refusal.basis, refusal.retry_after_ms) == ("own-part", 1_000.0)


def test_first_requests_after_a_start_are_shared_out():
    """
    Guards against all requests refused, or all admitted, before first figures.

    Load: all instances have restarted, and their callers wait.
    """
    fleet = [make_local(known=100) for _ in range(100)]
    admitted = [count_admitted(local, 100.0, 100.0, 10) for local in fleet]
    assert max(admitted) <= START_REQUESTS
    assert 0.25 <= sum(admitted) / 1_000 <= START_SHARE


def test_repeated_report_is_charged_once():
    """Guards against an instance counted twice, and against lost debt."""
    balance = get_balance(make_aggregation([make_report(60)]))
    assert get_balance(make_aggregation([make_report(60)] * 2)) == balance
    # 60 from a full bucket, and what the last interval has provided at most.
    full = get_capacity(TEAM, LIMITS)
    assert full - 60.0 <= balance <= full - 60.0 + get_rate(TEAM, LIMITS) / 4.0


def test_counters_of_a_new_incarnation_add_to_the_old_ones():
    """Guards against admissions forgotten when an instance restarts."""
    once = get_balance(make_aggregation([make_report(30)]))
    reports = [make_report(30), make_report(10, incarnation=2)]
    assert get_balance(make_aggregation(reports)) == once - 10


def test_group_uses_its_part_of_the_quota():
    """Guards against each side of a partition using the whole quota."""
    aggregation = make_aggregation(known=4)
    for at_ms in range(5_500, 12_000, 250):
        report = make_report(at_ms // 10, id_="i")
        aggregation.add_report(report, float(at_ms))
        aggregation.update(TEAMS, 4, float(at_ms))
    figures = aggregation.make_figures(TEAMS)
    assert (figures.heard, figures.known) == (1, 4)
    # Asked for 100 a second with debt, of which its part is 5 a second.
    assert figures.figures[0].share < 0.05


def test_aggregator_is_replaced_after_its_silence():
    """Guards against figures that stay away because one instance is lost."""
    choice = AggregatorChoice("x")
    choice.add(f"i{number}" for number in range(35))
    first, second = choice.order[:2]
    assert choice.pick(0.0) == (first,)
    choice.hear(first, 100.0)
    assert choice.pick(690.0) == (first,)
    assert second in choice.pick(701.0)
    choice.hear(second, 710.0)
    assert choice.pick(720.0) == (second,)
    choice.hear(first, 5_000.0)
    assert choice.pick(5_000.0) == (first,)


def test_all_candidates_are_tried_within_seconds():
    """Guards against a group that looks for its aggregator for too long."""
    choice = AggregatorChoice("x", "own")
    choice.add([*(f"i{number}" for number in range(35)), "own"])
    times = iter(range(0, 10_000, 50))
    found_ms = next(t for t in times if choice.pick(float(t)) == ("own",))
    assert found_ms <= 2_600


def test_lowered_quota_binds_within_a_window():
    """Guards against the old quota being used after it was lowered."""
    fleet = Fleet({"a": 3, "b": 3}, dict(TEAMS), seed=3)
    instances = list(fleet.instances.values())
    for step in range(2_000):
        fleet.run_until(step * 10.0)
        if step == 1_000:
            lowered = {"t": Team("t", None, 5.0, 5.0)}
            fleet.teams = lowered
            for instance in instances:
                instance.peer.teams = lowered
        fleet.request(instances[step % 6], "t")
    after = sum(at_ms > 15_000.0 for at_ms in fleet.admitted["t"])
    assert after <= get_bound(fleet.teams["t"], LIMITS)


def test_lost_instances_are_forgotten_by_the_larger_group():
    """Guards against quotas cut for good after the loss of a domain."""
    fleet = Fleet({"a": 3, "b": 3, "c": 2}, dict(TEAMS), seed=4)
    instances = list(fleet.instances.values())
    fleet.run_until(5_000.0)
    for instance in instances:
        instance.group = int(instance.failure_domain == "c")
    known = {}
    for at_ms in (25_000.0, 70_000.0):
        fleet.run_until(at_ms)
        known[at_ms] = [i.peer.local.figures.known for i in instances]
    assert set(known[25_000.0]) == {8}
    assert known[70_000.0] == [6] * 6 + [8] * 2
    for instance in instances:
        instance.group = 0
    fleet.run_until(75_000.0)
    assert {i.peer.local.figures.known for i in instances} == {8}


def test_window_forgets_what_is_older():
    """Guards against counts that stay in the window."""
    window = WindowCount(5_000.0)
    window.add(3, 1_000.0)
    window.add(2, 3_000.0)
    assert window.get_total(5_900.0) == 5
    assert window.get_total(6_600.0) == 2
    assert window.get_total(60_000.0) == 0
