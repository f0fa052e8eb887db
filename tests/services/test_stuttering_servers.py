"""
Random requests to a server that repeats, cuts and delays its responses.

The services that route, probe and connect are real; the server is a listening
socket. Each body names its request.
"""

from collections import Counter, defaultdict
from random import Random

import pytest

from cuminhatch.messages import (
    RequestRefused,
    ResponseAborted,
    ResponseBody,
    ResponseStarted,
)
from cuminhatch.services.forwarding._responses import RESPONSE_BUFFER_MAX_BYTES
from tests.services.front_ends import Gateway, ProbedGateway

REQUESTS = 150
STEP_MS = 4.0
STEPS_MAX = 4000
BODY_BYTES = 400
INVALID_STATUSES = (b" 000 ", b" 199 ", b" 999 ")
# More than a head, so that the id of a copy lies within the declared length.
MISSING_BYTES = 300


def make_body(request_id):
    """Return the body that a request is answered with."""
    size = BODY_BYTES if request_id % 4 else RESPONSE_BUFFER_MAX_BYTES + BODY_BYTES
    return (b"%08d" % request_id) * (size // 8)


def drop_length(data):
    """Return a response whose body ends with the connection."""
    head, _, body = data.partition(b"\r\n\r\n")
    lines = [x for x in head.split(b"\r\n") if not x.startswith(b"content-length")]
    return b"\r\n".join([*lines, b"", body])


class SlowProbesGateway(Gateway):
    """A gateway whose requests wait for the loads of its two servers."""

    def make_world(self):
        world = super().make_world()
        world.is_measuring = False
        return world

    def answer_load_requests(self, rng):
        """Report the loads that some requests wait for."""
        unanswered = self.world.unanswered_load_requests
        due = [message for message in unanswered if rng.random() < 0.15]
        unanswered[:] = [message for message in unanswered if message not in due]
        for message in due:
            self.world.answer_load_request(message)


class StutteringServer:
    """State of a server whose responses are faulty at random."""

    def __init__(self, gateway, rng):
        self.gateway = gateway
        self.rng = rng
        self.step = 0
        self.received = {}
        # (step, bytes) by connection; None for bytes closes it.
        self.unsent = defaultdict(list)
        self.runs = Counter()
        # The latest response to another request.
        self.earlier = b""

    def advance(self):
        """Accept connections, read requests and send what is due."""
        self.step += 1
        try:
            sock = self.gateway.sock.accept()[0]
            sock.setblocking(False)
            self.received[sock] = b""
        except BlockingIOError:
            pass
        for sock in list(self.received):
            self.read(sock)
            self.send(sock)

    def read(self, sock):
        try:
            data = sock.recv(1 << 16)
        except BlockingIOError:
            return
        except ConnectionError:
            data = b""
        if not data:
            self.close(sock)
            return
        *requests, self.received[sock] = (self.received[sock] + data).split(b"\r\n\r\n")
        for request in requests:
            self.answer(sock, request)

    def answer(self, sock, request):
        lines = request.split(b"\r\n")
        ids = [line[4:] for line in lines if line.startswith(b"id: ")]
        due = self.step + self.rng.choice((0, 0, 1, 4, self.rng.randrange(30, 100)))
        if not ids:
            # A probe.
            self.unsent[sock].append((due, self.gateway.healthy()))
            return
        whole = self.gateway.success(ids[0], make_body(int(ids[0])))
        kind = self.rng.random()
        if kind < 0.1:
            self.unsent[sock].append((due, self.gateway.refusal(ids[0])))
            return
        self.runs[ids[0]] += 1
        if kind < 0.4:
            parts = [whole]
        elif kind < 0.45:
            parts = [whole.replace(b" 200 ", self.rng.choice(INVALID_STATUSES)), whole]
        elif kind < 0.65:
            parts = [whole, whole]
        elif kind < 0.75:
            parts = [drop_length(whole), None]
        elif kind < 0.85:
            parts = [drop_length(whole) + whole, None]
        elif kind < 0.9:
            parts = [whole[:-MISSING_BYTES] + whole]
        elif kind < 0.95:
            parts = [whole[:-MISSING_BYTES], self.earlier or None]
        else:
            parts = [whole[:-MISSING_BYTES], None]
        self.earlier = whole
        for part in parts:
            self.unsent[sock].append((due, part))
            due += self.rng.choice((0, 1, 2, 6))

    def send(self, sock):
        if sock not in self.received:
            return
        queue = self.unsent[sock]
        while queue and queue[0][0] <= self.step:
            due, data = queue.pop(0)
            if data is None:
                self.close(sock)
                return
            size = self.rng.choice((5, 60, len(data), len(data)))
            if len(data) > BODY_BYTES * 3:
                size = RESPONSE_BUFFER_MAX_BYTES // 8
            try:
                size = sock.send(data[:size])
            except BlockingIOError:
                size = 0
            except ConnectionError:
                self.close(sock)
                return
            if data[size:]:
                queue.insert(0, (self.step + 1, data[size:]))

    def close(self, sock):
        self.received.pop(sock, None)
        self.unsent.pop(sock, None)
        sock.close()


def play(gateway, rng):
    """Send random requests and return what their callers received."""
    server = StutteringServer(gateway, rng)
    received = gateway.world.received["callers"]
    kinds = {}
    for _ in range(STEPS_MAX):
        if len(kinds) < REQUESTS and rng.random() < 0.3:
            kind = rng.choice(("read", "read", "read", "write"))
            kinds[gateway.request(kind)] = kind
        gateway.world.clock.advance(STEP_MS)
        server.advance()
        if isinstance(gateway, SlowProbesGateway):
            gateway.answer_load_requests(rng)
        for _ in range(rng.choice((1, 3))):
            gateway.kernel.tick(0)
        if len(kinds) == REQUESTS and count_ended(received) == REQUESTS:
            break
    for sock in list(server.received):
        server.close(sock)
    return server, kinds, received


def count_ended(received):
    ends = (RequestRefused, ResponseAborted)
    return sum(type(m) in ends or getattr(m, "is_complete", False) for m in received)


@pytest.mark.parametrize("make_gateway", [Gateway, ProbedGateway, SlowProbesGateway])
@pytest.mark.parametrize("seed", range(4))
def test_callers_get_only_whole_responses_of_their_own(make_gateway, seed):
    """
    Guards against mixed responses (MIXED) and repeated writes (TWICE).

    Late copies arrive whole or in pieces, on idle connections and where the
    response to the next request or probe is due.
    """
    gateway = make_gateway()
    try:
        server, kinds, received = play(gateway, Random(seed))
    finally:
        gateway.close()
    messages = defaultdict(list)
    for message in received:
        if type(message) in (
            ResponseStarted,
            ResponseBody,
            ResponseAborted,
            RequestRefused,
        ):
            messages[message.request_id].append(message)
    assert messages.keys() == kinds.keys()
    ends = Counter()
    for request_id, (first, *further) in messages.items():
        last = (further or [first])[-1]
        ends[type(last)] += 1
        if type(first) is RequestRefused:
            assert not further
            continue
        assert {type(m) for m in further} <= {ResponseBody, ResponseAborted}
        assert type(first) is ResponseStarted
        if type(last) is not ResponseAborted and first.head.status == 200:
            body = b"".join(m.data for m in (first, *further))
            assert body == make_body(request_id)
            assert [m.is_complete for m in (first, *further)].count(True) == 1
    assert ends[ResponseStarted] > REQUESTS / 3
    writes = [b"%d" % number for number, kind in kinds.items() if kind == "write"]
    assert all(server.runs[given_id] <= 1 for given_id in writes)
