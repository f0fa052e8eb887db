"""Tests of the selection of the instance that reads the store."""

import pytest

from cuminhatch.decisions.reader_selection import (
    READ_INTERVAL_MS,
    REFUSED_PAUSE_MS,
    REFUSED_STEP_MS,
    LatestReads,
    next_read_ms,
    should_yield,
)

NAMES = tuple(f"front-{n}" for n in range(13))
NEVER = float("-inf")


def due_ms(own_id, reader_id, last_read_ms=0.0, last_refused_ms=NEVER):
    return next_read_ms(
        LatestReads(own_id, reader_id, last_read_ms, last_refused_ms), NAMES
    )


def test_last_reader_reads_again_first():
    """Guards against several instances that pay for the same read."""
    for reader in NAMES:
        others = [due_ms(name, reader) for name in NAMES if name != reader]
        assert due_ms(reader, reader) + 200.0 < min(others)


@pytest.mark.parametrize("stopped_count", [1, 3, 12])
def test_another_instance_reads_in_time_when_readers_stop(stopped_count):
    """Guards against a draining server that stays unknown for two seconds."""
    order = sorted(NAMES, key=lambda name: due_ms(name, "gone"))
    first_ms = due_ms(order[stopped_count], "gone")
    assert READ_INTERVAL_MS < first_ms < 1_500.0


def test_first_two_takeovers_are_spread():
    """Guards against all instances replacing a stopped reader at once."""
    due = sorted(due_ms(name, "gone") for name in NAMES)
    assert due[1] - due[0] > 50.0


def test_refused_instance_pauses_by_its_place_in_the_order():
    """Guards against a burst of calls while the store refuses them."""
    pauses_ms = sorted(due_ms(name, name, 0.0, 400.0) - 400.0 for name in NAMES)
    assert pauses_ms[0] == REFUSED_PAUSE_MS
    assert pauses_ms == [
        REFUSED_PAUSE_MS + place * REFUSED_STEP_MS for place in range(len(NAMES))
    ]


def test_one_of_two_concurrent_readers_stops():
    """Guards against two readers that remain after a partition has healed."""
    for other in NAMES[1:]:
        assert should_yield(NAMES[0], other) != should_yield(other, NAMES[0])


def test_refused_instances_limit_their_total_call_rate():
    """
    Guards against 142 calls per second while the store refuses all instances.

    The store charges for every call, and with 142 instances a call costs more
    than the handling of a request earns. The first instances in
    the order still detect within about a second that the store has recovered.
    """
    ids = [f"front-{number}" for number in range(142)]
    pauses_ms = sorted(
        next_read_ms(LatestReads(own, "gone", 0.0, 10_000.0), ids) - 10_000.0
        for own in ids
    )
    assert sum(1_000.0 / pause_ms for pause_ms in pauses_ms) < 35
    assert pauses_ms[0] == 1_000.0
    assert pauses_ms[5] <= 1_500.0


def test_takeover_times_of_all_instances_are_distinct_and_bounded():
    """Guards against waiting for long for instances that have stopped."""
    ids = [f"front-{number}" for number in range(142)]
    dues_ms = sorted(
        next_read_ms(LatestReads(own, "gone", 0.0, float("-inf")), ids) for own in ids
    )
    assert len(set(dues_ms)) == len(ids)
    assert dues_ms[6] <= 1_300.0
    assert dues_ms[-1] < 6_000.0
