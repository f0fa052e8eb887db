"""
Fakes of the platform for claims and permits.

Each request to the platform waits until the test decides its outcome: done,
done with the reply lost, failed before sending, lost, or lost and done later.
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
# Enough for a reply to pass through a service to ``dispatch``.
TICKS = 5


class Table(TableState):
    """A table that counts its reads and writes."""

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


class PendingRequest(NamedTuple):
    """A request to the platform that has no reply yet."""

    node: object
    message: object


class SharedPlatform:
    """The table, the objects and the pending requests of all instances."""

    def __init__(self):
        self.table = Table()
        self.objects = {}
        self.pending_requests = []
        self.late = []

    def take(self, index):
        return self.pending_requests.pop(index % len(self.pending_requests))

    def perform(self, message):
        """Carry out a request and return its reply."""
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
        """Return the reply that reports a failure."""
        if isinstance(message, TableTransactRequested):
            return TableTransactReplied(message.token, unavailable)
        if isinstance(message, TableReadRequested):
            return TableReadReplied(message.token, unavailable)
        reply_type = (
            ObjectPutReplied
            if isinstance(message, ObjectPutRequested)
            else ObjectGetReplied
        )
        return reply_type(message.token, ObjectUnavailable(unavailable.reason))

    def done(self, index):
        pending = self.take(index)
        pending.node.reply(pending.message, self.perform(pending.message))

    def reply_lost(self, index):
        pending = self.take(index)
        self.perform(pending.message)
        pending.node.reply(pending.message, self.fail(pending.message, LOST))

    def unsent(self, index):
        pending = self.take(index)
        pending.node.reply(pending.message, self.fail(pending.message, UNSENT))

    def lost(self, index):
        """Report a request as lost; it never takes effect."""
        pending = self.take(index)
        pending.node.reply(pending.message, self.fail(pending.message, LOST))

    def delayed(self, index):
        """Report a request as lost and buffer it to be carried out later."""
        pending = self.take(index)
        self.late.append(pending.message)
        pending.node.reply(pending.message, self.fail(pending.message, LOST))

    def arrive_late(self, index):
        self.perform(self.late.pop(index % len(self.late)))


class FakePlatformService(Service):
    """Stands in for the ``platform`` service of one instance."""

    name = "platform"

    def __init__(self, kernel, node, platform, read_list):
        super().__init__(kernel)
        self.node, self.platform, self.read_list = node, platform, read_list

    def message_handlers(self):
        message_types = (
            TableTransactRequested,
            TableReadRequested,
            ObjectPutRequested,
            ObjectGetRequested,
        )
        return {
            **dict.fromkeys(message_types, self._on_request),
            InstanceListRequested: self._on_list_requested,
        }

    def _on_request(self, message):
        self.platform.pending_requests.append(PendingRequest(self.node, message))

    def _on_list_requested(self, message):
        listed_ids = self.read_list()
        if listed_ids is None:
            result = ListUnavailable("outage")
        else:
            result = InstanceList(
                tuple(ListedInstance(id_, "", "entry", "live") for id_ in listed_ids)
            )
        self.send(message.reply_to, InstanceListReplied(message.token, result))


class Recorder(Service):
    """Records the messages sent to a service of this name."""

    def __init__(self, kernel, name, message_types):
        self.message_types = message_types
        self.received = []
        super().__init__(kernel, name)

    def message_handlers(self):
        return dict.fromkeys(self.message_types, self.received.append)


class InstanceProcess:
    """One process of one instance, with its own kernel and clock."""

    def __init__(self, instance_id, incarnation, platform, read_list=tuple):
        self.instance_id = instance_id
        self.incarnation = incarnation
        self.is_alive = True
        self.is_frozen = False
        self.clock = ManualClock()
        self.kernel = Kernel(self.clock)
        self.kernel.register(
            FakePlatformService(self.kernel, self, platform, read_list)
        )
        self.reports = self.record(SUPERVISOR, (HandlerFailed, DrainFinished))

    def record(self, name, message_types):
        """Return the list of messages sent to a service of this name."""
        return self.kernel.register(Recorder(self.kernel, name, message_types)).received

    @property
    def failures(self):
        return [report for report in self.reports if type(report) is HandlerFailed]

    @property
    def is_running(self):
        return self.is_alive and not self.is_frozen

    def send(self, name, message):
        self.kernel.send(name, message)
        self.run()

    def reply(self, request, message):
        """Deliver a reply; a frozen process handles it once it resumes."""
        self.send(request.reply_to, message)

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
