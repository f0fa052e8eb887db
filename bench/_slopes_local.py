"""Slopes of decisions, codecs and services, measured in this process."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterable
from random import Random
from typing import Any, NamedTuple

from cuminhatch.codecs.note_json import (
    decode_snapshot,
    encode_note,
    encode_snapshot,
)
from cuminhatch.codecs.peers_thrift import Heartbeat, decode_message, encode_message
from cuminhatch.codecs.platform import decode_instances, encode_instances
from cuminhatch.decisions.configuration import (
    BackendServer,
    Configuration,
    Rule,
    ServiceSpec,
    apply_note,
)
from cuminhatch.decisions.hybrid_clock import Stamp
from cuminhatch.decisions.membership import (
    Entry,
    Known,
    list_members,
    live_since_ms,
    merge_entry,
    pick_entries,
    pick_targets,
)
from cuminhatch.decisions.notes import AcceptedNote, Note, NoteItem, check_note
from cuminhatch.decisions.permits import PROBE, Permit, PermitView
from cuminhatch.decisions.platform import InstanceList, ListedInstance
from cuminhatch.decisions.probing import prefer_servers, start_plan, take_due
from cuminhatch.decisions.routing import make_router
from cuminhatch.kernel import Kernel
from cuminhatch.messages import EventRecorded
from cuminhatch.services import Timeline
from cuminhatch.services.dispatch._server_table import ServerTable
from cuminhatch.services.peers import (
    HEAD_FAN_OUT,
    HEARTBEAT_FAN_OUT,
    HEARTBEAT_INTERVAL_MS,
    MAX_MEMBERS,
)

SEED = 1
REPEATS = 3
SERVICES = 520
INSTANCES_TODAY = 18
DOMAINS = 16
KEY = b"bench-peers-key"
SERVER_SIZES = (2_500, 5_000, 10_000, 20_000)
INSTANCE_SIZES = (20, 40, 80, 160, 320)
GOSSIP_SIZES = (20, 40, 80, 120)
SPREAD_SIZES = (240, 480, 960, 1_920)
SPREAD_ROUNDS_MAX = 40


class Series(NamedTuple):
    """Values measured at several sizes."""

    name: str
    size_unit: str
    value_unit: str
    points: tuple[tuple[float, float], ...]


def processor_ms(run: Callable[[], Any]) -> float:
    """
    Return the least processor time of a few runs, in milliseconds.

    :param run: what is measured.
    """
    times = []
    for _ in range(REPEATS):
        begin_s = time.process_time()
        run()
        times.append((time.process_time() - begin_s) * 1000.0)
    return min(times)


def memory_bytes(build: Callable[[], Any]) -> float:
    """
    Return the memory that a value keeps, in bytes.

    :param build: makes the value.
    """
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        value = build()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    del value
    return float(after - before)


def build_configuration(
    server_count: int, service_count: int, rules_per_service: int = 4
) -> Configuration:
    """
    Return a configuration whose strings are not shared between entries.

    :param server_count: number of backend servers.
    :param service_count: number of services.
    :param rules_per_service: number of rules of each service.
    """
    services = {f"s-{n}": ServiceSpec(f"s-{n}") for n in range(service_count)}
    servers = {
        f"b-{n}": BackendServer(
            f"b-{n}",
            f"s-{n % service_count}",
            f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}",
            9000 + n % 1000,
            f"domain-{n % DOMAINS}",
            3,
            200,
        )
        for n in range(server_count)
    }
    rules = {
        f"r-{n}-{m}": Rule(f"r-{n}-{m}", f"s-{n}", "GET", f"/service-{n}/kind-{m}")
        for n in range(service_count)
        for m in range(rules_per_service)
    }
    return Configuration(1, services, servers, rules)


def build_note(sequence: int) -> AcceptedNote:
    """
    Return a note that changes one backend server.

    :param sequence: its sequence number.
    """
    item = NoteItem("change", "backend_server", f"b-{sequence}", {"slots": 4})
    return AcceptedNote(
        sequence, Note(f"note-{sequence}", "bench", "One change.", (item,))
    )


def build_view(count: int, now_ms: float = 0.0) -> dict[str, Known]:
    """
    Return a view of instances that have all just been heard of.

    :param count: number of instances.
    :param now_ms: monotonic time in milliseconds.
    """
    return {
        f"entry-{n}": Known(
            Entry(f"entry-{n}", f"10.9.{n >> 8}.{n & 255}", 8100, 1_700_000, 1, False),
            now_ms,
        )
        for n in range(count)
    }


def _series(
    name: str, units: tuple[str, str], sizes: Iterable[int], measure: Callable
) -> Series:
    points = tuple((float(size), float(measure(size))) for size in sizes)
    return Series(name, *units, points)


def _table(configuration: Configuration) -> ServerTable:
    table = ServerTable("domain-0")
    table.apply(configuration, 0.0)
    return table


def _apply_to_table(size: int) -> float:
    configuration = build_configuration(size, SERVICES)
    table = _table(configuration)
    times = []
    for sequence in range(2, 2 + REPEATS):
        configuration = apply_note(configuration, build_note(sequence))
        begin_s = time.process_time()
        table.apply(configuration, 0.0)
        times.append((time.process_time() - begin_s) * 1000.0)
    return min(times)


def _permit_views(size: int) -> dict[Permit, PermitView]:
    permits = (Permit(PROBE, f"b-{n}", 0) for n in range(size))
    return {permit: PermitView(permit) for permit in permits}


def _list(size: int) -> bytes:
    entries = (
        ListedInstance(f"b-{n}", f"10.0.{n >> 8}.{n & 255}:9000", "backend", "live")
        for n in range(size)
    )
    return encode_instances(InstanceList(tuple(entries)))


def _rank_first(servers: int, instances: int) -> float:
    server_ids = {f"b-{n}": n for n in range(servers)}.keys()
    live_ids = [f"entry-{n}" for n in range(instances)]
    return processor_ms(lambda: prefer_servers("entry-0")(server_ids, live_ids))


def _rank_again(servers: int, instances: int) -> float:
    """Rank after one server and one instance have joined."""
    server_ids = {f"b-{n}": n for n in range(servers + REPEATS)}
    live_ids = [f"entry-{n}" for n in range(instances + REPEATS)]
    prefer = prefer_servers("entry-0")
    prefer(dict(list(server_ids.items())[:servers]).keys(), live_ids[:instances])
    times = []
    for more in range(1, 1 + REPEATS):
        ids = dict(list(server_ids.items())[: servers + more]).keys()
        begin_s = time.process_time()
        prefer(ids, live_ids[: instances + more])
        times.append((time.process_time() - begin_s) * 1000.0)
    return min(times)


def measure_servers() -> Iterable[Series]:
    """Measure what grows with the number of backend servers."""

    def by_size(name: str, unit: str, measure: Callable) -> Series:
        return _series(name, ("server", unit), SERVER_SIZES, measure)

    def of(size: int) -> Configuration:
        return build_configuration(size, SERVICES)

    def timed(run: Callable[[Configuration], Any]) -> Callable[[int], float]:
        def measure(size: int) -> float:
            configuration = of(size)
            return processor_ms(lambda: run(configuration))

        return measure

    def decode(size: int) -> float:
        data = encode_snapshot(of(size))
        return processor_ms(lambda: decode_snapshot(data))

    def decode_list(size: int) -> float:
        data = _list(size)
        return processor_ms(lambda: decode_instances(data))

    def plan_probes(size: int) -> float:
        plans = {f"b-{n}": start_plan(2.0, 0.0) for n in range(size)}
        return processor_ms(lambda: take_due(plans, 0.0))

    def table_memory(size: int) -> float:
        configuration = of(size)
        return memory_bytes(lambda: _table(configuration))

    note = build_note(2)
    yield by_size(
        "configuration memory", "byte", lambda size: memory_bytes(lambda: of(size))
    )
    yield by_size("server table memory", "byte", table_memory)
    yield by_size(
        "permit view memory",
        "byte",
        lambda size: memory_bytes(lambda: _permit_views(size)),
    )
    yield by_size("note check", "ms", timed(lambda c: check_note(c, note.note)))
    yield by_size("note apply", "ms", timed(lambda c: apply_note(c, note)))
    yield by_size("server table, first", "ms", timed(_table))
    yield by_size("server table, one note", "ms", _apply_to_table)
    yield by_size("snapshot encode", "ms", timed(encode_snapshot))
    yield by_size("snapshot decode", "ms", decode)
    yield by_size("snapshot size", "byte", lambda size: len(encode_snapshot(of(size))))
    yield by_size("probe plans, one tick", "ms", plan_probes)
    yield by_size(
        "probe ranking, first",
        "ms",
        lambda size: _rank_first(size, INSTANCES_TODAY),
    )
    yield by_size(
        "probe ranking, one joined",
        "ms",
        lambda size: _rank_again(size, INSTANCES_TODAY),
    )
    yield by_size("list of servers, size", "byte", lambda size: len(_list(size)))
    yield by_size("list of servers, decode", "ms", decode_list)


def measure_services() -> Iterable[Series]:
    """Measure what grows with the number of services and rules."""
    sizes = (65, 130, 260, 520)

    def route(size: int) -> float:
        configuration = build_configuration(size, size)
        return processor_ms(lambda: make_router(configuration))

    def match(size: int) -> float:
        match_rule = make_router(build_configuration(size, size))
        path = f"/service-{size - 1}/kind-3/item"
        return processor_ms(lambda: [match_rule("GET", path) for _ in range(1000)])

    yield _series(
        "router rebuild", ("rule", "ms"), [4 * n for n in sizes], _per_4(route)
    )
    yield _series(
        "1000 route look-ups", ("rule", "ms"), [4 * n for n in sizes], _per_4(match)
    )
    yield _series(
        "services, table first",
        ("service", "ms"),
        sizes,
        lambda size: processor_ms(lambda: _table(build_configuration(5_000, size))),
    )


def _per_4(measure: Callable[[int], float]) -> Callable[[int], float]:
    return lambda rules: measure(rules // 4)


def measure_instances() -> Iterable[Series]:
    """Measure what grows with the number of instances."""

    def by_size(name: str, unit: str, measure: Callable) -> Series:
        return _series(name, ("instance", unit), INSTANCE_SIZES, measure)

    def timed(run: Callable[[dict[str, Known], Random], Any]) -> Callable:
        def measure(size: int) -> float:
            view, rng = build_view(size), Random(SEED)
            return processor_ms(lambda: [run(view, rng) for _ in range(20)]) / 20

        return measure

    def heartbeat(size: int) -> bytes:
        view = build_view(size)
        members = pick_entries(view, MAX_MEMBERS, 0.0, Random(SEED))
        own = next(iter(view.values())).entry
        message = Heartbeat(own, 1, Stamp(1_700_000_000_000, 0), members, (), ())
        return encode_message(message, KEY)

    def recode(size: int) -> float:
        data = heartbeat(size)
        message = decode_message(data, KEY)
        return (
            processor_ms(
                lambda: [
                    decode_message(encode_message(message, KEY), KEY)
                    for _ in range(100)
                ]
            )
            / 100
        )

    contacts = {
        size: tuple(f"10.9.{n >> 8}.{n & 255}:8100" for n in range(size))
        for size in INSTANCE_SIZES
    }

    yield by_size(
        "membership memory",
        "byte",
        lambda size: memory_bytes(lambda: build_view(size)),
    )
    yield by_size("heartbeat size without samples", "byte", lambda n: len(heartbeat(n)))
    yield by_size("heartbeat encode and decode", "ms", recode)
    yield by_size(
        "heartbeat targets",
        "ms",
        timed(
            lambda view, rng: pick_targets(
                view, contacts[len(view)], HEARTBEAT_FAN_OUT, 0.0, rng
            )
        ),
    )
    yield by_size(
        "heartbeat entries",
        "ms",
        timed(lambda view, rng: pick_entries(view, MAX_MEMBERS, 0.0, rng)),
    )
    yield by_size("members list", "ms", timed(lambda view, rng: list_members(view, 0)))
    yield by_size(
        "probe ranking, 2000 servers", "ms", lambda size: _rank_first(2_000, size)
    )
    yield _series(
        "live instances held suspect",
        ("instance", "%"),
        GOSSIP_SIZES,
        lambda size: run_gossip(size, True).suspect_percent,
    )


def measure_spread() -> Iterable[Series]:
    """Measure how a head spreads, up to the instances of the design size."""
    spread = {size: run_gossip(size, False) for size in SPREAD_SIZES}
    units = ("instance", "hop"), ("instance", "round")
    yield _series("head, hops", units[0], SPREAD_SIZES, lambda n: spread[n].hops)
    yield _series("head, rounds", units[1], SPREAD_SIZES, lambda n: spread[n].rounds)


class Gossip(NamedTuple):
    """
    How a head spread, and the state of the views it met.

    ``hops`` counts the immediate messages in a row; ``rounds`` the rounds of
    regular heartbeats that followed until all instances knew the head.
    """

    suspect_percent: float
    hops: int
    rounds: int


def run_gossip(count: int, is_aged: bool) -> Gossip:
    """
    Run heartbeats round by round, then tell one instance a new head.

    No message is lost.

    :param count: number of instances.
    :param is_aged: run long enough for views to age; otherwise all instances
        have just heard of each other.
    """
    rng = Random(SEED)
    addresses = {f"10.9.{n >> 8}.{n & 255}:8100": n for n in range(count)}
    ids = [f"entry-{n}" for n in range(count)]
    all_known = build_view(count)
    views = [all_known.copy() for _ in range(count)]
    own = [view.pop(ids[n]).entry for n, view in enumerate(views)]
    knowing: set[int] = set()

    def beat(n: int, fan_out: int, now_ms: float) -> list[int]:
        own[n] = own[n]._replace(heartbeat=own[n].heartbeat + 1)
        # Contacts that the view holds already would change nothing.
        targets = pick_targets(views[n], (), fan_out, now_ms, rng)
        for target in targets:
            entries = pick_entries(views[n], MAX_MEMBERS, now_ms, rng)
            view = views[addresses[target]]
            for entry in (own[n], *entries):
                if entry.instance_id != ids[addresses[target]]:
                    merge_entry(view, entry, now_ms)
        return [addresses[target] for target in targets]

    def beat_all(now_ms: float) -> set[int]:
        told: set[int] = set()
        for n in range(count):
            targets = beat(n, HEARTBEAT_FAN_OUT, now_ms)
            if n in knowing:
                told.update(targets)
        return told - knowing

    now_ms = 0.0
    # Long enough that entries which are not refreshed become suspect.
    limit_ms = -live_since_ms(views[0], 0.0)
    rounds = int(1.1 * limit_ms / HEARTBEAT_INTERVAL_MS) + 10
    for _ in range(rounds if is_aged else 0):
        now_ms += HEARTBEAT_INTERVAL_MS
        beat_all(now_ms)
    suspects = sum(
        known.heard_ms < live_since_ms(view, now_ms)
        for view in views
        for known in view.values()
    )
    hops = rounds = 0
    new = {0}
    while rounds < SPREAD_ROUNDS_MAX:
        while new:
            knowing |= new
            told = {t for n in new for t in beat(n, HEAD_FAN_OUT, now_ms)}
            new = told - knowing
            hops += 1
        if len(knowing) == count:
            break
        now_ms += HEARTBEAT_INTERVAL_MS
        rounds += 1
        new = beat_all(now_ms)
    return Gossip(100.0 * suspects / (count * (count - 1)), hops, rounds)


def measure_notes() -> Iterable[Series]:
    """Measure what grows with the number of notes."""
    sizes = (50, 100, 200, 400)

    def replay(size: int) -> float:
        first = build_configuration(20_000, SERVICES)
        notes = [build_note(n) for n in range(2, 2 + size)]

        def run() -> None:
            configuration = first
            for note in notes:
                configuration = apply_note(configuration, note)

        return processor_ms(run)

    def row_bytes(size: int) -> int:
        return sum(len(encode_note(build_note(n).note)) for n in range(size))

    def recent(size: int) -> float:
        return memory_bytes(lambda: [build_note(n) for n in range(size)])

    units = ("note", "ms")
    yield _series("replay, 20000 servers", units, sizes, replay)
    yield _series("note rows", ("note", "byte"), sizes, row_bytes)
    yield _series("recent notes memory", ("note", "byte"), sizes, recent)


def measure_timeline() -> Iterable[Series]:
    """Measure what grows with the number of events kept."""
    sizes = (2_500, 5_000, 10_000, 20_000)

    def record(size: int) -> Timeline:
        kernel = Kernel()
        timeline = Timeline(kernel, "entry-0")
        kernel.register(timeline)
        for number in range(size):
            details = {"server": f"b-{number}", "reason": "silent"}
            event = EventRecorded("dispatch", "retried", f"id-{number}", 0, details)
            kernel.send("timeline", event)
            if number % 100 == 0:
                kernel.tick()
        kernel.tick()
        kernel.close()
        return timeline

    yield _series(
        "timeline memory",
        ("event", "byte"),
        sizes,
        lambda size: memory_bytes(lambda: record(size)),
    )
    yield _series(
        "timeline record",
        ("event", "ms"),
        sizes,
        lambda size: processor_ms(lambda: record(size)),
    )
