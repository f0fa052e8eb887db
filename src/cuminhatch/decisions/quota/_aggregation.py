"""
Sums of counters, and the share of each team's requests to admit.

Handles partitions by the number of instances heard of: each group of instances
uses its part of every quota. What it admitted above its part before it noticed
becomes debt.
"""

from cuminhatch.decisions.configuration import Team
from cuminhatch.decisions.quota._states import History, SourceCounts, TeamState
from cuminhatch.decisions.quota._types import (
    MS_PER_S,
    QuotaFigures,
    QuotaLimits,
    QuotaReport,
    QuotaSums,
    TeamCounts,
    TeamFigures,
    TeamQuotas,
    TeamSums,
    get_capacity,
    get_rate,
)

# Three reports in a row have been lost, or the instance is out of reach.
SILENT_MS = 1_000.0
# A new aggregator gets the counters of its domain and the sums of the others
# within an interval, as they are sent at once. It waits longer, if some are
# missing, but not until the figures of the previous aggregator expire.
SETTLE_MIN_MS = 240.0
SETTLE_MAX_MS = 490.0
COMPLETE_SHARE = 0.9
# A report is late if it should have arrived an interval ago.
LATE_MS = 400.0
# The rate asked is not taken to fall while a larger share of the instances is
# late.
LATE_SHARE = 0.05
# Time that the bucket's contents are spread over.
SPREAD_S = 1.0
# Teams with more of their bucket left are not listed unless they are limited:
# the lists are most of what an aggregator sends.
NEAR_SHARE = 0.5
# Time over which the rate asked is averaged, and the number of requests since
# the last update from which on a rate counts at once if it is a multiple of
# the average: a sudden load, no chance.
RATE_AVERAGED_S = 0.6
RISEN_COUNT = 6
RISEN_FACTOR = 2.0
# An update is urgent if more has been admitted since the last one than this
# number and what the quota provides in this time, an interval and a third.
URGENT_COUNT = 4
URGENT_S = 0.33
# Counters that did not change for this long are left out of the sums.
ACTIVE_MS = 600.0


class Aggregation:
    """State of an aggregator: what it has heard, and the buckets."""

    def __init__(
        self,
        own_id: str,
        failure_domain: str,
        session: int,
        limits: QuotaLimits,
        history: History | None,
        now_ms: float,
    ) -> None:
        """
        Start without counters.

        :param own_id: id of this instance.
        :param failure_domain: failure domain of this instance.
        :param session: number that no earlier aggregator of this id had.
        :param limits: how far quotas may be exceeded.
        :param history: None if nothing is known; the buckets start empty then.
        :param now_ms: current time.
        """
        self.session = session
        self.started_ms = now_ms
        self.is_settled = False
        # So much of the quota of a team has been used since the last update
        # that the next one should not wait for its turn.
        self.is_urgent = False
        self.instances: dict[str, SourceCounts] = {}
        self.sources: dict[str, SourceCounts] = {}
        self._own_id = own_id
        self._failure_domain = failure_domain
        self._limits = limits
        self._history = history
        self._domains: dict[str, str] = {}
        self._teams: dict[str, TeamState] = {}
        self._updated_ms = float("-inf")
        self._known = 1
        self._heard_share = 0.0 if history is None else history.heard_share
        # Time for which instances that were silent could use their parts of
        # the quotas, in seconds and summed up since the last update.
        self._late_s = 0.0
        # What the bucket of a team without requests would hold, in seconds of
        # its rate.
        self._idle_s = 0.0

    @property
    def heard(self) -> int:
        """Return how many instances of all failure domains are heard of."""
        far: dict[str, int] = {}
        for id_, source in self.sources.items():
            if not source.is_silent:
                domain = self._domains[id_]
                far[domain] = far.get(domain, 0) + source.heard
        # Two aggregators of a domain may both count an instance that has just
        # changed from one to the other.
        return self.heard_near + sum(
            min(heard, self.get_known(domain)) for domain, heard in far.items()
        )

    @property
    def heard_near(self) -> int:
        """Return how many instances of this failure domain are heard of."""
        return sum(not source.is_silent for source in self.instances.values())

    def get_known(self, failure_domain: str) -> int:
        """
        Return how many instances of another failure domain are known there.

        :param failure_domain: the other failure domain.
        :returns: 0 if it has not been heard of.
        """
        known = [
            (source.heard_ms, source.known)
            for id_, source in self.sources.items()
            if self._domains[id_] == failure_domain
        ]
        return max(known)[1] if known else 0

    def get_heard_ms(self, failure_domain: str) -> float:
        """
        Return when another failure domain was last heard of.

        :param failure_domain: the other failure domain.
        :returns: the start of this session if it has not been heard of.
        """
        source = self._find_latest(failure_domain)
        return self.started_ms if source is None else source.heard_ms

    def settle(self, now_ms: float) -> None:
        """
        Decide whether the figures may be used.

        They may as soon as nearly all instances that the previous aggregator
        heard of have reported. Without a previous one it takes two reports to
        know the rates asked.

        :param now_ms: current time.
        """
        age_ms = now_ms - self.started_ms
        if self._history is None:
            self.is_settled = self.is_settled or age_ms >= SETTLE_MAX_MS
            return
        is_complete = self.heard >= COMPLETE_SHARE * self._heard_share * self._known
        if age_ms >= SETTLE_MAX_MS or (age_ms >= SETTLE_MIN_MS and is_complete):
            self.is_settled = True

    def add_report(self, report: QuotaReport, now_ms: float) -> None:
        """
        Add the counters of an instance of this failure domain.

        :param report: its report.
        :param now_ms: time of arrival.
        """
        id_ = report.instance_id
        previous = source = self.instances.get(id_)
        if source is None or source.incarnation != report.incarnation:
            source = self.instances[id_] = SourceCounts(report.incarnation, 1)
            source.accrued_ms = self._get_accrued_ms(previous, now_ms)
        silent_ms = self._get_silent_ms(previous, now_ms)
        if silent_ms > SILENT_MS and previous is not None:
            self._late_s += silent_ms / MS_PER_S
        for item in report.counts:
            charge = self._count_report(source, item, silent_ms)
            state = self._teams[item.team_id]
            state.admitted += charge
            state.window.add(charge, now_ms)
            state.changed_ms = now_ms
        source.heard_ms = now_ms
        source.is_silent = False

    def add_sums(self, sums: QuotaSums, now_ms: float) -> bool:
        """
        Add the sums of another failure domain.

        :param sums: message of its aggregator.
        :param now_ms: time of arrival.
        :returns: whether the aggregator or its session is new.
        """
        id_ = sums.aggregator_id
        self._domains[id_] = sums.failure_domain
        previous = self._find_latest(sums.failure_domain)
        source = self.sources.get(id_)
        is_new = source is None or source.incarnation != sums.session
        if is_new:
            source = self.sources[id_] = SourceCounts(sums.session, 0)
            source.accrued_ms = self._get_accrued_ms(previous, now_ms)
            if previous is not None:
                # Until its next message, its instances are those of this one.
                previous.heard = max(0, previous.heard - sums.heard)
        silent_ms = self._get_silent_ms(previous, now_ms)
        if silent_ms > SILENT_MS and previous is not None:
            self._late_s += sums.heard * silent_ms / MS_PER_S
        for item in sums.counts:
            self._count_sums(source, item, silent_ms, sums.age_ms)
        source.heard, source.known = sums.heard, sums.known
        source.heard_ms = now_ms
        source.is_silent = False
        return is_new

    def update(self, teams: TeamQuotas, known: int, now_ms: float) -> None:
        """
        Bring the buckets and the shares up to date.

        :param teams: teams with a quota.
        :param known: number of instances known in all failure domains.
        :param now_ms: current time.
        """
        elapsed_s = min(now_ms - self._updated_ms, SILENT_MS) / MS_PER_S
        if self._updated_ms == float("-inf"):
            elapsed_s = 0.0
        accrued_s, late = self._accrue(now_ms)
        self._known = max(known, self.heard, 1)
        accrued_s /= self._known
        if self._history is None and not self.is_settled:
            # Nothing is known of what was admitted before a restart.
            accrued_s = 0.0
        heard_share = self.heard / self._known
        is_late = late > LATE_SHARE * self.heard
        # Those that are late may already be using their part elsewhere.
        fresh_share = 1.0 - late / self.heard if is_late else 1.0
        for team_id, state in self._teams.items():
            team = teams.get(team_id)
            if team is None:
                state.charges = 0.0
                continue
            self._update_bucket(state, team, heard_share, accrued_s)
            state.urgent_charges = URGENT_COUNT + URGENT_S * get_rate(
                team, self._limits
            )
            rate = self._measure_rate(state, elapsed_s, is_late)
            provided = (
                state.level + get_rate(team, self._limits) * heard_share * SPREAD_S
            )
            provided *= fresh_share
            wanted = max(rate, state.asked_per_s) * SPREAD_S
            state.share = min(1.0, max(0.0, provided) / wanted) if wanted else 1.0
        self.is_urgent = False
        self._idle_s += accrued_s
        self._late_s = 0.0
        self._heard_share = heard_share
        self._updated_ms = now_ms

    def make_figures(self, teams: TeamQuotas) -> QuotaFigures:
        """
        Return the figures of the teams near or over their quota.

        :param teams: teams with a quota.
        """
        figures = tuple(
            TeamFigures(team_id, state.asked_per_s, state.level, state.share)
            for team_id, state in self._teams.items()
            if team_id in teams and self._is_near(state, teams[team_id])
        )
        return QuotaFigures(
            self._own_id,
            self._failure_domain,
            self.session,
            self.is_settled,
            self.heard,
            self._known,
            figures,
        )

    def make_sums(self, known_near: int, is_complete: bool, now_ms: float) -> QuotaSums:
        """
        Return the sums of this failure domain.

        :param known_near: number of instances known in it.
        :param is_complete: whether a receiver is new.
        :param now_ms: current time.
        """
        active_ms = self._limits.window_ms if is_complete else ACTIVE_MS
        counts = tuple(
            TeamSums(id_, s.asked, s.admitted, s.window.get_total(now_ms))
            for id_, s in self._teams.items()
            if now_ms - s.changed_ms <= active_ms
        )
        return QuotaSums(
            self._own_id,
            self._failure_domain,
            self.session,
            int(now_ms - self.started_ms),
            self.heard_near,
            known_near,
            counts,
        )

    def _find_latest(self, failure_domain: str) -> SourceCounts | None:
        sources = [
            source
            for id_, source in self.sources.items()
            if self._domains[id_] == failure_domain
        ]
        return max(sources, key=lambda source: source.heard_ms, default=None)

    def _get_silent_ms(self, source: SourceCounts | None, now_ms: float) -> float:
        return float("inf") if source is None else now_ms - source.heard_ms

    def _get_accrued_ms(self, previous: SourceCounts | None, now_ms: float) -> float:
        """Return from when on a new source adds to the buckets."""
        if previous is not None and now_ms - previous.heard_ms <= SILENT_MS:
            return previous.accrued_ms
        is_first = previous is None and now_ms - self.started_ms <= SILENT_MS
        # What the quota provided before this session is in the first level.
        return self.started_ms if is_first and self._history else now_ms

    def _accrue(self, now_ms: float) -> tuple[float, int]:
        """
        Find silent instances, and what the others add to the buckets.

        The part of one that is late is withheld until it is heard of, and
        dropped if it becomes silent: it may be using its part elsewhere.

        :returns: sum over the instances of the seconds to add, and how many
            instances are late.
        """
        accrued_ms, late = 0.0, 0
        is_first = self._updated_ms == float("-inf")
        for source in (*self.instances.values(), *self.sources.values()):
            silent_ms = now_ms - source.heard_ms
            source.is_silent = silent_ms > SILENT_MS
            if silent_ms > LATE_MS and not source.is_silent:
                late += source.heard
                continue
            if not (source.is_silent or is_first):
                since_ms = max(source.accrued_ms, self._updated_ms - SILENT_MS)
                accrued_ms += source.heard * max(0.0, now_ms - since_ms)
            source.accrued_ms = now_ms
        return accrued_ms / MS_PER_S, late

    def _get_state(self, team_id: str) -> TeamState:
        state = self._teams.get(team_id)
        if state is None:
            state = self._teams[team_id] = TeamState(self._limits.window_ms)
            if self._history is not None and team_id in self._history.figures:
                state.asked_per_s = self._history.figures[team_id].asked_per_s
        return state

    def _count_report(
        self, source: SourceCounts, item: TeamCounts, silent_ms: float
    ) -> int:
        """Add the counters of a team at an instance; return what is new."""
        state = self._get_state(item.team_id)
        before = source.counts.get(item.team_id)
        source.counts[item.team_id] = TeamSums(*item[:4])
        if before is not None:
            if silent_ms <= SILENT_MS:
                asked = max(0, item.asked - before.asked)
                state.asked_all += asked
                state.asked += asked
            charge = item.admitted - before.admitted
        else:
            # The previous aggregator has summed up the rest.
            charge = max(0, item.admitted - (item.accounted or 0))
        is_late = SILENT_MS < silent_ms < float("inf")
        if is_late or before is None:
            charge = min(charge, item.in_window)
        if is_late:
            state.late_charges += charge
        else:
            self._charge(state, charge)
        return charge

    def _count_sums(
        self, source: SourceCounts, item: TeamSums, silent_ms: float, age_ms: float
    ) -> None:
        """Add the sums of a team in another failure domain."""
        state = self._get_state(item.team_id)
        before = source.counts.get(item.team_id)
        source.counts[item.team_id] = item
        if before is not None and silent_ms <= SILENT_MS:
            state.asked_all += max(0, item.asked - before.asked)
        charge = float(item.admitted - (0 if before is None else before.admitted))
        if silent_ms == float("inf"):
            # Its session may be older than what is known here.
            known_ms = 0.0 if self._history is None else self._history.age_ms
            part = min(1.0, known_ms / self._limits.window_ms)
            is_older = age_ms > known_ms
            self._charge(state, part * item.in_window if is_older else charge)
        elif silent_ms > SILENT_MS:
            state.late_charges += min(charge, item.in_window)
        elif before is None:
            self._charge(state, min(charge, item.in_window))
        else:
            self._charge(state, charge)

    def _charge(self, state: TeamState, amount: float) -> None:
        state.charges += amount
        if state.charges > state.urgent_charges:
            self.is_urgent = True

    def _update_bucket(
        self, state: TeamState, team: Team, heard_share: float, accrued_s: float
    ) -> None:
        window_s = self._limits.window_ms / MS_PER_S
        capacity = get_capacity(team, self._limits)
        if state.level is None:
            state.level = self._get_first_level(team, heard_share)
        if state.level > 0.0 and heard_share < self._heard_share:
            # The other group uses its part of the bucket.
            state.level *= heard_share / self._heard_share
        # What silent instances admitted within their part of the quota is not
        # charged, since that part was not in the bucket either.
        late_part = get_rate(team, self._limits) * self._late_s / self._known
        state.level -= max(0.0, state.late_charges - late_part) + state.charges
        state.charges = state.late_charges = 0.0
        state.level += get_rate(team, self._limits) * accrued_s
        if self.is_settled:
            state.level = min(state.level, capacity * heard_share)
        # What was admitted before the last window no longer counts.
        state.level = max(state.level, -get_rate(team, self._limits) * window_s)

    def _get_first_level(self, team: Team, heard_share: float) -> float:
        history = self._history
        capacity = get_capacity(team, self._limits)
        if history is None:
            return min(
                capacity * heard_share, get_rate(team, self._limits) * self._idle_s
            )
        figures = history.figures.get(team.team_id)
        unlisted_level = NEAR_SHARE * capacity * heard_share
        level = unlisted_level if figures is None else figures.balance
        gap_s = min(history.age_ms, self._limits.window_ms) / MS_PER_S
        return level + get_rate(team, self._limits) * heard_share * gap_s

    def _measure_rate(self, state: TeamState, elapsed_s: float, is_late: bool) -> float:
        """Update the average rate; return the latest one if it is sudden."""
        asked = state.asked_all - state.asked_before
        state.asked_before = state.asked_all
        if elapsed_s <= 0.0:
            return 0.0
        if not self.is_settled and self._history is not None:
            return 0.0
        rate = asked / elapsed_s
        if is_late and rate < state.asked_per_s:
            # Those that are late may still be asked as much as before.
            return 0.0
        if state.asked_per_s == 0.0:
            state.asked_per_s = rate
        is_sudden = asked >= RISEN_COUNT and rate > RISEN_FACTOR * state.asked_per_s
        weight = min(1.0, elapsed_s / RATE_AVERAGED_S)
        state.asked_per_s += weight * (rate - state.asked_per_s)
        return rate if is_sudden else 0.0

    def _is_near(self, state: TeamState, team: Team) -> bool:
        capacity = get_capacity(team, self._limits) * self._heard_share
        return state.share < 1.0 or state.level < NEAR_SHARE * capacity
