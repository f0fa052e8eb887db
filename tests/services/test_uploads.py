"""Tests of uploads whose bodies are received before a server is chosen."""

import socket

import pytest

from cuminhatch.address import Address
from cuminhatch.codecs.http1 import LAST_CHUNK, encode_chunk
from cuminhatch.decisions.configuration import Rule
from cuminhatch.decisions.uploads import (
    BODY_TOO_LONG,
    FIRST_SLICE_BYTES,
    MEMORY_IN_USE,
    SLICE_INTERVAL_MS,
    UPLOAD_LIMITS,
    UploadLimits,
    UploadMemory,
)
from cuminhatch.messages import (
    AttemptRequestBody,
    CallerDisconnected,
    CounterIncremented,
    DrainLimitReached,
    EventRecorded,
    GaugesReported,
    GaugesRequested,
    RequestBody,
    RequestFailed,
    RequestReadPaused,
    RequestReadResumed,
    RequestRefused,
    ResponseStarted,
)
from cuminhatch.outcomes import Outcome
from cuminhatch.services.backends import BackendConnections
from cuminhatch.services.forwarding._exchange import REQUEST_BUFFER_MAX_BYTES
from cuminhatch.services.http_listener import HttpListener
from cuminhatch.services.http_listener._requests import CONTINUE
from tests.services._loopback import Peer, connect, run_until
from tests.services.forwarding_world import RULES, ForwardingWorld, make_server
from tests.support import run_ticks

UPLOAD = Rule(
    "upload",
    "s",
    "*",
    "/upload/",
    host="h",
    is_idempotent=False,
    target_latency_ms=2_237.0,
    timeout_ms=3_323.0,
    servers_max=2,
    is_upload=True,
)
BODY = bytes(range(256)) * 1440
HALF = len(BODY) // 2


class World(ForwardingWorld):
    """Forwarding with a route for uploads."""

    def __init__(self, *server_ids):
        super().__init__()
        self.servers = [make_server(server_id) for server_id in server_ids]
        self.configure(*self.servers, rules=RULES | {"upload": UPLOAD})
        self.state = self.forwarding._state

    def limit_memory(self, body_bytes, held_bytes):
        self.state.uploads = UploadMemory(UploadLimits(body_bytes, held_bytes))

    @property
    def reserved_bytes(self):
        return self.state.uploads.reserved_bytes

    def begin(self, rule_id="upload", **more):
        """Send the head of a request and half of its body."""
        values = {"body": BODY[:HALF], "body_length": len(BODY)}
        return self.request(rule_id, 3_000, **(values | more))

    def begin_chunked(self, body):
        return self.begin(body=body, is_chunked=True)

    def send_body(self, request_id, data=BODY[HALF:], is_complete=True):
        self.tell(RequestBody(request_id, data, is_complete))

    def take_one(self, service_name, message_type):
        (message,) = self.take(service_name, message_type)
        return message

    def take_attempt(self):
        (attempt,) = self.take_attempts()
        return attempt

    def take_whole_body(self, attempt):
        """Advance time until the last slice of a body; return the body."""
        body, is_complete, slices = attempt.data, attempt.is_complete, 0
        while not is_complete and len(body) < len(BODY):
            self.advance(SLICE_INTERVAL_MS)
            for part in self.take("backends", AttemptRequestBody):
                assert part.attempt_id == attempt.attempt_id
                assert not is_complete
                body, is_complete = body + part.data, part.is_complete
                slices += 1
        assert is_complete
        assert slices > 1 or len(body) <= FIRST_SLICE_BYTES
        assert not self.state.sliced_attempt_ids
        return body

    def take_handlings(self):
        counted = self.take("metrics", CounterIncremented)
        return [m.labels["handling"] for m in counted if m.name == "uploads_total"]


@pytest.fixture
def world():
    world = World("a", "b")
    yield world
    world.close()


def test_server_is_chosen_after_the_body_has_arrived(world):
    """Guards against a slow caller that holds a slot of a server."""
    request_id = world.begin()
    assert world.take("callers", RequestReadResumed), "the caller may have to ask"
    world.advance(1_000.0)
    assert not world.take_attempts()
    assert world.reserved_bytes == len(BODY)
    world.send_body(request_id)
    attempt = world.take_attempt()
    assert world.take_whole_body(attempt) == BODY
    assert dict(attempt.head.headers)[b"left"] == b"2000"
    world.respond(attempt)
    assert world.take_one("callers", ResponseStarted).head.status == 200
    assert world.reserved_bytes == 0
    assert world.take_handlings() == ["received-ahead"]


def test_chunked_body_is_received_as_it_arrives(world):
    """Guards against chunked uploads that hold a slot or no memory."""
    request_id = world.begin_chunked(BODY[:100])
    world.send_body(request_id, BODY[100:HALF], False)
    assert world.reserved_bytes == HALF
    assert not world.take_attempts()
    world.send_body(request_id)
    attempt = world.take_attempt()
    assert world.take_whole_body(attempt) == BODY
    assert attempt.body_length is None


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("reason", [BODY_TOO_LONG, MEMORY_IN_USE])
def test_upload_beyond_a_bound_is_streamed(world, reason, is_chunked):
    """Guards against bodies without a bound, and against lost parts."""
    if reason == BODY_TOO_LONG:
        world.limit_memory(len(BODY) - 1, 1 << 30)
    else:
        world.limit_memory(1 << 30, len(BODY) - 1)
    world.is_measuring = not is_chunked
    if is_chunked:
        request_id = world.begin_chunked(BODY[:HALF])
        assert not world.unanswered_load_requests
        world.send_body(request_id, BODY[HALF:], False)
        assert world.take("callers", RequestReadPaused), "nothing reads it yet"
        (load_request,) = world.unanswered_load_requests
        world.answer_load_request(load_request)
        world.run()
        attempt, rest = world.take_attempt(), b"rest"
        assert attempt.data == BODY
    else:
        request_id = world.begin()
        attempt, rest = world.take_attempt(), BODY[HALF:]
        assert attempt.data == BODY[:HALF]
    assert not attempt.is_complete
    assert world.take("callers", RequestReadResumed)
    world.send_body(request_id, rest)
    part = world.take_one("backends", AttemptRequestBody)
    assert (part.data, part.is_complete) == (rest, True)
    assert world.reserved_bytes == 0
    assert world.take_handlings() == ["streamed"]
    events = world.take("event_log", EventRecorded)
    streamed = [e.details["reason"] for e in events if e.name == "upload_streamed"]
    assert streamed == [reason]


def test_body_of_which_no_byte_was_sent_goes_to_another_server(world):
    """Guards against a long body that is dropped before it was sent."""
    assert len(BODY) > REQUEST_BUFFER_MAX_BYTES
    world.send_body(world.begin())
    first = world.take_attempt()
    world.fail(first, is_sent=False, reason="connection refused")
    second = world.take_attempt()
    assert second.server_id != first.server_id
    assert world.take_whole_body(second) == BODY


def test_provably_rejected_body_goes_to_another_server(world):
    """Guards against the refusal of an upload that a full server rejected."""
    world.send_body(world.begin())
    first = world.take_attempt()
    world.refuse(first)
    second = world.take_attempt()
    assert second.server_id != first.server_id
    assert world.take_whole_body(second) == BODY


@pytest.mark.parametrize("end", ["reset", "refused without proof", "server error"])
def test_body_that_a_server_may_have_is_never_sent_again(world, end):
    """Guards against an upload that runs twice (TWICE)."""
    request_id = world.begin()
    world.send_body(request_id)
    attempt = world.take_attempt()
    if end == "reset":
        world.fail(attempt, is_sent=True)
    else:
        world.respond(attempt, 503 if end == "refused without proof" else 500)
    world.advance(3_500.0)
    assert not world.take_attempts()
    assert world.reserved_bytes == 0
    if end == "server error":
        assert world.take_one("callers", ResponseStarted).head.status == 500
    else:
        assert world.take_one("callers", RequestRefused).outcome is Outcome.UNKNOWN


def test_body_that_takes_too_long_is_refused_at_the_deadline(world):
    """Guards against a stalled caller that keeps memory, or gets no answer."""
    world.begin()
    world.advance(2_990.0)
    assert world.reserved_bytes == len(BODY)
    world.advance(20.0)
    refusal = world.take_one("callers", RequestRefused)
    assert (refusal.status, refusal.outcome) == (503, Outcome.NOT_RUN)
    assert refusal.reason == "body-not-received"
    assert world.reserved_bytes == 0
    assert not world.take_attempts()


@pytest.mark.parametrize("end", ["leaves", "malformed", "drain"])
@pytest.mark.parametrize("is_chunked", [False, True])
def test_memory_is_free_after_the_end_of_a_request(world, end, is_chunked):
    """Guards against memory that fills up with every caller that leaves."""
    request_id = world.begin_chunked(b"part") if is_chunked else world.begin()
    assert world.reserved_bytes
    world.tell(
        {
            "leaves": CallerDisconnected(request_id),
            "malformed": RequestFailed(request_id, "internal-error"),
            "drain": DrainLimitReached(),
        }[end]
    )
    assert world.reserved_bytes == 0
    world.send_body(request_id)
    assert not world.take_attempts()


def test_upload_on_a_route_withdrawn_meanwhile_does_not_run(world):
    """Guards against a run seconds after the route was withdrawn (CONFIG)."""
    request_id = world.begin()
    world.configure(*world.servers, rules=RULES)
    world.send_body(request_id)
    assert not world.take_attempts()
    refusal = world.take_one("callers", RequestRefused)
    assert (refusal.status, refusal.outcome) == (404, Outcome.NOT_RUN)


def test_time_of_the_body_is_no_wait_for_a_server(world):
    """Guards against uploads refused at once because their caller is slow."""
    world.loads = dict.fromkeys("ab", (3, 0, 1.0))
    request_id = world.begin()
    world.advance(1_000.0)
    world.send_body(request_id)
    assert not world.take("callers", RequestRefused)
    world.loads = {}
    world.advance(60.0)
    assert world.take_whole_body(world.take_attempt()) == BODY


def test_body_of_the_mean_size_is_sent_at_once(world):
    """Guards against slices that delay most uploads."""
    body = BODY[:60_000]
    world.begin(body=body, body_length=len(body))
    attempt = world.take_attempt()
    assert (attempt.data, attempt.is_complete) == (body, True)


@pytest.mark.parametrize("end", ["reset", "refused"])
def test_slices_end_with_their_attempt(world, end):
    """Guards against parts of a body that are sent for another attempt."""
    world.send_body(world.begin())
    first = world.take_attempt()
    world.advance(SLICE_INTERVAL_MS)
    assert world.take("backends", AttemptRequestBody)
    if end == "reset":
        world.fail(first)
        world.advance(SLICE_INTERVAL_MS * 3)
        assert not world.take("backends", AttemptRequestBody)
    else:
        world.refuse(first)
        assert world.take_whole_body(world.take_attempt()) == BODY


def test_other_routes_are_not_received_ahead(world):
    """Guards against a change where no deployment asks for it."""
    world.begin(rule_id="write")
    assert world.take_attempt().data == BODY[:HALF]
    assert world.reserved_bytes == 0
    assert world.take_handlings() == []


def test_gauges_tell_the_memory_of_uploads_where_there_are_any(world):
    """Guards against memory that operators can't see, and gauges elsewhere."""
    found = []
    world._add_fake("asker", found.append)
    world.begin()
    world.tell(GaugesRequested("asker", 1))
    world.configure(*world.servers)
    world.tell(GaugesRequested("asker", 2))
    with_uploads, without = (
        {(gauge.name, *gauge.labels.values()): gauge.value for gauge in m.gauges}
        for m in found
        if isinstance(m, GaugesReported)
    )
    assert with_uploads["upload_bytes_held",] == HALF
    assert with_uploads["upload_bytes_reserved",] == len(BODY)
    assert with_uploads["requests_in_progress", "receiving"] == 1
    assert not {name for name, *_ in without if name.startswith("upload")}
    assert ("requests_in_progress", "receiving") not in without


class WiredWorld(World):
    """Forwarding with real connections to callers and to one server."""

    def __init__(self):
        super().__init__()
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        port = self.sock.getsockname()[1]
        server = make_server("a", port=port)._replace(host="127.0.0.1")
        self.configure(server, rules={"upload": UPLOAD})

    def _add_fake(self, name, handle):
        if name == "callers":
            listener = HttpListener(self.kernel, Address("127.0.0.1", 0), "forwarding")
            self.listener = self.kernel.register(listener)
            listener.open()
        elif name == "backends":
            service = BackendConnections(self.kernel, "forwarding")
            self.kernel.register(service).open()
        else:
            super()._add_fake(name, handle)

    def find_server_peer(self):
        try:
            return Peer(self.kernel, self.sock.accept()[0])
        except BlockingIOError:
            return None


@pytest.mark.parametrize("is_chunked", [False, True])
def test_upload_over_real_connections(is_chunked):
    """
    Guards against a body that is not asked for, mixed up or sent too early.

    The server answers before the body has been sent. It must not get anything
    else on that connection.
    """
    world = WiredWorld()
    caller = connect(world.kernel, world.listener.address)
    framing = b"Content-Length: %d" % len(BODY)
    parts = [BODY[:HALF], BODY[HALF:]]
    if is_chunked:
        framing = b"Transfer-Encoding: chunked"
        parts = [encode_chunk(parts[0]), encode_chunk(parts[1]) + LAST_CHUNK]
    caller.send(
        b"POST /upload/x HTTP/1.1\r\nHost: h\r\nid: 1\r\nwait: 3000\r\n"
        b"Expect: 100-continue\r\n%s\r\n\r\n" % framing
    )
    caller.run_until(lambda: caller.received == CONTINUE)
    caller.send(parts[0])
    run_ticks(world.kernel, 20)
    assert world.find_server_peer() is None, "a slot is held while the body arrives"
    caller.send(parts[1])
    peers = []
    run_until(
        world.kernel,
        lambda: peers or peers.extend(filter(None, [world.find_server_peer()])),
    )
    (server,) = peers
    server.run_until(lambda: b"\r\n\r\n" in server.received)
    server.send(b"HTTP/1.1 200 OK\r\nid: 1\r\nseal: 1\r\nContent-Length: 2\r\n\r\nok")
    caller.run_until(lambda: caller.received.endswith(b"\r\n\r\nok"))
    server.run_until(lambda: server.is_closed)
    sent = server.received.partition(b"\r\n\r\n")[2]
    first = BODY[:FIRST_SLICE_BYTES]
    assert sent == (encode_chunk(first) if is_chunked else first)
    world.close()
    world.sock.close()


def test_bounds_hold_the_largest_bodies():
    """Guards against a bound below the bodies that callers send."""
    assert len(BODY) == 360 * 1024 <= UPLOAD_LIMITS.body_bytes
