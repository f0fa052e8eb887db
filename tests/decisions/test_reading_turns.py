"""Tests of who reads the store."""

import pytest

from cuminhatch.decisions.reading_turns import (
    READ_INTERVAL_MS,
    REFUSED_PAUSE_MS,
    REFUSED_STEP_MS,
    Turn,
    next_reading_ms,
    should_yield,
)

NAMES = tuple(f"front-{n}" for n in range(13))
NEVER = float("-inf")


def due_ms(own_id, reader_id, heard_ms=0.0, refused_ms=NEVER):
    return next_reading_ms(Turn(own_id, reader_id, heard_ms, refused_ms), NAMES)


def test_last_reader_comes_first():
    """Guards against several instances that pay for the same reading."""
    for reader in NAMES:
        others = [due_ms(name, reader) for name in NAMES if name != reader]
        assert due_ms(reader, reader) + 200.0 < min(others)


@pytest.mark.parametrize("dead", [1, 3, 12])
def test_another_reads_within_the_bound_when_readers_die(dead):
    """Guards against a leaving server that nobody hears of for two seconds."""
    order = sorted(NAMES, key=lambda name: due_ms(name, "gone"))
    first_ms = due_ms(order[dead], "gone")
    assert READ_INTERVAL_MS < first_ms < 1_500.0


def test_first_takers_do_not_read_together():
    """Guards against a dead reader that is replaced by all others at once."""
    due = sorted(due_ms(name, "gone") for name in NAMES)
    assert due[1] - due[0] > 50.0


def test_refused_instance_leaves_the_turn_to_others():
    """Guards against calls that the store turns away one after the other."""
    pauses_ms = sorted(due_ms(name, name, 0.0, 400.0) - 400.0 for name in NAMES)
    assert pauses_ms[0] == REFUSED_PAUSE_MS
    assert pauses_ms == [
        REFUSED_PAUSE_MS + place * REFUSED_STEP_MS for place in range(len(NAMES))
    ]


def test_one_of_two_readers_stops():
    """Guards against two readers that stay after a partition has healed."""
    for other in NAMES[1:]:
        assert should_yield(NAMES[0], other) != should_yield(other, NAMES[0])


def test_refused_instances_ask_seldom_together():
    """
    Guards against 142 calls a second while the store refuses all.

    Each call costs more than a request earns on that fleet. The first in the
    order still notice within about a second that the store is back.
    """
    ids = [f"front-{number}" for number in range(142)]
    pauses_ms = sorted(
        next_reading_ms(Turn(own, "gone", 0.0, 10_000.0), ids) - 10_000.0 for own in ids
    )
    assert sum(1_000.0 / pause_ms for pause_ms in pauses_ms) < 35
    assert pauses_ms[0] == 1_000.0
    assert pauses_ms[5] <= 1_500.0


def test_all_take_over_in_the_end_one_after_the_other():
    """Guards against a fleet that waits for instances that are gone."""
    ids = [f"front-{number}" for number in range(142)]
    dues_ms = sorted(
        next_reading_ms(Turn(own, "gone", 0.0, float("-inf")), ids) for own in ids
    )
    assert len(set(dues_ms)) == len(ids)
    assert dues_ms[6] <= 1_300.0
    assert dues_ms[-1] < 6_000.0
