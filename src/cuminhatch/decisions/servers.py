"""What one instance knows about each backend server."""

from typing import NamedTuple

from cuminhatch.decisions.configuration import BackendServer
from cuminhatch.decisions.leaving import (
    NO_SIGNS,
    LeavingSigns,
    after_observation,
    is_server_leaving,
)
from cuminhatch.decisions.limits import ConcurrencyWindow

# Load shifts within milliseconds, so a report soon loses its weight.
REPORT_HALF_LIFE_MS = 10.0
# Reports that are older than this many milliseconds have no weight.
REPORT_MAX_AGE_MS = 500.0
# The time of work varies; a larger weight would make that a difference
# between servers.
LATENCY_WEIGHT = 1 / 32
# Failures are rarer and tell more.
FAILURE_WEIGHT = 1 / 8
# A slow server is seldom chosen, so its average is seldom renewed. It falls
# with age until the server is tried again.
LATENCY_HALF_LIFE_MS = 2000.0
LATENCY_MIN_MS = 0.5
# A fast failure must not look like a fast answer.
FAILURE_LATENCY_MS = 1000.0
# The caller has to go elsewhere; a server that sheds all its work must not be
# preferred for doing so at once.
SHED_LATENCY_MS = 100.0
# Connections are free again when requests end; most short work takes less.
CONNECTION_WAIT_MS = 20.0
FAILURES_TO_EJECT = 3
EJECTION_FIRST_MS = 1000.0
EJECTION_MAX_MS = 30_000.0
# Share of load that a server takes at the start of its slow start.
SLOW_START_MIN = 0.1
# Long work takes at most a third of the slots, so short work finds the rest.
LONG_SLOTS_DIVISOR = 3


class LoadReport(NamedTuple):
    """Load as told by a backend server, or by an instance that probed it."""

    in_flight: int
    queued: int
    slots: int
    observed_ms: float


class ServerView:
    """State of one backend server as known to this instance."""

    __slots__ = (
        "ejected_until_ms",
        "ejections",
        "failures",
        "full_until_ms",
        "in_flight",
        "is_near",
        "is_open",
        "latency_at_ms",
        "latency_ms",
        "long_in_flight",
        "others",
        "place",
        "reported_ms",
        "server",
        "signs",
        "slots",
        "slow_start_ms",
        "slow_start_since_ms",
        "window",
    )

    def __init__(
        self,
        server: BackendServer,
        share: int,
        is_near: bool = False,
        slow_start_since_ms: float = float("-inf"),
        slow_start_ms: float = 0.0,
    ) -> None:
        """
        Start without reports or failures.

        :param server: the backend server.
        :param share: connections of this instance to it.
        :param is_near: whether it is in this instance's failure domain.
        :param slow_start_since_ms: when it was added.
        :param slow_start_ms: duration of its slow start.
        """
        self.server = server
        self.window = ConcurrencyWindow(server.slots, share)
        self.is_near = is_near
        self.slots = max(1, server.slots)
        self.in_flight = 0
        self.long_in_flight = 0
        # Requests of other instances at the time of the last report.
        self.others = 0.0
        self.reported_ms = float("-inf")
        self.latency_ms = 0.0
        self.latency_at_ms = 0.0
        self.failures = 0
        self.ejections = 0
        self.ejected_until_ms: float | None = None
        # No connection was left; nothing is sent before this time.
        self.full_until_ms = float("-inf")
        self.slow_start_since_ms = slow_start_since_ms
        self.slow_start_ms = slow_start_ms
        self.signs: LeavingSigns = NO_SIGNS
        # Index in the list of open servers of the pool, if it is there.
        self.is_open = False
        self.place = 0

    @property
    def is_leaving(self) -> bool:
        """Tell whether the server gets no new work because it leaves."""
        return is_server_leaving(self.signs)


def note_report(view: ServerView, report: LoadReport) -> None:
    """
    Take a load report into account, unless a newer one is known.

    :param view: the backend server.
    :param report: its load, own requests included.
    """
    if report.observed_ms < view.reported_ms:
        return
    view.reported_ms = report.observed_ms
    view.others = float(max(0, report.in_flight + report.queued - view.in_flight))
    if report.slots > 0:
        view.slots = report.slots


def note_latency(
    view: ServerView,
    latency_ms: float,
    now_ms: float,
    weight: float = LATENCY_WEIGHT,
) -> None:
    """
    Add a sample to the average latency.

    :param view: the backend server.
    :param latency_ms: time from sending to the response head.
    :param now_ms: current time.
    :param weight: weight of the sample.
    """
    if view.latency_ms == 0.0:
        view.latency_ms = latency_ms
    else:
        view.latency_ms += (latency_ms - view.latency_ms) * weight
    view.latency_at_ms = now_ms


def note_answer(
    view: ServerView, latency_ms: float, is_short: bool, now_ms: float
) -> None:
    """
    Take an answer into account.

    :param view: the backend server, with the request still in flight.
    :param latency_ms: time from sending to the response head.
    :param is_short: long work says nothing about the latency of short work.
    :param now_ms: current time.
    """
    view.failures = 0
    view.ejections = 0
    view.ejected_until_ms = None
    if view.signs.refused_count:
        view.signs = view.signs._replace(refused_count=0)
    if is_short:
        note_latency(view, latency_ms, now_ms)
        short_in_flight = view.in_flight - view.long_in_flight
        view.window.on_answer(latency_ms, short_in_flight, now_ms)


def note_shed(view: ServerView, now_ms: float) -> None:
    """
    Take a shed answer into account: the server is full, not broken.

    :param view: the backend server.
    :param now_ms: current time.
    """
    view.failures = 0
    view.window.on_shed(now_ms)
    latency_ms = max(SHED_LATENCY_MS, view.latency_ms)
    note_latency(view, latency_ms, now_ms, FAILURE_WEIGHT)
    # Until the next report the server counts as full.
    view.others = float(max(0, view.slots - view.in_flight)) + view.slots
    view.reported_ms = now_ms


def note_failure(view: ServerView, may_eject: bool, now_ms: float) -> bool:
    """
    Count a failure as a long latency, and eject after several in a row.

    :param view: the backend server.
    :param may_eject: whether the bound on ejected servers allows one more.
    :param now_ms: current time.
    :returns: whether the server is ejected now.
    """
    latency_ms = max(FAILURE_LATENCY_MS, view.latency_ms)
    note_latency(view, latency_ms, now_ms, FAILURE_WEIGHT)
    view.failures += 1
    is_trial = view.ejections > 0
    if view.ejected_until_ms is not None and now_ms < view.ejected_until_ms:
        return False
    if not is_trial and view.failures < FAILURES_TO_EJECT:
        return False
    if not may_eject:
        return False
    duration_ms = min(EJECTION_FIRST_MS * 2.0**view.ejections, EJECTION_MAX_MS)
    view.ejections = min(view.ejections + 1, 16)
    view.ejected_until_ms = now_ms + duration_ms
    return True


def end_ejection(view: ServerView) -> None:
    """
    Use an ejected server again, since too few others are left.

    :param view: the backend server.
    """
    view.failures = 0
    view.ejections = 0
    view.ejected_until_ms = None


def note_refused_connection(view: ServerView) -> None:
    """
    Count a refused connection as a sign of leaving.

    :param view: the backend server.
    """
    view.signs = view.signs._replace(refused_count=view.signs.refused_count + 1)


def note_connection_limit(view: ServerView, now_ms: float) -> None:
    """
    Leave out a server while this instance's connections to it are in use.

    :param view: the backend server.
    :param now_ms: current time.
    """
    view.full_until_ms = now_ms + CONNECTION_WAIT_MS


def note_observation(view: ServerView, report: LoadReport, is_leaving: bool) -> None:
    """
    Take a probe of this or of another instance into account.

    The latency of a probe is not used: a probe does not wait for a slot.

    :param view: the backend server.
    :param report: load as observed.
    :param is_leaving: whether the server said that it drains.
    """
    note_report(view, report)
    view.signs = after_observation(view.signs, is_leaving, report.observed_ms)


def slow_start_share(view: ServerView, now_ms: float) -> float:
    """
    Return the part of its full share that a new server takes.

    :param view: the backend server.
    :param now_ms: current time.
    :returns: from ``SLOW_START_MIN`` to 1.
    """
    age_ms = now_ms - view.slow_start_since_ms
    if age_ms >= view.slow_start_ms:
        return 1.0
    return max(SLOW_START_MIN, age_ms / view.slow_start_ms)


def load_score(view: ServerView, now_ms: float) -> float:
    """
    Return the expected cost of one more request.

    :param view: the backend server.
    :param now_ms: current time.
    :returns: load per slot times latency; lower is better.
    """
    age_ms = now_ms - view.reported_ms
    load = view.in_flight + 1.0
    if view.others and age_ms < REPORT_MAX_AGE_MS:
        load += view.others * 0.5 ** (age_ms / REPORT_HALF_LIFE_MS)
    latency_ms = view.latency_ms
    latency_age_ms = now_ms - view.latency_at_ms
    if latency_age_ms > 0.0:
        latency_ms *= 0.5 ** (min(latency_age_ms, 20_000.0) / LATENCY_HALF_LIFE_MS)
    score = load / view.slots * max(latency_ms, LATENCY_MIN_MS)
    if now_ms - view.slow_start_since_ms < view.slow_start_ms:
        score /= slow_start_share(view, now_ms)
    return score


def may_take_short(view: ServerView, now_ms: float) -> bool:
    """
    Tell whether a server may take one more short request now.

    :param view: the backend server.
    :param now_ms: current time.
    """
    if view.in_flight >= view.window.share or is_server_leaving(view.signs):
        return False
    if now_ms < view.full_until_ms:
        return False
    if view.ejections:
        return _may_take_trial(view, now_ms)
    size = view.window.size
    if now_ms - view.slow_start_since_ms < view.slow_start_ms:
        size = max(1, int(size * slow_start_share(view, now_ms)))
    return view.in_flight - view.long_in_flight < size


def may_take_long(view: ServerView, now_ms: float, long_slots: int = 0) -> bool:
    """
    Tell whether a server may take one more long request now.

    :param view: the backend server.
    :param now_ms: current time.
    :param long_slots: bound of the service, 0 for a third of the slots.
    """
    if view.in_flight >= view.window.share or is_server_leaving(view.signs):
        return False
    if now_ms < view.full_until_ms:
        return False
    if view.ejections and not _may_take_trial(view, now_ms):
        return False
    limit = long_slots or view.server.slots // LONG_SLOTS_DIVISOR
    return view.long_in_flight < max(1, min(limit, view.server.slots - 1))


def _may_take_trial(view: ServerView, now_ms: float) -> bool:
    """Tell whether an ejected server may be tried, by one request."""
    if view.ejected_until_ms is not None and now_ms < view.ejected_until_ms:
        return False
    return view.in_flight == view.long_in_flight
