"""Tests of the platform service: outages, lost replies and the breaker."""

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
from tests.support import (
    WAIT_TIMEOUT_S,
    Recorder,
    run_ticks,
    run_until,
    running_standin,
)

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
    """Records replies and failed handlers."""

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


class Harness:
    """The service between a requester and a recorder of HTTP requests."""

    def __init__(self):
        self.kernel = Kernel(ManualClock())
        self.requester = self.kernel.register(Requester(self.kernel))
        client = Recorder(self.kernel, "http_client", HttpRequested)
        self.requests = self.kernel.register(client).received
        self.kernel.register(Platform(self.kernel, ADDRESSES))

    def run(self):
        run_ticks(self.kernel, 4)
        self.requester.check()

    def request(self, message):
        """Send a request and return the HTTP request it caused, if any."""
        self.kernel.send("platform", message)
        self.run()
        return self.requests.pop() if self.requests else None

    def result_of(self, token, reply):
        """Send an HTTP reply and return the result of the request."""
        self.kernel.send("platform", reply)
        self.run()
        return self.requester.results[token]

    def fail(self, token, reason="timeout", is_sent=True):
        """Make one transaction fail and return its result."""
        request = self.request(transact(token))
        return self.result_of(token, HttpFailed(request.token, reason, is_sent))


@pytest.fixture
def harness():
    return Harness()


def transact(token, key="a", version=0):
    checks, puts = (RowCheck(key, version),), (RowPut(key, {"n": token}),)
    transaction = TableTransaction(f"t{token}", checks, puts)
    return TableTransactRequested(SUPERVISOR, token, transaction)


def read(token, key="a"):
    return TableReadRequested(SUPERVISOR, token, key)


@pytest.mark.parametrize("is_sent", [True, False])
def test_maybe_applied_unless_nothing_was_sent(harness, is_sent):
    """Guards against reporting a write as not applied after a lost reply."""
    expected = TableUnavailable("timeout", is_sent)
    assert harness.fail(1, is_sent=is_sent) == expected
    assert harness.requests == []


@pytest.mark.parametrize(
    ("status", "body"), [(200, b'{"versions"'), (200, b"{}"), (500, b""), (400, b"{}")]
)
def test_unusable_reply_leaves_the_outcome_unknown(harness, status, body):
    """Guards against taking an unexpected reply as "not applied"."""
    request = harness.request(transact(1))
    result = harness.result_of(1, HttpReplied(request.token, status, (), body))
    assert isinstance(result, TableUnavailable)
    assert result.may_be_applied


def test_open_breaker_fails_all_requests_but_trials_at_once(harness):
    """Guards against requests that each wait for a store that is down."""
    for token in range(FAILURES_TO_OPEN):
        harness.fail(token)
    assert harness.request(transact(10)) is None
    assert harness.requester.results[10] == OUTAGE
    harness.kernel.clock.advance(TRIAL_INTERVAL_MS)
    # A write is never the trial, since a failure leaves its outcome unknown.
    assert harness.request(transact(11)) is None
    assert harness.requester.results[11] == OUTAGE
    trial = harness.request(read(12))
    assert trial is not None
    assert harness.request(read(13)) is None
    assert harness.requester.results[13] == OUTAGE
    assert (
        harness.result_of(12, HttpReplied(trial.token, 404, (), b"{}")) == RowAbsent()
    )
    assert harness.request(transact(14)) is not None


def test_each_store_has_its_own_breaker(harness):
    """Guards against a table outage that blocks reads of the instance list."""
    for token in range(FAILURES_TO_OPEN):
        harness.fail(token)
    assert harness.request(InstanceListRequested(SUPERVISOR, 20)) is not None
    assert harness.request(ObjectGetRequested(SUPERVISOR, 21, "x")) is not None


def test_refused_request_does_not_open_the_breaker(harness):
    """Guards against malformed requests that are taken for an outage."""
    for token in range(FAILURES_TO_OPEN + 1):
        request = harness.request(transact(token))
        harness.result_of(token, HttpReplied(request.token, 400, (), b"{}"))
    assert harness.request(transact(10)) is not None


def test_requests_in_flight_are_bounded(harness):
    """Guards against unbounded memory while the table hangs."""
    for token in range(MAX_IN_FLIGHT):
        harness.kernel.send("platform", read(token))
    harness.run()
    assert len(harness.requests) == MAX_IN_FLIGHT
    first = harness.requests[0]
    harness.requests.clear()
    assert harness.request(transact(900)) is None
    result = harness.requester.results[900]
    assert result == TableUnavailable("too many requests in flight", False)
    harness.result_of(0, HttpReplied(first.token, 404, (), b"{}"))
    assert harness.request(transact(901)) is not None


def test_value_that_json_cannot_encode_is_refused_unsent(harness):
    """Guards against a requester that never gets a reply."""
    message = transact(1)
    puts = (RowPut("a", {"x": {1}}),)
    invalid = message._replace(transaction=message.transaction._replace(puts=puts))
    assert harness.request(invalid) is None
    assert not harness.requester.results[1].may_be_applied


class HttpHarness:
    """The service with the HTTP client and stand-ins as processes."""

    def __init__(self, addresses):
        self.kernel = Kernel()
        self.requester = self.kernel.register(Requester(self.kernel))
        self.kernel.register(HttpClient(self.kernel))
        # Long timeouts, so that a busy machine does not look like an outage.
        timeouts = PlatformTimeouts(*[WAIT_TIMEOUT_S * MS_PER_SECOND] * 4)
        self.kernel.register(Platform(self.kernel, addresses, timeouts))
        self.kernel.open()

    def send(self, message):
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
def http_harness(standins):
    addresses = (standin.address for standin in standins)
    return HttpHarness(PlatformAddresses(*addresses))


def test_table_over_http(http_harness, standins):
    """Guards against a client and a table that disagree on the format."""
    key = "claim/till box/a%2F#?é"
    committed = http_harness.send(transact(1, key))
    row = Row(key, committed.versions[key], {"n": 1})
    assert http_harness.send(transact(2, key)) == Mismatched({key: row})
    assert http_harness.send(read(3, key)) == row
    assert http_harness.send(read(4, "claim/none")) == RowAbsent()
    absent = http_harness.send(transact(5, "claim/none", 9))
    assert absent == Mismatched({"claim/none": None})
    scan = TableScanRequested(SUPERVISOR, 6, "claim/", "claim0", 10)
    assert http_harness.send(scan) == (row,)


def test_lost_reply_and_outage_over_http(http_harness, standins):
    """Guards against taking a lost reply for a write that did not happen."""
    table = standins[0]
    table.set_faults(reply_lost=1)
    lost = http_harness.send(transact(1, "lost"))
    # A truncated response shows as a failed connection.
    assert lost == TableUnavailable("connection failed", True)
    assert http_harness.send(read(2, "lost")).value == {"n": 1}
    table.set_faults(outage=True)
    for token in range(10, 10 + FAILURES_TO_OPEN):
        result = http_harness.send(read(token, "lost"))
        assert isinstance(result, TableUnavailable)
    table.set_faults(outage=False)


def test_objects_and_instances_over_http(http_harness, standins):
    """Guards against a client and stores that disagree on the format."""
    _, objects, instances = standins
    name, data = "snapshot/7", bytes(range(256)) * 1000
    put = ObjectPutRequested(SUPERVISOR, 1, name, data)
    assert http_harness.send(put) == ObjectStored()
    get = ObjectGetRequested(SUPERVISOR, 2, name)
    assert http_harness.send(get) == ObjectFound(data)
    assert (
        http_harness.send(get._replace(token=3, object_name="none")) == ObjectAbsent()
    )
    listed = ListedInstance("entry-1", "127.0.0.1:8080", "entry", "live")
    body = '{"address": "127.0.0.1:8080", "kind": "entry", "state": "live"}'
    assert instances.request("PUT", "/instances/entry-1", body).status == 200
    ask = InstanceListRequested(SUPERVISOR, 4)
    assert http_harness.send(ask) == InstanceList((listed,))
    objects.set_faults(outage=True)
    instances.set_faults(outage=True)
    assert isinstance(http_harness.send(get._replace(token=5)), ObjectUnavailable)
    assert isinstance(http_harness.send(ask._replace(token=6)), ListUnavailable)
    objects.set_faults(outage=False)
    instances.set_faults(outage=False)
