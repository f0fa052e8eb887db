"""Tests of the placement of requests on backend servers."""

from random import Random

import pytest

from cuminhatch.decisions.placement import (
    NotPlaced,
    Placed,
    RequestProfile,
    Wait,
    choose_server,
    predict_latency_ms,
)
from cuminhatch.decisions.server_records import record_failure
from tests.decisions._builders import NOW_MS, make_record

READ = RequestProfile(
    usual_ms=140.0,
    target_ms=400.0,
    waited_ms=0.0,
    left_ms=1_200.0,
    far_charge_ms=0.0,
    is_idempotent=True,
)
WAITED = READ._replace(waited_ms=60.0)


def choose(records, work=READ, seed=1):
    return choose_server(records, work, NOW_MS, Random(seed))


def chosen_name(records, work=READ):
    placed = choose(records, work)
    assert isinstance(placed, Placed), placed
    return placed.record.server.server_id


def test_slow_machine_is_avoided():
    """
    Guards against a slow machine that is chosen because it is idle.

    Load: a quarter of the machines is four times slower for 300 ms.
    """
    records = [make_record("slow", slowdown=4.0), make_record("usual", running=1)]
    assert chosen_name(records) == "usual"


def test_idle_slow_machine_beats_a_queue():
    """
    Guards against a queue that takes longer than a slow machine.

    Load: a burst on the machines at normal speed.
    """
    waited = READ._replace(waited_ms=200.0)
    records = [
        make_record("slow", slowdown=4.0),
        make_record("queue", running=3, waiting=4),
    ]
    assert chosen_name(records, waited) == "slow"


def test_request_waits_longer_for_machines_that_are_all_slow():
    """
    Guards against late responses that a short wait would have avoided.

    Condition: the speed of shared machines changes every 300 ms.
    """
    records = [make_record("a", slowdown=4.0), make_record("b", slowdown=4.0)]
    for waited_ms in (0.0, 60.0, 140.0):
        assert isinstance(choose(records, READ._replace(waited_ms=waited_ms)), Wait)
    assert isinstance(choose(records, READ._replace(waited_ms=170.0)), Placed)


def test_nearly_full_machine_beats_an_idle_slow_one():
    """
    Guards against idle slow machines that delay requests at the peak.

    Load: a peak while a third of the machines is slow.
    """
    records = [make_record("slow", slowdown=4.0), make_record("usual", running=2)]
    assert chosen_name(records, WAITED) == "usual"


def test_own_requests_count_until_the_next_report():
    """
    Guards against sending all requests to the server reported as idle.

    Load: several requests before the next load report.
    """
    records = [make_record("a"), make_record("b", running=1)]
    records[0].sent_since_load = 2
    assert chosen_name(records) == "b"


def test_large_responses_stay_near_unless_near_servers_are_full():
    """
    Guards against needless traffic between failure domains.

    Load: large responses, which are expensive to send across failure domains.
    """
    large = WAITED._replace(far_charge_ms=500.0, waited_ms=60.0)
    near, far = make_record("near", running=1), make_record("far", is_near=False)
    assert chosen_name([near, far], large) == "near"
    small = large._replace(far_charge_ms=2.0)
    full = make_record("near", running=3, waiting=6)
    assert chosen_name([full, far], small) == "far"


def test_request_waits_a_moment_for_a_server_that_is_not_nearly_full():
    """
    Guards against filling a server that would have a free slot soon.

    Load: a peak that uses two of three slots on every server.
    """
    records = [make_record("a", running=2), make_record("b", running=2)]
    assert isinstance(choose(records), Wait)
    assert isinstance(choose(records, WAITED), Placed)


def test_late_request_is_refused_rather_than_queued():
    """
    Guards against late requests that make those behind them late as well.

    Load: a burst beyond capacity.
    """
    records = [make_record("a", running=3, waiting=4)]
    refused = choose(records, WAITED)
    assert isinstance(refused, NotPlaced)
    assert 0.0 < refused.capacity_in_ms < READ.left_ms
    # A request that has been sent before is not refused for that reason.
    assert isinstance(choose(records, WAITED._replace(is_resend=True)), Placed)


def test_caller_with_little_time_left_waits_for_a_faster_machine():
    """
    Guards against a second refusal of a caller with little time left.

    Condition: a refused caller retries while the idle machines are slow.
    """
    records = [make_record("a", slowdown=4.0)]
    short = READ._replace(left_ms=500.0)
    assert isinstance(choose(records, short), Wait)
    assert isinstance(choose(records, short._replace(waited_ms=170.0)), NotPlaced)
    full = [make_record("a", running=3, waiting=6)]
    assert isinstance(choose(full, short), NotPlaced)


def test_request_that_cannot_be_answered_in_time_is_refused_at_once():
    """Guards against a caller that waits until its deadline for nothing."""
    records = [make_record("a")]
    assert isinstance(choose(records, READ._replace(left_ms=100.0)), NotPlaced)


@pytest.mark.parametrize("waiting", [3, 6, 9])
def test_non_idempotent_request_never_fills_a_queue(waiting):
    """Guards against a full server that resets a non-idempotent request."""
    records = [make_record("a", running=3, waiting=waiting)]
    write = WAITED._replace(is_idempotent=False, target_ms=5_000.0, left_ms=9_000.0)
    waited = write._replace(waited_ms=900.0)
    for work in (waited, waited._replace(is_resend=True)):
        assert isinstance(choose(records, work), NotPlaced)


def test_server_that_fails_requests_is_avoided():
    """
    Guards against a failing server that attracts requests by looking idle.

    Condition: servers that stay reachable but return errors at once.
    """
    records = [make_record("grey"), make_record("sound", running=1)]
    for n in range(6):
        record_failure(records[0], NOW_MS - 60.0 + n)
    assert chosen_name(records) == "sound"


def test_cold_server_is_expected_to_be_slower():
    """
    Guards against overloading a server that is still warming up.

    Condition: servers that have just been added are slow for some seconds.
    """
    cold, warm = make_record("cold"), make_record("warm")
    cold.warm_at_ms = NOW_MS + 2_000.0
    assert predict_latency_ms(cold, READ, NOW_MS) > predict_latency_ms(
        warm, READ, NOW_MS
    )


def test_old_report_is_ignored():
    """Guards against using load reports that are no longer valid."""
    record = make_record("a", running=3, waiting=6)
    later = NOW_MS + 10_000.0
    assert predict_latency_ms(record, READ, later) < predict_latency_ms(
        record, READ, NOW_MS
    )


def test_near_server_that_is_good_enough_is_taken():
    """
    Guards against needless traffic between failure domains.

    Condition: at any moment a third of the near machines is slow, and one of
    the probed far servers is idle.
    """
    records = [
        make_record("near", running=1, slowdown=1.2),
        make_record("far", is_near=False),
    ]
    assert chosen_name(records, READ._replace(far_charge_ms=30.0)) == "near"


def test_far_server_is_better_than_a_slow_near_one():
    """
    Guards against requests that occupy a slow machine's slots for long.

    A request on a slow near machine may be in time, but it holds a slot for
    longer than on a far server. Such placements lowered the score of a
    deployment by about 0.02.
    """
    slow = make_record("slow", slowdown=2.0)
    far = make_record("far", is_near=False)
    assert chosen_name([slow, far], READ._replace(far_charge_ms=30.0)) == "far"


def test_far_server_takes_what_no_near_one_answers_in_time():
    """Guards against staying in a failure domain that is slow as a whole."""
    records = [
        make_record("slow", slowdown=4.0),
        make_record("full", running=3, waiting=2),
        make_record("far", is_near=False),
    ]
    assert chosen_name(records, READ._replace(far_charge_ms=30.0)) == "far"
