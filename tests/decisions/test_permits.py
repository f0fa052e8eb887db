"""Tests of the permit state machine and of the slots for long requests."""

import pytest

from cuminhatch.decisions.configuration import BackendServer, ServiceSpec
from cuminhatch.decisions.permits import (
    ACQUIRING,
    HELD,
    LONG,
    RELEASING,
    UNHELD,
    Holder,
    Permit,
    PermitView,
    begin_acquire,
    begin_release,
    is_idle,
    long_slot_count,
    may_acquire,
    on_list_read,
    on_row_read,
    on_write_result,
    permit_row_key,
    permit_row_value,
)
from cuminhatch.decisions.platform import (
    Committed,
    Mismatched,
    Row,
    RowAbsent,
    TableUnavailable,
)

PERMIT = Permit(LONG, "b", 0)
KEY = permit_row_key(PERMIT)
ME = Holder("me", 2)
OTHER = Holder("other", 1)
LOST = TableUnavailable("no reply", True)
UNSENT = TableUnavailable("outage", False)
LAG_MS = 3000.0


def make_row(version, holder):
    return Row(KEY, version, permit_row_value(holder))


def make_mismatch(version, holder):
    return Mismatched({KEY: make_row(version, holder)})


def make_seen_view(holder, version=3, now_ms=0.0):
    return on_row_read(PermitView(PERMIT), make_row(version, holder), now_ms)


@pytest.mark.parametrize(
    ("slots", "long_slots", "count"),
    [(3, 0, 1), (6, 0, 2), (1, 0, 1), (2, 0, 1), (3, 9, 2), (1, 5, 1), (6, 3, 3)],
)
def test_long_requests_never_get_all_slots(slots, long_slots, count):
    """Guards against short requests queued behind hours of long ones."""
    server = BackendServer("b", "s", "127.0.0.1", 1, "leith", slots, 200)
    assert long_slot_count(ServiceSpec("s", long_slots=long_slots), server) == count


@pytest.mark.parametrize(
    ("holder", "incarnations", "is_listed", "is_allowed"),
    [
        (None, {}, True, True),
        (None, {}, False, False),
        (OTHER, {"other": 1}, True, False),
        (OTHER, {"other": 2}, True, True),
        (Holder("me", 1), {}, True, True),
        (Holder("me", 2), {}, True, False),
    ],
)
def test_acquiring_needs_a_free_row_or_a_stopped_holder(
    holder, incarnations, is_listed, is_allowed
):
    """Guards against taking a permit from a holder that still uses it."""
    assert (
        may_acquire(make_seen_view(holder), ME, incarnations, is_listed) is is_allowed
    )


@pytest.mark.parametrize(
    ("reads", "is_proven"),
    [
        ([(0.0, 0.0, [])], False),
        ([(0.0, 0.0, []), (2999.0, 2999.0, [])], False),
        ([(0.0, 0.0, []), (3000.0, 3000.0, [])], True),
        ([(0.0, 0.0, []), (1.0, 1.0, ["other"]), (3000.0, 3000.0, [])], False),
        ([(0.0, 0.0, []), (3000.0, 63_001.0, [])], False),
        ([(-1.0, 0.0, []), (2999.0, 2999.0, [])], False),
    ],
)
def test_absence_is_proven_by_two_list_reads(reads, is_proven):
    """Guards against a live holder treated as stopped by a list that lags."""
    view = make_seen_view(OTHER)
    for requested_ms, now_ms, ids in reads:
        view = on_list_read(view, ids, requested_ms, now_ms, LAG_MS)
    assert view.is_holder_absent is is_proven


def test_proof_of_absence_is_dropped_when_the_row_changes():
    """Guards against using proof about one holder against the next one."""
    view = make_seen_view(OTHER)
    for requested_ms in (0.0, 3000.0):
        view = on_list_read(view, [], requested_ms, requested_ms, LAG_MS)
    view = on_row_read(view, make_row(4, Holder("third", 1)), 3001.0)
    assert not may_acquire(view, ME, {}, True)


def test_unconfirmed_acquisition_is_sent_again_on_its_version():
    """Guards against using or losing a permit before its write is settled."""
    view = begin_acquire(PermitView(PERMIT), ME).view
    step = on_write_result(view, LOST, ME, 0.0)
    assert (step.view.phase, step.write.version) == (ACQUIRING, 0)
    step = on_write_result(step.view, UNSENT, ME, 0.0)
    assert step.view.phase == ACQUIRING
    own = on_write_result(step.view, make_mismatch(1, ME), ME, 0.0).view
    assert (own.phase, own.version, is_idle(own)) == (HELD, 1, True)
    lost = on_write_result(step.view, make_mismatch(1, OTHER), ME, 0.0).view
    assert (lost.phase, lost.holder) == (UNHELD, OTHER)


def test_permit_is_unused_until_its_release_is_settled():
    """Guards against use of a permit whose release may have taken effect."""
    held = PermitView(PERMIT, HELD, 1)
    releasing = begin_release(held).view
    step = on_write_result(releasing, LOST, ME, 0.0)
    assert (step.view.phase, step.write.version) == (RELEASING, 1)
    step = on_write_result(step.view, UNSENT, ME, 0.0)
    assert step.view.phase == RELEASING
    done = on_write_result(step.view, Committed({KEY: 2}), ME, 0.0).view
    assert (done.phase, done.holder, done.version) == (UNHELD, None, 2)


def test_permit_is_kept_if_its_release_was_never_sent():
    """Guards against losing permits during an outage of the table service."""
    releasing = begin_release(PermitView(PERMIT, HELD, 1)).view
    view = on_write_result(releasing, UNSENT, ME, 0.0).view
    assert (view.phase, view.version) == (HELD, 1)


def test_used_permit_is_not_released():
    """Guards against long requests that run without their permit."""
    view = PermitView(PERMIT, HELD, 1, is_used=True)
    assert begin_release(view) == (view, None)


def test_older_read_does_not_replace_a_newer_view():
    """Guards against a late read reply that shows a permit as free."""
    view = make_seen_view(OTHER, version=5)
    assert on_row_read(view, make_row(4, None), 1.0) == view
    assert on_row_read(view, RowAbsent(), 1.0) == view
