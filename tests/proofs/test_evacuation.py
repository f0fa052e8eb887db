"""
Rule 6: 5 s after its acknowledgement an evacuation is in force everywhere.

Instances with the real ``catalog`` exchange messages over a network that
loses datagrams and cuts instances off; some freeze, restart, or are refused by
the store, which may be restored from a copy.
"""

from random import Random
from types import MappingProxyType

import pytest
from hypothesis import Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from cuminhatch.clock import ManualClock
from cuminhatch.codecs.catalog_thrift import CatalogNews, CatalogState, decode_message
from cuminhatch.codecs.http1 import RequestHead
from cuminhatch.decisions.catalog import CatalogChange, ConfigurationDocument
from cuminhatch.decisions.configuration import EMPTY_CONFIGURATION, ServiceSpec
from cuminhatch.decisions.evacuation import Evacuation
from cuminhatch.decisions.store_version import (
    NO_VERSION,
    ConfigurationVersion,
    StoreVersion,
)
from cuminhatch.kernel import SUPERVISOR, Kernel
from cuminhatch.messages import (
    Address,
    ConfigurationChanged,
    HttpFailed,
    HttpReplied,
    HttpRequested,
    ReadinessChanged,
    RequestReceived,
    ResponseStarted,
)
from cuminhatch.messages.catalog import (
    ConfigurationRead,
    ConfigurationRequested,
    InstanceCountChanged,
    InstanceRecordPutRequested,
    InstanceRecordsRead,
    InstanceRecordsRequested,
    InstanceRecordStored,
    RegistrationsRead,
    RegistrationsRequested,
    StoreUnavailable,
)
from cuminhatch.services.catalog import CatalogService, _members, _updates
from cuminhatch.services.catalog._members import on_greeting
from cuminhatch.services.catalog._pulls import apply_state, on_news
from cuminhatch.services.catalog._view import CatalogView
from tests.services.test_catalog import KEY, make_rows
from tests.support import Recorder

INSTANCES = 6
# Of these a third may be in trouble at once.
DISTURBED_MAX = 2
WITHIN_MS = 5_000.0
# Two messages of the reader after an instance is in touch again.
IN_TOUCH_MS = 1_500.0
TICK_MS = 50.0
HOST = "127.0.0.1"
DOMAINS = ("north", "south")
DOCUMENT = ConfigurationDocument(
    EMPTY_CONFIGURATION._replace(
        sequence=1, services=MappingProxyType({"s": ServiceSpec("s")})
    ),
    {"s": 200},
)
PROOF = settings(
    max_examples=25,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    database=None,
)
CATCH = settings(PROOF, max_examples=60, phases=[Phase.generate])


class Store:
    """Rows, versions and eras; refuses some instances."""

    def __init__(self, clock):
        self.clock = clock
        self.version = StoreVersion(1, 10)
        self.rows = make_rows("a")
        self.evacuated = frozenset()
        # When a domain was last evacuated or freed.
        self.changed_ms = dict.fromkeys(DOMAINS, float("-inf"))

    def set_evacuated(self, domains):
        for domain in domains ^ self.evacuated:
            self.changed_ms[domain] = self.clock.now_ms
        self.evacuated = domains
        self.version = self.version._replace(number=self.version.number + 1)

    def restore(self, domains):
        """Go back to an earlier version that has these domains."""
        self.set_evacuated(domains)
        self.version = StoreVersion(self.version.era + 1, 5)

    def read(self, message):
        return RegistrationsRead(message.token, self.version, dict(self.rows), ())

    def read_configuration(self, message):
        evacuation = Evacuation(self.version, self.evacuated)
        return ConfigurationRead(message.token, b"1", self.version.era, evacuation)


class Instance:
    """A process of an instance; a restart makes another one."""

    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        self.kernel = Kernel(fleet.clock)
        records = {f"front-{n}": Address(HOST, n) for n in range(1, INSTANCES + 1)}
        replies = {
            RegistrationsRequested: self.ask(fleet.store.read),
            ConfigurationRequested: self.ask(fleet.store.read_configuration),
            InstanceRecordPutRequested: self.ask(
                lambda message: InstanceRecordStored(message.token)
            ),
            InstanceRecordsRequested: self.ask(
                lambda message: InstanceRecordsRead(message.token, records)
            ),
        }
        self.kernel.register(Recorder(self.kernel, "store", replies=replies))
        self.calls = self.record("http_client", HttpRequested)
        self.responses = self.record("catalog_port", ResponseStarted)
        self.published = self.record(
            "forwarding", ConfigurationChanged, InstanceCountChanged
        )
        self.record(SUPERVISOR, ReadinessChanged)
        self.service = self.kernel.register(
            CatalogService(
                self.kernel,
                f"front-{number}",
                "here",
                Address(HOST, 0),
                KEY.decode(),
                (Address(HOST, 1), Address(HOST, 2)),
                lambda data: DOCUMENT,
                rng=Random(number),
                has_evacuations=True,
            )
        )
        self.view = self.service._view
        self.view.own = self.view.own._replace(port=number)
        self.view.send_bytes = self.service._send_bytes = self.send
        self.service.open()

    def record(self, name, *message_types):
        recorder = Recorder(self.kernel, name, *message_types)
        return self.kernel.register(recorder)

    def ask(self, reply):
        def answer(message):
            if self.number in self.fleet.refused | self.fleet.cut_off:
                return StoreUnavailable(message.token, "refused")
            return reply(message)

        return answer

    def send(self, address, data):
        if self.number not in self.fleet.cut_off:
            self.fleet.datagrams.append((address.port, data))

    @property
    def configuration(self):
        changes = [
            message
            for message in self.published.received
            if type(message) is ConfigurationChanged
        ]
        self.published.received[:] = changes[-1:]
        return changes[-1].configuration if changes else None


class Fleet(RuleBasedStateMachine):
    """The store, the instances and the network between them."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock(100_000.0)
        self.store = Store(self.clock)
        self.datagrams = []
        self.frozen, self.cut_off, self.refused = set(), set(), set()
        self.is_lossy = False
        # Since when an instance runs and reaches the others.
        numbers = range(1, INSTANCES + 1)
        self.in_touch_since_ms = dict.fromkeys(numbers, self.clock.now_ms)
        self.instances = {number: Instance(self, number) for number in numbers}
        self.advance(4_000.0)

    @property
    def disturbed(self):
        return self.frozen | self.cut_off | self.refused

    def advance(self, ms):
        for _ in range(int(ms / TICK_MS)):
            self.clock.advance(TICK_MS)
            for _ in range(3):
                self.tick()
            self.check()

    def tick(self):
        for number, instance in self.instances.items():
            if number not in self.frozen:
                for _ in range(4):
                    instance.kernel.tick()
        datagrams, self.datagrams = self.datagrams, []
        for number, data in datagrams:
            if number in self.frozen:
                # They wait in the buffer of its socket.
                self.datagrams.append((number, data))
            elif number not in self.cut_off:
                self.deliver(self.instances[number], decode_message(data, KEY))
        for number, instance in self.instances.items():
            if number not in self.frozen:
                self.answer_calls(instance)

    def deliver(self, instance, message):
        if self.is_lossy and isinstance(message, CatalogNews):
            self.is_lossy = False
            return
        is_news = isinstance(message, CatalogNews)
        (on_news if is_news else on_greeting)(instance.view, message)

    def answer_calls(self, instance):
        calls = list(instance.calls.received)
        instance.calls.received.clear()
        for call in calls:
            peer = self.instances[call.address.port]
            away = self.cut_off | self.frozen
            peer.responses.received.clear()
            if not {peer.number, instance.number} & away:
                head = RequestHead(b"GET", call.target, ())
                request = RequestReceived(1, head, 0, b"", True, 0.0)
                peer.kernel.send("catalog", request)
                for _ in range(4):
                    peer.kernel.tick()
            reply = HttpFailed(call.token, "timeout", True)
            if peer.responses.received:
                body = peer.responses.received[-1].data
                reply = HttpReplied(call.token, 200, (), body)
            instance.kernel.send("catalog", reply)

    def check(self):
        now_ms = self.clock.now_ms
        for number, instance in self.instances.items():
            configuration = instance.configuration
            since_ms = self.in_touch_since_ms[number]
            if configuration is None or number in self.frozen | self.cut_off:
                continue
            is_new = instance.view.evacuation is None
            for domain in DOMAINS:
                ready_ms = self.store.changed_ms[domain] + WITHIN_MS
                if now_ms < ready_ms or now_ms < since_ms + IN_TOUCH_MS and not is_new:
                    continue
                is_known = domain in configuration.evacuated_domains
                is_expected = domain in self.store.evacuated
                assert is_known == is_expected, f"{domain} on {number}"

    @rule(domain=st.sampled_from(DOMAINS))
    def change(self, domain):
        self.store.set_evacuated(self.store.evacuated ^ {domain})

    @rule(domains=st.sets(st.sampled_from(DOMAINS)))
    def restore(self, domains):
        self.store.restore(frozenset(domains))

    @rule(ms=st.sampled_from([100.0, 500.0, 1_000.0, 3_000.0, 6_000.0]))
    def wait(self, ms):
        self.advance(ms)

    @rule()
    def lose_one_datagram(self):
        self.is_lossy = True

    @rule(number=st.integers(1, INSTANCES))
    def restart(self, number):
        self.instances[number].kernel.close()
        self.instances[number] = Instance(self, number)
        self.frozen.discard(number)
        self.in_touch_since_ms[number] = self.clock.now_ms

    @precondition(lambda self: len(self.disturbed) < DISTURBED_MAX)
    @rule(
        number=st.integers(1, INSTANCES),
        trouble=st.sampled_from(["frozen", "cut_off", "refused"]),
    )
    def disturb(self, number, trouble):
        getattr(self, trouble).add(number)

    @precondition(lambda self: len(self.disturbed) < DISTURBED_MAX)
    @rule(trouble=st.sampled_from(["frozen", "cut_off", "refused"]))
    def disturb_reader(self, trouble):
        running = [i for n, i in self.instances.items() if n not in self.disturbed]
        reader_id = running[-1].view.latest_reads.reader_id or "front-1"
        self.disturb(int(reader_id.removeprefix("front-")), trouble)

    @precondition(lambda self: self.disturbed)
    @rule()
    def calm(self):
        for number in self.frozen | self.cut_off:
            self.in_touch_since_ms[number] = self.clock.now_ms
        for numbers in (self.frozen, self.cut_off, self.refused):
            numbers.clear()

    def teardown(self):
        for instance in self.instances.values():
            instance.kernel.close()


def test_evacuations_are_in_force_in_time():
    """Guards against requests to an evacuated domain after the bound."""
    run_state_machine_as_test(Fleet, settings=PROOF)


def take_any(known, other):
    """Replace what is known by anything that arrives."""
    return other or known


def forget(view, change, is_pull_needed, make_news=_members.make_news):
    """Leave the evacuated domains out of messages."""
    return make_news(view, change, is_pull_needed)._replace(evacuation=None)


def play_change(fleet):
    """Evacuate a domain without any trouble."""
    fleet.change("north")
    fleet.advance(6_000.0)


def play_old_message(fleet):
    """Deliver a message that the network has kept since before."""
    view = fleet.instances[1].view
    old = _members.make_news(view, _members.make_empty_change(view), False)
    play_change(fleet)
    fleet.deliver(fleet.instances[2], old)
    fleet.instances[2].kernel.tick()
    fleet.check()


def play_earlier_version(fleet):
    """Start an instance that gets the catalog from one of another version."""
    play_change(fleet)
    fleet.restart(3)
    change = CatalogChange(
        NO_VERSION, fleet.store.version, tuple(fleet.store.rows.values()), ()
    )
    state = CatalogState(change, True, ConfigurationVersion(1, 1), b"1")
    apply_state(fleet.instances[3].view, state)
    for _ in range(4):
        fleet.instances[3].kernel.tick()
    fleet.check()
    fleet.advance(3_000.0)
    assert fleet.instances[3].configuration is not None


# By fault: a schedule, and where the broken version goes.
BROKEN = {
    "older sets are applied": (
        play_old_message,
        (_updates, "choose_later", take_any),
    ),
    "messages tell no sets": (play_change, (_members, "make_news", forget)),
    "a new instance does not wait": (
        play_earlier_version,
        (CatalogView, "is_evacuation_awaited", False),
    ),
}


@pytest.mark.parametrize("fault", sorted(BROKEN))
def test_schedule_catches_only_the_broken_version(monkeypatch, fault):
    """Guards against a proof that misses faults that are rarely reached."""
    schedule, broken = BROKEN[fault]
    schedule(Fleet())
    monkeypatch.setattr(*broken)
    fleet = Fleet()
    with pytest.raises(AssertionError, match=" on "):
        schedule(fleet)
    fleet.teardown()


def test_fault_is_caught_by_search(monkeypatch):
    """Guards against a state machine that passes any version."""
    monkeypatch.setattr(_members, "make_news", forget)
    with pytest.raises(AssertionError, match=" on "):
        run_state_machine_as_test(Fleet, settings=CATCH)


@pytest.mark.parametrize("trouble", ["frozen", "cut_off", "refused"])
def test_reader_that_fails_after_the_acknowledgement_is_replaced(trouble):
    """Guards against an evacuation that only a failed reader knows of."""
    fleet = Fleet()
    fleet.change("north")
    fleet.disturb_reader(trouble)
    fleet.advance(6_000.0)
    fleet.calm()
    fleet.advance(2_000.0)
    fleet.teardown()


def test_store_that_refuses_a_third_delays_no_evacuation():
    """Guards against refused instances that do not hear of an evacuation."""
    fleet = Fleet()
    fleet.disturb_reader("refused")
    fleet.disturb_reader("refused")
    fleet.change("north")
    fleet.advance(6_000.0)
    fleet.teardown()


def test_instance_cut_off_hears_of_the_evacuation_on_its_return():
    """Guards against requests by an instance that was away meanwhile."""
    fleet = Fleet()
    fleet.disturb(3, "cut_off")
    fleet.change("north")
    fleet.advance(8_000.0)
    assert not fleet.instances[3].configuration.evacuated_domains
    fleet.calm()
    fleet.advance(2_000.0)
    assert fleet.instances[3].configuration.evacuated_domains == {"north"}
    fleet.teardown()
