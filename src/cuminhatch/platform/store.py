"""HTTP client of the platform's metadata store."""

import json
from base64 import b64decode, b64encode
from collections.abc import Callable
from itertools import count
from typing import Any, NamedTuple
from urllib.parse import quote

import orjson

from cuminhatch.address import Address
from cuminhatch.codecs.http1 import Header, find_header
from cuminhatch.decisions.evacuation import Evacuation, make_evacuation
from cuminhatch.decisions.store_version import NO_VERSION, StoreVersion
from cuminhatch.errors import CodecError
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages.catalog import (
    ConfigurationRead,
    ConfigurationRequested,
    InstanceRecordPutRequested,
    InstanceRecordsRead,
    InstanceRecordsRequested,
    InstanceRecordStored,
    RegistrationRefused,
    RegistrationsRead,
    RegistrationsRequested,
    StoreUnavailable,
)
from cuminhatch.messages.http_client import HttpFailed, HttpReplied, HttpRequested
from cuminhatch.messages.telemetry import CounterIncremented
from cuminhatch.platform.documents import (
    INT64_MAX,
    NAME_MAX_BYTES,
    DocumentError,
    decode_registration,
    is_failure_domain,
    is_server_id,
    parse_address,
    redact_configuration,
)

SERVERS_TABLE = "servers"
OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
# The rest of such a key names an evacuated failure domain.
EVACUATION_PREFIX = "evacuate/"
# Sorts after all keys with that prefix: "0" follows "/".
EVACUATION_END_KEY = "evacuate0"
# Written by the daemons, unlike the other tables.
INSTANCES_TABLE = "instances"
ROWS_PER_READ = 500
# More than the servers and instances of the size that the system is designed
# for; a store in trouble may send pages without end.
ROWS_PER_TABLE_MAX = 100_000
# Sorts after all keys of the platform.
LAST_KEY = "\U0010ffff"
# Well above the store's response time: 4 ms, or about 250 ms when it is slow.
CALL_TIMEOUT_MS = 1_000.0
STATUS_OK = 200
# Rises by one each time the store is restored from a copy; a store that was
# never restored may leave it out.
STORE_ERA = b"store-era"
MAX_ERA_DIGITS = 9


class _Response(NamedTuple):
    """A successful response: its JSON document, and the store's era."""

    document: dict[str, Any]
    era: int


class _Row(NamedTuple):
    """
    One row of a table.

    ``fault`` says why the row can't be used, and is empty if it can.
    """

    table: str
    key: str
    value: bytes
    version: StoreVersion
    fault: str = ""


class _Page(NamedTuple):
    """One response to a paged read."""

    rows: list[_Row]
    has_more: bool
    version: StoreVersion


class _RangeRead:
    """
    State of a paged read of a key range.

    ``version`` is that of its first page: rows of that page may have changed
    by the time a later page is read.
    """

    def __init__(self, request: Any, table: str, first_key: str, end_key: str) -> None:
        self.request = request
        self.table = table
        self.first_key = first_key
        self.end_key = end_key
        self.version: StoreVersion | None = None
        self.rows: list[_Row] = []

    def add_page(self, page: _Page, known_version: StoreVersion) -> None:
        """
        Add the rows of a page.

        :param page: the page received.
        :param known_version: version of the store known when the page was
            requested. The store is linearizable within an era, so a response
            of an older version, or with rows of another range, belongs to
            another call.
        :raises DocumentError: the page is not one of this read.
        """
        named = [row for row in page.rows if row.table]
        keys = [row.key for row in named]
        is_other_range = any(
            row.table != self.table or row.key < self.first_key for row in named
        )
        if page.version < known_version or is_other_range:
            raise DocumentError("response of another call")
        if self.version is not None and page.version.era != self.version.era:
            raise DocumentError("store restored between two pages")
        if page.has_more and not keys:
            raise DocumentError("page without rows")
        if len(self.rows) + len(keys) > ROWS_PER_TABLE_MAX:
            raise DocumentError("too many rows")
        self.rows += page.rows
        if self.version is None:
            self.version = page.version
        if keys:
            self.first_key = keys[-1] + "\0"


class PlatformStore(Service):
    """Service that reads and writes the store on request."""

    name = "store"

    def __init__(
        self, kernel: Kernel, address: Address, has_evacuations: bool = False
    ) -> None:
        """
        Create the service.

        :param kernel: kernel of the process.
        :param address: address of the store.
        :param has_evacuations: whether the evacuated failure domains are read
            with the configuration.
        """
        super().__init__(kernel)
        self._has_evacuations = has_evacuations
        self._address = address
        self._pending_calls: dict[int, Callable[[HttpReplied | HttpFailed], None]] = {}
        self._tokens = count(1)
        # Highest version of the store in a response so far.
        self._known_version = NO_VERSION

    def message_handlers(self) -> MessageTable:
        """Return the handlers of the messages of other services."""
        return {
            RegistrationsRequested: self._on_registrations_requested,
            ConfigurationRequested: self._on_configuration_requested,
            InstanceRecordPutRequested: self._on_instance_record_put_requested,
            InstanceRecordsRequested: self._on_instance_records_requested,
            HttpReplied: self._on_http_call_ended,
            HttpFailed: self._on_http_call_ended,
        }

    # Reads

    def _on_registrations_requested(self, message: RegistrationsRequested) -> None:
        range_read = _RangeRead(message, SERVERS_TABLE, "", LAST_KEY)
        self._read(range_read, self._finish_registrations)

    def _finish_registrations(self, range_read: _RangeRead) -> None:
        registrations = {}
        refused = []
        for row in range_read.rows:
            try:
                _check_row(row)
                registration = decode_registration(row.key, row.value, row.version)
            except DocumentError as error:
                # The id is written to the event log.
                server_id = ascii(row.key)[1:-1][:NAME_MAX_BYTES]
                refused.append(RegistrationRefused(server_id, str(error)))
                continue
            registrations[row.key] = registration
        request = range_read.request
        self.send(
            request.reply_to,
            RegistrationsRead(
                request.token, range_read.version, registrations, tuple(refused)
            ),
        )

    def _on_configuration_requested(self, message: ConfigurationRequested) -> None:
        end_key = CONFIGURATION_KEY + "\0"
        if self._has_evacuations:
            end_key = EVACUATION_END_KEY
        range_read = _RangeRead(message, OPERATOR_TABLE, CONFIGURATION_KEY, end_key)
        self._read(range_read, self._finish_configuration)

    def _finish_configuration(self, range_read: _RangeRead) -> None:
        request = range_read.request
        read = ConfigurationRead(request.token, b"", range_read.version.era)
        if self._has_evacuations:
            read = read._replace(evacuation=_decode_evacuation(range_read))
        for row in range_read.rows:
            if self._has_evacuations and row.key != CONFIGURATION_KEY:
                continue
            if row.fault and read.evacuation is not None:
                # It applies even if the configuration can't be read.
                self.send(request.reply_to, read)
            _check_row(row)
            read = read._replace(document=redact_configuration(row.value))
        self.send(request.reply_to, read)

    def _on_instance_records_requested(self, message: InstanceRecordsRequested) -> None:
        range_read = _RangeRead(message, INSTANCES_TABLE, "", LAST_KEY)
        self._read(range_read, self._finish_instance_records)

    def _finish_instance_records(self, range_read: _RangeRead) -> None:
        members = {}
        for row in range_read.rows:
            address = parse_address(row.value.decode("latin-1"))
            if address is not None and not row.fault and is_server_id(row.key):
                members[row.key] = address
        request = range_read.request
        self.send(request.reply_to, InstanceRecordsRead(request.token, members))

    def _read(
        self, range_read: _RangeRead, finish: Callable[[_RangeRead], None]
    ) -> None:
        known_version = self._known_version
        target = (
            f"/rows-get?table={range_read.table}&part="
            f"&from={quote(range_read.first_key, errors='surrogatepass')}&to={quote(range_read.end_key)}"
            f"&limit={ROWS_PER_READ}"
        )

        def handle_page(response: _Response) -> None:
            page = _decode_page(response)
            range_read.add_page(page, known_version)
            self._known_version = max(self._known_version, page.version)
            if page.has_more:
                self._read(range_read, finish)
            else:
                finish(range_read)

        self._call(range_read.request, b"GET", target, b"", handle_page)

    # Writes

    def _on_instance_record_put_requested(
        self, message: InstanceRecordPutRequested
    ) -> None:
        address = f"{message.address.host}:{message.address.port}"
        row = {
            "table": INSTANCES_TABLE,
            "part": "",
            "key": message.instance_id,
            "value": b64encode(address.encode()).decode(),
        }
        body = orjson.dumps({"expected": [], "puts": [row], "remove": []})

        def handle_stored(response: _Response) -> None:
            self.send(message.reply_to, InstanceRecordStored(message.token))

        self._call(message, b"POST", "/rows-tx", body, handle_stored)

    # Calls

    def _call(
        self,
        request: Any,
        method: bytes,
        target: str,
        body: bytes,
        handle_response: Callable[[_Response], None],
    ) -> None:
        token = next(self._tokens)

        def handle_reply(reply: HttpReplied | HttpFailed) -> None:
            result = str(reply.status) if isinstance(reply, HttpReplied) else "lost"
            counter = CounterIncremented("store_calls_total", {"result": result})
            self.send("metrics", counter)
            try:
                handle_response(_decode_reply(reply))
            except (CodecError, LookupError, TypeError, ValueError) as error:
                self.send(request.reply_to, StoreUnavailable(request.token, str(error)))

        self._pending_calls[token] = handle_reply
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
                is_retryable=False,
            ),
        )

    def _on_http_call_ended(self, message: HttpReplied | HttpFailed) -> None:
        self._pending_calls.pop(message.token)(message)


def _decode_reply(reply: HttpReplied | HttpFailed) -> _Response:
    if isinstance(reply, HttpFailed):
        raise DocumentError(reply.reason)
    if reply.status != STATUS_OK:
        raise DocumentError(f"unexpected status {reply.status}")
    return _Response(_load_json(reply.body), _decode_era(reply.headers))


def _load_json(body: bytes) -> Any:
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        # orjson refuses a whole page for one key with a lone surrogate or one
        # number out of range; the other rows can be used.
        return _load_lenient_json(body)


def _load_lenient_json(body: bytes) -> Any:
    try:
        return json.loads(body)
    except RecursionError as error:
        raise DocumentError("nested too deeply") from error


def _decode_era(headers: tuple[Header, ...]) -> int:
    value = find_header(headers, STORE_ERA)
    if value is None:
        return 0
    digits = value.strip()
    if not digits.isdigit() or len(digits) > MAX_ERA_DIGITS:
        raise DocumentError("malformed era of the store")
    return int(digits)


def _decode_page(response: _Response) -> _Page:
    document, era = response
    version = _decode_version(document["ver"], era)
    if version is None:
        raise DocumentError("ver: not a version of the store")
    rows = [_decode_row(row, era) for row in document["rows"] if isinstance(row, dict)]
    return _Page(rows, bool(document["has-more"]), version)


def _decode_row(row: dict[str, Any], era: int) -> _Row:
    """Decode a row; another writer may have left one that can't be used."""
    table, key = row.get("table"), row.get("key")
    if not isinstance(table, str) or not isinstance(key, str):
        return _Row("", "", b"", NO_VERSION, "row without a table or a key")
    version = _decode_version(row.get("ver"), era)
    if version is None:
        return _Row(table, key, b"", NO_VERSION, "ver: not a version of the store")
    try:
        value = b64decode(row.get("value"))
    except (TypeError, ValueError):
        return _Row(table, key, b"", version, "value: not base64")
    return _Row(table, key, value, version)


def _decode_version(value: Any, era: int) -> StoreVersion | None:
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    return StoreVersion(era, value) if is_integer and 0 <= value <= INT64_MAX else None


def _decode_evacuation(range_read: _RangeRead) -> Evacuation:
    """Return the evacuated domains; the values of the rows don't matter."""
    names = [
        row.key.removeprefix(EVACUATION_PREFIX)
        for row in range_read.rows
        if row.key.startswith(EVACUATION_PREFIX)
    ]
    # Other names are those of no server, and may not be encodable.
    domains = [name for name in names if is_failure_domain(name)]
    return make_evacuation(range_read.version, domains)


def _check_row(row: _Row) -> None:
    """
    Check that a row can be used.

    :param row: row as decoded.
    :raises DocumentError: its value or its version can't be read.
    """
    if row.fault:
        raise DocumentError(row.fault)
