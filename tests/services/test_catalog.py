"""Tests of the catalog service with a fake store and recorded messages."""

from random import Random
from types import MappingProxyType
from urllib.parse import urlencode

import pytest

from cuminhatch.clock import ManualClock
from cuminhatch.codecs.catalog_thrift import (
    CatalogMember,
    CatalogNews,
    CatalogReferral,
    CatalogState,
    Greeting,
    decode_message,
    encode_message,
)
from cuminhatch.codecs.http1 import RequestHead
from cuminhatch.decisions.catalog import (
    EXPIRY_GRACE_MS,
    HEARTBEATS_UNTIL_REMOVED,
    CatalogChange,
    ConfigurationDocument,
    Registration,
)
from cuminhatch.decisions.configuration import (
    EMPTY_CONFIGURATION,
    BackendServer,
    ServiceSpec,
)
from cuminhatch.decisions.reader_selection import READ_INTERVAL_MS, REFUSED_PAUSE_MS
from cuminhatch.decisions.store_version import (
    NO_VERSION,
    ConfigurationVersion,
    StoreVersion,
)
from cuminhatch.errors import CodecError
from cuminhatch.kernel import SUPERVISOR, Kernel
from cuminhatch.messages import (
    Address,
    ConfigurationChanged,
    EventRecorded,
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
    InstancesChanged,
    RegistrationsRead,
    RegistrationsRequested,
    StoreUnavailable,
)
from cuminhatch.services.catalog import CatalogService
from cuminhatch.services.catalog._members import add_members, on_greeting
from cuminhatch.services.catalog._pulls import on_news
from cuminhatch.services.catalog._timers import HEARTBEAT_MS
from cuminhatch.services.catalog._updates import publish_configuration
from tests.support import Recorder

KEY = b"key"
FORWARDING_MESSAGES = (ConfigurationChanged, InstanceCountChanged, InstancesChanged)
UNCONFIRMED = "registration_unconfirmed"
PEER = CatalogMember("front-9", "127.0.0.1", 9)


def decode_configuration(data):
    if not data.startswith(b"r"):
        raise CodecError("no version")
    configuration = EMPTY_CONFIGURATION._replace(
        sequence=int(data[1:].split()[0]),
        services=MappingProxyType({"s": ServiceSpec("s")}),
    )
    return ConfigurationDocument(configuration, {"s": 200})


def at(number, era=1):
    return StoreVersion(era, number)


def configuration_at(number, era=1):
    return ConfigurationVersion(number, era)


def make_rows(*names, row_version=1, era=1, sequence=0, **fields):
    return {
        name: Registration(
            BackendServer(name, "s", "10.0.0.1", 80, "here", 3, 0, **fields),
            at(row_version, era),
            sequence,
        )
        for name in names
    }


def make_full_change(version, *names):
    """Return a change that lists all registrations."""
    return CatalogChange(NO_VERSION, at(version), tuple(make_rows(*names).values()), ())


def server_ids(state):
    return [item.server.server_id for item in state.change.changed]


class Store:
    """A fake store, which is down while ``rows`` is None."""

    def __init__(self):
        self.version = 10
        self.era = 1
        self.rows = make_rows("a")
        self.document = b"r1"
        self.reads = 0
        self.records_stored = 0

    def read_registrations(self, message):
        self.reads += 1
        if self.rows is None:
            return StoreUnavailable(message.token, "down")
        version = at(self.version, self.era)
        return RegistrationsRead(message.token, version, dict(self.rows), ())

    def read_configuration(self, message):
        if self.rows is None:
            return StoreUnavailable(message.token, "down")
        return ConfigurationRead(message.token, self.document, self.era)

    def store_record(self, message):
        self.records_stored += 1
        return InstanceRecordStored(message.token)

    def set_rows(self, rows):
        self.version += 1
        self.rows = rows


class Harness:
    """The catalog service, with recorders in place of other services."""

    def __init__(self, seeds=(), is_first_start=False, is_store_down=False):
        self.clock = ManualClock(100_000.0)
        self.kernel = Kernel(self.clock)
        self.store = Store()
        if is_store_down:
            self.store.rows = None
        replies = {
            RegistrationsRequested: self.store.read_registrations,
            ConfigurationRequested: self.store.read_configuration,
            InstanceRecordPutRequested: self.store.store_record,
            InstanceRecordsRequested: lambda message: InstanceRecordsRead(
                message.token, {}
            ),
        }
        self.recorders = {
            name: self.kernel.register(Recorder(self.kernel, name, *kinds))
            for name, kinds in (
                ("forwarding", FORWARDING_MESSAGES),
                ("http_client", (HttpRequested,)),
                ("catalog_port", (ResponseStarted,)),
                (SUPERVISOR, (ReadinessChanged,)),
                ("event_log", (EventRecorded,)),
            )
        }
        self.kernel.register(Recorder(self.kernel, "store", replies=replies))
        self.catalog = self.kernel.register(
            CatalogService(
                self.kernel,
                "front-1",
                "here",
                Address("127.0.0.1", 0),
                KEY.decode(),
                seeds,
                decode_configuration,
                is_first_start,
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

    def receive_news(
        self,
        version,
        changed=(),
        removed=(),
        previous=10,
        configuration=1,
        instances=2,
        era=1,
    ):
        change = CatalogChange(
            at(previous), at(version, era), tuple(changed), tuple(removed)
        )
        announced = configuration_at(configuration, era)
        news = CatalogNews(PEER, change, announced, False, instances)
        on_news(self.view, news)
        self.run()

    def reply(self, request, message):
        """Reply to a pull that the catalog has sent."""
        reply = HttpReplied(request.token, 200, (), encode_message(message, KEY))
        self.kernel.send("catalog", reply)
        self.run()

    def received(self, name):
        return self.recorders[name].received

    @property
    def configuration(self):
        changes = [
            m for m in self.received("forwarding") if type(m) is ConfigurationChanged
        ]
        return changes[-1].configuration if changes else None

    def pull(self, configuration=0, version=0, era=1, **more):
        """Return the response to a pull of another instance."""
        known = {"configuration": f"{configuration}.{era}", "version": version}
        if isinstance(version, int):
            known["version"] = f"{era}.{version}"
        query = urlencode(known | more)
        target = f"/catalog?{query}".encode()
        head = RequestHead(b"GET", target, ())
        self.kernel.send("catalog", RequestReceived(1, head, 0, b"", True, 0.0))
        self.run()
        return decode_message(self.received("catalog_port")[-1].data, KEY)


@pytest.fixture
def harness():
    harness = Harness()
    yield harness
    harness.kernel.close()


def test_first_read_makes_the_instance_ready(harness):
    """Guards against instances that all wait for each other at the start."""
    assert list(harness.configuration.servers) == ["a"]
    assert harness.configuration.servers["a"].connections == 200
    assert harness.received(SUPERVISOR)[-1].is_ready


def test_instance_without_a_configuration_is_not_ready():
    """Guards against requests to an instance that has no routes yet."""
    harness = Harness()
    harness.kernel.close()
    harness.view.document = None
    harness.received(SUPERVISOR).clear()
    publish_configuration(harness.view)
    assert not harness.received(SUPERVISOR)


def test_reader_reads_at_a_steady_interval(harness):
    """Guards against needless calls to the store, which charges for each."""
    before = harness.store.reads
    harness.advance(READ_INTERVAL_MS * 10)
    assert 9 <= harness.store.reads - before <= 11


def test_news_of_a_reader_replaces_own_reads(harness):
    """Guards against every instance reading the store."""
    harness.view.latest_reads = harness.view.latest_reads._replace(reader_id="front-9")
    before = harness.store.reads
    for _ in range(20):
        harness.receive_news(harness.view.catalog.version.number + 1)
        harness.advance(READ_INTERVAL_MS)
    assert harness.store.reads == before


def test_silent_reader_is_replaced(harness):
    """Guards against missing a leaving server after a reader crashes."""
    harness.receive_news(11)
    harness.view.latest_reads = harness.view.latest_reads._replace(reader_id="front-9")
    before = harness.store.reads
    harness.advance(1_400.0)
    assert harness.store.reads > before


def test_instance_refused_by_the_store_backs_off(harness):
    """Guards against repeated calls to a store that refuses them."""
    harness.store.rows = None
    before = harness.store.reads
    harness.advance(REFUSED_PAUSE_MS * 3 + 600.0)
    assert harness.store.reads - before <= 5
    assert list(harness.configuration.servers) == ["a"], "known servers stay"


def test_store_that_is_lost_for_another_reason_is_logged_again(harness):
    """Guards against refused readings that look like a longer outage."""
    for reason in ("connection failed", "connection failed", "older response"):
        harness.kernel.send("catalog", StoreUnavailable(0, reason))
    harness.run()
    events = harness.received("event_log")
    reasons = [e.details["reason"] for e in events if e.name == "store_lost"]
    assert reasons == ["connection failed", "older response"]


def test_draining_is_learned_from_another_reader(harness):
    """Guards against requests to a draining server if the store is cut off."""
    (drained,) = make_rows("a", is_draining=True).values()
    harness.receive_news(12, changed=(drained,))
    assert harness.configuration.servers["a"].is_draining


def test_missed_changes_are_pulled(harness):
    """Guards against an instance that stays outdated after a lost datagram."""
    harness.receive_news(20, previous=15)
    (request,) = harness.received("http_client")
    assert request.address == Address(PEER.host, PEER.port)
    harness.reply(
        request,
        CatalogState(make_full_change(20, "b"), True, configuration_at(3), b"r3"),
    )
    assert list(harness.configuration.servers) == ["b"]
    assert harness.configuration.sequence == 3


def test_newer_configuration_is_pulled_and_older_ones_are_ignored(harness):
    """Guards against an instance that reverts to an older configuration."""
    harness.receive_news(11, configuration=5)
    (request,) = harness.received("http_client")
    harness.reply(
        request,
        CatalogState(make_full_change(11, "a"), True, configuration_at(5), b"r5"),
    )
    assert harness.configuration.sequence == 5
    harness.store.document = b"r4"
    harness.advance(3_000.0)
    assert harness.configuration.sequence == 5
    harness.store.document = b"broken"
    harness.advance(3_000.0)
    assert harness.configuration.sequence == 5
    harness.store.document = b"r6"
    harness.advance(3_000.0)
    assert harness.configuration.sequence == 6


def test_pull_response_leaves_out_known_versions(harness):
    """Guards against sending known documents between failure domains again."""
    state = harness.pull(0)
    assert state.configuration_version == configuration_at(1)
    assert state.configuration == b"r1"
    assert server_ids(state) == ["a"]
    assert harness.pull(1).configuration == b""
    assert harness.pull(0, version=10).change is None
    assert harness.pull(0, version=10).configuration == b"r1"
    assert harness.pull(0, version=9).change is not None


def test_state_without_registrations_keeps_the_known_ones(harness):
    """Guards against losing the servers with a pull of a configuration."""
    harness.receive_news(11, configuration=5)
    (request,) = harness.received("http_client")
    harness.reply(request, CatalogState(None, False, configuration_at(5), b"r5"))
    assert harness.configuration.sequence == 5
    assert list(harness.configuration.servers) == ["a"]


def test_cached_response_is_not_sent_after_a_change(harness):
    """Guards against an outdated response from the cache."""
    before = harness.pull(0)
    harness.store.set_rows(make_rows("a", "b"))
    harness.advance(READ_INTERVAL_MS + 100.0)
    after = harness.pull(0)
    assert len(before.change.changed) == 1
    assert len(after.change.changed) == 2


def test_pulls_pause_while_all_instances_refuse_them(harness):
    """Guards against a busy loop while the other instances are down."""
    pulls = 0

    def refuse(message):
        nonlocal pulls
        pulls += 1
        harness.kernel.send("catalog", HttpFailed(message.token, "refused", False))

    harness.recorders["http_client"].deliver = refuse
    harness.receive_news(20, make_rows("b").values(), previous=15)
    harness.advance(1_000.0)
    assert pulls <= 100


def test_servers_missing_after_an_outage_stay_for_a_grace_time(harness):
    """Guards against an empty catalog when the store comes back."""
    harness.store.rows = None
    harness.advance(6_000.0)
    harness.store.set_rows({})
    harness.advance(REFUSED_PAUSE_MS + 600.0)
    assert list(harness.configuration.servers) == ["a"]
    harness.advance(EXPIRY_GRACE_MS + READ_INTERVAL_MS)
    assert not harness.configuration.servers


def test_server_missing_without_an_outage_is_removed(harness):
    """Guards against requests to a server that has left."""
    harness.store.set_rows({})
    harness.advance(READ_INTERVAL_MS + 100.0)
    assert not harness.configuration.servers


def test_greeting_is_answered_with_members_and_news(harness):
    """Guards against a new instance that is isolated if the store is down."""
    harness.sent.clear()
    on_greeting(harness.view, Greeting(PEER, (), True))
    harness.run()
    kinds = [type(message) for message in harness.sent]
    assert kinds.count(CatalogNews) == 1
    assert Greeting in kinds
    assert InstanceCountChanged(2, 2) in harness.received("forwarding")


def test_unchanged_servers_are_not_published_again(harness):
    """Guards against work on every instance for each renewed registration."""
    published = len(harness.received("forwarding"))
    for _ in range(5):
        harness.store.set_rows(
            make_rows("a", warmup_left_ms=float(harness.store.version))
        )
        harness.advance(READ_INTERVAL_MS)
    assert len(harness.received("forwarding")) == published


def test_failed_pull_is_retried_at_another_instance(harness):
    """Guards against instances that all wait for one overloaded instance."""
    other = CatalogMember("front-5", "127.0.0.1", 5)
    add_members(harness.view, (PEER, other))
    harness.receive_news(20, previous=15)
    (request,) = harness.received("http_client")
    failed = HttpFailed(request.token, "timeout", True)
    harness.kernel.send("catalog", failed)
    harness.run()
    assert len(harness.received("http_client")) == 2


def test_malformed_pull_query_gets_the_whole_state(harness):
    """Guards against a handler that fails on a malformed query."""
    state = harness.pull("x", "-1")
    assert state.configuration == b"r1"
    assert state.change is not None and state.is_whole


def test_missed_changes_are_told_alone(harness):
    """
    Guards against sending the whole catalog for a few missing changes.

    If many servers join at once (24, with 142 instances), every instance pulls
    all registrations (395) from the same instance, and a new configuration
    waits behind these pulls and comes seconds late.
    """
    harness.store.set_rows(make_rows("a", "b"))
    harness.advance(READ_INTERVAL_MS + 100.0)
    state = harness.pull(1, version=10)
    assert server_ids(state) == ["b"]
    assert not state.is_whole
    assert server_ids(harness.pull(1, version=9)) == ["a", "b"]


def test_pulled_changes_are_applied(harness):
    """Guards against servers that are lost with a partial response."""
    harness.receive_news(20, previous=15)
    (request,) = harness.received("http_client")
    change = CatalogChange(at(10), at(20), tuple(make_rows("b").values()), ())
    harness.reply(request, CatalogState(change, False, configuration_at(1), b""))
    assert list(harness.configuration.servers) == ["a", "b"]
    assert server_ids(harness.pull(1, version=10)) == ["b"]


def make_long_document(harness):
    """Put a configuration in force that is long enough for referrals."""
    harness.view.document_bytes = Random(1).randbytes(8_000)
    harness.view.cached_responses.clear()


def pull_as(harness, name, domain="there", **more):
    member = CatalogMember(name, "127.0.0.1", 10)
    add_members(harness.view, (member,))
    return harness.pull(0, 10, instance=name, domain=domain, **more)


def test_long_answer_is_passed_on_within_each_failure_domain(harness):
    """Guards against one instance that sends a long document to all others."""
    make_long_document(harness)
    for domain in ("there", "elsewhere"):
        first = [pull_as(harness, f"{domain}-{n}", domain) for n in range(2)]
        assert all(isinstance(answer, CatalogState) for answer in first)
        later = [pull_as(harness, f"{domain}-{n}", domain) for n in range(2, 8)]
        holders = {answer.holder.instance_id for answer in later}
        assert holders == {f"{domain}-0", f"{domain}-1"}


def test_instance_gets_a_long_response_after_a_failed_referral(harness):
    """Guards against referrals to a dead instance that block the document."""
    make_long_document(harness)
    for number in range(2):
        pull_as(harness, f"there-{number}")
    assert isinstance(pull_as(harness, "there-5"), CatalogReferral)
    assert isinstance(pull_as(harness, "there-5", direct=1), CatalogState)
    assert isinstance(pull_as(harness, "there-0"), CatalogState), "asks once more"


def test_referral_is_followed_and_its_failure_returns_to_the_origin(harness):
    """Guards against an instance that stays outdated after a referral."""
    holder = CatalogMember("front-5", "127.0.0.1", 5)
    harness.receive_news(11, configuration=5)
    harness.reply(harness.received("http_client")[-1], CatalogReferral(holder))
    referred = harness.received("http_client")[-1]
    assert referred.address == Address("127.0.0.1", 5)
    harness.kernel.send("catalog", HttpFailed(referred.token, "timeout", True))
    harness.run()
    again = harness.received("http_client")[-1]
    assert again.address == Address(PEER.host, PEER.port)
    assert b"direct=1" in again.target


def test_empty_state_after_a_referral_returns_to_the_origin(harness):
    """Guards against a pull that ends with an empty state."""
    holder = CatalogMember("front-5", "127.0.0.1", 5)
    harness.receive_news(11, configuration=5)
    harness.reply(harness.received("http_client")[-1], CatalogReferral(holder))
    referred = harness.received("http_client")[-1]
    harness.reply(referred, CatalogState(None, False, configuration_at(1), b""))
    again = harness.received("http_client")[-1]
    assert again.address == Address(PEER.host, PEER.port)
    assert b"direct=1" in again.target


def test_pull_is_deferred_while_the_instance_itself_pulls(harness):
    """Guards against an empty response while the requested state arrives."""
    harness.receive_news(11, configuration=5)
    (request,) = harness.received("http_client")
    head = RequestHead(b"GET", b"/catalog?configuration=1.1&version=1.11", ())
    harness.kernel.send("catalog", RequestReceived(7, head, 0, b"", True, 0.0))
    harness.run()
    assert not harness.received("catalog_port")
    harness.reply(request, CatalogState(None, False, configuration_at(5), b"r5"))
    (answer,) = harness.received("catalog_port")
    assert decode_message(answer.data, KEY).configuration == b"r5"


def test_version_announced_during_a_pull_is_pulled_next(harness):
    """Guards against a delay when versions follow each other quickly."""
    harness.receive_news(11, configuration=5)
    harness.receive_news(12, configuration=6)
    (request,) = harness.received("http_client")
    harness.reply(request, CatalogState(None, False, configuration_at(5), b"r5"))
    assert len(harness.received("http_client")) == 2


SEED = Address("127.0.0.1", 7)


@pytest.fixture
def make_harness():
    harnesses = []

    def make(**keywords):
        harnesses.append(Harness(**keywords))
        return harnesses[-1]

    yield make
    for harness in harnesses:
        harness.kernel.close()


def test_seeds_read_the_store_for_all_at_the_first_start(make_harness):
    """Guards against store calls by all instances instead of the seeds."""
    harness = make_harness(seeds=(SEED,), is_first_start=True)
    harness.advance(1_000.0)
    assert harness.store.reads == 0
    harness.receive_news(11, previous=5)
    request = harness.received("http_client")[-1]
    harness.reply(
        request,
        CatalogState(make_full_change(11, "a"), True, configuration_at(1), b"r1"),
    )
    assert list(harness.configuration.servers) == ["a"]
    assert harness.store.reads == 0
    harness.advance(600.0)
    assert harness.store.records_stored == 0


def test_silent_seeds_do_not_block_the_first_start(make_harness):
    """Guards against a system that waits for seeds that never start."""
    harness = make_harness(seeds=(SEED,), is_first_start=True)
    harness.advance(4_000.0)
    assert harness.store.reads > 0
    assert harness.store.records_stored == 1
    assert harness.received(SUPERVISOR)[-1].is_ready


def test_restarted_instance_reads_the_store_unless_a_seed_answers(make_harness):
    """Guards against callers that wait for seeds that start late."""
    harness = make_harness(seeds=(SEED,))
    assert harness.store.reads == 0
    harness.advance(15.0)
    assert harness.store.reads == 1
    assert harness.received(SUPERVISOR)[-1].is_ready


def test_restarted_instance_needs_no_read_if_a_seed_answers(make_harness):
    """Guards against three store calls for each restart in a large fleet."""
    harness = make_harness(seeds=(SEED,))
    harness.receive_news(11, previous=5)
    request = harness.received("http_client")[-1]
    harness.reply(
        request,
        CatalogState(make_full_change(11, "a"), True, configuration_at(1), b"r1"),
    )
    harness.advance(600.0)
    assert harness.store.reads == 0
    assert harness.received(SUPERVISOR)[-1].is_ready


def test_seed_that_starts_late_is_greeted_after_a_read(make_harness):
    """
    Guards against an instance that reads the store for itself for seconds.

    After a power failure its first greeting was lost, and it had read the
    registrations before the next one; so no other instance ever knew of it.
    """
    harness = make_harness(seeds=(SEED,))
    harness.advance(100.0)
    assert harness.store.reads == 1
    harness.sent.clear()
    harness.advance(400.0)
    greeting = Greeting(harness.view.own, (), True)
    assert greeting in harness.sent
    add_members(harness.view, (CatalogMember("front-7", *SEED),))
    harness.sent.clear()
    harness.advance(4_000.0)
    assert greeting not in harness.sent


def test_seeds_are_greeted_until_the_catalog_is_known(make_harness):
    """Guards against a seed that starts after the other instances."""
    harness = make_harness(seeds=(SEED,), is_first_start=True)
    harness.sent.clear()
    harness.advance(1_000.0)
    greeting = Greeting(harness.view.own, (), True)
    assert 2 <= harness.sent.count(greeting) <= 4
    harness.receive_news(11, previous=5)
    request = harness.received("http_client")[-1]
    harness.reply(
        request,
        CatalogState(make_full_change(11, "a"), True, configuration_at(1), b"r1"),
    )
    add_members(harness.view, (CatalogMember("front-7", *SEED),))
    harness.sent.clear()
    harness.advance(600.0)
    assert Greeting(harness.view.own, (), True) not in harness.sent


def test_members_known_to_others_are_pulled(harness):
    """
    Guards against budget shares that together exceed the budget.

    An instance that knows too few of the others takes too large a share.
    """
    members = tuple(
        CatalogMember(f"front-{n}", "127.0.0.1", n, "here" if n < 4 else "there")
        for n in range(2, 9)
    )
    harness.receive_news(11, instances=9)
    request = harness.received("http_client")[-1]
    assert b"members=1" in request.target
    harness.reply(
        request, CatalogState(None, False, configuration_at(1), b"", (PEER, *members))
    )
    # The failure domain of PEER is unknown; it counts as near.
    assert InstanceCountChanged(9, 4) in harness.received("forwarding")
    assert {
        member.instance_id for member in harness.pull(1, 11, members=1).members
    } == {
        "front-1",
        *(member.instance_id for member in members),
        PEER.instance_id,
    }
    assert harness.pull(1, 11).members == ()


def test_reader_that_knows_fewer_instances_is_sent_members(harness):
    """Guards against an instance that the reader never sends news to."""
    members = tuple(CatalogMember(f"front-{n}", "127.0.0.1", n) for n in range(2, 9))
    add_members(harness.view, members)
    harness.sent.clear()
    for version in range(11, 80):
        harness.receive_news(version, instances=3)
    greetings = [m for m in harness.sent if isinstance(m, Greeting) and m.members]
    assert 0 < len(greetings) < 30


def test_deferred_pulls_are_answered_when_the_own_pull_fails(harness):
    """Guards against instances that wait for one whose own pull fails."""
    add_members(harness.view, (PEER, CatalogMember("front-5", "127.0.0.1", 5)))
    harness.receive_news(11, configuration=5)
    head = RequestHead(b"GET", b"/catalog?configuration=1.1&version=1.11", ())
    harness.kernel.send("catalog", RequestReceived(7, head, 0, b"", True, 0.0))
    harness.run()
    failed = HttpFailed(harness.received("http_client")[-1].token, "timeout", True)
    harness.kernel.send("catalog", failed)
    harness.run()
    (answer,) = harness.received("catalog_port")
    assert decode_message(answer.data, KEY).configuration == b""


def test_restored_store_is_read_at_once(harness):
    """Guards against changes ignored for versions that are given out again."""
    harness.store.set_rows(make_rows("a", row_version=11, sequence=1))
    harness.advance(1_000.0)
    harness.store.version, harness.store.era = 5, 2
    harness.store.rows = make_rows("a", row_version=5, era=2, is_draining=True)
    harness.store.rows["a"] = harness.store.rows["a"]._replace(sequence=2)
    harness.store.document = b"r2"
    harness.advance(1_500.0)
    assert harness.configuration.servers["a"].is_draining
    assert harness.configuration.sequence == 2
    events = harness.received("event_log")
    (restored,) = [e.details for e in events if e.name == "store_restored"]
    assert (restored["era"], restored["known_version"]) == (2, 11)


def test_instances_of_two_eras_agree(harness):
    """
    Guards against two instances that each ignore the other.

    One has read the store after it was restored, with lower numbers.
    """
    (drained,) = make_rows("a", row_version=4, era=2, is_draining=True).values()
    harness.receive_news(5, changed=(drained,), era=2)
    assert harness.configuration.servers["a"].is_draining
    behind = harness.pull(1, version=30, era=1)
    assert server_ids(behind) == ["a"]
    assert behind.change.changed[0].server.is_draining
    (ready,) = make_rows("a", row_version=40).values()
    harness.receive_news(41, changed=(ready,), era=1)
    assert harness.configuration.servers["a"].is_draining


def test_cached_response_is_not_sent_for_the_same_numbers_of_another_era(harness):
    """Guards against a response that was cached before a restore."""
    assert server_ids(harness.pull(1)) == ["a"]
    harness.receive_news(10, removed=("a",), era=2)
    assert server_ids(harness.pull(1)) == []


def test_configuration_of_a_restored_store_counts_by_its_number(harness):
    """Guards against a configuration that goes back, or is not replaced."""
    harness.store.set_rows(make_rows("a"))
    harness.store.document = b"r7"
    harness.advance(2_000.0)
    harness.store.era = 2
    harness.store.document = b"r6"
    harness.advance(2_000.0)
    assert harness.configuration.sequence == 7
    harness.store.document = b"r7 other"
    harness.advance(2_000.0)
    assert harness.view.document_bytes == b"r7 other"
    assert harness.pull(configuration=7, era=1).configuration == b"r7 other"
    assert harness.pull(configuration=7, era=2).configuration == b""


def test_same_configuration_is_not_pulled_again_after_a_restore(harness):
    """Guards against a pull for each announcement of the same document."""
    for _ in range(3):
        harness.receive_news(11, configuration=1, era=2, previous=10)
    requests = harness.received("http_client")
    assert len(requests) == 1
    state = CatalogState(None, False, configuration_at(1, 2), b"r1")
    harness.reply(requests[0], state)
    harness.receive_news(12, configuration=1, era=2)
    assert len(harness.received("http_client")) == 1


def test_record_of_an_instance_is_stored_again_after_a_restore(harness):
    """Guards against an instance that those that start later cannot find."""
    harness.advance(3_000.0)
    assert harness.store.records_stored == 1
    harness.store.era = 2
    harness.advance(1_000.0)
    assert harness.store.records_stored == 2
    harness.advance(3_000.0)
    assert harness.store.records_stored == 2


def test_row_of_a_copy_is_used_if_the_store_keeps_it(harness):
    """Guards against a server that stays away although it is registered."""
    harness.store.era, harness.store.version = 2, 5
    harness.store.rows = make_rows("a", "left", era=2)
    harness.advance(READ_INTERVAL_MS + 100.0)
    assert list(harness.configuration.servers) == ["a"]
    events = harness.received("event_log")
    names = [e.details["server"] for e in events if e.name == UNCONFIRMED]
    assert names == ["left"]
    harness.advance(HEARTBEATS_UNTIL_REMOVED * HEARTBEAT_MS)
    assert list(harness.configuration.servers) == ["a", "left"]


def read_after_restore(harness, rows, version=5):
    """Let the instance read a store that was restored with some rows."""
    harness.store.era, harness.store.version = 2, version
    harness.store.rows = rows
    harness.advance(READ_INTERVAL_MS + 100.0)


def test_change_across_a_restore_covers_what_its_sender_did_not_know(harness):
    """
    Guards against a server that one instance keeps for good.

    The sender had not heard of the last changes before the restore. The server
    that they added has ended, so the store will never name it again.
    """
    harness.store.rows = None
    (lost,) = make_rows("lost", row_version=14).values()
    harness.receive_news(14, changed=(lost,))
    harness.receive_news(5, previous=12, era=2, configuration=0)
    assert harness.received("http_client"), "the whole catalog is pulled"
    state = CatalogState(
        CatalogChange(NO_VERSION, at(5, 2), tuple(make_rows("a").values()), ()),
        True,
        configuration_at(1),
        b"",
    )
    harness.reply(harness.received("http_client")[-1], state)
    assert list(harness.configuration.servers) == ["a"]


def test_instance_of_an_earlier_era_pulls_the_whole_catalog(harness):
    """Guards against changes that leave what the store has lost."""
    harness.store.set_rows(make_rows("a", "b"))
    harness.advance(READ_INTERVAL_MS + 100.0)
    read_after_restore(harness, make_rows("a"))
    state = harness.pull(1, version=12, era=1)
    assert state.is_whole


def test_whole_catalog_does_not_end_a_drain(harness):
    """
    Guards against requests to a draining server after a restore.

    An instance that has started since the restore knows only the copy, in
    which the server is not draining yet.
    """
    harness.store.rows = None
    known = make_rows("a", sequence=2, is_draining=True, started_ms=7, row_version=12)
    harness.receive_news(12, changed=tuple(known.values()))
    harness.receive_news(6, previous=5, era=2)
    copied = make_rows("a", sequence=1, started_ms=7, row_version=3, era=2)
    change = CatalogChange(NO_VERSION, at(6, 2), tuple(copied.values()), ())
    state = CatalogState(change, True, configuration_at(1), b"")
    harness.reply(harness.received("http_client")[-1], state)
    assert harness.configuration.servers["a"].is_draining


def test_reader_and_others_agree_on_a_row_that_the_store_keeps(harness):
    """
    Guards against a server that two instances see differently for good.

    A server had changed, and changed back, in the seconds that the store has
    lost: its heartbeats leave the row of the copy as it is.
    """
    harness.store.rows = None
    known = make_rows("a", sequence=9, is_draining=True, started_ms=7, row_version=12)
    harness.receive_news(12, changed=tuple(known.values()))
    # The reader keeps what it knows for four heartbeats, then uses the row.
    kept = make_rows(
        "a", sequence=9, is_draining=True, started_ms=7, row_version=3, era=2
    )
    harness.receive_news(5, changed=tuple(kept.values()), previous=12, era=2)
    assert harness.configuration.servers["a"].is_draining
    used = make_rows("a", sequence=5, started_ms=7, row_version=3, era=2)
    harness.receive_news(6, changed=tuple(used.values()), era=2)
    assert not harness.configuration.servers["a"].is_draining


def test_instance_that_was_frozen_takes_no_server_from_the_others(harness):
    """
    Guards against servers that all instances drop when a frozen one reads.

    They had registered while it was frozen; the store was restored meanwhile.
    """
    frozen_ms = HEARTBEATS_UNTIL_REMOVED * HEARTBEAT_MS + 4_000.0
    harness.sent.clear()
    add_members(harness.view, (PEER,))
    harness.clock.advance(frozen_ms)
    read_after_restore(harness, make_rows("a", "new", era=2))
    news = [message for message in harness.sent if isinstance(message, CatalogNews)]
    assert news
    assert not any(message.change.removed_ids for message in news)
    assert list(harness.configuration.servers) == ["a", "new"]


def test_instance_that_started_after_a_restore_brings_no_server_back(harness):
    """
    Guards against requests to a server that has left, at all instances.

    An instance that has read the copy, and knows nothing of before, announces
    its rows. If the store keeps the row, all instances use it in the end.
    """
    harness.store.rows = None
    harness.receive_news(
        11, changed=tuple(make_rows("left", sequence=3, started_ms=7).values())
    )
    harness.receive_news(12, removed=("left",))
    copied = make_rows("a", "left", sequence=3, started_ms=7, era=2)
    change = CatalogChange(NO_VERSION, at(5, 2), tuple(copied.values()), ())
    state = CatalogState(change, True, configuration_at(1), b"")
    harness.receive_news(5, changed=change.changed, previous=0, configuration=0, era=2)
    harness.reply(harness.received("http_client")[-1], state)
    assert list(harness.configuration.servers) == ["a"]
    harness.advance(HEARTBEATS_UNTIL_REMOVED * HEARTBEAT_MS)
    before = len(harness.received("http_client"))
    harness.receive_news(5, previous=5, configuration=0, era=2)
    (request,) = harness.received("http_client")[before:]
    assert b"version=0.0" in request.target
    harness.reply(request, state)
    assert list(harness.configuration.servers) == ["a", "left"]
    harness.receive_news(5, previous=5, configuration=0, era=2)
    assert len(harness.received("http_client")) == before + 1


def test_row_of_a_copy_in_a_change_is_held_back(harness):
    """Guards against servers that a row of a copy brings back."""
    harness.store.rows = None
    rows = make_rows("left", sequence=3, started_ms=7)
    harness.receive_news(11, changed=tuple(rows.values()))
    harness.receive_news(12, removed=("left",))
    copied = make_rows("left", sequence=3, started_ms=7, era=2)
    harness.receive_news(
        5, changed=tuple(copied.values()), previous=12, configuration=0, era=2
    )
    assert list(harness.configuration.servers) == ["a"]
    written = make_rows("left", sequence=4, started_ms=7, row_version=6, era=2)
    harness.receive_news(6, changed=tuple(written.values()), configuration=0, era=2)
    assert list(harness.configuration.servers) == ["a", "left"]


def test_whole_catalog_has_the_version_of_the_catalog(harness):
    """
    Guards against a whole catalog that its receiver ignores as an older one.

    The receiver knows the versions that only heartbeats have given out since
    the response was cached.
    """
    assert harness.pull(1).change.version == at(10)
    harness.receive_news(15)
    assert harness.pull(1).change.version == at(15)


def test_reader_with_an_older_configuration_is_told_the_newer_one(harness):
    """
    Guards against a reader that stays behind until the operator writes again.

    It has started after a restore, and has read the configuration of the copy.
    """
    harness.store.document = b"r7"
    harness.advance(2_000.0)
    harness.store.rows = None
    harness.sent.clear()
    for number in range(20, 60):
        harness.receive_news(number, configuration=6)
    told = [m for m in harness.sent if isinstance(m, CatalogNews)]
    assert {message.configuration_version.number for message in told} == {7}
    assert all(message.change.version == NO_VERSION for message in told), "no read"
    assert len(told) <= 15, "not all instances answer each message"
    harness.sent.clear()
    for number in range(60, 100):
        harness.receive_news(number, configuration=7)
    assert not any(isinstance(message, CatalogNews) for message in harness.sent)


def test_instances_are_told_to_forwarding_only_for_a_limit(harness):
    """Guards against messages that a deployment has no use for."""
    add_members(harness.view, (PEER,))
    harness.advance(100.0)
    kinds = [type(message) for message in harness.received("forwarding")]
    assert InstancesChanged not in kinds
    harness.view.has_warmup_limit = True
    harness.view.seeds = (Address("127.0.0.1", 9), Address("127.0.0.1", 5))
    add_members(harness.view, (CatalogMember("front-7", "127.0.0.1", 7, "there"),))
    harness.receive_news(11, instances=4)
    harness.advance(100.0)
    domains = {"front-1": "here", "front-9": "", "front-7": "there"}
    assert harness.received("forwarding")[-1] == InstancesChanged(domains, 4, True)
