"""Tests of the plan of faults."""

from soak.plan import (
    FAULT_FREE_END_S,
    MAINTENANCE_INTERVAL_S,
    MAINTENANCE_KINDS,
    Targets,
    draw_plan,
)

TARGETS = Targets(("front-1", "front-2"), ("b1", "l1"), ("b1", "front-1-store"))


def test_same_seed_gives_the_same_plan():
    """Guards against a seed whose run can't be repeated."""
    assert draw_plan(7, 30.0, TARGETS) == draw_plan(7, 30.0, TARGETS)
    assert draw_plan(7, 30.0, TARGETS) != draw_plan(8, 30.0, TARGETS)


def test_end_has_no_faults_and_maintenance_is_alone():
    """Guards against maintenance and recovery checks disturbed by a fault."""
    for seed in range(50):
        plan = draw_plan(seed, 30.0, TARGETS)
        assert {fault.kind for fault in plan[: len(MAINTENANCE_KINDS)]} == set(
            MAINTENANCE_KINDS
        )
        others = plan[len(MAINTENANCE_KINDS) :]
        assert all(
            fault.at_s >= MAINTENANCE_INTERVAL_S * len(MAINTENANCE_KINDS)
            for fault in others
        )
        assert all(
            fault.at_s + fault.duration_s <= 30.0 - FAULT_FREE_END_S + 0.01
            for fault in others
        )


def test_faults_overlap():
    """Guards against faults that never overlap."""
    plan = draw_plan(1, 60.0, TARGETS)[len(MAINTENANCE_KINDS) :]
    assert any(
        later.at_s < earlier.at_s + earlier.duration_s
        for earlier, later in zip(plan, plan[1:], strict=False)
    )
