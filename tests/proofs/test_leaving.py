"""
Fuzzing proof: a leaving backend server gets no new work after 3 s.

Instances run the real ``dispatch`` and ``peers`` over in-memory datagrams.
"""

from random import Random
from unittest.mock import patch

import pytest
from hypothesis import Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from cuminhatch import ManualClock
from cuminhatch.decisions.platform import InstanceList, ListedInstance
from cuminhatch.kernel import Kernel
from cuminhatch.messages import (
    Address,
    AttemptCancelled,
    AttemptRequested,
    DrainRequested,
    InstanceListReplied,
    LoadObserved,
)
from cuminhatch.services.dispatch import Dispatch
from cuminhatch.services.dispatch._attempts import cancel_attempt
from cuminhatch.services.http_listener import HttpListener
from cuminhatch.services.peers import Peers
from cuminhatch.services.supervisor import Supervisor
from tests.proofs.dispatch_harness import DispatchHarness, make_server
from tests.proofs.test_whole_answers import replace_function
from tests.services._loopback import EchoService, connect, run_until
from tests.support import run_ticks

PROOF = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
)
# A broken version only has to be caught, so its example is not shrunk.
CATCH = settings(PROOF, max_examples=200, phases=[Phase.generate])
LEAVING_MS = 3000.0
STEP_MS = 100.0
PROBE_MS = 500.0
SERVERS = 4
INSTANCES = 3
INSTANCE = st.integers(0, INSTANCES - 1)
SERVER = st.integers(0, SERVERS - 1)
PICK = st.integers(0, 30)
GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
DRAINING = ((b"server-state", b"draining"),)


def make_observation(number, is_leaving, now_ms):
    return LoadObserved(f"b{number}", 0, 0, 3, 1.0, is_leaving, now_ms, "probe")


class DatagramSocket:
    """An in-memory socket at a fixed address, so that runs are repeatable."""

    def __init__(self, queues):
        self.queues = queues

    def bind(self, address):
        self.address = tuple(address)
        self.queues[self.address] = []

    def setsockopt(self, *_):
        pass

    setblocking = setsockopt

    def getsockname(self):
        return self.address

    def sendto(self, data, address):
        self.queues[address].append(data)

    def recvfrom(self, _):
        if not self.queues[self.address]:
            raise BlockingIOError
        return self.queues[self.address].pop(0), None


class Instances:
    """Instances with dispatch and peers; the test supplies the probes."""

    def __init__(self, count, servers, make_dispatch=Dispatch, make_peers=Peers):
        self.harnesses = []
        self.servers = tuple(make_server(number) for number in range(servers))
        seeds, queues = (), {}
        for number in range(count):
            harness = DispatchHarness(
                lambda kernel, seed=number: make_dispatch(
                    kernel, f"i{seed}", "a", Random(seed)
                ),
                ["callers", "backends", "notes", "timeline", "platform"],
            )
            harness.peers = make_peers(
                harness.kernel,
                Address("127.0.0.1", 7000 + number),
                "key",
                f"i{number}",
                seeds,
                Random(number),
            )
            harness.kernel.register(harness.peers)
            harness.peers.watch_read = lambda *_: None
            with patch("cuminhatch.services._bound_socket.socket") as make_socket:
                make_socket.return_value = DatagramSocket(queues)
                harness.peers.open()
            harness.configure(*self.servers)
            harness.is_frozen = False
            seeds = seeds or (harness.peers.address,)
            self.harnesses.append(harness)

    def advance(self, ms):
        for harness in self.harnesses:
            harness.clock.advance(ms)
        for harness in self.harnesses:
            if not harness.is_frozen:
                harness.peers._read()
                harness.run()

    def probe(self, holder, number, is_leaving):
        harness = self.harnesses[holder]
        message = make_observation(number, is_leaving, harness.clock.now_ms)
        harness.kernel.send("peers", message)
        harness.deliver(message)

    def close(self):
        for harness in self.harnesses:
            harness.close()


class Leaving(RuleBasedStateMachine):
    """Runs the proof; broken versions replace dispatch or peers."""

    make_dispatch = Dispatch
    make_peers = Peers

    def __init__(self):
        super().__init__()
        self.instances = Instances(
            INSTANCES, SERVERS, self.make_dispatch, self.make_peers
        )
        self.harnesses = self.instances.harnesses
        self.now_ms = 0.0
        self.withdrawn = set()
        self.listed_leaving = set()
        self.draining = {}
        # Start of the 3 s after which an instance sends a leaving server no
        # new work, by instance and server.
        self.known_ms = {}
        self.open_attempts = []
        self.has_time_passed = False

    def set_known(self, number, instances=range(INSTANCES)):
        for instance in instances:
            self.known_ms.setdefault((instance, f"b{number}"), self.now_ms)

    @rule(instance=INSTANCE, kind=st.sampled_from(["read", "read", "write", "pull"]))
    def request(self, instance, kind):
        if not self.harnesses[instance].is_frozen:
            self.harnesses[instance].request(kind)

    @rule(instance=INSTANCE, number=SERVER)
    def note_withdraws(self, instance, number):
        harness = self.harnesses[instance]
        if harness.is_frozen:
            return
        self.withdrawn.add(number)
        remaining = [
            server
            for n, server in enumerate(self.instances.servers)
            if n not in self.withdrawn
        ]
        harness.configure(*remaining, sequence=1 + len(self.withdrawn))
        for leaving_number in self.withdrawn:
            self.set_known(leaving_number, [instance])

    @rule(instance=INSTANCE, number=SERVER)
    def list_shows_leaving(self, instance, number):
        harness = self.harnesses[instance]
        if harness.is_frozen:
            return
        self.listed_leaving.add(number)
        entries = tuple(
            ListedInstance(f"b{leaving_number}", "", "backend", "leaving")
            for leaving_number in self.listed_leaving
        )
        harness.kernel.send("peers", InstanceListReplied(1, InstanceList(entries)))
        harness.run()
        for leaving_number in self.listed_leaving:
            self.set_known(leaving_number, [instance])

    @rule(number=SERVER, holder=INSTANCE)
    def starts_to_drain(self, number, holder):
        """Let a server report to one instance's probes that it is draining."""
        if number not in self.draining:
            self.draining[number] = holder

    @rule(
        number=SERVER,
        instance=INSTANCE,
        age_ms=st.sampled_from([100.0, 1500.0, 7000.0]),
    )
    def old_observation_arrives(self, number, instance, age_ms):
        """Deliver an observation from before the drain out of order."""
        observed_ms = self.harnesses[instance].clock.now_ms - age_ms
        known_ms = self.known_ms.get((instance, f"b{number}"), self.now_ms)
        if not self.harnesses[instance].is_frozen and self.now_ms - age_ms < known_ms:
            self.harnesses[instance].deliver(
                make_observation(number, False, observed_ms)
            )

    @rule(pick=PICK, is_failed=st.booleans())
    def attempt_ends(self, pick, is_failed):
        if not self.open_attempts:
            return
        instance, attempt = self.open_attempts.pop(pick % len(self.open_attempts))
        harness = self.harnesses[instance]
        if harness.is_frozen:
            self.open_attempts.append((instance, attempt))
            return
        number = int(attempt.server_id[1:])
        if is_failed:
            harness.fail(attempt)
            return
        is_draining = number in self.draining
        harness.respond(attempt, headers=DRAINING if is_draining else ())
        if is_draining:
            self.set_known(number, [instance])

    @rule(instance=INSTANCE, is_frozen=st.booleans())
    def freeze_or_resume(self, instance, is_frozen):
        harness = self.harnesses[instance]
        if harness.is_frozen == is_frozen:
            return
        harness.is_frozen = is_frozen
        # Heartbeats spread the observation anew from the next probe.
        for known, known_ms in list(self.known_ms.items()):
            number = int(known[1][1:])
            is_shown = number in self.withdrawn | self.listed_leaving
            if not is_shown and self.now_ms - known_ms <= LEAVING_MS:
                del self.known_ms[known]
        if not is_frozen:
            for known in self.known_ms:
                if known[0] == instance:
                    self.known_ms[known] = self.now_ms
            # The clock ran on meanwhile, so deadlines may have passed.
            self.has_time_passed = True
            harness.run()

    @rule(ms=st.sampled_from([100.0, 1000.0, 3100.0]))
    def time_passes(self, ms):
        self.has_time_passed = True
        for _ in range(int(ms / STEP_MS)):
            self.now_ms += STEP_MS
            self.instances.advance(STEP_MS)
            if self.now_ms % PROBE_MS:
                continue
            for number, holder in self.draining.items():
                if not any(harness.is_frozen for harness in self.harnesses):
                    self.instances.probe(holder, number, True)
                    self.set_known(number)

    @invariant()
    def no_new_work(self):
        for instance, harness in enumerate(self.harnesses):
            for message in harness.take("backends"):
                if isinstance(message, AttemptRequested):
                    known_ms = self.known_ms.get((instance, message.server_id))
                    is_late = known_ms is not None and (
                        self.now_ms - known_ms > LEAVING_MS
                    )
                    assert not is_late, "new attempt to a leaving server"
                    self.open_attempts.append((instance, message))
                elif isinstance(message, AttemptCancelled):
                    # No caller disconnects; only a deadline cancels attempts.
                    assert self.has_time_passed, "attempt in progress was cancelled"
        self.has_time_passed = False

    def teardown(self):
        self.instances.close()


def ignore_probes(original):
    """Ignores probes whose response says draining."""

    def on_load_observed(state, message):
        original(state, message._replace(is_leaving=False))

    return on_load_observed


def ignore_list(original):
    """Ignores the servers that the instance list names as leaving."""
    return lambda state, message: None


def cut_running_work(original):
    """Cancels the attempts in progress on a leaving server."""

    def on_leaving_servers_changed(state, message):
        original(state, message)
        for record in list(state.by_attempt.values()):
            if record.view.is_leaving:
                cancel_attempt(state, record)

    return on_leaving_servers_changed


# Functions of dispatch that each broken version replaces, by name.
BROKEN = {
    "ignores probes": ("on_load_observed", ignore_probes),
    "ignores the list": ("on_leaving_servers_changed", ignore_list),
    "cuts running work": ("on_leaving_servers_changed", cut_running_work),
}


class KeepsSamples(Peers):
    """Does not send its observations to the other instances."""

    def _pick_samples(self, now_ms):
        return ()


def machine_for(**replaced):
    return type("LeavingRun", (Leaving,), replaced)


def test_leaving_server_gets_no_new_work():
    """Guards against new attempts to a server that is about to stop."""
    run_state_machine_as_test(machine_for(), settings=PROOF)


def test_wider_search_passes_the_sound_version():
    """Guards against broken versions that an error of the oracle catches."""
    run_state_machine_as_test(machine_for(), settings=CATCH)


@pytest.mark.parametrize("broken", BROKEN)
def test_broken_version_is_caught(broken, monkeypatch):
    """Guards against a proof that passes any version."""
    replace_function(monkeypatch, *BROKEN[broken])
    with pytest.raises(AssertionError, match="leaving server|was cancelled"):
        run_state_machine_as_test(machine_for(), settings=CATCH)


def test_instance_that_keeps_its_observations_is_caught():
    """Guards against a proof that passes instances which do not share."""
    with pytest.raises(AssertionError, match="leaving server"):
        run_state_machine_as_test(machine_for(make_peers=KeepsSamples), settings=CATCH)


def test_late_observation_does_not_bring_a_server_back(monkeypatch):
    """Guards against an older observation that replaces a newer one."""

    def run_schedule():
        machine = machine_for()()
        try:
            machine.starts_to_drain(0, 0)
            for _ in range(2):
                machine.time_passes(3100.0)
            machine.old_observation_arrives(0, 1, 7000.0)
            for _ in range(20):
                machine.request(1, "read")
            machine.no_new_work()
        finally:
            machine.teardown()

    run_schedule()
    monkeypatch.setattr(
        "cuminhatch.decisions.servers.apply_observation",
        lambda signs, is_leaving, at_ms: signs._replace(
            reported_ms=at_ms if is_leaving else None
        ),
    )
    with pytest.raises(AssertionError, match="leaving server"):
        run_schedule()


@pytest.mark.parametrize("seed", range(3))
def test_one_probe_holder_tells_all_instances(seed):
    """Guards against a leaving server lost among the other load samples."""
    instances = Instances(18, 26)
    instances.harnesses[0].peers._rng.seed(seed)
    try:
        for step in range(80):
            instances.advance(STEP_MS)
            if step % 5 == 0:
                for number in range(26):
                    holder = (number + seed) % 18
                    is_leaving = number == 0 and step >= 50
                    instances.probe(holder, number, is_leaving)
        for harness in instances.harnesses:
            harness.take("backends")
            for _ in range(100):
                harness.request("read")
            chosen = {attempt.server_id for attempt in harness.take_attempts()}
            assert len(chosen) >= 20
            assert "b0" not in chosen
    finally:
        instances.close()


def test_draining_daemon_answers_what_it_accepts(monkeypatch):
    """Guards against requests aborted before or while a drain is announced."""
    kernel = Kernel(ManualClock())
    monkeypatch.setattr(kernel, "stop", lambda: None)
    echo_service = kernel.register(EchoService(kernel))
    echo_service.is_echoing = False
    listener = kernel.register(
        HttpListener(kernel, Address("127.0.0.1", 0), echo_service.name)
    )
    kernel.register(Supervisor(kernel, 1000.0, 60_000.0, (listener.name,)))
    kernel.open()
    peers = [connect(kernel, listener.address)]
    peers[0].send(GET)
    run_until(kernel, lambda: len(echo_service.heads) == 1)
    kernel.send("supervisor", DrainRequested("test"))
    run_ticks(kernel)
    for number in range(2, 5):
        kernel.clock.advance(300.0)
        run_ticks(kernel)
        peers.append(connect(kernel, listener.address))
        peers[-1].send(GET)
        run_until(kernel, lambda count=number: len(echo_service.heads) == count)
    kernel.clock.advance(300.0)
    run_ticks(kernel)
    with pytest.raises(ConnectionRefusedError):
        connect(kernel, listener.address)
    for number, peer in enumerate(peers, 1):
        echo_service.respond(number, b"whole")
        peer.run_until(lambda peer=peer: peer.is_closed)
        assert peer.received.endswith(b"connection: close\r\n\r\nwhole")
        assert not peer.is_reset
