"""
Who the other instances are, from heartbeats and the platform's list.

Each instance counts its own heartbeats. An entry is news only if its
incarnation, or its counter within the same incarnation, is higher than the
one known; so old datagrams and relayed copies change nothing. Nothing that
must hold depends on this view: rights are rows of the table service.
"""

from collections.abc import Mapping
from random import Random
from typing import NamedTuple

# An entry is relayed to 2 instances every 500 ms, so that with 18 instances
# several copies arrive within a second; 5 s bridge lost datagrams and short
# pauses.
SUSPECT_AFTER_MS = 5_000.0
# An instance receives 36 entries a second however many instances there are,
# so news of each becomes rarer as their number grows. The longest of 1.3
# million silences of live instances, in runs with 18 to 160 instances, was
# 438 ms for each.
SUSPECT_AFTER_MS_PER_INSTANCE = 500.0
# Heartbeats that go to contacts and suspects instead of live instances.
OTHERS_SHARE = 0.1
# A suspect is remembered long enough that a partition can heal.
FORGET_AFTER_MS = 600_000.0


class Member(NamedTuple):
    """
    One instance as seen from here.

    ``state`` is ``live``, ``suspect`` or ``leaving``. A restarted instance
    has a higher ``incarnation``.
    """

    instance_id: str
    host: str
    port: int
    incarnation: int
    state: str


class Entry(NamedTuple):
    """What an instance says of itself, as relayed by others."""

    instance_id: str
    host: str
    port: int
    incarnation: int
    heartbeat: int
    is_leaving: bool


class Known(NamedTuple):
    """An entry and when its last heartbeat arrived, in milliseconds."""

    entry: Entry
    heard_ms: float


View = Mapping[str, Known]


def merge_entry(view: dict[str, Known], entry: Entry, now_ms: float) -> bool:
    """
    Take an entry over if it is news.

    :param view: known entries by instance id; changed in place.
    :param entry: entry as received.
    :param now_ms: monotonic time in milliseconds.
    :returns: whether the entry was news.
    """
    known = view.get(entry.instance_id)
    if known is not None:
        old = (known.entry.incarnation, known.entry.heartbeat)
        if (entry.incarnation, entry.heartbeat) <= old:
            return False
    view[entry.instance_id] = Known(entry, now_ms)
    return True


def forget_old(view: dict[str, Known], now_ms: float) -> None:
    """
    Drop entries that have been silent for a long time.

    :param view: known entries by instance id; changed in place.
    :param now_ms: monotonic time in milliseconds.
    """
    for instance_id, known in list(view.items()):
        if now_ms - known.heard_ms > FORGET_AFTER_MS:
            del view[instance_id]


def live_since_ms(view: View, now_ms: float) -> float:
    """
    Return since when an instance must have been heard of to count as live.

    :param view: known entries by instance id.
    :param now_ms: monotonic time in milliseconds.
    """
    by_count_ms = SUSPECT_AFTER_MS_PER_INSTANCE * len(view)
    return now_ms - max(SUSPECT_AFTER_MS, by_count_ms)


def list_members(view: View, now_ms: float) -> tuple[Member, ...]:
    """
    Return all known instances with their states.

    :param view: known entries by instance id.
    :param now_ms: monotonic time in milliseconds.
    :returns: members in the order of their ids.
    """
    since_ms = live_since_ms(view, now_ms)
    return tuple(
        Member(
            entry.instance_id,
            entry.host,
            entry.port,
            entry.incarnation,
            _state(known, since_ms),
        )
        for known in (view[instance_id] for instance_id in sorted(view))
        for entry in (known.entry,)
    )


def _state(known: Known, since_ms: float) -> str:
    if known.heard_ms < since_ms:
        return "suspect"
    return "leaving" if known.entry.is_leaving else "live"


def pick_targets(
    view: View, contacts: tuple[str, ...], count: int, now_ms: float, rng: Random
) -> tuple[str, ...]:
    """
    Choose the addresses of the next heartbeats.

    :param view: known entries by instance id.
    :param contacts: addresses, ``host:port``, that may be instances: from
        the settings and the platform's list.
    :param count: how many to choose.
    :param now_ms: monotonic time in milliseconds.
    :param rng: source of randomness.
    :returns: different addresses. While live instances are known, one
        heartbeat in ten goes to any contact or suspect instead, so that two
        groups that have lost each other find together again.
    """
    since_ms = live_since_ms(view, now_ms)
    live = [known.entry for known in view.values() if known.heard_ms >= since_ms]
    sampled = rng.sample(live, min(count, len(live)))
    # A restarted instance may have another id at the same address.
    chosen = tuple(dict.fromkeys(_address(entry) for entry in sampled))
    if len(chosen) == count and rng.random() >= OTHERS_SHARE * count:
        # The usual case needs the addresses of the chosen only.
        return chosen
    others = set(contacts) | {_address(known.entry) for known in view.values()}
    others -= {_address(entry) for entry in live}
    if not others:
        return chosen
    missing = max(1, count - len(chosen))
    chosen = chosen[: count - missing]
    return chosen + tuple(rng.sample(sorted(others), min(missing, len(others))))


def _address(entry: Entry) -> str:
    return f"{entry.host}:{entry.port}"


def pick_entries(
    view: View, count: int, now_ms: float, rng: Random
) -> tuple[Entry, ...]:
    """
    Choose entries to relay: live ones only, so that the ended fade out.

    :param view: known entries by instance id.
    :param count: most entries to choose.
    :param now_ms: monotonic time in milliseconds.
    :param rng: source of randomness.
    """
    since_ms = live_since_ms(view, now_ms)
    live = [known.entry for known in view.values() if known.heard_ms >= since_ms]
    return tuple(rng.sample(live, min(count, len(live))))
