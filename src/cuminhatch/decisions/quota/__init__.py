"""
Quotas of teams over all instances.

Each instance decides alone on each request, by a share that the aggregator of
its failure domain computes four times a second. Handles the load of teams at
eight times their usual rate, partitions, and restarts of all instances.
"""

from cuminhatch.decisions.quota._local import LocalAdmission
from cuminhatch.decisions.quota._peer import INTERVAL_MS, QuotaPeer
from cuminhatch.decisions.quota._types import (
    ADMITTED,
    Admission,
    Outgoing,
    QuotaEvent,
    QuotaFigures,
    QuotaLimits,
    QuotaMessage,
    QuotaReport,
    QuotaSums,
    TeamCounts,
    TeamFigures,
    TeamSums,
    get_bound,
)

__all__ = [
    "ADMITTED",
    "INTERVAL_MS",
    "Admission",
    "LocalAdmission",
    "Outgoing",
    "QuotaEvent",
    "QuotaFigures",
    "QuotaLimits",
    "QuotaMessage",
    "QuotaPeer",
    "QuotaReport",
    "QuotaSums",
    "TeamCounts",
    "TeamFigures",
    "TeamSums",
    "get_bound",
]
