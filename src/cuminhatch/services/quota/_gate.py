"""Admission of requests by the quota of their team, for forwarding."""

from collections.abc import Callable

from cuminhatch.decisions.configuration import Team
from cuminhatch.decisions.quota import ADMITTED, Admission, QuotaPeer

# Label of all teams that are not limited.
UNLIMITED_LABEL = "other"
# Further teams are counted with the others, whatever the configuration names.
MAX_LABELS = 100

Increment = Callable[[str, dict[str, str]], None]
ReportEarly = Callable[[], None]


def _report_in_turn() -> None:
    """Leave the counters to the next report."""


class QuotaGate:
    """
    Decides on requests in the process, without a message.

    Owned by the quota service and shared with forwarding.
    """

    def __init__(
        self,
        peer: QuotaPeer,
        increment: Increment,
        report_early: ReportEarly = _report_in_turn,
    ) -> None:
        """
        Start without requests.

        :param peer: state of the quotas at this instance.
        :param increment: called with the name and the labels of a counter.
        :param report_early: called if the next report should not wait for its
            turn, because the load of a team has risen suddenly.
        """
        self._peer = peer
        self._increment = increment
        self._report_early = report_early
        # Teams that are, or were, limited.
        self._labels: set[str] = set()

    @property
    def labels(self) -> frozenset[str]:
        """Return the teams that have metrics of their own."""
        return frozenset(self._labels)

    def is_limited(self, team: Team) -> bool:
        """
        Tell whether requests of a team are refused at present.

        :param team: its team.
        """
        return self._peer.local.is_limited(team.team_id)

    def admit(self, team: Team, now_ms: float) -> Admission:
        """
        Count a request and decide whether it may run.

        :param team: its team.
        :param now_ms: current time.
        """
        if team.rate_per_s <= 0.0:
            return ADMITTED
        admission = self._peer.local.admit(team, now_ms)
        if self._peer.local.is_limited(team.team_id) or not admission.is_admitted:
            label = self._get_label(team.team_id)
        else:
            label = UNLIMITED_LABEL
        name = "admitted" if admission.is_admitted else "refused"
        self._increment(f"quota_{name}_total", {"team": label})
        if self._peer.local.is_report_urgent:
            self._report_early()
        return admission

    def refund(self, team: Team, now_ms: float) -> None:
        """
        Take back the admission of a request that provably did not run.

        :param team: its team.
        :param now_ms: current time.
        """
        if team.rate_per_s > 0.0:
            self._peer.local.refund(team.team_id, now_ms)

    def _get_label(self, team_id: str) -> str:
        if team_id not in self._labels and len(self._labels) >= MAX_LABELS:
            return UNLIMITED_LABEL
        self._labels.add(team_id)
        return team_id
