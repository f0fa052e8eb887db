"""The catalog service: its socket, timers and message handlers."""

from functools import partial
from random import Random
from socket import socket

from cuminhatch.address import Address
from cuminhatch.codecs.catalog_thrift import (
    CatalogMember,
    CatalogNews,
    Greeting,
    decode_message,
)
from cuminhatch.codecs.signing import PeerMessageError
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.log import logger
from cuminhatch.messages import (
    GaugesRequested,
    HttpFailed,
    HttpReplied,
    RequestReceived,
)
from cuminhatch.messages.catalog import (
    ConfigurationRead,
    InstanceRecordsRead,
    InstanceRecordStored,
    RegistrationsRead,
    StoreUnavailable,
)
from cuminhatch.messages.requests import CallerDisconnected, RequestBody
from cuminhatch.services._bound_socket import bind_datagram_socket
from cuminhatch.services.catalog._gauges import on_gauges_requested
from cuminhatch.services.catalog._members import (
    on_greeting,
    on_instance_record_due,
    on_instance_record_stored,
    on_instance_records_read,
    on_instances_due,
    schedule_instances,
    send_message,
)
from cuminhatch.services.catalog._pull_responses import on_pull_requested
from cuminhatch.services.catalog._pulls import (
    on_news,
    on_pull_failed,
    on_pull_replied,
    on_pull_retry_due,
)
from cuminhatch.services.catalog._store_reads import (
    on_configuration_read,
    on_read_due,
    on_registrations_read,
    on_store_unavailable,
    schedule_read,
)
from cuminhatch.services.catalog._timers import (
    FIRST_READ_DELAY_MS,
    FIRST_READ_JITTER_MS,
    GREETING_INTERVAL_MAX_MS,
    GREETING_INTERVAL_MS,
    HEARTBEAT_MS,
    INSTANCE_RECORD_DELAY_MS,
    RESTART_READ_DELAY_MS,
    GreetingDue,
    InstanceRecordDue,
    InstancesDue,
    PullRetryDue,
    ReadDue,
)
from cuminhatch.services.catalog._view import (
    NAME,
    CatalogView,
    DecodeConfiguration,
    RedactConfiguration,
)

MAX_DATAGRAMS_PER_EVENT = 64
MAX_RECEIVED_BYTES = 65_536


class CatalogService(Service):
    """
    Owns the registrations, the configuration and the list of instances.

    The handlers are functions that take the shared state, in modules by task.
    """

    name = NAME

    def __init__(
        self,
        kernel: Kernel,
        instance_id: str,
        failure_domain: str,
        address: Address,
        key: str,
        seeds: tuple[Address, ...],
        decode_configuration: DecodeConfiguration,
        is_first_start: bool = False,
        rng: Random | None = None,
        heartbeat_ms: float = HEARTBEAT_MS,
        redact_configuration: RedactConfiguration = bytes,
        has_evacuations: bool = False,
        has_warmup_limit: bool = False,
    ) -> None:
        """
        Start with an empty catalog.

        :param kernel: kernel of the process.
        :param instance_id: id of this instance.
        :param failure_domain: failure domain of this instance.
        :param address: address at which the other instances reach this one,
            both over UDP and over TCP.
        :param key: key shared by all daemons.
        :param seeds: addresses of the instances to contact first.
        :param decode_configuration: decoder of the operator's configuration.
        :param is_first_start: whether the whole system starts for the first
            time, so that no caller waits yet.
        :param rng: source of randomness.
        :param heartbeat_ms: interval at which backend servers register.
        :param redact_configuration: removes from a document what instances
            must not keep; none by default.
        :param has_evacuations: whether operators evacuate failure domains.
        :param has_warmup_limit: whether requests to servers that warm up are
            limited.
        """
        super().__init__(kernel)
        self._address = address
        self._seeds = tuple(seed for seed in seeds if seed != address)
        self._is_first_start = is_first_start
        self._sock: socket | None = None
        self._view = CatalogView(
            kernel,
            CatalogMember(instance_id, *address, failure_domain),
            failure_domain,
            key.encode(),
            decode_configuration,
            self._send_bytes,
            rng or Random(),
            heartbeat_ms,
            redact_configuration,
            has_evacuations,
            has_warmup_limit,
        )
        self._view.is_seed = address in seeds or not seeds
        self._view.seeds = self._seeds

    def message_handlers(self) -> MessageTable:
        """
        Return the handlers of messages to the catalog.

        They come from timers, the store, the ``catalog_port`` listener and the
        HTTP client.
        """
        handlers = {
            ReadDue: on_read_due,
            InstanceRecordDue: on_instance_record_due,
            InstancesDue: on_instances_due,
            GaugesRequested: on_gauges_requested,
            RegistrationsRead: on_registrations_read,
            ConfigurationRead: on_configuration_read,
            InstanceRecordStored: on_instance_record_stored,
            InstanceRecordsRead: on_instance_records_read,
            StoreUnavailable: on_store_unavailable,
            RequestReceived: on_pull_requested,
            HttpReplied: on_pull_replied,
            HttpFailed: on_pull_failed,
            PullRetryDue: on_pull_retry_due,
        }
        table = {kind: partial(handle, self._view) for kind, handle in handlers.items()}
        return table | {
            GreetingDue: self._greet_seeds,
            RequestBody: self._ignore,
            CallerDisconnected: self._ignore,
        }

    def open(self) -> None:
        """
        Bind the socket, greet the seeds and read the store.

        :raises AddressError: the address cannot be bound.
        """
        self._sock = bind_datagram_socket(self._address)
        self.watch_read(self._sock, self._read_datagrams)
        self._greet_seeds(GreetingDue(GREETING_INTERVAL_MS))
        self._schedule_instance_record()
        self._delay_first_read()
        schedule_instances(self._view)
        schedule_read(self._view)

    def _greet_seeds(self, message: GreetingDue) -> None:
        """
        Greet the seeds until one is known and so are the registrations.

        An instance that no seed knows gets no news from the others. It would
        read the store for itself.
        """
        if self._view.catalog.is_known and self._is_seed_known():
            return
        for seed in self._seeds:
            send_message(self._view, seed, Greeting(self._view.own, (), True))
        later_ms = min(message.interval_ms * 2.0, GREETING_INTERVAL_MAX_MS)
        self.call_after(message.interval_ms, GreetingDue(later_ms))

    def _is_seed_known(self) -> bool:
        members = self._view.members.values()
        addresses = {Address(member.host, member.port) for member in members}
        return not self._seeds or not addresses.isdisjoint(self._seeds)

    def _schedule_instance_record(self) -> None:
        delay_ms = 0.0 if self._view.is_seed else INSTANCE_RECORD_DELAY_MS
        self.call_after(delay_ms, InstanceRecordDue())

    def _delay_first_read(self) -> None:
        if self._view.is_seed:
            return
        delay_ms = RESTART_READ_DELAY_MS
        if self._is_first_start:
            jitter_ms = self._view.rng.random() * FIRST_READ_JITTER_MS
            delay_ms = FIRST_READ_DELAY_MS + jitter_ms
        self._view.first_read_ms = self._view.clock.now_ms + delay_ms

    def _send_bytes(self, address: Address, data: bytes) -> None:
        try:
            self._sock.sendto(data, address)
        except OSError as error:
            # Datagrams may be lost anyway. The receiver sees the gap at the
            # next CatalogNews, and pulls what it lacks.
            logger.debug("catalog: Sending a datagram failed: {}.", error.strerror)

    def _read_datagrams(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_EVENT):
            try:
                data, _ = self._sock.recvfrom(MAX_RECEIVED_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # ICMP error: an earlier datagram was not received.
                logger.debug(
                    "catalog: Receiving a datagram failed: {}.", error.strerror
                )
                continue
            try:
                message = decode_message(data, self._view.key)
            except PeerMessageError as error:
                logger.warning("catalog: Invalid datagram ignored: {}.", error)
                continue
            if isinstance(message, CatalogNews):
                on_news(self._view, message)
            elif isinstance(message, Greeting):
                on_greeting(self._view, message)

    def _ignore(self, message: RequestBody | CallerDisconnected) -> None:
        """Ignore what follows the head of a request."""
