"""The platform's metadata store: rows read and written over HTTP."""

from base64 import b64decode, b64encode
from collections.abc import Callable
from itertools import count
from typing import Any, NamedTuple
from urllib.parse import quote

import orjson

from cuminhatch.address import Address
from cuminhatch.codecs.http1 import Header
from cuminhatch.decisions.catalog import Registration
from cuminhatch.errors import CodecError
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages.catalog import (
    ConfigurationRead,
    ConfigurationRequested,
    EnrolledRead,
    EnrolledRequested,
    EnrolmentRequested,
    EnrolmentStored,
    RegistrationRefused,
    RegistrationsRead,
    RegistrationsRequested,
    StoreUnavailable,
)
from cuminhatch.messages.http_client import HttpFailed, HttpReplied, HttpRequested
from cuminhatch.messages.telemetry import CounterIncremented
from cuminhatch.platform.documents import DocumentError, decode_server

SERVERS_TABLE = "servers"
OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
# A table of the system's own.
INSTANCES_TABLE = "instances"
ROWS_PER_READ = 500
# Sorts after any key of the platform.
LAST_KEY = "\U0010ffff"
# The store answers within 4 ms, and within some 250 ms when it is slow.
CALL_TIMEOUT_MS = 1_000.0
OK = 200


class _Row(NamedTuple):
    """One row of a table."""

    key: str
    value: bytes
    version: int


class _Reading:
    """State of a reading of a range, page by page."""

    def __init__(self, request: Any, table: str, first: str, last: str) -> None:
        self.request = request
        self.table = table
        self.first = first
        self.last = last
        self.rows: list[_Row] = []


class PlatformStore(Service):
    """Translates readings of the store into messages."""

    name = "store"

    def __init__(self, kernel: Kernel, address: Address) -> None:
        """
        Start without calls.

        :param kernel: kernel of the process.
        :param address: address of the store.
        """
        super().__init__(kernel)
        self._address = address
        self._calls: dict[int, Callable[[HttpReplied | HttpFailed], None]] = {}
        self._tokens = count(1)

    def message_handlers(self) -> MessageTable:
        """Return the messages of ``catalog`` and the HTTP client."""
        return {
            RegistrationsRequested: self._on_registrations_requested,
            ConfigurationRequested: self._on_configuration_requested,
            EnrolmentRequested: self._on_enrolment_requested,
            EnrolledRequested: self._on_enrolled_requested,
            HttpReplied: self._on_http_ended,
            HttpFailed: self._on_http_ended,
        }

    # Readings

    def _on_registrations_requested(self, message: RegistrationsRequested) -> None:
        reading = _Reading(message, SERVERS_TABLE, "", LAST_KEY)
        self._read(reading, self._finish_registrations)

    def _finish_registrations(self, reading: _Reading, version: int) -> None:
        registrations = {}
        refused = []
        for row in reading.rows:
            try:
                server = decode_server(row.key, row.value)
            except DocumentError as error:
                refused.append(RegistrationRefused(row.key, str(error)))
                continue
            registrations[row.key] = Registration(server, row.version)
        request = reading.request
        self.send(
            request.reply_to,
            RegistrationsRead(request.token, version, registrations, tuple(refused)),
        )

    def _on_configuration_requested(self, message: ConfigurationRequested) -> None:
        end = CONFIGURATION_KEY + "\0"
        reading = _Reading(message, OPERATOR_TABLE, CONFIGURATION_KEY, end)
        self._read(reading, self._finish_configuration)

    def _finish_configuration(self, reading: _Reading, version: int) -> None:
        document = reading.rows[0].value if reading.rows else b""
        request = reading.request
        self.send(request.reply_to, ConfigurationRead(request.token, document))

    def _on_enrolled_requested(self, message: EnrolledRequested) -> None:
        reading = _Reading(message, INSTANCES_TABLE, "", LAST_KEY)
        self._read(reading, self._finish_enrolled)

    def _finish_enrolled(self, reading: _Reading, version: int) -> None:
        members = {}
        for row in reading.rows:
            host, _, port = row.value.decode("latin-1").rpartition(":")
            if port.isdigit():
                members[row.key] = Address(host, int(port))
        request = reading.request
        self.send(request.reply_to, EnrolledRead(request.token, members))

    def _read(self, reading: _Reading, finish: Callable[[_Reading, int], None]) -> None:
        target = (
            f"/rows-get?table={reading.table}&part=&from={quote(reading.first)}"
            f"&to={quote(reading.last)}&limit={ROWS_PER_READ}"
        )

        def take_page(document: dict[str, Any]) -> None:
            reading.rows += [_decode_row(row) for row in document["rows"]]
            if document["has-more"]:
                reading.first = reading.rows[-1].key + "\0"
                self._read(reading, finish)
            else:
                finish(reading, document["ver"])

        self._call(reading.request, b"GET", target, b"", take_page)

    # Writes

    def _on_enrolment_requested(self, message: EnrolmentRequested) -> None:
        address = f"{message.address.host}:{message.address.port}"
        row = {
            "table": INSTANCES_TABLE,
            "part": "",
            "key": message.instance_id,
            "value": b64encode(address.encode()).decode(),
        }
        body = orjson.dumps({"expected": [], "puts": [row], "remove": []})

        def confirm(document: dict[str, Any]) -> None:
            self.send(message.reply_to, EnrolmentStored(message.token))

        self._call(message, b"POST", "/rows-tx", body, confirm)

    # Calls

    def _call(
        self,
        request: Any,
        method: bytes,
        target: str,
        body: bytes,
        use: Callable[[dict[str, Any]], None],
    ) -> None:
        token = next(self._tokens)

        def end(reply: HttpReplied | HttpFailed) -> None:
            result = str(reply.status) if isinstance(reply, HttpReplied) else "lost"
            call = CounterIncremented("store_calls_total", {"result": result})
            self.send("metrics", call)
            try:
                use(_read_reply(reply))
            except (CodecError, KeyError, TypeError, ValueError) as error:
                self.send(request.reply_to, StoreUnavailable(request.token, str(error)))

        self._calls[token] = end
        host = f"{self._address.host}:{self._address.port}"
        headers = (Header(b"host", host.encode()),)
        if body:
            headers += (Header(b"content-type", b"application/json"),)
        self.send(
            "http_client",
            HttpRequested(
                self.name,
                token,
                self._address,
                method,
                target.encode(),
                headers,
                body,
                CALL_TIMEOUT_MS,
                is_repeatable=False,
            ),
        )

    def _on_http_ended(self, message: HttpReplied | HttpFailed) -> None:
        self._calls.pop(message.token)(message)


def _read_reply(reply: HttpReplied | HttpFailed) -> dict[str, Any]:
    if isinstance(reply, HttpFailed):
        raise DocumentError(reply.reason)
    if reply.status != OK:
        raise DocumentError(f"status {reply.status}")
    return orjson.loads(reply.body)


def _decode_row(row: dict[str, Any]) -> _Row:
    return _Row(row["key"], b64decode(row["value"]), row["ver"])
