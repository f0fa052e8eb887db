"""Fakes of table, object store and neighbouring services."""

from typing import Any

from cuminhatch.decisions.platform import (
    ObjectAbsent,
    ObjectFound,
    ObjectStored,
    ObjectUnavailable,
    TableTransaction,
    TableUnavailable,
)
from cuminhatch.kernel import Kernel, Service
from cuminhatch.messages import (
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
from cuminhatch_standins.table_state import TableState

TABLE_MODES = ("up", "lost", "late", "down", "slow-request", "slow-reply")
OBJECT_MODES = ("up", "torn", "corrupt", "missing", "down")


class PlatformState:
    """Table and object store shared by all instances, with injected faults."""

    def __init__(self) -> None:
        self.table = TableState()
        self.objects: dict[str, bytes] = {}
        self.table_mode = "up"
        # Modes of the next requests, one each; then ``table_mode`` applies.
        self.next_table_modes: list[str] = []
        self.object_mode = "up"
        # Callbacks that complete delayed requests, in the order of arrival.
        self.delayed_replies: list[Any] = []
        self.late: list[TableTransaction] = []

    def store(self, name: str, data: bytes) -> None:
        if self.object_mode == "torn":
            data = data[: len(data) // 2]
        elif self.object_mode == "corrupt":
            data = data.replace(b"127.0.0.", b"127.0.1.")
        if self.object_mode != "missing":
            self.objects[name] = data


class FakePlatform(Service):
    """Stands in for ``platform`` and replies from a :class:`PlatformState`."""

    name = "platform"

    def __init__(self, kernel: Kernel, state: PlatformState) -> None:
        super().__init__(kernel)
        self._state = state

    def message_handlers(self):
        return {
            TableTransactRequested: self._on_transact_requested,
            TableReadRequested: self._on_read_requested,
            TableScanRequested: self._on_scan_requested,
            ObjectPutRequested: self._on_put_requested,
            ObjectGetRequested: self._on_get_requested,
        }

    def _handle_table_request(self, message, reply_type, operate, is_write=False):
        state = self._state
        modes = state.next_table_modes
        mode = modes.pop(0) if modes else state.table_mode

        def reply(result):
            self.send(message.reply_to, reply_type(message.token, result))

        if mode == "down":
            reply(TableUnavailable("table service is down", False))
        elif mode == "lost":
            operate()
            reply(TableUnavailable("reply lost", is_write))
        elif mode == "late" and is_write:
            state.late.append(message.transaction)
            reply(TableUnavailable("no reply", True))
        elif mode == "slow-request":
            state.delayed_replies.append(lambda: reply(operate()))
        elif mode == "slow-reply":
            result = operate()
            state.delayed_replies.append(lambda: reply(result))
        else:
            reply(operate())

    def _on_transact_requested(self, message):
        self._handle_table_request(
            message,
            TableTransactReplied,
            lambda: self._state.table.transact(message.transaction),
            is_write=True,
        )

    def _on_read_requested(self, message):
        self._handle_table_request(
            message,
            TableReadReplied,
            lambda: self._state.table.read(message.key),
        )

    def _on_scan_requested(self, message):
        self._handle_table_request(
            message,
            TableScanReplied,
            lambda: self._state.table.scan(
                message.after, message.before, message.limit
            ),
        )

    def _on_put_requested(self, message):
        if self._state.object_mode == "down":
            result = ObjectUnavailable("object store is down")
        else:
            self._state.store(message.object_name, message.data)
            result = ObjectStored()
        self.send(message.reply_to, ObjectPutReplied(message.token, result))

    def _on_get_requested(self, message):
        data = self._state.objects.get(message.object_name)
        if self._state.object_mode == "down":
            result = ObjectUnavailable("object store is down")
        else:
            result = ObjectAbsent() if data is None else ObjectFound(data)
        self.send(message.reply_to, ObjectGetReplied(message.token, result))


class Recorder(Service):
    """Records the messages sent to a service that a test leaves out."""

    def __init__(self, kernel: Kernel, name: str, *message_types: type) -> None:
        super().__init__(kernel, name)
        self.received: list[Any] = []
        self._message_types = message_types

    def message_handlers(self):
        return dict.fromkeys(self._message_types, self.received.append)


def run_until_idle(kernel: Kernel) -> None:
    """
    Tick until no message is left, with the timers that have expired.

    The kernel polls before it sends what is due, and delivers it after that.
    """
    idle = 0
    while idle < 3:
        kernel.tick()
        idle = 0 if len(kernel.root) else idle + 1
