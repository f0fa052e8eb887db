"""Accepted notes over TCP, from one daemon to another."""

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
    NotesOffered,
    NotesPullRequested,
    NotesReplied,
    NotesRequested,
)
from cuminhatch.services._bound_socket import address_of, listen_on
from cuminhatch.services._stream import Stream, set_stream_options

LENGTH_BYTES = 4
MAX_PULL_BYTES = 256
MAX_REPLY_BYTES = 16 * 1024 * 1024
# A full reply is bounded by notes as well as by bytes.
MAX_NOTES = 200
MAX_REPLY_NOTES_BYTES = 8 * 1024 * 1024
MAX_CONNECTIONS = 32
TRANSFER_LIMIT_MS = 3_000
LISTEN_BACKLOG = 32


class TransferTimedOut(NamedTuple):
    """A transfer has not ended in time."""

    number: int


class _Transfer:
    """State of one connection, in either direction."""

    def __init__(self, number: int, limit: int) -> None:
        self.number = number
        self.limit = limit
        self.stream: Stream
        self.received = bytearray()
        self.is_reply_sent = False


class NoteTransfer(Service):
    """Owns the TCP port for pulls and the pulls of this daemon."""

    name = "note_transfer"

    def __init__(self, kernel: Kernel, address: Address, key: str) -> None:
        """
        Create the service without opening its port.

        :param kernel: kernel of the process.
        :param address: address to listen on; port 0 takes any.
        :param key: key shared by all daemons.
        """
        super().__init__(kernel)
        self._address = address
        self._key = key.encode()
        self._sock: socket | None = None
        self._numbers = count(1)
        self._transfers: dict[int, _Transfer] = {}

    def message_handlers(self) -> MessageTable:
        """Return the messages of ``notes`` and the own timer."""
        return {
            NotesPullRequested: self._on_notes_pull_requested,
            NotesReplied: self._on_notes_replied,
            TransferTimedOut: self._on_transfer_timed_out,
        }

    @property
    def address(self) -> Address:
        """Return the address in use, with the real port once open."""
        return self._address if self._sock is None else address_of(self._sock)

    def open(self) -> None:
        """
        Start to listen.

        :raises AddressError: the address cannot be bound.
        """
        self._sock = listen_on(self._address, LISTEN_BACKLOG)
        self.watch_read(self._sock, self._accept)

    def _accept(self) -> None:
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        if len(self._transfers) >= MAX_CONNECTIONS:
            sock.close()
            return
        self._add_transfer(sock, MAX_PULL_BYTES, self._serve)

    def _add_transfer(
        self, sock: socket, limit: int, on_frame: Callable[[_Transfer, bytes], None]
    ) -> _Transfer:
        set_stream_options(sock)
        transfer = _Transfer(next(self._numbers), limit)
        transfer.stream = Stream(
            self,
            sock,
            on_data=lambda data: self._on_data(transfer, data, on_frame),
            on_lost=lambda reason: self._end(transfer),
            on_drained=lambda: transfer.is_reply_sent and self._end(transfer),
        )
        self._transfers[transfer.number] = transfer
        transfer.stream.start_reading()
        self.call_after(TRANSFER_LIMIT_MS, TransferTimedOut(transfer.number))
        return transfer

    def _on_data(
        self,
        transfer: _Transfer,
        data: bytes,
        on_frame: Callable[[_Transfer, bytes], None],
    ) -> None:
        received = transfer.received
        received += data
        if len(received) < LENGTH_BYTES:
            return
        length = int.from_bytes(received[:LENGTH_BYTES], "big")
        if length > transfer.limit:
            self._end(transfer)
        elif len(received) >= LENGTH_BYTES + length:
            # One frame each way; further bytes would repeat the pull and
            # grow both buffers.
            transfer.stream.stop_reading()
            on_frame(transfer, bytes(received[LENGTH_BYTES : LENGTH_BYTES + length]))

    def _write_frame(self, transfer: _Transfer, data: bytes) -> None:
        transfer.stream.write(len(data).to_bytes(LENGTH_BYTES, "big") + data)

    def _end(self, transfer: _Transfer) -> None:
        transfer.stream.close()
        self._transfers.pop(transfer.number, None)

    def _on_transfer_timed_out(self, message: TransferTimedOut) -> None:
        transfer = self._transfers.get(message.number)
        if transfer is not None:
            self._end(transfer)

    # The side that has the notes

    def _serve(self, transfer: _Transfer, frame: bytes) -> None:
        try:
            pull = decode_message(frame, self._key)
        except PeerMessageError:
            self._end(transfer)
            return
        if not isinstance(pull, NotesPull):
            self._end(transfer)
            return
        limit = min(pull.limit, MAX_NOTES)
        self.send(
            "notes", NotesRequested(self.name, transfer.number, pull.after, limit)
        )

    def _on_notes_replied(self, message: NotesReplied) -> None:
        transfer = self._transfers.get(message.token)
        if transfer is None:
            return
        notes: list[bytes] = []
        size = 0
        for accepted in message.notes:
            note = encode_accepted_note(accepted)
            size += len(note)
            if notes and size > MAX_REPLY_NOTES_BYTES:
                break
            notes.append(note)
        transfer.is_reply_sent = True
        self._write_frame(transfer, encode_message(NotesReply(tuple(notes)), self._key))
        if transfer.stream.pending_bytes == 0:
            self._end(transfer)

    # The side that lacks notes

    def _on_notes_pull_requested(self, message: NotesPullRequested) -> None:
        sock = socket()
        sock.setblocking(False)
        sock.connect_ex(message.address)
        transfer = self._add_transfer(sock, MAX_REPLY_BYTES, self._take_reply)
        self._write_frame(
            transfer, encode_message(NotesPull(message.after, MAX_NOTES), self._key)
        )

    def _take_reply(self, transfer: _Transfer, frame: bytes) -> None:
        self._end(transfer)
        try:
            reply = decode_message(frame, self._key)
            if isinstance(reply, NotesReply):
                notes = tuple(decode_accepted_note(note) for note in reply.notes)
                self.send("notes", NotesOffered(notes))
        except CodecError:
            # The notes are pulled again with the next heartbeat.
            return
