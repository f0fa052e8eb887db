"""
Permits: exclusive rights of an instance towards one backend server.

A permit is a row of the table service that names its holder. It has no
expiry: a lease lapses while its holder is paused and still uses it. A permit
is taken by a write conditional on the version last seen, from a row that
names no holder or one that has provably ended.

Each function returns the new view of a permit, if need be with the write to
send. A permit has at most one write in progress.
"""

from collections.abc import Callable, Collection, Mapping
from typing import Any, NamedTuple

from cuminhatch.decisions.configuration import BackendServer, ServiceSpec
from cuminhatch.decisions.platform import (
    Committed,
    Mismatched,
    Row,
    RowAbsent,
    TableUnavailable,
)

LONG = "long"
PROBE = "probe"

# A daemon keeps an idle long permit for this time, so that a run of long
# work does not pay two writes for each request.
IDLE_PERMIT_MS = 1000.0
# Absence from a list older than this proves nothing.
LIST_AGE_LIMIT_MS = 60_000.0
WRITE_BACKOFF_MS = 50.0
WRITE_BACKOFF_LIMIT_MS = 5000.0

UNHELD = "unheld"
TAKING = "taking"
HELD = "held"
RELEASING = "releasing"


class Permit(NamedTuple):
    """
    A right that a row of the table service names an instance for.

    ``kind`` is ``long`` or ``probe``; ``number`` counts from 0 per backend
    server and kind.
    """

    kind: str
    server_id: str
    number: int


class Holder(NamedTuple):
    """One process of an instance."""

    instance_id: str
    incarnation: int


class PermitView(NamedTuple):
    """
    What this instance knows of one permit.

    ``version`` is that of the row as last seen, or the one that the write in
    progress is conditional on; ``holder`` is who the row names, None if
    nobody. ``seen_ms`` is when that content was first seen.
    ``absent_since_ms`` is the time of the first reading of the list since
    then that did not name the holder, and ``is_holder_absent`` tells that a
    later one confirmed it. ``tries`` counts the writes in progress, of which
    ``has_lost_write`` tells that one may have taken effect.
    """

    permit: Permit
    phase: str = UNHELD
    version: int = 0
    holder: Holder | None = None
    seen_ms: float = 0.0
    absent_since_ms: float | None = None
    is_holder_absent: bool = False
    is_used: bool = False
    idle_since_ms: float = 0.0
    tries: int = 0
    has_lost_write: bool = False


class PermitWrite(NamedTuple):
    """
    Write the row if it has this version, after a delay in ms.

    ``holder`` is None for a release.
    """

    version: int
    holder: Holder | None
    delay_ms: float = 0.0


class PermitStep(NamedTuple):
    """New view of a permit and the write to send, if any."""

    view: PermitView
    write: PermitWrite | None = None


def long_slot_count(spec: ServiceSpec, server: BackendServer) -> int:
    """
    Return how many slots of a backend server long work may use.

    :param spec: limits of its service.
    :param server: the backend server.
    :returns: at least 1, and less than all slots unless there is only one.
    """
    wanted = spec.long_slots or max(1, server.slots // 3)
    return max(1, min(wanted, server.slots - 1))


def permit_row_key(permit: Permit) -> str:
    """
    Return the key of a permit row.

    :param permit: the permit.
    """
    return f"permit/{permit.kind}/{permit.server_id}/{permit.number}"


def permit_row_value(holder: Holder | None) -> dict[str, Any]:
    """
    Return the content of a permit row.

    A released row stays in the table, so that its version tells how often
    the permit has changed hands.

    :param holder: who holds the permit, None if nobody.
    """
    if holder is None:
        return {"holder": None, "incarnation": 0}
    return {"holder": holder.instance_id, "incarnation": holder.incarnation}


def may_take(
    view: PermitView, me: Holder, incarnations: Mapping[str, int], is_listed: bool
) -> bool:
    """
    Tell whether a take may be tried on the version seen.

    :param view: what is known of the permit.
    :param me: this process.
    :param incarnations: highest incarnation known of each instance.
    :param is_listed: the platform's list has named this instance. Others
        judge it by the list, so that a permit taken before that could be
        taken away while it is used.
    """
    if view.phase != UNHELD or not is_listed:
        return False
    holder = view.holder
    if holder is None:
        return True
    if holder.instance_id == me.instance_id:
        return holder.incarnation < me.incarnation
    is_back = incarnations.get(holder.instance_id, 0) > holder.incarnation
    return is_back or view.is_holder_absent


def begin_take(view: PermitView, me: Holder) -> PermitStep:
    """
    Take a permit that :func:`may_take` allows.

    :param view: what is known of the permit.
    :param me: this process.
    """
    return _write(view._replace(tries=0, has_lost_write=False), TAKING, me)


def begin_release(view: PermitView) -> PermitStep:
    """
    Release a held permit that is not used.

    From here on the permit is not used, whatever becomes of the write.

    :param view: what is known of the permit.
    """
    if view.phase != HELD or view.is_used:
        return PermitStep(view)
    return _write(view._replace(tries=0, has_lost_write=False), RELEASING, None)


def use_permit(view: PermitView) -> PermitView:
    """
    Mark a held permit as used.

    :param view: a permit for which :func:`is_idle` holds.
    """
    return view._replace(is_used=True)


def return_permit(view: PermitView, now_ms: float) -> PermitView:
    """
    Mark a held permit as idle.

    :param view: a used permit.
    :param now_ms: monotonic time.
    """
    return view._replace(is_used=False, idle_since_ms=now_ms)


def is_idle(view: PermitView) -> bool:
    """
    Tell whether this instance holds the permit and does not use it.

    :param view: what is known of the permit.
    """
    return view.phase == HELD and not view.is_used


def is_release_due(view: PermitView, now_ms: float) -> bool:
    """
    Tell whether an idle permit has been kept long enough.

    :param view: what is known of the permit.
    :param now_ms: monotonic time.
    """
    return is_idle(view) and now_ms >= view.idle_since_ms + IDLE_PERMIT_MS


def on_write_result(
    view: PermitView,
    result: Committed | Mismatched | TableUnavailable,
    me: Holder,
    now_ms: float,
) -> PermitStep:
    """
    Go on after a write of the row.

    A write whose reply was lost is sent again on the same version: the write
    or the mismatch then shows what became of the first.

    :param view: what is known of the permit.
    :param result: what is known of the write.
    :param me: this process.
    :param now_ms: monotonic time.
    """
    if view.phase not in (TAKING, RELEASING):
        return PermitStep(view)
    target = me if view.phase == TAKING else None
    if isinstance(result, TableUnavailable):
        return _on_no_reply(view, result, target, now_ms)
    key = permit_row_key(view.permit)
    if isinstance(result, Committed):
        version, holder = result.versions[key], target
    else:
        version, holder = _row_content(result.rows[key])
    if holder != me:
        return PermitStep(_seen(view._replace(phase=UNHELD), version, holder, now_ms))
    if view.phase == TAKING:
        return PermitStep(_held(view, version, now_ms))
    # The row still names this process, under a version not known here.
    return _write(view._replace(version=version), RELEASING, None)


def on_row_read(
    view: PermitView, result: Row | RowAbsent | TableUnavailable, now_ms: float
) -> PermitView:
    """
    Note what a read shows of a permit not held here.

    :param view: what is known of the permit.
    :param result: the row, or why it could not be read.
    :param now_ms: monotonic time.
    """
    if view.phase != UNHELD or isinstance(result, TableUnavailable):
        return view
    version, holder = _row_content(result if isinstance(result, Row) else None)
    if version < view.version:
        # Read before the content that is known already.
        return view
    return _seen(view, version, holder, now_ms)


def on_list_read(
    view: PermitView,
    listed_ids: Collection[str],
    asked_ms: float,
    now_ms: float,
    list_lag_ms: float,
) -> PermitView:
    """
    Note what a reading of the platform's list shows of the holder.

    A process takes permits only once the list has named its instance, so a
    holder seen in a row has been on the list before. A reading shows the
    list as it was at most ``list_lag_ms`` before it was asked for. So the
    first reading after the row was seen may still show the time before the
    holder was named; one asked for ``list_lag_ms`` later can not.

    :param view: what is known of the permit.
    :param listed_ids: ids of the instances named.
    :param asked_ms: when the list was asked for, monotonic.
    :param now_ms: monotonic time.
    :param list_lag_ms: longest lag of the list.
    """
    holder = view.holder
    is_stale = now_ms - asked_ms > LIST_AGE_LIMIT_MS or asked_ms < view.seen_ms
    if view.phase != UNHELD or holder is None or is_stale:
        return view
    if holder.instance_id in listed_ids:
        return view._replace(absent_since_ms=None, is_holder_absent=False)
    if view.absent_since_ms is None:
        return view._replace(absent_since_ms=asked_ms)
    if asked_ms >= view.absent_since_ms + list_lag_ms:
        return view._replace(is_holder_absent=True)
    return view


class PermitDecisions(NamedTuple):
    """The decisions that the ``permits`` service runs on."""

    may_take: Callable[..., bool] = may_take
    begin_take: Callable[..., PermitStep] = begin_take
    begin_release: Callable[..., PermitStep] = begin_release
    on_write_result: Callable[..., PermitStep] = on_write_result
    on_row_read: Callable[..., PermitView] = on_row_read
    on_list_read: Callable[..., PermitView] = on_list_read


def _on_no_reply(
    view: PermitView, result: TableUnavailable, target: Holder | None, now_ms: float
) -> PermitStep:
    if result.is_maybe_applied or view.has_lost_write:
        return _write(view._replace(has_lost_write=True), view.phase, target)
    # No write was sent, so nothing has changed.
    if view.phase == TAKING:
        return PermitStep(view._replace(phase=UNHELD, tries=0))
    return PermitStep(_held(view, view.version, now_ms))


def _write(view: PermitView, phase: str, target: Holder | None) -> PermitStep:
    delay_ms = 0.0
    if view.tries > 0:
        delay_ms = min(
            WRITE_BACKOFF_MS * 2 ** min(view.tries - 1, 16), WRITE_BACKOFF_LIMIT_MS
        )
    view = view._replace(phase=phase, tries=view.tries + 1)
    return PermitStep(view, PermitWrite(view.version, target, delay_ms))


def _held(view: PermitView, version: int, now_ms: float) -> PermitView:
    return PermitView(view.permit, HELD, version, idle_since_ms=now_ms)


def _seen(
    view: PermitView, version: int, holder: Holder | None, now_ms: float
) -> PermitView:
    if (version, holder) == (view.version, view.holder):
        return view._replace(tries=0, has_lost_write=False)
    return PermitView(view.permit, UNHELD, version, holder, now_ms)


def _row_content(row: Row | None) -> tuple[int, Holder | None]:
    if row is None:
        return 0, None
    holder_id = row.value.get("holder")
    if holder_id is None:
        return row.version, None
    return row.version, Holder(holder_id, row.value.get("incarnation", 0))
