"""Intervals of the catalog, and the messages of its timers."""

from typing import NamedTuple

# Interval between reads of the configuration, which must be in force two
# seconds after the store acknowledges it. It is read less often than the
# registrations, because it changes far less often.
CONFIGURATION_INTERVAL_MS = 950.0
# A read that has not ended after this time no longer delays the next one.
STALE_READ_MS = 1_200.0
PULL_TIMEOUT_MS = 400.0
# Usual interval at which backend servers register.
HEARTBEAT_MS = 1_500.0
INSTANCE_RECORD_RETRY_MS = 2_000.0
# Delay before an instance stores a record of itself, which is not needed if
# other instances have answered by then.
INSTANCE_RECORD_DELAY_MS = 1_500.0
# Instances that become known within this time are told at once.
INSTANCES_DELAY_MS = 50.0
GREETING_INTERVAL_MS = 250.0
# The interval between greetings doubles up to this limit, because seeds that
# cannot reach the store have no state to send.
GREETING_INTERVAL_MAX_MS = 2_000.0
# When the whole system starts for the first time, no caller waits, and the
# seeds read the store for all instances.
FIRST_READ_DELAY_MS = 2_000.0
FIRST_READ_JITTER_MS = 1_000.0
# Time for a seed to answer an instance that restarts. Pulling its state takes
# less time than reading the whole table.
RESTART_READ_DELAY_MS = 15.0


class ReadDue(NamedTuple):
    """Timer: this instance is to read the store for all."""


class InstanceRecordDue(NamedTuple):
    """Timer: store the record of this instance if others depend on it."""


class PullRetryDue(NamedTuple):
    """Timer: the pause after a failed pull has ended."""


class InstancesDue(NamedTuple):
    """Timer: tell the known instances to forwarding."""


class GreetingDue(NamedTuple):
    """
    Timer: greet the seeds, unless the catalog is known by now.

    ``interval_ms`` is the time until the next greeting.
    """

    interval_ms: float
