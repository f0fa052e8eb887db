"""
Proof by fuzzing: all instances together respect the connection limit.

Instances run the real ``dispatch`` and ``backends`` against one listening
socket, which counts its connections.
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
from cuminhatch.messages import CallerLeft, ConfigurationChanged
from cuminhatch.services import BackendConnections
from cuminhatch.services.dispatch import Dispatch
from tests.proofs.dispatch_world import World, make_configuration, make_server

PROOF = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    stateful_step_count=50,
)
CATCH = settings(PROOF, max_examples=200, phases=[Phase.generate])
INSTANCES = 3
CONNECTIONS = 7
PICK = st.integers(0, 30)
INSTANCE = st.integers(0, INSTANCES - 1)
ANSWERS = {
    "keep-alive": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "closing": b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
    "shed": b"HTTP/1.1 503 S\r\nRequest-Outcome: not-run\r\nContent-Length: 0\r\n\r\n",
    "garbage": b"?\r\n\r\n",
    "none": b"",
}


class Share(RuleBasedStateMachine):
    """See the module; ``make_backends`` is replaced to show a fault caught."""

    make_backends = BackendConnections

    def __init__(self):
        super().__init__()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=200)
        self.listener.setblocking(False)
        self.peers = []
        self.is_withdrawn = False
        self.sequence = 1
        self.frozen = set()
        self.worlds = [self.start() for _ in range(INSTANCES)]

    def start(self):
        world = World(lambda kernel: Dispatch(kernel, "i", "a", Random(1)), ["callers"])
        world.backends = world.kernel.register(self.make_backends(world.kernel))
        world.backends.open()
        world.clock.advance(self.sequence)
        self.tell(world)
        return world

    def tell(self, world):
        port = self.listener.getsockname()[1]
        server = make_server(0, connections=CONNECTIONS)._replace(port=port)
        configuration = make_configuration(
            self.sequence,
            [] if self.is_withdrawn else [server],
            ServiceSpec("s", instances_max=INSTANCES),
        )
        world.kernel.send("backends", ConfigurationChanged(configuration))
        world.tell(ConfigurationChanged(configuration))

    def run_one(self, instance):
        if instance not in self.frozen:
            self.worlds[instance].run()

    @rule(instance=INSTANCE, kind=st.sampled_from(["read", "write", "pull"]))
    def request(self, instance, kind):
        if instance not in self.frozen:
            self.worlds[instance].request(kind)
            self.run_one(instance)

    @rule(instance=INSTANCE, pick=PICK)
    def caller_leaves(self, instance, pick):
        world = self.worlds[instance]
        if world.request_ids:
            world.kernel.send("dispatch", CallerLeft(1 + pick % world.request_ids))
            self.run_one(instance)

    @precondition(lambda self: self.peers)
    @rule(pick=PICK, answer=st.sampled_from(sorted(ANSWERS)), is_end=st.booleans())
    def answer(self, pick, answer, is_end):
        """A connection carries an answer, asked for or not, or ends."""
        peer = self.peers[pick % len(self.peers)]
        try:
            peer.send(ANSWERS[answer])
        except OSError:
            return
        if is_end:
            peer.close()
            self.peers.remove(peer)
        for instance in range(INSTANCES):
            self.run_one(instance)

    @rule(ms=st.sampled_from([1.0, 400.0, 3000.0, 21_000.0]))
    def time_passes(self, ms):
        for instance, world in enumerate(self.worlds):
            world.clock.advance(ms)
            self.run_one(instance)

    @rule(instance=INSTANCE, fault=st.sampled_from(["freeze", "resume", "replace"]))
    def disturb(self, instance, fault):
        if fault == "freeze":
            self.frozen.add(instance)
            return
        self.frozen.discard(instance)
        if fault == "replace":
            self.end(instance)
            self.worlds[instance] = self.start()
        self.run_one(instance)

    @rule(instance=INSTANCE, is_withdrawn=st.booleans())
    def note(self, instance, is_withdrawn):
        """A note that withdraws the server or returns it reaches one."""
        self.sequence += 1
        self.is_withdrawn = is_withdrawn
        if instance not in self.frozen:
            self.tell(self.worlds[instance])

    def end(self, instance):
        world = self.worlds[instance]
        backends = world.backends
        idle = [c for connections in backends._idle.values() for c in connections]
        for connection in [*backends._by_attempt.values(), *idle]:
            connection.stream.close()
        world.close()

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
    """Forgets the connection of a cancelled attempt."""

    def _on_attempt_cancelled(self, message):
        connection = self._by_attempt.pop(message.attempt_id, None)
        if connection is not None:
            self.kernel.cancel(connection.attempt.timer)
            connection.attempt = None
            self._open_counts[connection.key.server_id] -= 1


def test_connections_of_all_instances_stay_within_the_limit():
    """Guards against a backend server out of connections."""
    run_state_machine_as_test(Share, settings=PROOF)


def leave_again_and_again(machine):
    """Callers that leave before the answer, one after another."""
    try:
        for _ in range(CONNECTIONS):
            for instance, world in enumerate(machine.worlds):
                machine.request(instance, "read")
                machine.limit_holds()
                machine.caller_leaves(instance, world.request_ids - 1)
                machine.limit_holds()
    finally:
        machine.teardown()


def test_whole_limit_for_each_is_caught(monkeypatch):
    """Guards against a proof that would pass whatever the share is."""
    # Both services hold the share; either alone keeps the limit.
    for module in ("dispatch._pool", "backends"):
        name = f"cuminhatch.services.{module}.connection_share"
        monkeypatch.setattr(name, lambda connections, _: connections)
    with pytest.raises(AssertionError, match="too many"):
        run_state_machine_as_test(Share, settings=CATCH)


def test_cancelled_connection_that_stays_open_is_caught():
    """Guards against a proof blind to connections that nobody counts."""
    leave_again_and_again(Share())
    broken = type("Broken", (Share,), {"make_backends": LeavesCancelledOpen})
    with pytest.raises(AssertionError, match="too many"):
        leave_again_and_again(broken())
