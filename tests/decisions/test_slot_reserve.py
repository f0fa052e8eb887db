"""Tests of the slots that less urgent requests leave free."""

from random import Random

import pytest

from cuminhatch.decisions.placement import (
    SLOTS_RESERVED,
    NotPlaced,
    Placed,
    RequestProfile,
    SlotReserve,
    Wait,
    choose_server,
    reserved_slots,
)
from tests.decisions._builders import NOW_MS, make_record

URGENT = RequestProfile(180.0, 587.0, 90.0, 1_500.0, 0.0, False)
OTHER = URGENT._replace(reserve=SlotReserve(0.8, 1))
NAMES = [f"server-{n}" for n in range(60)]


def choose(work, *loads, slots=4):
    records = [
        make_record(name, *load, slots=slots)
        for name, load in zip(NAMES, loads, strict=False)
    ]
    for record in records:
        # Each server keeps the larger reserve.
        record.reserve_fraction = 0.999
    return choose_server(records, work, NOW_MS, Random(1))


def test_last_slots_are_left_to_urgent_requests():
    """
    Guards against uploads in the last slot that a declaration could take.

    Load: a burst of uploads on a service shared with declarations.
    """
    assert isinstance(choose(URGENT, (3,), (3,)), Placed)
    assert choose(OTHER, (3,), (3,)).reason == SLOTS_RESERVED
    assert isinstance(choose(OTHER._replace(waited_ms=0.0), (3,), (3,)), Wait)
    assert choose(OTHER, (3,), (1,)).record.server.server_id == NAMES[1]


@pytest.mark.parametrize("is_idempotent", [False, True])
def test_less_urgent_request_never_queues(is_idempotent):
    """
    Guards against uploads that wait in front of declarations at a server.

    Load: full servers, without any recent urgent request.
    """
    idle = OTHER._replace(
        reserve=SlotReserve(0.0, 1), is_idempotent=is_idempotent, is_resend=True
    )
    assert isinstance(choose(idle, (4,), (4, 1)), NotPlaced)
    assert isinstance(choose(idle, (3,), (4, 1)), Placed)


def test_reserve_grows_with_urgent_demand_and_rank_and_ends_before_the_slots():
    """
    Guards against idle servers, and against a server that is never used.

    Load: services with 1 to 6 slots, from no urgent demand to nothing else.
    """
    for slots in range(1, 7):
        records = [make_record(name, slots=slots) for name in NAMES]
        means = [
            sum(reserved_slots(r, SlotReserve(share, rank)) for r in records) / 60
            for share, rank in ((0.0, 2), (0.3, 1), (1.0, 1), (1.0, 2))
        ]
        assert means[0] == 0.0
        assert means == sorted(means)
        assert means[-1] <= min(2.0, slots - 1)
