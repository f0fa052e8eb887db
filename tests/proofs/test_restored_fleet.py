"""
Instances agree after the store was restored, whoever reads it.

Instances that exchange datagrams with losses, freeze and start again while
the store goes back to earlier states at random.
"""

from random import Random

import pytest

from cuminhatch.clock import ManualClock
from cuminhatch.codecs.catalog_thrift import CatalogNews, decode_message
from cuminhatch.codecs.http1 import RequestHead
from cuminhatch.kernel import SUPERVISOR, Kernel
from cuminhatch.messages import (
    Address,
    HttpReplied,
    HttpRequested,
    ReadinessChanged,
    RequestReceived,
    ResponseStarted,
)
from cuminhatch.messages.catalog import (
    ConfigurationRead,
    ConfigurationRequested,
    InstanceRecordPutRequested,
    InstanceRecordsRead,
    InstanceRecordsRequested,
    InstanceRecordStored,
    RegistrationsRead,
    RegistrationsRequested,
)
from cuminhatch.services.catalog import CatalogService
from cuminhatch.services.catalog._members import on_greeting
from cuminhatch.services.catalog._pulls import on_news
from tests.proofs.test_restored_store import (
    HEARTBEAT_STEPS,
    RESTORE_PROBABILITY,
    STEP_MS,
    World,
    get_states,
)
from tests.services.test_catalog import KEY, decode_configuration
from tests.support import Recorder

INSTANCES = 4
STEPS = 60
SETTLED_STEPS = 30
TICK_MS = 100.0
LOSS_PROBABILITY = 0.1
RESTART_PROBABILITY = 0.03
FREEZE_PROBABILITY = 0.03
FREEZE_STEPS_MAX = 20
HOST = "127.0.0.1"


class Instance:
    """A catalog service whose datagrams and calls go through the fleet."""

    def __init__(self, fleet, number):
        self.number = number
        self.frozen_steps = 0
        self.kernel = Kernel(fleet.clock)
        world = fleet.world
        replies = {
            RegistrationsRequested: lambda message: RegistrationsRead(
                message.token, world.version, dict(world.rows), ()
            ),
            ConfigurationRequested: lambda message: ConfigurationRead(
                message.token, b"r1", world.version.era
            ),
            InstanceRecordPutRequested: lambda message: InstanceRecordStored(
                message.token
            ),
            InstanceRecordsRequested: lambda message: InstanceRecordsRead(
                message.token,
                {f"front-{n}": Address(HOST, n) for n in range(1, INSTANCES + 1)},
            ),
        }
        self.kernel.register(Recorder(self.kernel, "store", replies=replies))
        self.calls = self.kernel.register(
            Recorder(self.kernel, "http_client", HttpRequested)
        )
        self.responses = self.kernel.register(
            Recorder(self.kernel, "catalog_port", ResponseStarted)
        )
        self.kernel.register(Recorder(self.kernel, SUPERVISOR, ReadinessChanged))
        self.service = self.kernel.register(
            CatalogService(
                self.kernel,
                f"front-{number}",
                "here",
                Address(HOST, 0),
                KEY.decode(),
                (Address(HOST, 1),),
                decode_configuration,
                rng=Random(number),
            )
        )
        self.view = self.service._view
        self.view.own = self.view.own._replace(port=number)
        self.view.send_bytes = fleet.send
        self.service._send_bytes = fleet.send
        self.service.open()


class Fleet:
    """The store with its servers, and the instances."""

    def __init__(self, seed):
        self.world = World(seed, True)
        self.rng = Random(seed)
        self.clock = ManualClock(100_000.0)
        self.datagrams = []
        self.pulls = 0
        self.instances = {}
        for number in range(1, INSTANCES + 1):
            self.instances[number] = Instance(self, number)

    def send(self, address, data):
        if self.rng.random() >= LOSS_PROBABILITY:
            self.datagrams.append((address.port, data))

    def close(self):
        for instance in self.instances.values():
            instance.kernel.close()

    def step(self, is_faulty):
        world = self.world
        world.step_number += 1
        if is_faulty:
            world.change_servers()
        for number, name in enumerate(sorted(world.servers)):
            if (world.step_number + number) % HEARTBEAT_STEPS == 0:
                world.write(name)
        world.expire()
        world.backups.append((world.version, dict(world.rows)))
        if is_faulty:
            if self.rng.random() < RESTORE_PROBABILITY:
                world.restore()
            self.disturb()
        for instance in self.instances.values():
            instance.frozen_steps = max(0, instance.frozen_steps - 1)
        for _ in range(int(STEP_MS / TICK_MS)):
            self.clock.advance(TICK_MS)
            self.tick()

    def disturb(self):
        number = self.rng.randint(1, INSTANCES)
        draw = self.rng.random()
        if draw < RESTART_PROBABILITY:
            self.instances[number].kernel.close()
            self.instances[number] = Instance(self, number)
        elif draw < RESTART_PROBABILITY + FREEZE_PROBABILITY:
            frozen_steps = self.rng.randint(1, FREEZE_STEPS_MAX)
            self.instances[number].frozen_steps = frozen_steps

    def tick(self):
        for _ in range(4):
            running = [i for i in self.instances.values() if not i.frozen_steps]
            for instance in running:
                for _ in range(4):
                    instance.kernel.tick()
            self.deliver()
            for instance in running:
                self.answer_calls(instance)

    def deliver(self):
        datagrams, self.datagrams = self.datagrams, []
        for port, data in datagrams:
            instance = self.instances[port]
            if instance.frozen_steps:
                self.datagrams.append((port, data))
                continue
            message = decode_message(data, KEY)
            is_news = isinstance(message, CatalogNews)
            (on_news if is_news else on_greeting)(instance.view, message)

    def answer_calls(self, instance):
        calls = list(instance.calls.received)
        instance.calls.received.clear()
        for call in calls:
            peer = self.instances[call.address.port]
            if peer.frozen_steps:
                instance.calls.received.append(call)
                continue
            self.pulls += 1
            head = RequestHead(b"GET", call.target, ())
            peer.responses.received.clear()
            peer.kernel.send("catalog", RequestReceived(1, head, 0, b"", True, 0.0))
            for _ in range(4):
                peer.kernel.tick()
            if peer.responses.received:
                body = peer.responses.received[-1].data
                reply = HttpReplied(call.token, 200, (), body)
                instance.kernel.send("catalog", reply)
            else:
                # Deferred by an instance that pulls itself.
                peer.view.deferred_pulls.clear()
                instance.calls.received.append(call)


@pytest.mark.parametrize("seed", range(20))
def test_instances_agree_after_restores(seed):
    """Guards against an instance that stays behind, and endless pulls."""
    fleet = Fleet(seed)
    for _ in range(STEPS):
        fleet.step(is_faulty=True)
    for _ in range(SETTLED_STEPS):
        fleet.step(is_faulty=False)
    fleet.pulls = 0
    for _ in range(HEARTBEAT_STEPS * 2):
        fleet.step(is_faulty=False)
    fleet.close()
    servers = fleet.world.servers.items()
    actual = {name: server.is_draining for name, server in servers}
    for instance in fleet.instances.values():
        assert get_states(instance.view.catalog) == actual, instance.number
    # A lost datagram may cause a pull.
    assert fleet.pulls <= INSTANCES
