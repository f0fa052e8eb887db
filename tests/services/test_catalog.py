"""Tests of the catalog: readings, news, pulls; with a fake store."""

from random import Random
from types import MappingProxyType

import pytest

from cuminhatch.clock import ManualClock
from cuminhatch.codecs.catalog_thrift import (
    CatalogMember,
    CatalogNews,
    CatalogState,
    Greeting,
    decode_message,
    encode_message,
)
from cuminhatch.codecs.http1 import RequestHead
from cuminhatch.decisions.catalog import (
    LAPSE_GRACE_MS,
    CatalogChange,
    ConfigurationDocument,
    Registration,
)
from cuminhatch.decisions.configuration import (
    EMPTY_CONFIGURATION,
    BackendServer,
    ServiceSpec,
)
from cuminhatch.decisions.reading_turns import READ_INTERVAL_MS, REFUSED_PAUSE_MS
from cuminhatch.errors import CodecError
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
    EnrolledRead,
    EnrolledRequested,
    EnrolmentRequested,
    EnrolmentStored,
    InstancesCounted,
    RegistrationsRead,
    RegistrationsRequested,
    StoreUnavailable,
)
from cuminhatch.services.catalog import CatalogService
from cuminhatch.services.catalog._beliefs import publish
from cuminhatch.services.catalog._members import add_members, on_greeting
from cuminhatch.services.catalog._pulls import on_news
from tests.support import Recorder

KEY = b"key"
PEER = CatalogMember("front-9", "127.0.0.1", 9)


def decode(data):
    if not data.startswith(b"r"):
        raise CodecError("no version")
    configuration = EMPTY_CONFIGURATION._replace(
        sequence=int(data[1:]), services=MappingProxyType({"s": ServiceSpec("s")})
    )
    return ConfigurationDocument(configuration, {"s": 200})


def make_rows(*names, **fields):
    return {
        name: Registration(
            BackendServer(name, "s", "10.0.0.1", 80, "here", 3, 0, **fields), 1
        )
        for name in names
    }


class Store:
    """The fake store; ``None`` for the rows is an outage."""

    def __init__(self):
        self.version = 10
        self.rows = make_rows("a")
        self.document = b"r1"
        self.reads = 0

    def registrations(self, message):
        self.reads += 1
        if self.rows is None:
            return StoreUnavailable(message.token, "down")
        return RegistrationsRead(message.token, self.version, dict(self.rows), ())

    def configuration(self, message):
        if self.rows is None:
            return StoreUnavailable(message.token, "down")
        return ConfigurationRead(message.token, self.document)

    def set(self, rows):
        self.version += 1
        self.rows = rows


class World:
    """The catalog, its neighbours, and what they got."""

    def __init__(self):
        self.clock = ManualClock(100_000.0)
        self.kernel = Kernel(self.clock)
        self.store = Store()
        replies = {
            RegistrationsRequested: self.store.registrations,
            ConfigurationRequested: self.store.configuration,
            EnrolmentRequested: lambda message: EnrolmentStored(message.token),
            EnrolledRequested: lambda message: EnrolledRead(message.token, {}),
        }
        self.neighbours = {
            name: self.kernel.register(Recorder(self.kernel, name, *kinds))
            for name, kinds in (
                ("forwarding", (ConfigurationChanged, InstancesCounted)),
                ("http_client", (HttpRequested,)),
                ("catalog_port", (ResponseStarted,)),
                (SUPERVISOR, (ReadinessChanged,)),
            )
        }
        self.kernel.register(Recorder(self.kernel, "store", replies=replies))
        self.catalog = self.kernel.register(
            CatalogService(
                self.kernel,
                "front-1",
                Address("127.0.0.1", 0),
                KEY.decode(),
                (),
                decode,
                Random(1),
            )
        )
        self.sent = []
        self.view = self.catalog._view
        self.view.send_bytes = lambda address, data: self.sent.append(
            decode_message(data, KEY)
        )
        self.catalog.open()
        self.run()

    def run(self):
        for _ in range(8):
            self.kernel.tick()

    def advance(self, ms):
        while ms > 0:
            step = min(ms, 50.0)
            self.clock.advance(step)
            ms -= step
            self.run()

    def hear(self, version, changed=(), removed=(), previous=10, configuration=1):
        change = CatalogChange(previous, version, tuple(changed), tuple(removed))
        on_news(self.view, CatalogNews(PEER, change, configuration, False))
        self.run()

    def received(self, name):
        return self.neighbours[name].received

    @property
    def configuration(self):
        changes = [
            m for m in self.received("forwarding") if type(m) is ConfigurationChanged
        ]
        return changes[-1].configuration if changes else None

    def pull(self, configuration=0, version=0):
        """Return the state that another instance gets."""
        query = f"configuration={configuration}&version={version}"
        target = f"/catalog?{query}".encode()
        head = RequestHead(b"GET", target, ())
        self.kernel.send("catalog", RequestReceived(1, head, 0, b"", True, 0.0))
        self.run()
        return decode_message(self.received("catalog_port")[-1].data, KEY)


@pytest.fixture
def world():
    made = World()
    yield made
    made.kernel.close()


def test_first_reading_makes_the_instance_ready(world):
    """Guards against an instance that waits for others that wait as well."""
    assert list(world.configuration.servers) == ["a"]
    assert world.configuration.servers["a"].connections == 200
    assert world.received(SUPERVISOR)[-1].is_ready


def test_instance_without_a_configuration_is_not_ready():
    """Guards against callers at an instance that knows no route."""
    made = World()
    made.kernel.close()
    made.view.document = None
    made.received(SUPERVISOR).clear()
    publish(made.view)
    assert not made.received(SUPERVISOR)


def test_reader_goes_on_at_a_steady_pace(world):
    """Guards against calls beyond the pace, which are priced."""
    before = world.store.reads
    world.advance(READ_INTERVAL_MS * 10)
    assert 9 <= world.store.reads - before <= 11


def test_news_of_a_reader_replace_own_readings(world):
    """Guards against every instance reading the store."""
    world.view.turn = world.view.turn._replace(reader_id="front-9")
    before = world.store.reads
    for _ in range(20):
        world.hear(world.view.catalog.version + 1)
        world.advance(READ_INTERVAL_MS)
    assert world.store.reads == before


def test_silent_reader_is_replaced(world):
    """Guards against a leaving server that nobody hears of."""
    world.hear(11)
    world.view.turn = world.view.turn._replace(reader_id="front-9")
    before = world.store.reads
    world.advance(1_400.0)
    assert world.store.reads > before


def test_refused_instance_pauses(world):
    """Guards against calls that are refused one after the other."""
    world.store.rows = None
    before = world.store.reads
    world.advance(REFUSED_PAUSE_MS * 3 + 600.0)
    assert world.store.reads - before <= 5
    assert list(world.configuration.servers) == ["a"], "what is known holds"


def test_draining_is_heard_from_another_reader(world):
    """Guards against requests to a leaving server where the store is cut."""
    (drained,) = make_rows("a", is_draining=True).values()
    world.hear(12, changed=(drained,))
    assert world.configuration.servers["a"].is_draining


def test_missed_news_are_pulled(world):
    """Guards against a lost datagram that leaves an instance behind."""
    world.hear(20, previous=15)
    (request,) = world.received("http_client")
    assert request.address == Address(PEER.host, PEER.port)
    state = CatalogState(20, tuple(make_rows("b").values()), 3, b"r3")
    reply = HttpReplied(request.token, 200, (), encode_message(state, KEY))
    world.kernel.send("catalog", reply)
    world.run()
    assert list(world.configuration.servers) == ["b"]
    assert world.configuration.sequence == 3


def test_newer_configuration_is_pulled_and_older_ones_are_ignored(world):
    """Guards against an instance that goes back to an older version."""
    world.hear(11, configuration=5)
    (request,) = world.received("http_client")
    state = CatalogState(11, tuple(make_rows("a").values()), 5, b"r5")
    reply = HttpReplied(request.token, 200, (), encode_message(state, KEY))
    world.kernel.send("catalog", reply)
    world.run()
    assert world.configuration.sequence == 5
    world.store.document = b"r4"
    world.advance(3_000.0)
    assert world.configuration.sequence == 5
    world.store.document = b"broken"
    world.advance(3_000.0)
    assert world.configuration.sequence == 5
    world.store.document = b"r6"
    world.advance(3_000.0)
    assert world.configuration.sequence == 6


def test_state_for_others_leaves_out_what_they_know(world):
    """Guards against documents sent again and again between domains."""
    state = world.pull(0)
    assert (state.configuration_version, state.configuration) == (1, b"r1")
    assert [item.server.server_id for item in state.registrations] == ["a"]
    assert world.pull(1).configuration == b""
    assert world.pull(0, version=10).registrations is None
    assert world.pull(0, version=10).configuration == b"r1"
    assert world.pull(0, version=9).registrations is not None


def test_configuration_alone_leaves_the_registrations(world):
    """Guards against servers that a pull of a configuration takes away."""
    world.hear(11, configuration=5)
    (request,) = world.received("http_client")
    state = CatalogState(11, None, 5, b"r5")
    reply = HttpReplied(request.token, 200, (), encode_message(state, KEY))
    world.kernel.send("catalog", reply)
    world.run()
    assert world.configuration.sequence == 5
    assert list(world.configuration.servers) == ["a"]


def test_newer_state_is_not_told_from_memory(world):
    """Guards against an old state that is told again after a change."""
    before = world.pull(0)
    world.store.set(make_rows("a", "b"))
    world.advance(READ_INTERVAL_MS + 100.0)
    after = world.pull(0)
    assert len(before.registrations) == 1
    assert len(after.registrations) == 2


def test_servers_missing_after_an_outage_have_time_to_return(world):
    """Guards against no servers at all when the store comes back."""
    world.store.rows = None
    world.advance(6_000.0)
    world.store.set({})
    world.advance(REFUSED_PAUSE_MS + 600.0)
    assert list(world.configuration.servers) == ["a"]
    world.advance(LAPSE_GRACE_MS + READ_INTERVAL_MS)
    assert not world.configuration.servers


def test_server_missing_without_an_outage_is_gone(world):
    """Guards against requests to a server that has left."""
    world.store.set({})
    world.advance(READ_INTERVAL_MS + 100.0)
    assert not world.configuration.servers


def test_greeting_is_answered_with_members_and_news(world):
    """Guards against a new instance that finds nobody without the store."""
    world.sent.clear()
    on_greeting(world.view, Greeting(PEER, (), True))
    world.run()
    kinds = [type(message) for message in world.sent]
    assert kinds.count(CatalogNews) == 1
    assert Greeting in kinds
    assert InstancesCounted(2) in world.received("forwarding")


def test_same_state_is_not_published_again(world):
    """Guards against work on every instance for each heartbeat."""
    published = len(world.received("forwarding"))
    for _ in range(5):
        world.store.set(make_rows("a", warmup_left_ms=float(world.store.version)))
        world.advance(READ_INTERVAL_MS)
    assert len(world.received("forwarding")) == published


def test_failed_pull_goes_to_another_instance(world):
    """Guards against a fleet that waits for one overrun instance."""
    other = CatalogMember("front-5", "127.0.0.1", 5)
    add_members(world.view, (PEER, other))
    world.hear(20, previous=15)
    (request,) = world.received("http_client")
    failed = HttpFailed(request.token, "timeout", True)
    world.kernel.send("catalog", failed)
    world.run()
    assert len(world.received("http_client")) == 2


def test_malformed_pull_gets_the_whole_state(world):
    """Guards against a handler that fails on what a stranger sends."""
    state = world.pull("x", "-1")
    assert state.configuration == b"r1"
    assert state.registrations is not None
