"""
TCP proxy on loopback that injects network faults.

It forwards each connection to its target. The common faults of the stand-ins
apply to its control port only. Faults of the link: ``delay`` (ms added in
both directions), ``cut_to`` and ``cut_from`` (bytes to or from the target are
dropped silently), ``reset`` (while true, each change of a fault resets the
connections that are open then; new ones work), ``flood`` (clients get bytes
without end that are no protocol).
"""

from socket import socket
from typing import Any, NamedTuple

from absl import flags

from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import Address
from cuminhatch.services._bound_socket import bind_listening_socket, get_bound_address
from cuminhatch.services._stream import Stream, set_stream_options
from cuminhatch_standins._fault_injector import (
    IGNORED_CALLER_EVENTS,
    LISTENER,
    FaultsChanged,
)
from cuminhatch_standins._faults import (
    COMMON_FAULTS,
    FaultSpec,
    is_flag,
    is_non_negative_number,
)
from cuminhatch_standins._process import run_standin
from cuminhatch_standins._responses import CompleteRequest, make_json_response

FAULTS = {
    **COMMON_FAULTS,
    "delay": FaultSpec(0, is_non_negative_number),
    "cut_to": FaultSpec(False, is_flag),
    "cut_from": FaultSpec(False, is_flag),
    "reset": FaultSpec(False, is_flag),
    "flood": FaultSpec(False, is_flag),
}
FLOOD_PART = b"\0" * 4096
FLOOD_INTERVAL_MS = 20.0
BACKLOG = 256

flags.DEFINE_integer("link_port", 0, "TCP port of the link on 127.0.0.1.")
flags.DEFINE_integer(
    "target_port", 0, "TCP port on 127.0.0.1 that the link forwards to."
)


class LinkDelayExpired(NamedTuple):
    """The delay of some forwarded bytes expired."""

    stream: Stream
    data: bytes


class FloodDue(NamedTuple):
    """The next bytes of a flood are to be sent."""


class _ForwardedConnection:
    """The two streams of a connection through the link."""

    def __init__(self) -> None:
        self.client: Stream
        self.target: Stream


class FaultyLink(Service):
    """Forwards connections from the port of the link to its target."""

    name = "faulty_link"

    def __init__(self, kernel: Kernel, port: int, target: Address) -> None:
        """
        Create the link without opening it.

        :param kernel: kernel of the process.
        :param port: port that clients connect to; 0 takes any free port.
        :param target: address that connections are forwarded to.
        """
        super().__init__(kernel)
        self._address = Address("127.0.0.1", port)
        self._target = target
        self._sock: socket | None = None
        self._connections: set[_ForwardedConnection] = set()
        self._faults: dict[str, Any] = {
            name: spec.off_value for name, spec in FAULTS.items()
        }

    def message_handlers(self) -> MessageTable:
        """Return the handlers for the control port and for the timer."""
        return {
            **IGNORED_CALLER_EVENTS,
            CompleteRequest: self._on_complete_request,
            FaultsChanged: self._on_faults_changed,
            LinkDelayExpired: self._on_link_delay_expired,
            FloodDue: self._on_flood_due,
        }

    def open(self) -> None:
        """
        Start to listen.

        :raises AddressError: the port cannot be bound.
        """
        self._sock = bind_listening_socket(self._address, BACKLOG)
        self._address = get_bound_address(self._sock)
        self.watch_read(self._sock, self._accept)

    def _on_complete_request(self, request: CompleteRequest) -> None:
        state = {"port": self._address.port, "connections": len(self._connections)}
        self.send(LISTENER, make_json_response(request, 200, state))

    def _on_faults_changed(self, message: FaultsChanged) -> None:
        self._faults |= {name: message.faults[name] for name in message.names}
        if "flood" in message.names:
            self.send(self.name, FloodDue())
        if message.faults["reset"]:
            for connection in list(self._connections):
                self._abort(connection)

    def _on_flood_due(self, message: FloodDue) -> None:
        if not self._faults["flood"]:
            return
        for connection in list(self._connections):
            connection.client.write(FLOOD_PART)
        self.call_after(FLOOD_INTERVAL_MS, message)

    def _accept(self) -> None:
        try:
            client, _ = self._sock.accept()
        except BlockingIOError:
            return
        set_stream_options(client)
        target = socket()
        set_stream_options(target)
        # A connection error is reported when the socket is first used.
        target.connect_ex(self._target)
        connection = _ForwardedConnection()
        connection.client = self._make_stream(
            connection, client, "cut_to", lambda: connection.target
        )
        connection.target = self._make_stream(
            connection, target, "cut_from", lambda: connection.client
        )
        self._connections.add(connection)
        connection.client.start_reading()
        connection.target.start_reading()

    def _make_stream(
        self,
        connection: _ForwardedConnection,
        sock: socket,
        cut_fault: str,
        get_other: Any,
    ) -> Stream:
        return Stream(
            self,
            sock,
            on_data=lambda data: self._forward(get_other(), data, cut_fault),
            on_lost=lambda reason: self._abort(connection),
            on_drained=lambda: None,
        )

    def _forward(self, stream: Stream, data: bytes, cut_fault: str) -> None:
        if self._faults[cut_fault]:
            return
        delay_ms = self._faults["delay"]
        if delay_ms:
            self.call_after(delay_ms, LinkDelayExpired(stream, data))
        else:
            stream.write(data)

    def _on_link_delay_expired(self, message: LinkDelayExpired) -> None:
        message.stream.write(message.data)

    def _abort(self, connection: _ForwardedConnection) -> None:
        """Abort both streams; bytes in transit are lost, as with a reset."""
        self._connections.discard(connection)
        for stream in (connection.client, connection.target):
            if stream.is_open:
                stream.abort()


def main() -> None:
    """Run the faulty link."""
    values = flags.FLAGS
    run_standin(
        lambda kernel: FaultyLink(
            kernel, values.link_port, Address("127.0.0.1", values.target_port)
        ),
        FAULTS,
    )


if __name__ == "__main__":
    main()
