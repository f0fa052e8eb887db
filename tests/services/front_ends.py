"""Both front ends with real connections to a server that a test plays."""

import socket
from random import Random

from cuminhatch.messages import (
    ConfigurationChanged,
    RequestRefused,
    ResponseStarted,
)
from cuminhatch.outcomes import OUTCOME_HEADER, Outcome
from cuminhatch.services import BackendConnections
from cuminhatch.services.dispatch import Dispatch
from cuminhatch.services.loads import Loads
from tests.proofs.dispatch_harness import (
    DispatchHarness,
    make_configuration,
    make_server as make_dispatch_server,
)
from tests.services._loopback import MAX_TICKS, Peer, run_until
from tests.services.forwarding_world import DIALECT, ForwardingWorld, make_server

NOT_RUN_STATUSES = (408, 421, 429, 503)


class FrontEnd:
    """A front end before one backend server, and what its callers receive."""

    def __init__(self):
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.port = self.sock.getsockname()[1]
        self.world = self.make_world()

    @property
    def kernel(self):
        return self.world.kernel

    def close(self):
        self.world.close()
        self.sock.close()

    def accept(self):
        for _ in range(MAX_TICKS):
            self.kernel.tick(0)
            try:
                return Peer(self.kernel, self.sock.accept()[0])
            except BlockingIOError:
                pass
        raise AssertionError("no connection was opened")

    def has_new_connection(self):
        for _ in range(20):
            self.kernel.tick(0)
        try:
            self.sock.accept()[0].close()
        except BlockingIOError:
            return False
        return True

    def request(self, kind):
        return self.world.request(kind)

    def take_final(self):
        """Wait for the final response of a caller and return it."""
        kinds = (ResponseStarted, RequestRefused)
        received = self.world.received["callers"]
        run_until(self.kernel, lambda: any(type(m) in kinds for m in received))
        (final,) = [m for m in received if type(m) in kinds]
        received.clear()
        return final

    def receive(self, peer):
        """Wait for a request and return the id that a response repeats."""
        peer.received = b""
        peer.run_until(lambda: b"\r\n\r\n" in peer.received)
        for line in peer.received.split(b"\r\n"):
            name, _, value = line.partition(b": ")
            if name == self.id_header:
                return value
        return b""

    def response(self, given_id, body=b"ok", status=200, extra=()):
        """Return the bytes of a response with the given id."""
        lines = [b"HTTP/1.1 %d X" % status, b"content-length: %d" % len(body)]
        if given_id is not None:
            lines.append(self.id_header + b": " + given_id)
        return b"\r\n".join([*lines, *extra, b"", body])

    def success(self, given_id, body=b"ok"):
        return self.response(given_id, body, 200, self.success_headers)

    def refusal(self, given_id):
        return self.response(given_id, b"", 503, (self.refusal_header,))

    def serve_first(self, make_bytes):
        """Serve one read on a new connection and return both."""
        self.request("read")
        peer = self.accept()
        given_id = self.receive(peer)
        peer.send(make_bytes(given_id))
        self.take_final()
        return peer, given_id


class Gateway(FrontEnd):
    """The ``forwarding`` service."""

    world_service = "forwarding"
    id_header = b"id"
    success_headers = (b"seal: 1",)
    refusal_header = b"not-run: 1"

    def make_world(self):
        world = ForwardingWorld(has_connections=True)
        # Two ids at one address, so that a request can be sent a second time.
        world.configure(
            *(
                make_server(name)._replace(host="127.0.0.1", port=self.port)
                for name in ("a", "b")
            )
        )
        return world


class ProbedWorld(ForwardingWorld):
    """Forwarding with the real services for connections and load probes."""

    def __init__(self):
        super().__init__(has_connections=True)
        self.kernel.register(Loads(self.kernel, DIALECT, 1_000.0)).open()

    def _add_fake(self, name, handle):
        if name != "loads":
            super()._add_fake(name, handle)


class ProbedGateway(Gateway):
    """A gateway that probes its only server before each request."""

    def make_world(self):
        world = ProbedWorld()
        server = make_server("a")._replace(host="127.0.0.1", port=self.port)
        world.configure(server)
        return world

    def healthy(self):
        """Return the bytes of a response to a probe."""
        lines = (b"HTTP/1.1 200 X", b"content-length: 0", b"server: a", b"load: 0,0,1")
        return b"\r\n".join([*lines, b"", b""])

    def answer_probe(self, peer, data=None):
        """Wait for a probe and answer it."""
        peer.received = b""
        peer.run_until(lambda: b"GET " in peer.received)
        peer.send(data or self.healthy())


class Daemon(FrontEnd):
    """The ``dispatch`` service."""

    world_service = "dispatch"
    id_header = b"cuminhatch-attempt"
    success_headers = ()
    refusal_header = b"request-outcome: not-run"

    def make_world(self):
        world = DispatchHarness(
            lambda kernel: Dispatch(kernel, "i", "a", Random(1)), ["callers"]
        )
        world.kernel.register(BackendConnections(world.kernel)).open()
        server = make_dispatch_server(0)._replace(port=self.port)
        world.deliver(ConfigurationChanged(make_configuration(1, [server])))
        return world


def is_not_run(final):
    """Tell whether a caller was told that its request did not run."""
    if isinstance(final, RequestRefused):
        return final.outcome is Outcome.NOT_RUN or final.status in NOT_RUN_STATUSES
    outcome = dict(final.head.headers).get(OUTCOME_HEADER)
    return final.head.status in NOT_RUN_STATUSES or outcome == b"not-run"
