"""Cost of decisions, codecs and services by size, measured in this process."""

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
    HeartbeatEntry,
    KnownInstance,
    list_members,
    live_cutoff_ms,
    merge_entry,
    pick_entries,
    pick_targets,
)
from cuminhatch.decisions.notes import AcceptedNote, Note, NoteItem, check_note
from cuminhatch.decisions.permits import PROBE, Permit, PermitView
from cuminhatch.decisions.platform import InstanceList, ListedInstance
from cuminhatch.decisions.probing import make_permit_selector, start_schedule, take_due
from cuminhatch.decisions.routing import make_router
from cuminhatch.kernel import Kernel
from cuminhatch.messages import EventRecorded
from cuminhatch.services import Timeline
from cuminhatch.services.dispatch._server_table import ServerTable
from cuminhatch.services.peers import (
    HEAD_FAN_OUT,
    HEARTBEAT_FAN_OUT,
    HEARTBEAT_INTERVAL_MS,
    MAX_MEMBERS_PER_HEARTBEAT,
)

SEED = 1
REPEATS = 3
SERVICES = 520
CURRENT_INSTANCES = 18
DOMAINS = 16
PEERS_KEY = b"bench-peers-key"
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


def cpu_ms(run: Callable[[], Any]) -> float:
    """
    Return the lowest CPU time of several runs, in milliseconds.

    :param run: called once per run.
    """
    times = []
    for _ in range(REPEATS):
        started_s = time.process_time()
        run()
        times.append((time.process_time() - started_s) * 1000.0)
    return min(times)


def memory_bytes(build: Callable[[], Any]) -> float:
    """
    Return the memory that a value holds, in bytes.

    :param build: returns the value.
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


def build_membership_view(count: int, now_ms: float = 0.0) -> dict[str, KnownInstance]:
    """
    Return a membership view, with a fresh heartbeat of every instance.

    :param count: number of instances.
    :param now_ms: monotonic time in milliseconds.
    """
    return {
        f"entry-{n}": KnownInstance(
            HeartbeatEntry(
                f"entry-{n}", f"10.9.{n >> 8}.{n & 255}", 8100, 1_700_000, 1, False
            ),
            now_ms,
        )
        for n in range(count)
    }


def _series(
    name: str, units: tuple[str, str], sizes: Iterable[int], measure: Callable
) -> Series:
    points = tuple((float(size), float(measure(size))) for size in sizes)
    return Series(name, *units, points)


def _build_table(configuration: Configuration) -> ServerTable:
    table = ServerTable("domain-0")
    table.apply(configuration, 0.0)
    return table


def _apply_to_table(size: int) -> float:
    configuration = build_configuration(size, SERVICES)
    table = _build_table(configuration)
    times = []
    for sequence in range(2, 2 + REPEATS):
        configuration = apply_note(configuration, build_note(sequence))
        started_s = time.process_time()
        table.apply(configuration, 0.0)
        times.append((time.process_time() - started_s) * 1000.0)
    return min(times)


def _build_permit_views(size: int) -> dict[Permit, PermitView]:
    permits = (Permit(PROBE, f"b-{n}", 0) for n in range(size))
    return {permit: PermitView(permit) for permit in permits}


def _encode_server_list(size: int) -> bytes:
    entries = (
        ListedInstance(f"b-{n}", f"10.0.{n >> 8}.{n & 255}:9000", "backend", "live")
        for n in range(size)
    )
    return encode_instances(InstanceList(tuple(entries)))


def _measure_ranking(servers: int, instances: int) -> float:
    server_ids = {f"b-{n}": n for n in range(servers)}.keys()
    live_ids = [f"entry-{n}" for n in range(instances)]
    return cpu_ms(lambda: make_permit_selector("entry-0")(server_ids, live_ids))


def _measure_ranking_after_join(servers: int, instances: int) -> float:
    """Measure ranking after one server and one instance have joined."""
    server_ids = {f"b-{n}": n for n in range(servers + REPEATS)}
    live_ids = [f"entry-{n}" for n in range(instances + REPEATS)]
    select_servers = make_permit_selector("entry-0")
    select_servers(
        dict(list(server_ids.items())[:servers]).keys(), live_ids[:instances]
    )
    times = []
    for joined in range(1, 1 + REPEATS):
        ids = dict(list(server_ids.items())[: servers + joined]).keys()
        started_s = time.process_time()
        select_servers(ids, live_ids[: instances + joined])
        times.append((time.process_time() - started_s) * 1000.0)
    return min(times)


def measure_servers() -> Iterable[Series]:
    """Measure what grows with the number of backend servers."""

    def measure_by_size(name: str, unit: str, measure: Callable) -> Series:
        return _series(name, ("server", unit), SERVER_SIZES, measure)

    def build(size: int) -> Configuration:
        return build_configuration(size, SERVICES)

    def timed(run: Callable[[Configuration], Any]) -> Callable[[int], float]:
        def measure(size: int) -> float:
            configuration = build(size)
            return cpu_ms(lambda: run(configuration))

        return measure

    def decode(size: int) -> float:
        data = encode_snapshot(build(size))
        return cpu_ms(lambda: decode_snapshot(data))

    def decode_list(size: int) -> float:
        data = _encode_server_list(size)
        return cpu_ms(lambda: decode_instances(data))

    def plan_probes(size: int) -> float:
        plans = {f"b-{n}": start_schedule(2.0, 0.0) for n in range(size)}
        return cpu_ms(lambda: take_due(plans, 0.0))

    def table_memory(size: int) -> float:
        configuration = build(size)
        return memory_bytes(lambda: _build_table(configuration))

    note = build_note(2)
    yield measure_by_size(
        "configuration memory", "byte", lambda size: memory_bytes(lambda: build(size))
    )
    yield measure_by_size("server table memory", "byte", table_memory)
    yield measure_by_size(
        "permit view memory",
        "byte",
        lambda size: memory_bytes(lambda: _build_permit_views(size)),
    )
    yield measure_by_size("note check", "ms", timed(lambda c: check_note(c, note.note)))
    yield measure_by_size("note apply", "ms", timed(lambda c: apply_note(c, note)))
    yield measure_by_size("server table, first", "ms", timed(_build_table))
    yield measure_by_size("server table, one note", "ms", _apply_to_table)
    yield measure_by_size("snapshot encode", "ms", timed(encode_snapshot))
    yield measure_by_size("snapshot decode", "ms", decode)
    yield measure_by_size(
        "snapshot size", "byte", lambda size: len(encode_snapshot(build(size)))
    )
    yield measure_by_size("probe plans, one tick", "ms", plan_probes)
    yield measure_by_size(
        "probe ranking, first",
        "ms",
        lambda size: _measure_ranking(size, CURRENT_INSTANCES),
    )
    yield measure_by_size(
        "probe ranking, one joined",
        "ms",
        lambda size: _measure_ranking_after_join(size, CURRENT_INSTANCES),
    )
    yield measure_by_size(
        "list of servers, size", "byte", lambda size: len(_encode_server_list(size))
    )
    yield measure_by_size("list of servers, decode", "ms", decode_list)


def measure_services() -> Iterable[Series]:
    """Measure what grows with the number of services and rules."""
    sizes = (65, 130, 260, 520)

    def route(size: int) -> float:
        configuration = build_configuration(size, size)
        return cpu_ms(lambda: make_router(configuration))

    def match(size: int) -> float:
        match_rule = make_router(build_configuration(size, size))
        path = f"/service-{size - 1}/kind-3/item"
        return cpu_ms(lambda: [match_rule("GET", path) for _ in range(1000)])

    yield _series(
        "router rebuild",
        ("rule", "ms"),
        [4 * n for n in sizes],
        _measure_by_rule_count(route),
    )
    yield _series(
        "1000 route look-ups",
        ("rule", "ms"),
        [4 * n for n in sizes],
        _measure_by_rule_count(match),
    )
    yield _series(
        "services, table first",
        ("service", "ms"),
        sizes,
        lambda size: cpu_ms(lambda: _build_table(build_configuration(5_000, size))),
    )


def _measure_by_rule_count(measure: Callable[[int], float]) -> Callable[[int], float]:
    return lambda rules: measure(rules // 4)


def measure_instances() -> Iterable[Series]:
    """Measure what grows with the number of instances."""

    def measure_by_size(name: str, unit: str, measure: Callable) -> Series:
        return _series(name, ("instance", unit), INSTANCE_SIZES, measure)

    def timed(run: Callable[[dict[str, KnownInstance], Random], Any]) -> Callable:
        def measure(size: int) -> float:
            view, rng = build_membership_view(size), Random(SEED)
            return cpu_ms(lambda: [run(view, rng) for _ in range(20)]) / 20

        return measure

    def heartbeat(size: int) -> bytes:
        view = build_membership_view(size)
        members = pick_entries(view, MAX_MEMBERS_PER_HEARTBEAT, 0.0, Random(SEED))
        own = next(iter(view.values())).entry
        message = Heartbeat(own, 1, Stamp(1_700_000_000_000, 0), members, (), ())
        return encode_message(message, PEERS_KEY)

    def recode(size: int) -> float:
        data = heartbeat(size)
        message = decode_message(data, PEERS_KEY)
        return (
            cpu_ms(
                lambda: [
                    decode_message(encode_message(message, PEERS_KEY), PEERS_KEY)
                    for _ in range(100)
                ]
            )
            / 100
        )

    contacts = {
        size: tuple(f"10.9.{n >> 8}.{n & 255}:8100" for n in range(size))
        for size in INSTANCE_SIZES
    }

    yield measure_by_size(
        "membership memory",
        "byte",
        lambda size: memory_bytes(lambda: build_membership_view(size)),
    )
    yield measure_by_size(
        "heartbeat size without samples", "byte", lambda n: len(heartbeat(n))
    )
    yield measure_by_size("heartbeat encode and decode", "ms", recode)
    yield measure_by_size(
        "heartbeat targets",
        "ms",
        timed(
            lambda view, rng: pick_targets(
                view, contacts[len(view)], HEARTBEAT_FAN_OUT, 0.0, rng
            )
        ),
    )
    yield measure_by_size(
        "heartbeat entries",
        "ms",
        timed(
            lambda view, rng: pick_entries(view, MAX_MEMBERS_PER_HEARTBEAT, 0.0, rng)
        ),
    )
    yield measure_by_size(
        "members list", "ms", timed(lambda view, rng: list_members(view, 0))
    )
    yield measure_by_size(
        "probe ranking, 2000 servers", "ms", lambda size: _measure_ranking(2_000, size)
    )
    yield _series(
        "live instances held suspect",
        ("instance", "%"),
        GOSSIP_SIZES,
        lambda size: simulate_gossip(size, True).suspect_percent,
    )


def measure_spread() -> Iterable[Series]:
    """
    Measure how fast a new head reaches all instances.

    The head is the sequence number of the latest note. The sizes go up to the
    design size.
    """
    spread = {size: simulate_gossip(size, False) for size in SPREAD_SIZES}
    units = ("instance", "hop"), ("instance", "round")
    yield _series("head, hops", units[0], SPREAD_SIZES, lambda n: spread[n].hops)
    yield _series("head, rounds", units[1], SPREAD_SIZES, lambda n: spread[n].rounds)


class GossipResult(NamedTuple):
    """
    How a new head spread, and the state of the views before that.

    ``hops`` counts the steps in which informed instances forward the head at
    once; ``rounds`` counts the regular heartbeat rounds until all instances
    know the head. ``suspect_percent`` is the share of suspect entries.
    """

    suspect_percent: float
    hops: int
    rounds: int


def simulate_gossip(count: int, has_aged_views: bool) -> GossipResult:
    """
    Simulate heartbeat rounds, then give one instance a new head.

    No message is lost.

    :param count: number of instances.
    :param has_aged_views: whether heartbeat rounds come first, so many that
        entries which are not refreshed become suspect; otherwise every view
        starts with fresh heartbeats.
    """
    rng = Random(SEED)
    addresses = {f"10.9.{n >> 8}.{n & 255}:8100": n for n in range(count)}
    ids = [f"entry-{n}" for n in range(count)]
    all_known = build_membership_view(count)
    views = [all_known.copy() for _ in range(count)]
    own = [view.pop(ids[n]).entry for n, view in enumerate(views)]
    informed: set[int] = set()

    def send_heartbeats(n: int, fan_out: int, now_ms: float) -> list[int]:
        own[n] = own[n]._replace(heartbeat=own[n].heartbeat + 1)
        # All contacts are in the view already, so none are passed.
        targets = pick_targets(views[n], (), fan_out, now_ms, rng)
        for target in targets:
            entries = pick_entries(views[n], MAX_MEMBERS_PER_HEARTBEAT, now_ms, rng)
            view = views[addresses[target]]
            for entry in (own[n], *entries):
                if entry.instance_id != ids[addresses[target]]:
                    merge_entry(view, entry, now_ms)
        return [addresses[target] for target in targets]

    def send_all_heartbeats(now_ms: float) -> set[int]:
        receivers: set[int] = set()
        for n in range(count):
            targets = send_heartbeats(n, HEARTBEAT_FAN_OUT, now_ms)
            if n in informed:
                receivers.update(targets)
        return receivers - informed

    now_ms = 0.0
    # Long enough for entries that are not refreshed to become suspect.
    limit_ms = -live_cutoff_ms(views[0], 0.0)
    rounds = int(1.1 * limit_ms / HEARTBEAT_INTERVAL_MS) + 10
    for _ in range(rounds if has_aged_views else 0):
        now_ms += HEARTBEAT_INTERVAL_MS
        send_all_heartbeats(now_ms)
    suspects = sum(
        known.last_heard_ms < live_cutoff_ms(view, now_ms)
        for view in views
        for known in view.values()
    )
    hops = rounds = 0
    newly_informed = {0}
    while rounds < SPREAD_ROUNDS_MAX:
        while newly_informed:
            informed |= newly_informed
            receivers = {
                t
                for n in newly_informed
                for t in send_heartbeats(n, HEAD_FAN_OUT, now_ms)
            }
            newly_informed = receivers - informed
            hops += 1
        if len(informed) == count:
            break
        now_ms += HEARTBEAT_INTERVAL_MS
        rounds += 1
        newly_informed = send_all_heartbeats(now_ms)
    return GossipResult(100.0 * suspects / (count * (count - 1)), hops, rounds)


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

        return cpu_ms(run)

    def row_bytes(size: int) -> int:
        return sum(len(encode_note(build_note(n).note)) for n in range(size))

    def recent(size: int) -> float:
        return memory_bytes(lambda: [build_note(n) for n in range(size)])

    units = ("note", "ms")
    yield _series("replay, 20000 servers", units, sizes, replay)
    yield _series("note rows", ("note", "byte"), sizes, row_bytes)
    yield _series("recent notes memory", ("note", "byte"), sizes, recent)


def measure_timeline() -> Iterable[Series]:
    """Measure what grows with the number of events in the timeline."""
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
        lambda size: cpu_ms(lambda: record(size)),
    )
