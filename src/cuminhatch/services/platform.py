"""Client of the platform: table service, object store, instance list."""

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
    decode_transaction_response,
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

# Most requests in flight to each service of the platform. With so many the
# service is treated as overloaded, because further requests would only queue.
MAX_IN_FLIGHT = 256
JSON_TYPE = (Header(b"content-type", b"application/json"),)
BYTES_TYPE = (Header(b"content-type", b"application/octet-stream"),)


class PlatformAddresses(NamedTuple):
    """Addresses of the platform's services."""

    table: Address
    objects: Address
    instances: Address


class PlatformTimeouts(NamedTuple):
    """Timeouts of requests to the platform, by kind."""

    transact_ms: float = 1500.0
    read_ms: float = 1500.0
    object_ms: float = 3000.0
    list_ms: float = 1500.0


class _Endpoint:
    """Address, breaker and load of one of the platform's services."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.breaker = BreakerState()
        self.in_flight = 0


class _PendingRequest(NamedTuple):
    """
    A request in flight.

    ``decode`` turns status and body into a result. ``make_failure`` turns a
    reason, and whether the request may have taken effect, into a failure
    result. ``reply`` sends either to the requester.
    """

    endpoint: _Endpoint
    decode: Callable[[int, bytes], Any]
    make_failure: Callable[[str, bool], Any]
    reply: Callable[[Any], None]


class Platform(Service):
    """Sends requests to the platform; never sends a transaction twice."""

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
        Create the service; the HTTP client owns the connections.

        :param kernel: kernel of the process.
        :param addresses: addresses of the platform's services.
        :param timeouts: timeouts of requests.
        :param http_client: name of the service that sends HTTP requests.
        :param name: name of this service, ``platform`` by default.
        """
        super().__init__(kernel, name)
        self._timeouts = timeouts or PlatformTimeouts()
        self._http_client = http_client
        self._table = _Endpoint(addresses.table)
        self._objects = _Endpoint(addresses.objects)
        self._instances = _Endpoint(addresses.instances)
        self._pending: dict[int, _PendingRequest] = {}
        self._tokens = count(1)

    def message_handlers(self) -> MessageTable:
        """Return the handlers of requests and of HTTP replies."""
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
        pending = _PendingRequest(
            self._table,
            partial(decode_transaction_response, transaction),
            TableUnavailable,
            self._make_replier(message, TableTransactReplied),
        )
        try:
            body = encode_transaction(transaction)
        except PlatformMessageError as error:
            pending.reply(TableUnavailable(str(error), False))
            return
        self._send_request(
            pending,
            self._timeouts.transact_ms,
            b"POST",
            b"/transact",
            JSON_TYPE,
            body,
            # Only reads are used as the trial of an open circuit breaker. A
            # failed write may have taken effect, so the service that requested
            # it would wait and then get the outcome ``unknown``. The sequence
            # number of the latest configuration note is read every second,
            # which serves as the trial.
            is_trial_allowed=False,
        )

    def _on_table_read(self, message: TableReadRequested) -> None:
        pending = _PendingRequest(
            self._table,
            partial(_decode_row_reply, message.key),
            TableUnavailable,
            self._make_replier(message, TableReadReplied),
        )
        target = row_target(message.key)
        self._send_request(pending, self._timeouts.read_ms, b"GET", target)

    def _on_table_scan(self, message: TableScanRequested) -> None:
        pending = _PendingRequest(
            self._table,
            partial(_decode_if_status_200, decode_rows),
            TableUnavailable,
            self._make_replier(message, TableScanReplied),
        )
        target = scan_target(message.after, message.before, message.limit)
        self._send_request(pending, self._timeouts.read_ms, b"GET", target)

    def _on_object_put(self, message: ObjectPutRequested) -> None:
        pending = _PendingRequest(
            self._objects,
            partial(_decode_if_status_200, lambda body: ObjectStored()),
            _object_unavailable,
            self._make_replier(message, ObjectPutReplied),
        )
        target = object_target(message.object_name)
        self._send_request(
            pending,
            self._timeouts.object_ms,
            b"PUT",
            target,
            BYTES_TYPE,
            message.data,
        )

    def _on_object_get(self, message: ObjectGetRequested) -> None:
        pending = _PendingRequest(
            self._objects,
            _decode_object_reply,
            _object_unavailable,
            self._make_replier(message, ObjectGetReplied),
        )
        target = object_target(message.object_name)
        self._send_request(pending, self._timeouts.object_ms, b"GET", target)

    def _on_instance_list(self, message: InstanceListRequested) -> None:
        pending = _PendingRequest(
            self._instances,
            partial(_decode_if_status_200, decode_instances),
            _list_unavailable,
            self._make_replier(message, InstanceListReplied),
        )
        self._send_request(pending, self._timeouts.list_ms, b"GET", b"/instances")

    def _make_replier(self, message: Any, reply_type: type) -> Callable[[Any], None]:
        return lambda result: self.send(
            message.reply_to, reply_type(message.token, result)
        )

    def _send_request(
        self,
        pending: _PendingRequest,
        timeout_ms: float,
        method: bytes,
        target: bytes,
        headers: tuple[Header, ...] = (),
        body: bytes = b"",
        is_trial_allowed: bool = True,
    ) -> None:
        endpoint = pending.endpoint
        if endpoint.in_flight >= MAX_IN_FLIGHT:
            pending.reply(pending.make_failure("too many requests in flight", False))
            return
        admitted = admit_request(
            endpoint.breaker, self.kernel.clock.now_ms, is_trial_allowed
        )
        if isinstance(admitted, BreakerOpen):
            pending.reply(pending.make_failure(admitted.reason, False))
            return
        endpoint.breaker = admitted
        endpoint.in_flight += 1
        token = next(self._tokens)
        self._pending[token] = pending
        self.send(
            self._http_client,
            HttpRequested(
                self.name,
                token,
                endpoint.address,
                method,
                target,
                headers,
                body,
                timeout_ms,
            ),
        )

    # Replies

    def _on_http_replied(self, message: HttpReplied) -> None:
        pending = self._pop_pending(message.token)
        if message.status >= 500:
            self._record_failure(pending.endpoint)
            # The status does not show whether the request took effect.
            reason = f"status {message.status}"
            pending.reply(pending.make_failure(reason, True))
            return
        try:
            result = pending.decode(message.status, message.body)
        except PlatformMessageError as error:
            if 400 <= message.status < 500:
                # The store is available and refuses only this request.
                pending.endpoint.breaker = record_success(pending.endpoint.breaker)
            else:
                self._record_failure(pending.endpoint)
            pending.reply(pending.make_failure(f"malformed reply: {error}", True))
            return
        pending.endpoint.breaker = record_success(pending.endpoint.breaker)
        pending.reply(result)

    def _on_http_failed(self, message: HttpFailed) -> None:
        pending = self._pop_pending(message.token)
        self._record_failure(pending.endpoint)
        pending.reply(pending.make_failure(message.reason, message.is_sent))

    def _pop_pending(self, token: int) -> _PendingRequest:
        pending = self._pending.pop(token)
        pending.endpoint.in_flight -= 1
        return pending

    def _record_failure(self, endpoint: _Endpoint) -> None:
        endpoint.breaker = record_failure(endpoint.breaker, self.kernel.clock.now_ms)


def _object_unavailable(reason: str, may_be_applied: bool) -> ObjectUnavailable:
    return ObjectUnavailable(reason)


def _list_unavailable(reason: str, may_be_applied: bool) -> ListUnavailable:
    return ListUnavailable(reason)


def _decode_if_status_200(
    decode: Callable[[bytes], Any], status: int, body: bytes
) -> Any:
    if status != 200:
        raise PlatformMessageError(f"unexpected status {status}")
    return decode(body)


def _decode_row_reply(key: str, status: int, body: bytes) -> Any:
    if status == 404:
        return RowAbsent()
    return _decode_if_status_200(partial(decode_row, key), status, body)


def _decode_object_reply(status: int, body: bytes) -> Any:
    return (
        ObjectAbsent()
        if status == 404
        else _decode_if_status_200(ObjectFound, status, body)
    )
