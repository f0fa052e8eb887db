"""Tests of the platform service: outages, lost replies, the breaker."""

import pytest

from cuminhatch import ManualClock
from cuminhatch.clock import MS_PER_SECOND
from cuminhatch.decisions.breaker import FAILURES_TO_OPEN, TRIAL_INTERVAL_MS
from cuminhatch.decisions.platform import (
    InstanceList,
    ListedInstance,
    ListUnavailable,
    Mismatched,
    ObjectAbsent,
    ObjectFound,
    ObjectStored,
    ObjectUnavailable,
    Row,
    RowAbsent,
    RowCheck,
    RowPut,
    TableTransaction,
    TableUnavailable,
)
from cuminhatch.kernel import SUPERVISOR, HandlerFailed, Kernel
from cuminhatch.messages import (
    Address,
    HttpFailed,
    HttpReplied,
    HttpRequested,
    InstanceListReplied,
    InstanceListRequested,
    ObjectGetReplied,
    ObjectGetRequested,
    ObjectPutReplied,
    ObjectPutRequested,
    TableReadReplied,
    TableReadRequested,
    TableScanReplied,
    TableScanRequested,
    TableTransactReplied,
    TableTransactRequested,
)
from cuminhatch.services import (
    HttpClient,
    Platform,
    PlatformAddresses,
    PlatformTimeouts,
)
from cuminhatch.services.platform import MAX_IN_FLIGHT
from tests.support import GIVE_UP_S, Recorder, run_until, running_standin, settle

ADDRESSES = PlatformAddresses(*(Address("127.0.0.1", port) for port in (1, 2, 3)))
OUTAGE = TableUnavailable("store outage known", False)
REPLIES = (
    TableTransactReplied,
    TableReadReplied,
    TableScanReplied,
    ObjectPutReplied,
    ObjectGetReplied,
    InstanceListReplied,
)


class Requester(Recorder):
    """Keeps the replies, and failed handlers."""

    def __init__(self, kernel):
        super().__init__(kernel, SUPERVISOR, *REPLIES, HandlerFailed)

    def check(self):
        """Check that no handler failed and each token got one reply."""
        assert not any(type(reply) is HandlerFailed for reply in self.received)
        assert len({reply.token for reply in self.received}) == len(self.received)

    @property
    def results(self):
        """Return the results by token."""
        self.check()
        return {reply.token: reply.result for reply in self.received}


class Bed:
    """The service between a requester and a fake HTTP client."""

    def __init__(self):
        self.kernel = Kernel(ManualClock())
        self.requester = self.kernel.register(Requester(self.kernel))
        client = Recorder(self.kernel, "http_client", HttpRequested)
        self.requests = self.kernel.register(client).received
        self.kernel.register(Platform(self.kernel, ADDRESSES))

    def run(self):
        settle(self.kernel, 4)
        self.requester.check()

    def request(self, message):
        """Pass a request on and return the HTTP request it gave, if any."""
        self.kernel.send("platform", message)
        self.run()
        return self.requests.pop() if self.requests else None

    def result_of(self, token, answer):
        """Pass an HTTP answer on and return the result of the request."""
        self.kernel.send("platform", answer)
        self.run()
        return self.requester.results[token]

    def fail(self, token, reason="timeout", is_sent=True):
        """Let one transaction fail and return its result."""
        request = self.request(transact(token))
        return self.result_of(token, HttpFailed(request.token, reason, is_sent))


@pytest.fixture
def bed():
    return Bed()


def transact(token, key="a", version=0):
    checks, puts = (RowCheck(key, version),), (RowPut(key, {"n": token}),)
    transaction = TableTransaction(f"t{token}", checks, puts)
    return TableTransactRequested(SUPERVISOR, token, transaction)


def read(token, key="a"):
    return TableReadRequested(SUPERVISOR, token, key)


@pytest.mark.parametrize("is_sent", [True, False])
def test_maybe_applied_unless_nothing_was_sent(bed, is_sent):
    """Guards against a false "not run" after a lost reply."""
    expected = TableUnavailable("timeout", is_sent)
    assert bed.fail(1, is_sent=is_sent) == expected
    assert bed.requests == []


@pytest.mark.parametrize(
    ("status", "body"), [(200, b'{"versions"'), (200, b"{}"), (500, b""), (400, b"{}")]
)
def test_unusable_reply_leaves_the_transaction_open(bed, status, body):
    """Guards against a reply of another kind taken as "not applied"."""
    request = bed.request(transact(1))
    result = bed.result_of(1, HttpReplied(request.token, status, (), body))
    assert isinstance(result, TableUnavailable)
    assert result.is_maybe_applied


def test_known_outage_fails_at_once_except_trials(bed):
    """Guards against requests that each wait for a store known to be down."""
    for token in range(FAILURES_TO_OPEN):
        bed.fail(token)
    assert bed.request(transact(10)) is None
    assert bed.requester.results[10] == OUTAGE
    bed.kernel.clock.advance(TRIAL_INTERVAL_MS)
    # A write as trial would leave its requester in doubt.
    assert bed.request(transact(11)) is None
    assert bed.requester.results[11] == OUTAGE
    trial = bed.request(read(12))
    assert trial is not None
    assert bed.request(read(13)) is None
    assert bed.requester.results[13] == OUTAGE
    assert bed.result_of(12, HttpReplied(trial.token, 404, (), b"{}")) == RowAbsent()
    assert bed.request(transact(14)) is not None


def test_breaker_belongs_to_one_store(bed):
    """Guards against an outage of the table that stops reads of the list."""
    for token in range(FAILURES_TO_OPEN):
        bed.fail(token)
    assert bed.request(InstanceListRequested(SUPERVISOR, 20)) is not None
    assert bed.request(ObjectGetRequested(SUPERVISOR, 21, "x")) is not None


def test_refused_request_does_not_open_the_breaker(bed):
    """Guards against one bad request that looks like an outage."""
    for token in range(FAILURES_TO_OPEN + 1):
        request = bed.request(transact(token))
        bed.result_of(token, HttpReplied(request.token, 400, (), b"{}"))
    assert bed.request(transact(10)) is not None


def test_requests_in_flight_are_bounded(bed):
    """Guards against unbounded memory while the table hangs."""
    for token in range(MAX_IN_FLIGHT):
        bed.kernel.send("platform", read(token))
    bed.run()
    assert len(bed.requests) == MAX_IN_FLIGHT
    first = bed.requests[0]
    bed.requests.clear()
    assert bed.request(transact(900)) is None
    result = bed.requester.results[900]
    assert result == TableUnavailable("too many requests in flight", False)
    bed.result_of(0, HttpReplied(first.token, 404, (), b"{}"))
    assert bed.request(transact(901)) is not None


def test_value_outside_json_is_refused_unsent(bed):
    """Guards against a requester that waits for ever for its reply."""
    message = transact(1)
    puts = (RowPut("a", {"x": {1}}),)
    bad = message._replace(transaction=message.transaction._replace(puts=puts))
    assert bed.request(bad) is None
    assert not bed.requester.results[1].is_maybe_applied


class RealBed:
    """The service with the real HTTP client and real stand-ins."""

    def __init__(self, addresses):
        self.kernel = Kernel()
        self.requester = self.kernel.register(Requester(self.kernel))
        self.kernel.register(HttpClient(self.kernel))
        # A busy machine must not look like an outage.
        timeouts = PlatformTimeouts(*[GIVE_UP_S * MS_PER_SECOND] * 4)
        self.kernel.register(Platform(self.kernel, addresses, timeouts))
        self.kernel.open()

    def ask(self, message):
        self.kernel.send("platform", message)
        run_until(self.kernel, lambda: message.token in self.requester.results)
        return self.requester.results[message.token]


@pytest.fixture(scope="module")
def standins():
    with (
        running_standin("table_service") as table,
        running_standin("object_store") as objects,
        running_standin("instance_list") as instances,
    ):
        yield table, objects, instances


@pytest.fixture
def real_bed(standins):
    addresses = (standin.address for standin in standins)
    return RealBed(PlatformAddresses(*addresses))


def test_table_over_http(real_bed, standins):
    """Guards against client and table that read the protocol differently."""
    key = "claim/till box/a%2F#?é"
    committed = real_bed.ask(transact(1, key))
    row = Row(key, committed.versions[key], {"n": 1})
    assert real_bed.ask(transact(2, key)) == Mismatched({key: row})
    assert real_bed.ask(read(3, key)) == row
    assert real_bed.ask(read(4, "claim/none")) == RowAbsent()
    absent = real_bed.ask(transact(5, "claim/none", 9))
    assert absent == Mismatched({"claim/none": None})
    scan = TableScanRequested(SUPERVISOR, 6, "claim/", "claim0", 10)
    assert real_bed.ask(scan) == (row,)


def test_lost_reply_and_outage_over_http(real_bed, standins):
    """Guards against a lost reply that is taken for a write not made."""
    table = standins[0]
    table.set_faults(reply_lost=1)
    lost = real_bed.ask(transact(1, "lost"))
    # An answer that breaks off is a reset connection.
    assert lost == TableUnavailable("connection failed", True)
    assert real_bed.ask(read(2, "lost")).value == {"n": 1}
    table.set_faults(outage=True)
    for token in range(10, 10 + FAILURES_TO_OPEN):
        result = real_bed.ask(read(token, "lost"))
        assert isinstance(result, TableUnavailable)
    table.set_faults(outage=False)


def test_objects_and_instances_over_http(real_bed, standins):
    """Guards against client and stores that read the protocol differently."""
    _, objects, instances = standins
    name, data = "snapshot/7", bytes(range(256)) * 1000
    put = ObjectPutRequested(SUPERVISOR, 1, name, data)
    assert real_bed.ask(put) == ObjectStored()
    get = ObjectGetRequested(SUPERVISOR, 2, name)
    assert real_bed.ask(get) == ObjectFound(data)
    assert real_bed.ask(get._replace(token=3, object_name="none")) == ObjectAbsent()
    listed = ListedInstance("entry-1", "127.0.0.1:8080", "entry", "live")
    body = '{"address": "127.0.0.1:8080", "kind": "entry", "state": "live"}'
    assert instances.request("PUT", "/instances/entry-1", body).status == 200
    ask = InstanceListRequested(SUPERVISOR, 4)
    assert real_bed.ask(ask) == InstanceList((listed,))
    objects.set_faults(outage=True)
    instances.set_faults(outage=True)
    assert isinstance(real_bed.ask(get._replace(token=5)), ObjectUnavailable)
    assert isinstance(real_bed.ask(ask._replace(token=6)), ListUnavailable)
    objects.set_faults(outage=False)
    instances.set_faults(outage=False)
