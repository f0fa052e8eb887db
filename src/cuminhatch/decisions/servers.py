"""
State of backend servers for the ``dispatch`` service and ``choice``.

A server is ejected after failures in a row and then tried again by one
request at a time (outlier detection). The ``forwarding`` service uses
``server_records`` instead.
"""

from typing import NamedTuple

from cuminhatch.decisions.configuration import BackendServer
from cuminhatch.decisions.leaving import (
    NO_SIGNS,
    LeavingSigns,
    apply_observation,
    is_server_leaving,
)
from cuminhatch.decisions.limits import ConcurrencyWindow

# Load changes within milliseconds, so a report quickly loses its weight.
REPORT_HALF_LIFE_MS = 10.0
# Older reports are ignored.
REPORT_MAX_AGE_MS = 500.0
# Service times vary; with a larger weight these variations would look like
# differences between servers.
LATENCY_WEIGHT = 1 / 32
# Failures are rarer and say more about the server.
FAILURE_WEIGHT = 1 / 8
# A slow server is seldom chosen, so its average is seldom updated. The
# average decays until the server is tried again.
LATENCY_HALF_LIFE_MS = 2000.0
LATENCY_MIN_MS = 0.5
# Latency recorded for a failure: a server that fails fast must not look fast.
FAILURE_LATENCY_MS = 1000.0
# Latency recorded for a shed response: the request has to go to another
# server, and a server that sheds at once must not be preferred for its speed.
SHED_LATENCY_MS = 100.0
# A connection is free again when a request ends; most short requests take
# less than this.
CONNECTION_WAIT_MS = 20.0
FAILURES_TO_EJECT = 3
EJECTION_FIRST_MS = 1000.0
EJECTION_MAX_MS = 30_000.0
# Share of its full load that a server gets at the beginning of its slow
# start.
SLOW_START_MIN = 0.1
# Long requests use at most a third of the slots and leave the rest to short
# ones.
LONG_SLOTS_DIVISOR = 3


class LoadReport(NamedTuple):
    """Load reported by a backend server or by an instance that probed it."""

    in_flight: int
    queued: int
    slots: int
    observed_ms: float


class ServerView:
    """
    State of one backend server as known to this instance.

    ``failures`` and ``ejections`` count those since the last response that was
    not shed; a shed response resets ``failures`` only. An ejected server
    has ``ejections`` above 0, also after ``ejected_until_ms``, when it may be
    tried. ``leaving_signs`` are the signs that the server is leaving.
    """

    __slots__ = (
        "connections_full_until_ms",
        "ejected_until_ms",
        "ejections",
        "failures",
        "in_flight",
        "is_attempt_id_returned",
        "is_near",
        "is_open",
        "latency_at_ms",
        "latency_ms",
        "leaving_signs",
        "long_in_flight",
        "open_index",
        "other_requests",
        "reported_ms",
        "server",
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
        :param share: connections that this instance may open to it.
        :param is_near: whether it is in this instance's failure domain.
        :param slow_start_since_ms: when its slow start began.
        :param slow_start_ms: duration of its slow start.
        """
        self.server = server
        self.window = ConcurrencyWindow(server.slots, share)
        self.is_near = is_near
        self.slots = max(1, server.slots)
        self.in_flight = 0
        self.long_in_flight = 0
        # Requests of other instances, as of the last report.
        self.other_requests = 0.0
        self.reported_ms = float("-inf")
        self.latency_ms = 0.0
        self.latency_at_ms = 0.0
        self.failures = 0
        self.ejections = 0
        self.ejected_until_ms: float | None = None
        # All connections of this instance are in use; nothing is sent before
        # this time.
        self.connections_full_until_ms = float("-inf")
        self.slow_start_since_ms = slow_start_since_ms
        self.slow_start_ms = slow_start_ms
        self.leaving_signs: LeavingSigns = NO_SIGNS
        # Whether the latest response carried the id of its attempt.
        self.is_attempt_id_returned = False
        # Whether the server may get requests, and its index in the pool's list
        # of such servers.
        self.is_open = False
        self.open_index = 0

    @property
    def is_leaving(self) -> bool:
        """Tell whether the server is leaving and gets no new requests."""
        return is_server_leaving(self.leaving_signs)


def record_report(view: ServerView, report: LoadReport) -> None:
    """
    Record a load report, unless a newer one is known.

    :param view: the backend server.
    :param report: its load, including the requests of this instance.
    """
    if report.observed_ms < view.reported_ms:
        return
    view.reported_ms = report.observed_ms
    view.other_requests = float(
        max(0, report.in_flight + report.queued - view.in_flight)
    )
    if report.slots > 0:
        view.slots = report.slots


def record_latency(
    view: ServerView,
    latency_ms: float,
    now_ms: float,
    weight: float = LATENCY_WEIGHT,
) -> None:
    """
    Add a sample to the moving average of the latency.

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


def record_response(
    view: ServerView, latency_ms: float, is_short: bool, now_ms: float
) -> None:
    """
    Record a response; it ends an ejection.

    :param view: the backend server, with the request still in flight.
    :param latency_ms: time from sending to the response head.
    :param is_short: whether the request is short; the latency of long
        requests is not recorded.
    :param now_ms: current time.
    """
    view.failures = 0
    view.ejections = 0
    view.ejected_until_ms = None
    if view.leaving_signs.refused_count:
        view.leaving_signs = view.leaving_signs._replace(refused_count=0)
    if is_short:
        record_latency(view, latency_ms, now_ms)
        short_in_flight = view.in_flight - view.long_in_flight
        view.window.on_response(latency_ms, short_in_flight, now_ms)


def record_shed(view: ServerView, now_ms: float) -> None:
    """
    Record a shed response: the server is full, not broken.

    :param view: the backend server.
    :param now_ms: current time.
    """
    view.failures = 0
    view.window.on_shed(now_ms)
    latency_ms = max(SHED_LATENCY_MS, view.latency_ms)
    record_latency(view, latency_ms, now_ms, FAILURE_WEIGHT)
    # The server counts as full until the next report.
    view.other_requests = float(max(0, view.slots - view.in_flight)) + view.slots
    view.reported_ms = now_ms


def record_failure(view: ServerView, may_eject: bool, now_ms: float) -> bool:
    """
    Record a failure as a high latency; eject after several in a row.

    :param view: the backend server.
    :param may_eject: whether the limit on ejected servers allows one more.
    :param now_ms: current time.
    :returns: whether this failure ejected the server.
    """
    latency_ms = max(FAILURE_LATENCY_MS, view.latency_ms)
    record_latency(view, latency_ms, now_ms, FAILURE_WEIGHT)
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
    End the ejection of a server because too few others are left.

    :param view: the backend server.
    """
    view.failures = 0
    view.ejections = 0
    view.ejected_until_ms = None


def record_refused_connection(view: ServerView) -> None:
    """
    Count a refused connection as a sign that the server is leaving.

    :param view: the backend server.
    """
    view.leaving_signs = view.leaving_signs._replace(
        refused_count=view.leaving_signs.refused_count + 1
    )


def record_connection_limit(view: ServerView, now_ms: float) -> None:
    """
    Pause a server because this instance's connections are all in use.

    :param view: the backend server.
    :param now_ms: current time.
    """
    view.connections_full_until_ms = now_ms + CONNECTION_WAIT_MS


def record_observation(view: ServerView, report: LoadReport, is_leaving: bool) -> None:
    """
    Record the result of a probe by this or another instance.

    The latency of a probe is not used, as a probe does not wait for a slot.

    :param view: the backend server.
    :param report: the observed load.
    :param is_leaving: whether the server reported that it drains.
    """
    record_report(view, report)
    view.leaving_signs = apply_observation(
        view.leaving_signs, is_leaving, report.observed_ms
    )


def slow_start_share(view: ServerView, now_ms: float) -> float:
    """
    Return the share of its full load that a server may get.

    :param view: the backend server.
    :param now_ms: current time.
    :returns: from ``SLOW_START_MIN`` to 1 during its slow start, then 1.
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
    :returns: requests per slot times latency; lower is better.
    """
    age_ms = now_ms - view.reported_ms
    load = view.in_flight + 1.0
    if view.other_requests and age_ms < REPORT_MAX_AGE_MS:
        load += view.other_requests * 0.5 ** (age_ms / REPORT_HALF_LIFE_MS)
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
    Tell whether a server may be sent one more short request now.

    :param view: the backend server.
    :param now_ms: current time.
    """
    if view.in_flight >= view.window.share or is_server_leaving(view.leaving_signs):
        return False
    if now_ms < view.connections_full_until_ms:
        return False
    if view.ejections:
        return _may_take_trial(view, now_ms)
    size = view.window.size
    if now_ms - view.slow_start_since_ms < view.slow_start_ms:
        size = max(1, int(size * slow_start_share(view, now_ms)))
    return view.in_flight - view.long_in_flight < size


def may_take_long(view: ServerView, now_ms: float, long_slots: int = 0) -> bool:
    """
    Tell whether a server may be sent one more long request now.

    :param view: the backend server.
    :param now_ms: current time.
    :param long_slots: limit set for the service, 0 for a third of the slots.
    """
    if view.in_flight >= view.window.share or is_server_leaving(view.leaving_signs):
        return False
    if now_ms < view.connections_full_until_ms:
        return False
    if view.ejections and not _may_take_trial(view, now_ms):
        return False
    limit = long_slots or view.server.slots // LONG_SLOTS_DIVISOR
    return view.long_in_flight < max(1, min(limit, view.server.slots - 1))


def _may_take_trial(view: ServerView, now_ms: float) -> bool:
    """Tell whether an ejected server may be tried by one request."""
    if view.ejected_until_ms is not None and now_ms < view.ejected_until_ms:
        return False
    return view.in_flight == view.long_in_flight
