"""
Permits: exclusive rights of an instance to use one backend server.

A permit is a row of the table service that names its holder. Unlike a lease
it does not expire: a lease could expire while a paused holder still uses it.
A permit is acquired by a write conditional on the version last seen, if the
row names no holder or a holder that has provably stopped.

The functions return the new view of a permit and, where needed, the write to
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

# An idle permit for long work is kept for this time, so that consecutive long
# requests do not cost two writes each.
IDLE_PERMIT_MS = 1000.0
# An instance list older than this is not used as proof of absence.
LIST_AGE_LIMIT_MS = 60_000.0
WRITE_BACKOFF_MS = 50.0
WRITE_BACKOFF_LIMIT_MS = 5000.0

# Phases of a permit.
UNHELD = "unheld"
ACQUIRING = "taking"
HELD = "held"
RELEASING = "releasing"


class Permit(NamedTuple):
    """
    An exclusive right to send long requests or probes to a backend server.

    ``kind`` is ``long`` or ``probe``; ``number`` counts from 0 for each
    backend server and kind.
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

    ``version`` is the version of the row as last seen, or the one that the
    write in progress is conditional on. ``holder`` is the holder that the row
    names, None for none; ``first_seen_ms`` is when this content was first
    seen. ``absent_since_ms`` is the time of the first list read since then
    without the holder; ``is_holder_absent`` is True once a later read has
    confirmed the absence. ``tries`` counts the attempts to send the
    current write; ``has_unconfirmed_write`` is True if one of these may have
    taken effect.
    """

    permit: Permit
    phase: str = UNHELD
    version: int = 0
    holder: Holder | None = None
    first_seen_ms: float = 0.0
    absent_since_ms: float | None = None
    is_holder_absent: bool = False
    is_used: bool = False
    idle_since_ms: float = 0.0
    tries: int = 0
    has_unconfirmed_write: bool = False


class PermitWrite(NamedTuple):
    """
    A write of the row if it has this version, after a delay.

    ``holder`` is None for a release.
    """

    version: int
    holder: Holder | None
    delay_ms: float = 0.0


class PermitStep(NamedTuple):
    """The new view of a permit and the write to send, if any."""

    view: PermitView
    write: PermitWrite | None = None


def long_slot_count(spec: ServiceSpec, server: BackendServer) -> int:
    """
    Return how many slots of a backend server long requests may use.

    :param spec: settings of its service.
    :param server: the backend server.
    :returns: at least 1, and fewer than all slots unless there is only one.
    """
    configured = spec.long_slots or max(1, server.slots // 3)
    return max(1, min(configured, server.slots - 1))


def permit_row_key(permit: Permit) -> str:
    """
    Return the key of a permit row.

    :param permit: the permit.
    """
    return f"permit/{permit.kind}/{permit.server_id}/{permit.number}"


def permit_row_value(holder: Holder | None) -> dict[str, Any]:
    """
    Return the content of a permit row.

    A released row stays in the table, so that its version counts the changes
    of the holder.

    :param holder: holder of the permit, None for none.
    """
    if holder is None:
        return {"holder": None, "incarnation": 0}
    return {"holder": holder.instance_id, "incarnation": holder.incarnation}


def may_acquire(
    view: PermitView, own: Holder, incarnations: Mapping[str, int], is_listed: bool
) -> bool:
    """
    Return whether this process may try to acquire a permit.

    :param view: what is known of the permit.
    :param own: this process.
    :param incarnations: highest known incarnation of each instance.
    :param is_listed: whether the platform's list has named this instance.
        Other instances treat a holder missing from the list as stopped, so a
        permit acquired before that could be taken away while it is in use.
    """
    if view.phase != UNHELD or not is_listed:
        return False
    holder = view.holder
    if holder is None:
        return True
    if holder.instance_id == own.instance_id:
        return holder.incarnation < own.incarnation
    is_restarted = incarnations.get(holder.instance_id, 0) > holder.incarnation
    return is_restarted or view.is_holder_absent


def begin_acquire(view: PermitView, own: Holder) -> PermitStep:
    """
    Start to acquire a permit for which :func:`may_acquire` is True.

    :param view: what is known of the permit.
    :param own: this process.
    """
    return _write(view._replace(tries=0, has_unconfirmed_write=False), ACQUIRING, own)


def begin_release(view: PermitView) -> PermitStep:
    """
    Start to release a held permit that is not in use.

    The permit must not be used while the write is in progress, because the
    write may already have taken effect.

    :param view: what is known of the permit.
    """
    if view.phase != HELD or view.is_used:
        return PermitStep(view)
    return _write(view._replace(tries=0, has_unconfirmed_write=False), RELEASING, None)


def use_permit(view: PermitView) -> PermitView:
    """
    Mark a held permit as in use.

    :param view: a permit for which :func:`is_idle` is True.
    """
    return view._replace(is_used=True)


def return_permit(view: PermitView, now_ms: float) -> PermitView:
    """
    Mark a held permit as idle.

    :param view: a permit in use.
    :param now_ms: monotonic time.
    """
    return view._replace(is_used=False, idle_since_ms=now_ms)


def is_idle(view: PermitView) -> bool:
    """
    Return whether this instance holds the permit without using it.

    :param view: what is known of the permit.
    """
    return view.phase == HELD and not view.is_used


def is_release_due(view: PermitView, now_ms: float) -> bool:
    """
    Return whether a permit has been idle for ``IDLE_PERMIT_MS``.

    :param view: what is known of the permit.
    :param now_ms: monotonic time.
    """
    return is_idle(view) and now_ms >= view.idle_since_ms + IDLE_PERMIT_MS


def on_write_result(
    view: PermitView,
    result: Committed | Mismatched | TableUnavailable,
    own: Holder,
    now_ms: float,
) -> PermitStep:
    """
    Process the result of a write of the row.

    A write whose reply was lost is sent again, conditional on the same
    version: its success or mismatch shows whether the first took effect.

    :param view: what is known of the permit.
    :param result: result of the write.
    :param own: this process.
    :param now_ms: monotonic time.
    """
    if view.phase not in (ACQUIRING, RELEASING):
        return PermitStep(view)
    new_holder = own if view.phase == ACQUIRING else None
    if isinstance(result, TableUnavailable):
        return _on_unavailable(view, result, new_holder, now_ms)
    key = permit_row_key(view.permit)
    if isinstance(result, Committed):
        version, holder = result.versions[key], new_holder
    else:
        version, holder = _row_content(result.rows[key])
    if holder != own:
        return PermitStep(
            _with_row(view._replace(phase=UNHELD), version, holder, now_ms)
        )
    if view.phase == ACQUIRING:
        return PermitStep(_as_held(view, version, now_ms))
    # The row still names this process, with a version not known before.
    return _write(view._replace(version=version), RELEASING, None)


def on_row_read(
    view: PermitView, result: Row | RowAbsent | TableUnavailable, now_ms: float
) -> PermitView:
    """
    Update the view of a permit that this process does not hold from its row.

    :param view: what is known of the permit.
    :param result: the row, or why it could not be read.
    :param now_ms: monotonic time.
    """
    if view.phase != UNHELD or isinstance(result, TableUnavailable):
        return view
    version, holder = _row_content(result if isinstance(result, Row) else None)
    if version < view.version:
        # The row was read before the content already known.
        return view
    return _with_row(view, version, holder, now_ms)


def on_list_read(
    view: PermitView,
    listed_ids: Collection[str],
    requested_ms: float,
    now_ms: float,
    list_lag_ms: float,
) -> PermitView:
    """
    Update the view of a permit with the instance list of the platform.

    A process acquires permits only after the list has named its instance, so
    the holder named by a row has been on the list. A reply shows the list as
    it was at most ``list_lag_ms`` before the request. So the first reply after
    the row was seen may still show the list before the holder was added; one
    requested ``list_lag_ms`` later cannot.

    :param view: what is known of the permit.
    :param listed_ids: ids of the instances on the list.
    :param requested_ms: monotonic time of the request for the list.
    :param now_ms: monotonic time.
    :param list_lag_ms: maximum lag of the list.
    """
    holder = view.holder
    is_stale = (
        now_ms - requested_ms > LIST_AGE_LIMIT_MS or requested_ms < view.first_seen_ms
    )
    if view.phase != UNHELD or holder is None or is_stale:
        return view
    if holder.instance_id in listed_ids:
        return view._replace(absent_since_ms=None, is_holder_absent=False)
    if view.absent_since_ms is None:
        return view._replace(absent_since_ms=requested_ms)
    if requested_ms >= view.absent_since_ms + list_lag_ms:
        return view._replace(is_holder_absent=True)
    return view


class PermitDecisions(NamedTuple):
    """Functions used by the kernel service ``permits``; tests replace them."""

    may_acquire: Callable[..., bool] = may_acquire
    begin_acquire: Callable[..., PermitStep] = begin_acquire
    begin_release: Callable[..., PermitStep] = begin_release
    on_write_result: Callable[..., PermitStep] = on_write_result
    on_row_read: Callable[..., PermitView] = on_row_read
    on_list_read: Callable[..., PermitView] = on_list_read


def _on_unavailable(
    view: PermitView,
    result: TableUnavailable,
    new_holder: Holder | None,
    now_ms: float,
) -> PermitStep:
    if result.may_be_applied or view.has_unconfirmed_write:
        return _write(view._replace(has_unconfirmed_write=True), view.phase, new_holder)
    # The write was never sent, so the row has not changed.
    if view.phase == ACQUIRING:
        return PermitStep(view._replace(phase=UNHELD, tries=0))
    return PermitStep(_as_held(view, view.version, now_ms))


def _write(view: PermitView, phase: str, new_holder: Holder | None) -> PermitStep:
    delay_ms = 0.0
    if view.tries > 0:
        delay_ms = min(
            WRITE_BACKOFF_MS * 2 ** min(view.tries - 1, 16), WRITE_BACKOFF_LIMIT_MS
        )
    view = view._replace(phase=phase, tries=view.tries + 1)
    return PermitStep(view, PermitWrite(view.version, new_holder, delay_ms))


def _as_held(view: PermitView, version: int, now_ms: float) -> PermitView:
    return PermitView(view.permit, HELD, version, idle_since_ms=now_ms)


def _with_row(
    view: PermitView, version: int, holder: Holder | None, now_ms: float
) -> PermitView:
    if (version, holder) == (view.version, view.holder):
        return view._replace(tries=0, has_unconfirmed_write=False)
    return PermitView(view.permit, UNHELD, version, holder, now_ms)


def _row_content(row: Row | None) -> tuple[int, Holder | None]:
    if row is None:
        return 0, None
    holder_id = row.value.get("holder")
    if holder_id is None:
        return row.version, None
    return row.version, Holder(holder_id, row.value.get("incarnation", 0))
