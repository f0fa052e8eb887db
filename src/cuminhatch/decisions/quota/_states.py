"""What an aggregator knows of instances and teams."""

from collections.abc import Mapping
from typing import NamedTuple

from cuminhatch.decisions.quota._types import TeamFigures, TeamSums
from cuminhatch.decisions.quota._window import WindowCount


class History(NamedTuple):
    """
    The last figures of the previous aggregator, ``age_ms`` ago.

    ``heard_share`` is the share of the known instances that it had heard of.
    """

    figures: Mapping[str, TeamFigures]
    heard_share: float
    age_ms: float


class SourceCounts:
    """Counters of one instance, or of another failure domain's aggregator."""

    __slots__ = (
        "accrued_ms",
        "counts",
        "heard",
        "heard_ms",
        "incarnation",
        "is_silent",
        "known",
    )

    def __init__(self, incarnation: int, heard: int) -> None:
        """
        Start without counters.

        :param incarnation: incarnation of the instance, session of the
            aggregator.
        :param heard: number of instances whose counters it reports.
        """
        self.incarnation = incarnation
        self.heard = self.known = heard
        self.counts: dict[str, TeamSums] = {}
        self.heard_ms = float("-inf")
        self.is_silent = True
        # Until when its part of the quotas is in the buckets.
        self.accrued_ms = float("-inf")


class TeamState:
    """Bucket of one team, and the sums of this failure domain."""

    __slots__ = (
        "admitted",
        "asked",
        "asked_all",
        "asked_before",
        "asked_per_s",
        "changed_ms",
        "charges",
        "late_charges",
        "level",
        "share",
        "urgent_charges",
        "window",
    )

    def __init__(self, window_ms: float) -> None:
        """
        Start with sums of 0.

        :param window_ms: length of the window.
        """
        # Set with the first update.
        self.level: float | None = None
        # Admissions that have become known since the last update, and those of
        # instances that had been silent.
        self.charges = self.late_charges = 0.0
        self.asked_all = self.asked_before = 0
        self.asked_per_s = 0.0
        self.share = 1.0
        self.urgent_charges = float("inf")
        # Of this failure domain, for the other aggregators.
        self.asked = self.admitted = 0
        self.window = WindowCount(window_ms)
        self.changed_ms = float("-inf")
