"""
Transfers accepted notes from one daemon to another over TCP.

A daemon that lacks notes connects and sends a pull; the other daemon replies
with notes. Pull and reply are one frame each: a length prefix and a signed
message.
"""

from collections.abc import Callable
from itertools import count
from socket import socket
from typing import NamedTuple

from cuminhatch.address import Address
from cuminhatch.codecs.configuration_json import (
    decode_accepted_note,
    encode_accepted_note,
)
from cuminhatch.codecs.peers_thrift import (
    NotesPull,
    NotesReply,
    decode_message,
    encode_message,
)
from cuminhatch.codecs.signing import PeerMessageError
from cuminhatch.errors import CodecError
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import (
    NotesPulled,
    NotesPullRequested,
    NotesReplied,
    NotesRequested,
)
from cuminhatch.services._bound_socket import bind_listening_socket, get_bound_address
from cuminhatch.services._stream import Stream, set_stream_options

LENGTH_PREFIX_BYTES = 4
MAX_PULL_BYTES = 256
MAX_REPLY_BYTES = 16 * 1024 * 1024
# Limits of a reply to be sent; ``MAX_REPLY_BYTES`` is that of one received.
MAX_NOTES_PER_REPLY = 200
MAX_REPLY_NOTES_BYTES = 8 * 1024 * 1024
MAX_CONNECTIONS = 32
TRANSFER_TIMEOUT_MS = 3_000
LISTEN_BACKLOG = 32


class TransferTimedOut(NamedTuple):
    """The time limit of a transfer has passed."""

    transfer_id: int


class _Transfer:
    """State of one connection, accepted or opened."""

    def __init__(self, transfer_id: int, max_frame_bytes: int) -> None:
        self.transfer_id = transfer_id
        self.max_frame_bytes = max_frame_bytes
        self.stream: Stream
        self.received = bytearray()
        self.is_reply_sent = False


class NoteTransfer(Service):
    """Serves pulls of other daemons and sends those of this daemon."""

    name = "note_transfer"

    def __init__(self, kernel: Kernel, address: Address, key: str) -> None:
        """
        Create the service without opening its port.

        :param kernel: kernel of the process.
        :param address: address to listen on; port 0 takes any free port.
        :param key: key that all daemons share to sign messages.
        """
        super().__init__(kernel)
        self._address = address
        self._key = key.encode()
        self._sock: socket | None = None
        self._transfer_ids = count(1)
        self._transfers: dict[int, _Transfer] = {}

    def message_handlers(self) -> MessageTable:
        """Return the handlers of ``notes`` messages and the timeout."""
        return {
            NotesPullRequested: self._on_notes_pull_requested,
            NotesReplied: self._on_notes_replied,
            TransferTimedOut: self._on_transfer_timed_out,
        }

    @property
    def address(self) -> Address:
        """Return the address, with the bound port once open."""
        return self._address if self._sock is None else get_bound_address(self._sock)

    def open(self) -> None:
        """
        Start to listen.

        :raises AddressError: the address cannot be bound.
        """
        self._sock = bind_listening_socket(self._address, LISTEN_BACKLOG)
        self.watch_read(self._sock, self._accept_connection)

    def _accept_connection(self) -> None:
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        if len(self._transfers) >= MAX_CONNECTIONS:
            sock.close()
            return
        self._add_transfer(sock, MAX_PULL_BYTES, self._on_pull_frame)

    def _add_transfer(
        self,
        sock: socket,
        max_frame_bytes: int,
        on_frame: Callable[[_Transfer, bytes], None],
    ) -> _Transfer:
        set_stream_options(sock)
        transfer = _Transfer(next(self._transfer_ids), max_frame_bytes)
        transfer.stream = Stream(
            self,
            sock,
            on_data=lambda data: self._on_data(transfer, data, on_frame),
            on_lost=lambda reason: self._close_transfer(transfer),
            on_drained=lambda: (
                transfer.is_reply_sent and self._close_transfer(transfer)
            ),
        )
        self._transfers[transfer.transfer_id] = transfer
        transfer.stream.start_reading()
        self.call_after(TRANSFER_TIMEOUT_MS, TransferTimedOut(transfer.transfer_id))
        return transfer

    def _on_data(
        self,
        transfer: _Transfer,
        data: bytes,
        on_frame: Callable[[_Transfer, bytes], None],
    ) -> None:
        received = transfer.received
        received += data
        if len(received) < LENGTH_PREFIX_BYTES:
            return
        length = int.from_bytes(received[:LENGTH_PREFIX_BYTES], "big")
        if length > transfer.max_frame_bytes:
            self._close_transfer(transfer)
        elif len(received) >= LENGTH_PREFIX_BYTES + length:
            # A transfer has one frame each way. Reading on would handle the
            # pull again with each read, and grow the buffers for received and
            # for unsent data.
            transfer.stream.stop_reading()
            on_frame(
                transfer,
                bytes(received[LENGTH_PREFIX_BYTES : LENGTH_PREFIX_BYTES + length]),
            )

    def _send_frame(self, transfer: _Transfer, data: bytes) -> None:
        transfer.stream.write(len(data).to_bytes(LENGTH_PREFIX_BYTES, "big") + data)

    def _close_transfer(self, transfer: _Transfer) -> None:
        transfer.stream.close()
        self._transfers.pop(transfer.transfer_id, None)

    def _on_transfer_timed_out(self, message: TransferTimedOut) -> None:
        transfer = self._transfers.get(message.transfer_id)
        if transfer is not None:
            self._close_transfer(transfer)

    # Serving pulls

    def _on_pull_frame(self, transfer: _Transfer, frame: bytes) -> None:
        try:
            pull = decode_message(frame, self._key)
        except PeerMessageError:
            self._close_transfer(transfer)
            return
        if not isinstance(pull, NotesPull):
            self._close_transfer(transfer)
            return
        limit = min(pull.limit, MAX_NOTES_PER_REPLY)
        self.send(
            "notes", NotesRequested(self.name, transfer.transfer_id, pull.after, limit)
        )

    def _on_notes_replied(self, message: NotesReplied) -> None:
        transfer = self._transfers.get(message.token)
        if transfer is None:
            return
        notes: list[bytes] = []
        notes_bytes = 0
        for accepted in message.notes:
            note = encode_accepted_note(accepted)
            notes_bytes += len(note)
            if notes and notes_bytes > MAX_REPLY_NOTES_BYTES:
                break
            notes.append(note)
        transfer.is_reply_sent = True
        self._send_frame(transfer, encode_message(NotesReply(tuple(notes)), self._key))
        if transfer.stream.pending_bytes == 0:
            self._close_transfer(transfer)

    # Sending pulls

    def _on_notes_pull_requested(self, message: NotesPullRequested) -> None:
        sock = socket()
        sock.setblocking(False)
        sock.connect_ex(message.address)
        transfer = self._add_transfer(sock, MAX_REPLY_BYTES, self._on_reply_frame)
        self._send_frame(
            transfer,
            encode_message(NotesPull(message.after, MAX_NOTES_PER_REPLY), self._key),
        )

    def _on_reply_frame(self, transfer: _Transfer, frame: bytes) -> None:
        self._close_transfer(transfer)
        try:
            reply = decode_message(frame, self._key)
            if isinstance(reply, NotesReply):
                notes = tuple(decode_accepted_note(note) for note in reply.notes)
                self.send("notes", NotesPulled(notes))
        except CodecError:
            # ``notes`` pulls again on the next heartbeat of a peer.
            return
