"""
Small fakes at the interfaces of claims and permits.

The store keeps each request until the machine decides what becomes of it:
done, done with the reply lost, refused unsent, lost, or lost and done later.
"""

import os
from typing import NamedTuple

from cuminhatch import ManualClock
from cuminhatch.decisions.platform import (
    InstanceList,
    ListedInstance,
    ListUnavailable,
    ObjectAbsent,
    ObjectFound,
    ObjectStored,
    ObjectUnavailable,
    TableUnavailable,
)
from cuminhatch.kernel import SUPERVISOR, HandlerFailed, Kernel, Service
from cuminhatch.messages import (
    DrainFinished,
    InstanceListReplied,
    InstanceListRequested,
    ObjectGetReplied,
    ObjectGetRequested,
    ObjectPutReplied,
    ObjectPutRequested,
    TableReadReplied,
    TableReadRequested,
    TableTransactReplied,
    TableTransactRequested,
)
from cuminhatch_standins.table_state import TableState

LOST = TableUnavailable("no reply", True)
UNSENT = TableUnavailable("outage", False)
# Enough for a reply to pass through a service and reach ``dispatch``.
TICKS = 5


class Table(TableState):
    """A table that counts what it is asked."""

    def __init__(self):
        super().__init__()
        self.writes = 0
        self.reads = 0

    def transact(self, transaction):
        self.writes += 1
        return super().transact(transaction)

    def read(self, key):
        self.reads += 1
        return super().read(key)


class Asked(NamedTuple):
    """One request to the platform that has no reply yet."""

    node: object
    message: object


class Platform:
    """The table, the objects, and the requests that wait for their fate."""

    def __init__(self):
        self.table = Table()
        self.objects = {}
        self.asked = []
        self.late = []

    def take(self, index):
        return self.asked.pop(index % len(self.asked))

    def perform(self, message):
        """Carry out a request; give the reply."""
        if isinstance(message, TableTransactRequested):
            result = self.table.transact(message.transaction)
            return TableTransactReplied(message.token, result)
        if isinstance(message, TableReadRequested):
            return TableReadReplied(message.token, self.table.read(message.key))
        if isinstance(message, ObjectPutRequested):
            self.objects[message.object_name] = message.data
            return ObjectPutReplied(message.token, ObjectStored())
        data = self.objects.get(message.object_name)
        found = ObjectAbsent() if data is None else ObjectFound(data)
        return ObjectGetReplied(message.token, found)

    def fail(self, message, unavailable):
        """Give the reply that tells of a failure."""
        if isinstance(message, TableTransactRequested):
            return TableTransactReplied(message.token, unavailable)
        if isinstance(message, TableReadRequested):
            return TableReadReplied(message.token, unavailable)
        kind = (
            ObjectPutReplied
            if isinstance(message, ObjectPutRequested)
            else ObjectGetReplied
        )
        return kind(message.token, ObjectUnavailable(unavailable.reason))

    def done(self, index):
        asked = self.take(index)
        asked.node.reply(asked.message, self.perform(asked.message))

    def reply_lost(self, index):
        asked = self.take(index)
        self.perform(asked.message)
        asked.node.reply(asked.message, self.fail(asked.message, LOST))

    def unsent(self, index):
        asked = self.take(index)
        asked.node.reply(asked.message, self.fail(asked.message, UNSENT))

    def lost(self, index):
        """Reply that it is lost; it never takes effect."""
        asked = self.take(index)
        asked.node.reply(asked.message, self.fail(asked.message, LOST))

    def delayed(self, index):
        """Reply that it is lost, and keep it to be carried out later."""
        asked = self.take(index)
        self.late.append(asked.message)
        asked.node.reply(asked.message, self.fail(asked.message, LOST))

    def arrive_late(self, index):
        self.perform(self.late.pop(index % len(self.late)))


class PlatformFake(Service):
    """Stands for the ``platform`` service of one instance."""

    name = "platform"

    def __init__(self, kernel, node, platform, read_list):
        super().__init__(kernel)
        self.node, self.platform, self.read_list = node, platform, read_list

    def message_handlers(self):
        kinds = (
            TableTransactRequested,
            TableReadRequested,
            ObjectPutRequested,
            ObjectGetRequested,
        )
        return {
            **dict.fromkeys(kinds, self._on_asked),
            InstanceListRequested: self._on_list,
        }

    def _on_asked(self, message):
        self.platform.asked.append(Asked(self.node, message))

    def _on_list(self, message):
        listed_ids = self.read_list()
        if listed_ids is None:
            result = ListUnavailable("outage")
        else:
            result = InstanceList(
                tuple(ListedInstance(id_, "", "entry", "live") for id_ in listed_ids)
            )
        self.send(message.reply_to, InstanceListReplied(message.token, result))


class Recorder(Service):
    """Keeps what a service of this name would receive."""

    def __init__(self, kernel, name, kinds):
        self.kinds = kinds
        self.received = []
        super().__init__(kernel, name)

    def message_handlers(self):
        return dict.fromkeys(self.kinds, self.received.append)


class Node:
    """One process of one instance, with its own kernel and clock."""

    def __init__(self, instance_id, incarnation, platform, read_list=tuple):
        self.instance_id = instance_id
        self.incarnation = incarnation
        self.is_alive = True
        self.is_frozen = False
        self.clock = ManualClock()
        self.kernel = Kernel(self.clock)
        self.kernel.register(PlatformFake(self.kernel, self, platform, read_list))
        self.reports = self.record(SUPERVISOR, (HandlerFailed, DrainFinished))

    def record(self, name, kinds):
        return self.kernel.register(Recorder(self.kernel, name, kinds)).received

    @property
    def failures(self):
        return [report for report in self.reports if type(report) is HandlerFailed]

    @property
    def is_running(self):
        return self.is_alive and not self.is_frozen

    def send(self, name, message):
        self.kernel.send(name, message)
        self.run()

    def reply(self, asked, message):
        """Deliver a reply; a frozen process finds it when it resumes."""
        self.send(asked.reply_to, message)

    def advance(self, ms):
        self.clock.advance(ms)
        self.run()

    def run(self):
        if self.is_running:
            for _ in range(TICKS):
                self.kernel.tick()
            assert not self.failures, self.failures

    def resume(self):
        self.is_frozen = False
        self.run()

    def close(self):
        """Close the descriptors of the poller, which outlive the example."""
        poller = self.kernel.poller
        poller._poller.close()
        os.close(poller._ctrl_recv)
        os.close(poller._ctrl_send)
