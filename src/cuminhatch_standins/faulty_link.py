"""
A TCP link on loopback that can be disturbed from outside.

It forwards each connection to its target. Besides the common faults of a
stand-in, which concern its control port: ``delay`` (ms that bytes take longer,
both ways), ``cut_to`` and ``cut_from`` (bytes to or from the target are lost
without a sign), ``reset`` (the present connections are reset, new ones work).
"""

from socket import socket
from typing import Any, NamedTuple

from absl import flags

from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import Address
from cuminhatch.services._bound_socket import address_of, listen_on
from cuminhatch.services._stream import Stream, set_stream_options
from cuminhatch_standins._answers import WholeRequest, json_answer
from cuminhatch_standins._faults import COMMON_FAULTS, FaultSpec, is_flag, is_number
from cuminhatch_standins._front import FLOW_IGNORED, LISTENER, FaultsChanged
from cuminhatch_standins._process import run_standin

FAULTS = {
    **COMMON_FAULTS,
    "delay": FaultSpec(0, is_number),
    "cut_to": FaultSpec(False, is_flag),
    "cut_from": FaultSpec(False, is_flag),
    "reset": FaultSpec(False, is_flag),
}
BACKLOG = 256

flags.DEFINE_integer("link_port", 0, "TCP port of the link on 127.0.0.1.")
flags.DEFINE_integer("target_port", 0, "TCP port on 127.0.0.1 it leads to.")


class BytesDue(NamedTuple):
    """Bytes have taken as long as the link's delay says."""

    stream: Stream
    data: bytes


class _Pair:
    """State of one connection through the link."""

    def __init__(self) -> None:
        self.near: Stream
        self.far: Stream


class FaultyLink(Service):
    """Owns the link's port and its connections."""

    name = "faulty_link"

    def __init__(self, kernel: Kernel, port: int, target: Address) -> None:
        """
        Create the link without opening it.

        :param kernel: kernel of the process.
        :param port: port that callers connect to; 0 takes any.
        :param target: where the link leads to.
        """
        super().__init__(kernel)
        self._address = Address("127.0.0.1", port)
        self._target = target
        self._sock: socket | None = None
        self._pairs: set[_Pair] = set()
        self._faults: dict[str, Any] = {name: spec.off for name, spec in FAULTS.items()}

    def message_handlers(self) -> MessageTable:
        """Return the messages of the control port and the own timer."""
        return {
            **FLOW_IGNORED,
            WholeRequest: self._on_whole_request,
            FaultsChanged: self._on_faults_changed,
            BytesDue: self._on_bytes_due,
        }

    def open(self) -> None:
        """
        Start to listen.

        :raises AddressError: the port cannot be bound.
        """
        self._sock = listen_on(self._address, BACKLOG)
        self._address = address_of(self._sock)
        self.watch_read(self._sock, self._accept)

    def _on_whole_request(self, request: WholeRequest) -> None:
        state = {"port": self._address.port, "connections": len(self._pairs)}
        self.send(LISTENER, json_answer(request, 200, state))

    def _on_faults_changed(self, message: FaultsChanged) -> None:
        self._faults |= {name: message.faults[name] for name in message.names}
        if message.faults["reset"]:
            for pair in list(self._pairs):
                self._end(pair)

    def _accept(self) -> None:
        try:
            near, _ = self._sock.accept()
        except BlockingIOError:
            return
        set_stream_options(near)
        far = socket()
        set_stream_options(far)
        # An error shows when the connection is first used.
        far.connect_ex(self._target)
        pair = _Pair()
        pair.near = self._make_stream(pair, near, "cut_to", lambda: pair.far)
        pair.far = self._make_stream(pair, far, "cut_from", lambda: pair.near)
        self._pairs.add(pair)
        pair.near.start_reading()
        pair.far.start_reading()

    def _make_stream(
        self, pair: _Pair, sock: socket, cut: str, find_other: Any
    ) -> Stream:
        return Stream(
            self,
            sock,
            on_data=lambda data: self._pass_on(find_other(), data, cut),
            on_lost=lambda reason: self._end(pair),
            on_drained=lambda: None,
        )

    def _pass_on(self, stream: Stream, data: bytes, cut: str) -> None:
        if self._faults[cut]:
            return
        delay_ms = self._faults["delay"]
        if delay_ms:
            self.call_after(delay_ms, BytesDue(stream, data))
        else:
            stream.write(data)

    def _on_bytes_due(self, message: BytesDue) -> None:
        message.stream.write(message.data)

    def _end(self, pair: _Pair) -> None:
        """End both sides; what was under way is lost, as with a reset."""
        self._pairs.discard(pair)
        for stream in (pair.near, pair.far):
            if stream.is_open:
                stream.abort()


def main() -> None:
    """Run the stand-in."""
    values = flags.FLAGS
    run_standin(
        lambda kernel: FaultyLink(
            kernel, values.link_port, Address("127.0.0.1", values.target_port)
        ),
        FAULTS,
    )


if __name__ == "__main__":
    main()
