"""Messages to the service that enforces the quotas of teams."""

from collections.abc import Mapping
from typing import NamedTuple


class InstanceAddress(NamedTuple):
    """Host and failure domain of an instance; the domain may be empty."""

    host: str
    failure_domain: str


class InstancesListed(NamedTuple):
    """
    All other instances that the catalog knows, by their ids.

    Sent only if quotas are enabled.
    """

    instances: Mapping[str, InstanceAddress]


class QuotaUpdateDue(NamedTuple):
    """Timer: counters and figures are to be sent."""
