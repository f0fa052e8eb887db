"""Tests of the plan of faults."""

from soak.plan import CALM_S, PLANNED, PLANNED_S, Targets, draw_plan

TARGETS = Targets(("front-1", "front-2"), ("b1", "l1"), ("b1", "front-1-store"))


def test_same_seed_gives_the_same_plan():
    """Guards against a seed that can't be played again."""
    assert draw_plan(7, 30.0, TARGETS) == draw_plan(7, 30.0, TARGETS)
    assert draw_plan(7, 30.0, TARGETS) != draw_plan(8, 30.0, TARGETS)


def test_end_of_a_run_is_calm_and_planned_work_is_alone():
    """Guards against promises that a fault of the plan excuses."""
    for seed in range(50):
        plan = draw_plan(seed, 30.0, TARGETS)
        assert {fault.kind for fault in plan[: len(PLANNED)]} == set(PLANNED)
        others = plan[len(PLANNED) :]
        assert all(fault.at_s >= PLANNED_S * len(PLANNED) for fault in others)
        assert all(fault.at_s + fault.for_s <= 30.0 - CALM_S + 0.01 for fault in others)


def test_faults_overlap():
    """Guards against faults that never come together."""
    plan = draw_plan(1, 60.0, TARGETS)[len(PLANNED) :]
    assert any(
        later.at_s < earlier.at_s + earlier.for_s
        for earlier, later in zip(plan, plan[1:], strict=False)
    )
