"""The service of the catalog: its socket and its messages."""

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
    EnrolledRead,
    EnrolmentStored,
    RegistrationsRead,
    StoreUnavailable,
)
from cuminhatch.messages.requests import CallerLeft, RequestBody
from cuminhatch.services._bound_socket import bind_datagram_socket
from cuminhatch.services.catalog._gauges import on_gauges_requested
from cuminhatch.services.catalog._members import (
    on_enrolled_read,
    on_enrolment_due,
    on_enrolment_stored,
    on_greeting,
    tell,
)
from cuminhatch.services.catalog._pull_answers import on_pull_requested
from cuminhatch.services.catalog._pulls import on_news, on_pull_failed, on_pulled
from cuminhatch.services.catalog._readings import (
    on_configuration_read,
    on_registrations_read,
    on_store_unavailable,
    on_turn_due,
    schedule_turn,
)
from cuminhatch.services.catalog._timers import (
    ENROLMENT_DELAY_MS,
    FIRST_READING_SPREAD_MS,
    FIRST_READING_WAIT_MS,
    GREETING_INTERVAL_MAX_MS,
    GREETING_INTERVAL_MS,
    EnrolmentDue,
    GreetingDue,
    TurnDue,
)
from cuminhatch.services.catalog._view import NAME, CatalogView, DecodeConfiguration

MAX_DATAGRAMS_PER_EVENT = 64
MAX_RECEIVED_BYTES = 65_536


class CatalogService(Service):
    """
    Owns the view of registrations, configuration and other instances.

    The handlers are functions of the view, in modules by their job.
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
    ) -> None:
        """
        Start without knowledge.

        :param kernel: kernel of the process.
        :param instance_id: id of this instance.
        :param failure_domain: where it runs.
        :param address: where the other instances reach this one, by UDP and
            by TCP.
        :param key: key shared by all daemons.
        :param seeds: first contacts.
        :param decode_configuration: decoder of the operator's document.
        :param is_first_start: whether the whole system starts for the first
            time, so that no caller waits yet.
        :param rng: source of randomness.
        """
        super().__init__(kernel)
        self._address = address
        self._seeds = tuple(seed for seed in seeds if seed != address)
        self._is_first_start = is_first_start
        self._sock: socket | None = None
        self._view = CatalogView(
            kernel,
            CatalogMember(instance_id, *address),
            failure_domain,
            key.encode(),
            decode_configuration,
            self._send_bytes,
            rng or Random(),
        )
        self._view.is_first_contact = address in seeds or not seeds

    def message_handlers(self) -> MessageTable:
        """Return the messages of the store, the port and the HTTP client."""
        handlers = {
            TurnDue: on_turn_due,
            EnrolmentDue: on_enrolment_due,
            GaugesRequested: on_gauges_requested,
            RegistrationsRead: on_registrations_read,
            ConfigurationRead: on_configuration_read,
            EnrolmentStored: on_enrolment_stored,
            EnrolledRead: on_enrolled_read,
            StoreUnavailable: on_store_unavailable,
            RequestReceived: on_pull_requested,
            HttpReplied: on_pulled,
            HttpFailed: on_pull_failed,
        }
        table = {kind: partial(handle, self._view) for kind, handle in handlers.items()}
        return table | {
            GreetingDue: self._greet_seeds,
            RequestBody: self._on_nothing_due,
            CallerLeft: self._on_nothing_due,
        }

    def open(self) -> None:
        """
        Bind the socket, greet the seeds and read the store.

        :raises AddressError: the address cannot be bound.
        """
        self._sock = bind_datagram_socket(self._address)
        self.watch_read(self._sock, self._read_datagrams)
        self._greet_seeds(GreetingDue(GREETING_INTERVAL_MS))
        self._plan_enrolment()
        self._plan_first_reading()
        schedule_turn(self._view)

    def _greet_seeds(self, message: GreetingDue) -> None:
        """Greet the first contacts until one has told what is in force."""
        if self._view.catalog.version:
            return
        for seed in self._seeds:
            tell(self._view, seed, Greeting(self._view.own, (), True))
        later_ms = min(message.interval_ms * 2.0, GREETING_INTERVAL_MAX_MS)
        self.call_after(message.interval_ms, GreetingDue(later_ms))

    def _plan_enrolment(self) -> None:
        delay_ms = 0.0 if self._view.is_first_contact else ENROLMENT_DELAY_MS
        self.call_after(delay_ms, EnrolmentDue())

    def _plan_first_reading(self) -> None:
        if self._is_first_start and not self._view.is_first_contact:
            spread_ms = self._view.rng.random() * FIRST_READING_SPREAD_MS
            wait_ms = FIRST_READING_WAIT_MS + spread_ms
            self._view.first_reading_ms = self._view.clock.now_ms + wait_ms

    def _send_bytes(self, address: Address, data: bytes) -> None:
        try:
            self._sock.sendto(data, address)
        except OSError as error:
            # Datagrams may be lost anyway; the next news makes up for it.
            logger.debug("catalog: Datagram not sent: {}.", error.strerror)

    def _read_datagrams(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_EVENT):
            try:
                data, _ = self._sock.recvfrom(MAX_RECEIVED_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # An answer to an earlier datagram that nobody received.
                logger.debug("catalog: Datagram refused: {}.", error.strerror)
                continue
            try:
                message = decode_message(data, self._view.key)
            except PeerMessageError as error:
                logger.warning("catalog: Datagram refused: {}.", error)
                continue
            if isinstance(message, CatalogNews):
                on_news(self._view, message)
            elif isinstance(message, Greeting):
                on_greeting(self._view, message)

    def _on_nothing_due(self, message: RequestBody | CallerLeft) -> None:
        """Ignore what follows a request that is answered at once."""
