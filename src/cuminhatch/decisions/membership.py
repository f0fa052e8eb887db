"""
Gossip membership: the other instances, learned from relayed heartbeats.

Each instance counts its own heartbeats. A received entry replaces the known
one only if its incarnation, or its heartbeat counter within the same
incarnation, is higher, so delayed datagrams and relayed copies have no effect.
This view is only a hint: exclusive access is decided by rows of the table
service.
"""

from collections.abc import Mapping
from random import Random
from typing import NamedTuple

# Every instance sends heartbeats to 2 others every 500 ms, and these relay
# them, so with 18 instances several copies of an entry arrive within a second.
# 5 s tolerates lost datagrams and short pauses.
SUSPECT_AFTER_MS = 5_000.0
# An instance receives 36 entries per second regardless of the number of
# instances, so updates about each one become rarer in proportion to that
# number, and the timeout grows with it. With 18 to 160 instances, the longest
# gap between two updates about a live instance (among 1.3 million gaps) is
# 438 ms times the number of instances.
SUSPECT_AFTER_MS_PER_INSTANCE = 500.0
# Share of the heartbeats sent to seed addresses and suspects instead of live
# instances, so that two sides of a partition find each other again.
DISCOVERY_SHARE = 0.1
# Suspects are kept, and still contacted, until a partition can have healed.
FORGET_AFTER_MS = 600_000.0


class Member(NamedTuple):
    """
    An instance and its state in the local view.

    ``state`` is ``live``, ``suspect`` or ``leaving``. Each restart of an
    instance has a higher ``incarnation``.
    """

    instance_id: str
    host: str
    port: int
    incarnation: int
    state: str


class HeartbeatEntry(NamedTuple):
    """What an instance announces about itself, relayed by others."""

    instance_id: str
    host: str
    port: int
    incarnation: int
    heartbeat: int
    is_leaving: bool


class KnownInstance(NamedTuple):
    """An entry and the monotonic time its last heartbeat arrived."""

    entry: HeartbeatEntry
    last_heard_ms: float


MembershipView = Mapping[str, KnownInstance]


def merge_entry(
    view: dict[str, KnownInstance], entry: HeartbeatEntry, now_ms: float
) -> bool:
    """
    Store a received entry if it is newer than the known one.

    :param view: known entries by instance id; modified in place.
    :param entry: entry received.
    :param now_ms: monotonic time in milliseconds.
    :returns: whether the entry was newer.
    """
    known = view.get(entry.instance_id)
    if known is not None:
        known_version = (known.entry.incarnation, known.entry.heartbeat)
        if (entry.incarnation, entry.heartbeat) <= known_version:
            return False
    view[entry.instance_id] = KnownInstance(entry, now_ms)
    return True


def remove_silent(view: dict[str, KnownInstance], now_ms: float) -> None:
    """
    Remove instances not heard from for ``FORGET_AFTER_MS``.

    :param view: known entries by instance id; modified in place.
    :param now_ms: monotonic time in milliseconds.
    """
    for instance_id, known in list(view.items()):
        if now_ms - known.last_heard_ms > FORGET_AFTER_MS:
            del view[instance_id]


def live_cutoff_ms(view: MembershipView, now_ms: float) -> float:
    """
    Return the time before which a last heartbeat makes an instance suspect.

    :param view: known entries by instance id.
    :param now_ms: monotonic time in milliseconds.
    """
    scaled_timeout_ms = SUSPECT_AFTER_MS_PER_INSTANCE * len(view)
    return now_ms - max(SUSPECT_AFTER_MS, scaled_timeout_ms)


def list_members(view: MembershipView, now_ms: float) -> tuple[Member, ...]:
    """
    Return all known instances with their states.

    :param view: known entries by instance id.
    :param now_ms: monotonic time in milliseconds.
    :returns: members sorted by id.
    """
    since_ms = live_cutoff_ms(view, now_ms)
    return tuple(
        Member(
            entry.instance_id,
            entry.host,
            entry.port,
            entry.incarnation,
            _find_state(known, since_ms),
        )
        for known in (view[instance_id] for instance_id in sorted(view))
        for entry in (known.entry,)
    )


def _find_state(known: KnownInstance, since_ms: float) -> str:
    if known.last_heard_ms < since_ms:
        return "suspect"
    return "leaving" if known.entry.is_leaving else "live"


def pick_targets(
    view: MembershipView,
    seed_addresses: tuple[str, ...],
    count: int,
    now_ms: float,
    rng: Random,
) -> tuple[str, ...]:
    """
    Choose the addresses that the next heartbeats are sent to.

    :param view: known entries by instance id.
    :param seed_addresses: ``host:port`` of possible instances, from the
        settings and the platform's list.
    :param count: number of addresses to choose.
    :param now_ms: monotonic time in milliseconds.
    :param rng: source of randomness.
    :returns: distinct addresses. While live instances are known, one
        heartbeat in ten goes to a seed address or a suspect instead, so that
        the two sides of a healed partition find each other again.
    """
    since_ms = live_cutoff_ms(view, now_ms)
    live = [known.entry for known in view.values() if known.last_heard_ms >= since_ms]
    sampled = rng.sample(live, min(count, len(live)))
    # Two ids may share an address if an instance restarted under another id.
    chosen = tuple(dict.fromkeys(_format_address(entry) for entry in sampled))
    if len(chosen) == count and rng.random() >= DISCOVERY_SHARE * count:
        # Fast path: the addresses of the other instances are not needed.
        return chosen
    others = set(seed_addresses) | {
        _format_address(known.entry) for known in view.values()
    }
    others -= {_format_address(entry) for entry in live}
    if not others:
        return chosen
    missing = max(1, count - len(chosen))
    chosen = chosen[: count - missing]
    return chosen + tuple(rng.sample(sorted(others), min(missing, len(others))))


def _format_address(entry: HeartbeatEntry) -> str:
    return f"{entry.host}:{entry.port}"


def pick_entries(
    view: MembershipView, count: int, now_ms: float, rng: Random
) -> tuple[HeartbeatEntry, ...]:
    """
    Choose entries to relay, only of instances that are not suspect.

    Entries of stopped instances would otherwise circulate for ever.

    :param view: known entries by instance id.
    :param count: maximum number of entries.
    :param now_ms: monotonic time in milliseconds.
    :param rng: source of randomness.
    """
    since_ms = live_cutoff_ms(view, now_ms)
    live = [known.entry for known in view.values() if known.last_heard_ms >= since_ms]
    return tuple(rng.sample(live, min(count, len(live))))
