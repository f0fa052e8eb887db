"""
Fuzzing proof: all instances together stay within the connection limit.

Instances run the real ``dispatch`` and ``backends`` against one listening
socket, where the test counts the open connections.
"""

import socket
from random import Random

import pytest
from hypothesis import Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from cuminhatch.decisions.configuration import ServiceSpec
from cuminhatch.messages import CallerDisconnected, ConfigurationChanged
from cuminhatch.services import BackendConnections
from cuminhatch.services.dispatch import Dispatch
from tests.proofs.dispatch_harness import (
    DispatchHarness,
    make_configuration,
    make_server,
)

PROOF = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    stateful_step_count=50,
)
# A broken version only has to be caught, so its example is not shrunk.
CATCH = settings(PROOF, max_examples=200, phases=[Phase.generate])
INSTANCES = 3
CONNECTIONS = 7
PICK = st.integers(0, 30)
INSTANCE = st.integers(0, INSTANCES - 1)
RESPONSES = {
    "keep-alive": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "closing": b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
    "shed": b"HTTP/1.1 503 S\r\nRequest-Outcome: not-run\r\nContent-Length: 0\r\n\r\n",
    "garbage": b"?\r\n\r\n",
    "none": b"",
}


class Share(RuleBasedStateMachine):
    """Runs the proof; broken versions replace ``make_backends``."""

    make_backends = BackendConnections

    def __init__(self):
        super().__init__()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=200)
        self.listener.setblocking(False)
        self.peers = []
        self.is_withdrawn = False
        self.sequence = 1
        self.frozen = set()
        self.harnesses = [self.start() for _ in range(INSTANCES)]

    def start(self):
        harness = DispatchHarness(
            lambda kernel: Dispatch(kernel, "i", "a", Random(1)), ["callers"]
        )
        harness.backends = harness.kernel.register(self.make_backends(harness.kernel))
        harness.backends.open()
        harness.clock.advance(self.sequence)
        self.configure(harness)
        return harness

    def configure(self, harness):
        port = self.listener.getsockname()[1]
        server = make_server(0, connections=CONNECTIONS)._replace(port=port)
        configuration = make_configuration(
            self.sequence,
            [] if self.is_withdrawn else [server],
            ServiceSpec("s", instances_max=INSTANCES),
        )
        harness.kernel.send("backends", ConfigurationChanged(configuration))
        harness.deliver(ConfigurationChanged(configuration))

    def run_instance(self, instance):
        if instance not in self.frozen:
            self.harnesses[instance].run()

    @rule(instance=INSTANCE, kind=st.sampled_from(["read", "write", "pull"]))
    def request(self, instance, kind):
        if instance not in self.frozen:
            self.harnesses[instance].request(kind)
            self.run_instance(instance)

    @rule(instance=INSTANCE, pick=PICK)
    def caller_leaves(self, instance, pick):
        harness = self.harnesses[instance]
        if harness.last_request_id:
            harness.kernel.send(
                "dispatch", CallerDisconnected(1 + pick % harness.last_request_id)
            )
            self.run_instance(instance)

    @precondition(lambda self: self.peers)
    @rule(pick=PICK, answer=st.sampled_from(sorted(RESPONSES)), is_end=st.booleans())
    def answer(self, pick, answer, is_end):
        """Send a response, requested or not; maybe close the connection."""
        peer = self.peers[pick % len(self.peers)]
        try:
            peer.send(RESPONSES[answer])
        except OSError:
            return
        if is_end:
            peer.close()
            self.peers.remove(peer)
        for instance in range(INSTANCES):
            self.run_instance(instance)

    @rule(ms=st.sampled_from([1.0, 400.0, 3000.0, 21_000.0]))
    def time_passes(self, ms):
        for instance, harness in enumerate(self.harnesses):
            harness.clock.advance(ms)
            self.run_instance(instance)

    @rule(instance=INSTANCE, fault=st.sampled_from(["freeze", "resume", "replace"]))
    def disturb(self, instance, fault):
        if fault == "freeze":
            self.frozen.add(instance)
            return
        self.frozen.discard(instance)
        if fault == "replace":
            self.end(instance)
            self.harnesses[instance] = self.start()
        self.run_instance(instance)

    @rule(instance=INSTANCE, is_withdrawn=st.booleans())
    def note(self, instance, is_withdrawn):
        """Deliver a note that withdraws or restores the server."""
        self.sequence += 1
        self.is_withdrawn = is_withdrawn
        if instance not in self.frozen:
            self.configure(self.harnesses[instance])

    def end(self, instance):
        harness = self.harnesses[instance]
        backends = harness.backends
        idle = backends._pool.idle_connections
        for connection in [*backends._by_attempt.values(), *idle]:
            connection.stream.close()
        harness.close()

    @invariant()
    def limit_holds(self):
        try:
            while True:
                peer = self.listener.accept()[0]
                peer.setblocking(False)
                self.peers.append(peer)
        except BlockingIOError:
            pass
        for peer in list(self.peers):
            try:
                while data := peer.recv(65536):
                    pass
            except BlockingIOError:
                continue
            except ConnectionResetError:
                data = b""
            if not data:
                peer.close()
                self.peers.remove(peer)
        assert len(self.peers) <= CONNECTIONS, "too many connections"

    def teardown(self):
        for instance in range(INSTANCES):
            self.end(instance)
        for sock in [*self.peers, self.listener]:
            sock.close()


class LeavesCancelledOpen(BackendConnections):
    """Leaves the connection of a cancelled attempt open and uncounted."""

    def _on_attempt_cancelled(self, message):
        connection = self._find(message.attempt_id)
        if connection is not None:
            self._detach(connection, connection.attempt)
            self._pool._open_counts[connection.key.server_id] -= 1


def test_connections_of_all_instances_stay_within_the_limit():
    """Guards against a backend server that runs out of connections."""
    run_state_machine_as_test(Share, settings=PROOF)


def play_repeated_disconnects(machine):
    """Play callers that disconnect before the response, one by one."""
    try:
        for _ in range(CONNECTIONS):
            for instance, harness in enumerate(machine.harnesses):
                machine.request(instance, "read")
                machine.limit_holds()
                machine.caller_leaves(instance, harness.last_request_id - 1)
                machine.limit_holds()
    finally:
        machine.teardown()


def test_whole_limit_for_each_is_caught(monkeypatch):
    """Guards against a proof that passes any share of the limit."""
    # Both services enforce the share; either alone keeps the limit.
    for module in ("dispatch._pool", "backends._pool"):
        name = f"cuminhatch.services.{module}.connection_share"
        monkeypatch.setattr(name, lambda connections, _: connections)
    with pytest.raises(AssertionError, match="too many"):
        run_state_machine_as_test(Share, settings=CATCH)


def test_cancelled_connection_that_stays_open_is_caught():
    """Guards against a proof that misses uncounted connections."""
    play_repeated_disconnects(Share())
    broken = type("Broken", (Share,), {"make_backends": LeavesCancelledOpen})
    with pytest.raises(AssertionError, match="too many"):
        play_repeated_disconnects(broken())
