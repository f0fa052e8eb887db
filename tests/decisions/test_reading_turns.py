"""Tests of who reads the store."""

import pytest

from cuminhatch.decisions.reading_turns import (
    READ_INTERVAL_MS,
    REFUSED_PAUSE_MS,
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
    assert due_ms("front-1", "front-1", 0.0, 400.0) == 400.0 + REFUSED_PAUSE_MS


def test_one_of_two_readers_stops():
    """Guards against two readers that stay after a partition has healed."""
    for other in NAMES[1:]:
        assert should_yield(NAMES[0], other) != should_yield(other, NAMES[0])
