"""
Admission of requests at one instance, without a message.

Handles a team whose load rises eightfold at a few instances: until figures
arrive, the requests of this instance alone are held to the whole quota.
"""

from random import Random

from cuminhatch.decisions.configuration import Team
from cuminhatch.decisions.quota._states import History
from cuminhatch.decisions.quota._types import (
    ADMITTED,
    MS_PER_S,
    Admission,
    QuotaFigures,
    QuotaLimits,
    TeamCounts,
    TeamFigures,
    get_capacity,
    get_rate,
)
from cuminhatch.decisions.quota._window import WindowCount

# Older figures are not used.
FIGURES_MAX_AGE_MS = 1_000.0
# Two intervals have passed without figures: the aggregator is lost or cut off.
# A team then gets what it usually asks for here, and this share of its bucket.
FIGURES_LATE_MS = 400.0
LATE_BURST_SHARE = 0.2
# Time without usable figures in which an instance keeps to its last known part
# of the demand: a lost aggregator is replaced by then. Afterwards it keeps to
# an equal part, since the demand may have moved.
DEMAND_PART_MS = 2_000.0
# Time after a start in which the first figures arrive. Until then an instance
# admits this share of the requests of a team, up to some times its equal part
# or a few requests. If all instances have restarted, a team at five times its
# usual rate runs three seconds' worth of its quota in that time.
START_MS = 1_500.0
START_SHARE = 0.6
START_PARTS = 3.0
START_REQUESTS = 3.0
# Counters that did not change for this long are left out of reports.
ACTIVE_MS = 600.0
# Share of its part of the quota that a team in no figures is taken to use: it
# may ask for a little more than usual while figures are missing.
UNLISTED_SHARE = 0.8
# A request is refused for this long at least, so that a caller that repeats it
# as told is not refused again for the same figures.
RETRY_AFTER_MIN_MS = 250.0
RETRY_AFTER_MAX_MS = 5_000.0
# A report is urgent if it has this many admissions more than what an instance
# usually admits in the given time: two or three times a report interval.
URGENT_COUNT = 4
URGENT_USUAL_S = 0.6
# Weight of the newest report interval in the average rate of requests.
RATE_WEIGHT = 0.3


class LocalTeam:
    """Counters and buckets of one team at this instance."""

    __slots__ = (
        "accounted",
        "accumulator",
        "admitted",
        "asked",
        "asked_before",
        "asked_ms",
        "asked_per_s",
        "changed_ms",
        "own_level",
        "part_level",
        "reported",
        "threshold",
        "updated_ms",
        "window",
    )

    def __init__(
        self, own_level: float, window_ms: float, rng: Random, now_ms: float
    ) -> None:
        """
        Start with counters of 0.

        :param own_level: requests in the bucket of the whole quota.
        :param window_ms: length of the window.
        :param rng: source of randomness.
        :param now_ms: current time.
        """
        self.asked = self.admitted = 0
        self.asked_before = 0
        self.asked_per_s = 0.0
        # Values of ``admitted`` in the latest report, and in the latest one
        # that was followed by figures.
        self.reported = self.accounted = 0
        self.window = WindowCount(window_ms)
        self.changed_ms = self.asked_ms = float("-inf")
        self.updated_ms = now_ms
        # Random, so that instances do not admit or refuse at the same time.
        self.accumulator = rng.random()
        self.threshold = rng.random()
        # Bucket of the whole quota, for the requests of this instance alone.
        self.own_level = own_level
        # Bucket of this instance's part of the quota.
        self.part_level = 0.0


class LocalAdmission:
    """Counters of all teams, and the figures that they are judged by."""

    def __init__(self, limits: QuotaLimits, rng: Random, now_ms: float) -> None:
        """
        Start without figures.

        :param limits: how far quotas may be exceeded.
        :param rng: source of randomness.
        :param now_ms: current time.
        """
        self.known_instances = 1
        # A team has been admitted so often since the latest report that the
        # next one should not wait for its turn.
        self.is_report_urgent = False
        self._limits = limits
        self._rng = rng
        self._started_ms = now_ms
        self._teams: dict[str, LocalTeam] = {}
        self._figures: QuotaFigures | None = None
        self._figures_ms = float("-inf")
        self._by_team: dict[str, TeamFigures] = {}

    @property
    def figures(self) -> QuotaFigures | None:
        """Return the latest figures, None if there are none yet."""
        return self._figures

    @property
    def limited_teams(self) -> dict[str, TeamFigures]:
        """Return the latest figures of the teams that are limited."""
        return {id_: item for id_, item in self._by_team.items() if item.share < 1.0}

    def is_limited(self, team_id: str) -> bool:
        """
        Tell whether the latest figures limit a team.

        :param team_id: id of the team.
        """
        figures = self._by_team.get(team_id)
        return figures is not None and figures.share < 1.0

    def has_recent_figures(self, now_ms: float) -> bool:
        """
        Tell whether requests are judged by figures of the aggregator.

        :param now_ms: current time.
        """
        return now_ms - self._figures_ms <= FIGURES_MAX_AGE_MS

    def get_history(self, now_ms: float) -> History | None:
        """
        Return what a new aggregator knows of the time before its session.

        :param now_ms: current time.
        :returns: None if this instance has received no figures.
        """
        if self._figures is None:
            return None
        return History(
            self._by_team, self._get_heard_share(), now_ms - self._figures_ms
        )

    def set_figures(self, figures: QuotaFigures, now_ms: float) -> None:
        """
        Use newer figures.

        :param figures: figures of a settled aggregator.
        :param now_ms: time of arrival.
        """
        self._figures, self._figures_ms = figures, now_ms
        self._by_team = {item.team_id: item for item in figures.figures}
        for state in self._teams.values():
            state.accounted = state.reported

    def admit(self, team: Team, now_ms: float) -> Admission:
        """
        Count a request and decide whether it may run.

        :param team: its team, with a quota.
        :param now_ms: current time.
        """
        state = self._teams.get(team.team_id)
        if state is None:
            # Not more than the time since the start provides, as nothing is
            # known of what was admitted before a restart.
            up_s = (now_ms - self._started_ms) / MS_PER_S
            capacity = get_capacity(team, self._limits)
            own_level = min(capacity, 1.0 + get_rate(team, self._limits) * up_s)
            state = LocalTeam(own_level, self._limits.window_ms, self._rng, now_ms)
            self._teams[team.team_id] = state
        self._fill_buckets(state, team, now_ms)
        state.asked += 1
        state.asked_ms = state.changed_ms = now_ms
        if self.has_recent_figures(now_ms):
            basis = self._judge_by_figures(state, team, now_ms)
        elif self._figures is None and now_ms - self._started_ms < START_MS:
            basis = self._judge_at_start(state, team)
        else:
            is_in_part = state.part_level >= state.threshold
            basis = "" if is_in_part else "own-part"
        if basis:
            return self._refuse(state, team, basis, now_ms)
        self._count_admitted(state, 1, now_ms)
        return ADMITTED

    def refund(self, team_id: str, now_ms: float) -> None:
        """
        Take back the admission of a request that provably did not run.

        :param team_id: id of its team.
        :param now_ms: current time.
        """
        state = self._teams.get(team_id)
        if state is not None:
            self._count_admitted(state, -1, now_ms)

    def list_counts(self, is_complete: bool, now_ms: float) -> tuple[TeamCounts, ...]:
        """
        Return the counters to be reported.

        :param is_complete: whether the aggregator is new to this instance; it
            gets what was admitted in the last window as well.
        :param now_ms: current time.
        """
        active_ms = self._limits.window_ms if is_complete else ACTIVE_MS
        self.is_report_urgent = False
        counts = []
        for team_id, state in self._teams.items():
            if now_ms - state.changed_ms > active_ms:
                continue
            accounted = state.accounted if is_complete else None
            in_window = state.window.get_total(now_ms)
            counts.append(
                TeamCounts(team_id, state.asked, state.admitted, in_window, accounted)
            )
            state.reported = state.admitted
        return tuple(counts)

    def measure_rates(self, interval_ms: float, now_ms: float) -> None:
        """
        Update the average rates of requests.

        Without recent figures they remain as they were, so that a part of the
        quota that is sized by them does not grow with the demand.

        :param interval_ms: time since the previous call.
        :param now_ms: current time.
        """
        if not self.has_recent_figures(now_ms):
            return
        for state in self._teams.values():
            rate = (state.asked - state.asked_before) * MS_PER_S / interval_ms
            state.asked_before = state.asked
            state.asked_per_s += RATE_WEIGHT * (rate - state.asked_per_s)

    def _judge_by_figures(self, state: LocalTeam, team: Team, now_ms: float) -> str:
        """Return why a request is refused, an empty string if it is not."""
        if state.own_level < 1.0:
            return "own-rate"
        age_ms = now_ms - self._figures_ms
        if age_ms > FIGURES_LATE_MS:
            usual = state.asked_per_s / UNLISTED_SHARE * age_ms / MS_PER_S
            capacity = get_capacity(team, self._limits) * self._get_heard_share()
            if state.admitted - state.accounted >= usual + capacity * LATE_BURST_SHARE:
                return "late-figures"
        figures = self._by_team.get(team.team_id)
        share = 1.0 if figures is None else figures.share
        if share >= 1.0:
            return ""
        return "" if self._take_share(state, share) else "figures"

    def _judge_at_start(self, state: LocalTeam, team: Team) -> str:
        """Return why a request is refused while there are no figures yet."""
        if state.own_level < 1.0:
            return "own-rate"
        part = get_rate(team, self._limits) * START_MS / MS_PER_S / self._get_known()
        if state.admitted >= max(START_REQUESTS, START_PARTS * part):
            return "start"
        return "" if self._take_share(state, START_SHARE) else "start"

    def _take_share(self, state: LocalTeam, share: float) -> bool:
        """Tell whether the next request is one of the share to admit."""
        state.accumulator += share
        if state.accumulator < 1.0:
            return False
        state.accumulator -= 1.0
        return True

    def _count_admitted(self, state: LocalTeam, amount: int, now_ms: float) -> None:
        state.admitted += amount
        state.window.add(amount, now_ms)
        state.own_level -= amount
        state.part_level -= amount
        state.threshold = self._rng.random()
        state.changed_ms = now_ms
        usual = state.asked_per_s * URGENT_USUAL_S
        if state.admitted - state.reported >= URGENT_COUNT + usual:
            self.is_report_urgent = True

    def _fill_buckets(self, state: LocalTeam, team: Team, now_ms: float) -> None:
        elapsed_s = max(0.0, now_ms - state.updated_ms) / MS_PER_S
        # The pause of a frozen instance gives its part nothing.
        elapsed_s = min(elapsed_s, self._limits.window_ms / MS_PER_S)
        is_idle = now_ms - state.asked_ms > FIGURES_MAX_AGE_MS
        state.updated_ms = now_ms
        capacity = get_capacity(team, self._limits)
        heard_share = self._get_heard_share()
        filled = (
            state.own_level + elapsed_s * get_rate(team, self._limits) * heard_share
        )
        # With less than one request an instance would admit nothing.
        state.own_level = min(max(1.0, capacity * heard_share), filled)
        part_capacity = capacity / self._get_known()
        if not is_idle:
            # Otherwise an instance whose part is less than the threshold would
            # admit nothing, however long it is asked.
            part_capacity = max(1.0, part_capacity)
        part_rate = self._get_part_rate(state, team, now_ms)
        state.part_level = min(part_capacity, state.part_level + elapsed_s * part_rate)

    def _get_heard_share(self) -> float:
        figures = self._figures
        return 1.0 if figures is None else figures.heard / max(1, figures.known)

    def _get_known(self) -> int:
        known = 0 if self._figures is None else self._figures.known
        return max(known, self.known_instances)

    def _get_part_rate(self, state: LocalTeam, team: Team, now_ms: float) -> float:
        """Return the part of the quota that this instance may use alone."""
        equal_part = get_rate(team, self._limits) / self._get_known()
        if now_ms - self._figures_ms > DEMAND_PART_MS:
            return equal_part
        figures = self._by_team.get(team.team_id)
        if figures is not None:
            demand_part = state.asked_per_s * figures.share
        else:
            heard_rate = get_rate(team, self._limits) * self._get_heard_share()
            demand_part = min(state.asked_per_s / UNLISTED_SHARE, heard_rate)
        return max(equal_part, demand_part)

    def _refuse(
        self, state: LocalTeam, team: Team, basis: str, now_ms: float
    ) -> Admission:
        figures = self._by_team.get(team.team_id)
        share = 1.0 if figures is None else figures.share
        balance = 0.0 if figures is None else figures.balance
        if basis == "figures":
            wait_s = max(0.0, -balance) / get_rate(team, self._limits)
            if share > 0.0:
                # The requests of the team that are in line before this one.
                wait_s += (1.0 - share) * self._limits.window_ms / MS_PER_S / 2.0
        elif basis == "late-figures":
            wait_s = FIGURES_MAX_AGE_MS / MS_PER_S
        elif basis == "own-rate":
            wait_s = (1.0 - state.own_level) / get_rate(team, self._limits)
        else:
            part_rate = self._get_part_rate(state, team, now_ms)
            wait_s = (state.threshold - state.part_level) / part_rate
            # Figures are usually back by then.
            wait_s = min(wait_s, FIGURES_MAX_AGE_MS / MS_PER_S)
        latest = self._figures
        age_ms = -1.0 if latest is None else round(now_ms - self._figures_ms, 1)
        return Admission(
            False,
            min(max(wait_s * MS_PER_S, RETRY_AFTER_MIN_MS), RETRY_AFTER_MAX_MS),
            basis,
            share,
            balance,
            age_ms,
            0 if latest is None else latest.heard,
            self._get_known(),
        )
