"""What instances tell each other of quotas, and the limits they enforce."""

from collections.abc import Mapping
from typing import NamedTuple

from cuminhatch.decisions.configuration import Team

MS_PER_S = 1_000.0
# Part of the burst that is provided evenly over the window. The quota is what
# may run in a window, so a bucket that is refilled by the rate alone would
# refuse requests of a lasting load below the quota.
BURST_SHARE_IN_RATE = 0.75
# Part of the slack that the bucket may hold besides the burst. The rest covers
# what is admitted before the counters of all instances have arrived.
SLACK_IN_BUCKET = 0.4


class QuotaLimits(NamedTuple):
    """
    How far a team may exceed its quota.

    In any ``window_ms`` the requests that run number at most ``1 + overshoot``
    times what the quota provides, plus ``slack``.
    """

    window_ms: float
    overshoot: float
    slack: float


def get_bound(team: Team, limits: QuotaLimits) -> float:
    """
    Return how many requests of a team may run in any window.

    :param team: team with a quota.
    :param limits: how far it may be exceeded.
    """
    provided = team.rate_per_s * limits.window_ms / MS_PER_S + team.burst
    return provided * (1.0 + limits.overshoot) + limits.slack


def get_capacity(team: Team, limits: QuotaLimits) -> float:
    """
    Return the most requests that the bucket of a team holds.

    :param team: team with a quota.
    :param limits: how far it may be exceeded.
    """
    burst = team.burst * (1.0 - BURST_SHARE_IN_RATE)
    return burst + SLACK_IN_BUCKET * limits.slack


def get_rate(team: Team, limits: QuotaLimits) -> float:
    """
    Return how many requests per second refill the bucket of a team.

    :param team: team with a quota.
    :param limits: how far it may be exceeded.
    """
    window_s = limits.window_ms / MS_PER_S
    return team.rate_per_s + BURST_SHARE_IN_RATE * team.burst / window_s


# Teams with a quota, by id.
TeamQuotas = Mapping[str, Team]


class TeamCounts(NamedTuple):
    """
    Counters of one team at one instance.

    ``asked`` and ``admitted`` are cumulative; an admission of a request that
    did not run is taken back. ``in_window`` is what was admitted in the last
    window. ``accounted`` is the value of ``admitted`` that the previous
    aggregator has confirmed, None unless this one is new.
    """

    team_id: str
    asked: int
    admitted: int
    in_window: int
    accounted: int | None = None


class TeamSums(NamedTuple):
    """
    Counters of one team over one failure domain.

    ``asked`` and ``admitted`` are cumulative over the session of the
    aggregator, ``in_window`` is what was admitted in the last window.
    """

    team_id: str
    asked: int
    admitted: int
    in_window: int


class QuotaReport(NamedTuple):
    """
    Counters of the recently active teams of one instance.

    ``incarnation`` differs after each start of the instance. Sent to the
    aggregator of the failure domain.
    """

    instance_id: str
    failure_domain: str
    incarnation: int
    counts: tuple[TeamCounts, ...]


class QuotaSums(NamedTuple):
    """
    Sums of one failure domain, sent between aggregators.

    The counters start at 0 with each ``session`` of an aggregator, which began
    ``age_ms`` ago. ``heard`` and ``known`` count the instances of its failure
    domain.
    """

    aggregator_id: str
    failure_domain: str
    session: int
    age_ms: int
    heard: int
    known: int
    counts: tuple[TeamSums, ...]


class TeamFigures(NamedTuple):
    """
    Figures of a team near or over its quota.

    ``balance`` is the number of requests left in the bucket, negative for
    debt. ``share`` is the share of the requests to admit.
    """

    team_id: str
    asked_per_s: float
    balance: float
    share: float


class QuotaFigures(NamedTuple):
    """
    Figures that an aggregator sends to the instances of its failure domain.

    ``is_settled`` is false while a new aggregator collects counters; its
    figures are not to be used yet. ``heard`` and ``known`` count the instances
    of all failure domains.
    """

    aggregator_id: str
    failure_domain: str
    session: int
    is_settled: bool
    heard: int
    known: int
    figures: tuple[TeamFigures, ...]


QuotaMessage = QuotaReport | QuotaSums | QuotaFigures


class Outgoing(NamedTuple):
    """A message to be sent to other instances, by their ids."""

    instance_ids: tuple[str, ...]
    message: QuotaMessage


class QuotaEvent(NamedTuple):
    """Something that operators are told, with its details."""

    name: str
    details: dict[str, str | float | int | bool]


class Admission(NamedTuple):
    """
    Whether a request is admitted, and what the decision was based on.

    ``retry_after_ms`` is the time until capacity is expected. ``basis`` is
    ``figures``, ``own-rate`` (the requests of this instance alone exceed the
    quota), ``late-figures`` (they rise while figures are late), ``start`` (no
    figures since the start) or ``own-part`` (no recent figures).
    """

    is_admitted: bool
    retry_after_ms: float = 0.0
    basis: str = ""
    share: float = 1.0
    balance: float = 0.0
    figures_age_ms: float = -1.0
    heard: int = 0
    known: int = 0


ADMITTED = Admission(True)
