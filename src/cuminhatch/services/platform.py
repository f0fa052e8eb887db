"""The platform's table service, object store and list of instances."""

from collections.abc import Callable
from functools import partial
from itertools import count
from typing import Any, NamedTuple

from cuminhatch.codecs.http1 import Header
from cuminhatch.codecs.platform import (
    PlatformMessageError,
    decode_instances,
    decode_row,
    decode_rows,
    decode_transact_reply,
    encode_transaction,
    object_target,
    row_target,
    scan_target,
)
from cuminhatch.decisions.breaker import (
    BreakerOpen,
    BreakerState,
    admit_request,
    record_failure,
    record_success,
)
from cuminhatch.decisions.platform import (
    ListUnavailable,
    ObjectAbsent,
    ObjectFound,
    ObjectStored,
    ObjectUnavailable,
    RowAbsent,
    TableUnavailable,
)
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import (
    Address,
    HttpFailed,
    HttpReplied,
    HttpRequested,
    InstanceListReplied,
    InstanceListRequested,
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

# Above this a store is not keeping up; further requests would only wait.
MAX_IN_FLIGHT = 256
JSON_TYPE = (Header(b"content-type", b"application/json"),)
BYTES_TYPE = (Header(b"content-type", b"application/octet-stream"),)


class PlatformAddresses(NamedTuple):
    """Where the platform's services are reached."""

    table: Address
    objects: Address
    instances: Address


class PlatformTimeouts(NamedTuple):
    """Longest waits for the platform's replies, in milliseconds."""

    transact_ms: float = 1500.0
    read_ms: float = 1500.0
    object_ms: float = 3000.0
    list_ms: float = 1500.0


class _Store:
    """What this service knows about one of the platform's services."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.breaker = BreakerState()
        self.in_flight = 0


class _Pending(NamedTuple):
    """
    A request in flight.

    ``decode`` turns status and body into a result; ``fail`` turns a reason
    and whether the request may have taken effect into a sentinel; ``reply``
    hands either to the requester.
    """

    store: _Store
    decode: Callable[[int, bytes], Any]
    fail: Callable[[str, bool], Any]
    reply: Callable[[Any], None]


class Platform(Service):
    """Sends requests to the platform; never repeats a transaction itself."""

    name = "platform"

    def __init__(
        self,
        kernel: Kernel,
        addresses: PlatformAddresses,
        timeouts: PlatformTimeouts | None = None,
        http_client: str = "http_client",
        name: str | None = None,
    ) -> None:
        """
        Create the service; connections belong to the HTTP client.

        :param kernel: kernel of the process.
        :param addresses: addresses of the platform's services.
        :param timeouts: longest waits for replies.
        :param http_client: name of the service that sends HTTP requests.
        :param name: name of this service.
        """
        super().__init__(kernel, name)
        self._timeouts = timeouts or PlatformTimeouts()
        self._http_client = http_client
        self._table = _Store(addresses.table)
        self._objects = _Store(addresses.objects)
        self._instances = _Store(addresses.instances)
        self._pending: dict[int, _Pending] = {}
        self._tokens = count(1)

    def message_handlers(self) -> MessageTable:
        """Return the requests of other services and the HTTP replies."""
        return {
            TableTransactRequested: self._on_table_transact,
            TableReadRequested: self._on_table_read,
            TableScanRequested: self._on_table_scan,
            ObjectPutRequested: self._on_object_put,
            ObjectGetRequested: self._on_object_get,
            InstanceListRequested: self._on_instance_list,
            HttpReplied: self._on_http_replied,
            HttpFailed: self._on_http_failed,
        }

    # Requests

    def _on_table_transact(self, message: TableTransactRequested) -> None:
        transaction = message.transaction
        pending = _Pending(
            self._table,
            partial(decode_transact_reply, transaction),
            TableUnavailable,
            self._replier(message, TableTransactReplied),
        )
        try:
            body = encode_transaction(transaction)
        except PlatformMessageError as error:
            pending.reply(TableUnavailable(str(error), False))
            return
        self._request(
            pending,
            self._timeouts.transact_ms,
            b"POST",
            b"/transact",
            JSON_TYPE,
            body,
            # A write that fails may have taken effect, so a caller whose claim
            # is the trial waits and is told ``unknown``. Reads of the head
            # every second are the trials.
            is_trial_allowed=False,
        )

    def _on_table_read(self, message: TableReadRequested) -> None:
        pending = _Pending(
            self._table,
            partial(_decode_row_reply, message.key),
            TableUnavailable,
            self._replier(message, TableReadReplied),
        )
        target = row_target(message.key)
        self._request(pending, self._timeouts.read_ms, b"GET", target)

    def _on_table_scan(self, message: TableScanRequested) -> None:
        pending = _Pending(
            self._table,
            partial(_decode_ok, decode_rows),
            TableUnavailable,
            self._replier(message, TableScanReplied),
        )
        target = scan_target(message.after, message.before, message.limit)
        self._request(pending, self._timeouts.read_ms, b"GET", target)

    def _on_object_put(self, message: ObjectPutRequested) -> None:
        pending = _Pending(
            self._objects,
            partial(_decode_ok, lambda body: ObjectStored()),
            _object_unavailable,
            self._replier(message, ObjectPutReplied),
        )
        target = object_target(message.object_name)
        self._request(
            pending,
            self._timeouts.object_ms,
            b"PUT",
            target,
            BYTES_TYPE,
            message.data,
        )

    def _on_object_get(self, message: ObjectGetRequested) -> None:
        pending = _Pending(
            self._objects,
            _decode_object_reply,
            _object_unavailable,
            self._replier(message, ObjectGetReplied),
        )
        target = object_target(message.object_name)
        self._request(pending, self._timeouts.object_ms, b"GET", target)

    def _on_instance_list(self, message: InstanceListRequested) -> None:
        pending = _Pending(
            self._instances,
            partial(_decode_ok, decode_instances),
            _list_unavailable,
            self._replier(message, InstanceListReplied),
        )
        self._request(pending, self._timeouts.list_ms, b"GET", b"/instances")

    def _replier(self, message: Any, reply_type: type) -> Callable[[Any], None]:
        return lambda result: self.send(
            message.reply_to, reply_type(message.token, result)
        )

    def _request(
        self,
        pending: _Pending,
        timeout_ms: float,
        method: bytes,
        target: bytes,
        headers: tuple[Header, ...] = (),
        body: bytes = b"",
        is_trial_allowed: bool = True,
    ) -> None:
        store = pending.store
        if store.in_flight >= MAX_IN_FLIGHT:
            pending.reply(pending.fail("too many requests in flight", False))
            return
        admitted = admit_request(
            store.breaker, self.kernel.clock.now_ms, is_trial_allowed
        )
        if isinstance(admitted, BreakerOpen):
            pending.reply(pending.fail(admitted.reason, False))
            return
        store.breaker = admitted
        store.in_flight += 1
        token = next(self._tokens)
        self._pending[token] = pending
        self.send(
            self._http_client,
            HttpRequested(
                self.name,
                token,
                store.address,
                method,
                target,
                headers,
                body,
                timeout_ms,
            ),
        )

    # Replies

    def _on_http_replied(self, message: HttpReplied) -> None:
        pending = self._take(message.token)
        if message.status >= 500:
            self._record_failure(pending.store)
            # The status does not tell how far the request has come.
            reason = f"status {message.status}"
            pending.reply(pending.fail(reason, True))
            return
        try:
            result = pending.decode(message.status, message.body)
        except PlatformMessageError as error:
            if 400 <= message.status < 500:
                # The store is up and refuses this one request.
                pending.store.breaker = record_success(pending.store.breaker)
            else:
                self._record_failure(pending.store)
            pending.reply(pending.fail(f"malformed reply: {error}", True))
            return
        pending.store.breaker = record_success(pending.store.breaker)
        pending.reply(result)

    def _on_http_failed(self, message: HttpFailed) -> None:
        pending = self._take(message.token)
        self._record_failure(pending.store)
        pending.reply(pending.fail(message.reason, message.is_sent))

    def _take(self, token: int) -> _Pending:
        pending = self._pending.pop(token)
        pending.store.in_flight -= 1
        return pending

    def _record_failure(self, store: _Store) -> None:
        store.breaker = record_failure(store.breaker, self.kernel.clock.now_ms)


def _object_unavailable(reason: str, is_maybe_applied: bool) -> ObjectUnavailable:
    return ObjectUnavailable(reason)


def _list_unavailable(reason: str, is_maybe_applied: bool) -> ListUnavailable:
    return ListUnavailable(reason)


def _decode_ok(decode: Callable[[bytes], Any], status: int, body: bytes) -> Any:
    if status != 200:
        raise PlatformMessageError(f"unexpected status {status}")
    return decode(body)


def _decode_row_reply(key: str, status: int, body: bytes) -> Any:
    if status == 404:
        return RowAbsent()
    return _decode_ok(partial(decode_row, key), status, body)


def _decode_object_reply(status: int, body: bytes) -> Any:
    return ObjectAbsent() if status == 404 else _decode_ok(ObjectFound, status, body)
