"""Knows the registered servers and the configuration, and tells the others."""

from collections.abc import Callable
from itertools import count
from random import Random
from socket import socket
from urllib.parse import parse_qsl

from loguru import logger

from cuminhatch.address import Address
from cuminhatch.codecs.catalog_thrift import (
    CatalogMember,
    CatalogNews,
    CatalogState,
    Greeting,
    decode_message,
    encode_message,
)
from cuminhatch.codecs.http1 import Header, ResponseHead
from cuminhatch.codecs.signing import MAX_DATAGRAM_BYTES, PeerMessageError
from cuminhatch.decisions.catalog import (
    EMPTY_CATALOG,
    LAPSE_GRACE_MS,
    Catalog,
    CatalogChange,
    ConfigurationDocument,
    VersionGap,
    apply_change,
    has_same_servers,
    join_configuration,
    list_changes,
    merge_reading,
)
from cuminhatch.decisions.reading_turns import Turn, next_reading_ms, should_yield
from cuminhatch.errors import CodecError
from cuminhatch.kernel import SUPERVISOR, Kernel, MessageTable, Service
from cuminhatch.messages import (
    ConfigurationChanged,
    EventRecorded,
    HttpFailed,
    HttpReplied,
    HttpRequested,
    ReadinessChanged,
    RequestReceived,
    ResponseStarted,
)
from cuminhatch.messages.catalog import (
    ConfigurationRead,
    ConfigurationRequested,
    EnrolledRead,
    EnrolledRequested,
    EnrolmentRequested,
    EnrolmentStored,
    InstancesCounted,
    RegistrationsRead,
    RegistrationsRequested,
    StoreUnavailable,
)
from cuminhatch.messages.requests import CallerLeft, RequestBody
from cuminhatch.services._bound_socket import bind_datagram_socket
from cuminhatch.services._catalog_timers import (
    CONFIGURATION_INTERVAL_MS,
    ENROLMENT_RETRY_MS,
    OUTAGE_GAP_MS,
    PULL_TIMEOUT_MS,
    STALE_READING_MS,
    EnrolmentDue,
    TurnDue,
)

PORT_NAME = "catalog_port"
STATE_PATH = "/catalog"
MAX_DATAGRAMS_PER_EVENT = 64
MAX_MEMBERS_TOLD = 24
# Listeners of the configuration in force.
CONSUMERS = ("forwarding", "backends", "callers")

DecodeConfiguration = Callable[[bytes], ConfigurationDocument]


class CatalogService(Service):
    """Owns the view of registrations, configuration and other instances."""

    name = "catalog"

    def __init__(
        self,
        kernel: Kernel,
        instance_id: str,
        address: Address,
        key: str,
        seeds: tuple[Address, ...],
        decode_configuration: DecodeConfiguration,
        rng: Random | None = None,
    ) -> None:
        """
        Start without knowledge.

        :param kernel: kernel of the process.
        :param instance_id: id of this instance.
        :param address: where the other instances reach this one, by UDP and
            by TCP.
        :param key: key shared by all daemons.
        :param seeds: first contacts.
        :param decode_configuration: decoder of the operator's document.
        :param rng: source of randomness.
        """
        super().__init__(kernel)
        self._own = CatalogMember(instance_id, *address)
        self._key = key.encode()
        self._seeds = tuple(seed for seed in seeds if seed != address)
        self._decode_configuration = decode_configuration
        self._rng = rng or Random()
        self._sock: socket | None = None
        self._tokens = count(1)
        self._members: dict[str, CatalogMember] = {}
        self._is_enrolled = False
        self._catalog: Catalog = EMPTY_CATALOG
        self._document: ConfigurationDocument | None = None
        self._document_bytes = b""
        self._turn = Turn(instance_id, "", float("-inf"), float("-inf"))
        self._timer: int | None = None
        self._reading_token = 0
        self._reading_since_ms = 0.0
        self._configuration_read_ms = float("-inf")
        self._read_ms = float("-inf")
        self._outage_ended_ms = float("-inf")
        self._is_store_lost = False
        self._is_reading_lost = False
        self._refused: dict[str, str] = {}
        self._pull_token = 0
        # What was told last to an instance that pulled, by what it lacked.
        self._encoded: tuple[tuple[int, int], bytes] | None = None

    def message_handlers(self) -> MessageTable:
        """Return the messages of the store, the port and the HTTP client."""
        return {
            TurnDue: self._on_turn_due,
            EnrolmentDue: self._on_enrolment_due,
            RegistrationsRead: self._on_registrations_read,
            ConfigurationRead: self._on_configuration_read,
            EnrolmentStored: self._on_enrolment_stored,
            EnrolledRead: self._on_enrolled_read,
            StoreUnavailable: self._on_store_unavailable,
            RequestReceived: self._on_request_received,
            RequestBody: self._on_nothing_due,
            CallerLeft: self._on_nothing_due,
            HttpReplied: self._on_pulled,
            HttpFailed: self._on_pull_failed,
        }

    @property
    def configuration_version(self) -> int:
        """Return the version of the configuration in force, 0 for none."""
        return self._document.configuration.sequence if self._document else 0

    @property
    def instance_count(self) -> int:
        """Return how many instances are known, this one included."""
        return len(self._members) + 1

    def open(self) -> None:
        """
        Bind the socket, greet the seeds and read the store.

        :raises AddressError: the address cannot be bound.
        """
        self._sock = bind_datagram_socket(Address(self._own.host, self._own.port))
        self.watch_read(self._sock, self._read_datagrams)
        for seed in self._seeds:
            self._send(seed, Greeting(self._own, (), True))
        self.call_after(0, EnrolmentDue())
        self._schedule_turn()

    # Other instances

    def _send(self, address: Address, message: CatalogNews | Greeting) -> None:
        self._send_bytes(address, encode_message(message, self._key))

    def _send_bytes(self, address: Address, data: bytes) -> None:
        try:
            self._sock.sendto(data, address)
        except OSError as error:
            # Datagrams may be lost anyway; the next news makes up for it.
            logger.debug("catalog: Datagram not sent: {}.", error.strerror)

    def _read_datagrams(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_EVENT):
            try:
                data, _ = self._sock.recvfrom(65_536)
            except BlockingIOError:
                return
            except OSError as error:
                # An answer to an earlier datagram that nobody received.
                logger.debug("catalog: Datagram refused: {}.", error.strerror)
                continue
            try:
                message = decode_message(data, self._key)
            except PeerMessageError as error:
                logger.warning("catalog: Datagram refused: {}.", error)
                continue
            if isinstance(message, CatalogNews):
                self._on_news(message)
            elif isinstance(message, Greeting):
                self._on_greeting(message)

    def _on_greeting(self, message: Greeting) -> None:
        sender = message.sender
        self._add_members((sender,))
        self._add_members(message.members)
        if not message.is_reply_wanted:
            return
        address = Address(sender.host, sender.port)
        self._send(address, Greeting(self._own, self._some_members(), False))
        if self._catalog.version and self._document is not None:
            # A new instance may not reach the store.
            self._send(address, self._make_news(self._no_change(), True))

    def _some_members(self) -> tuple[CatalogMember, ...]:
        members = list(self._members.values())
        wanted = min(len(members), MAX_MEMBERS_TOLD)
        return tuple(self._rng.sample(members, wanted))

    def _add_members(self, members: tuple[CatalogMember, ...]) -> None:
        added = False
        for member in members:
            known = self._members.get(member.instance_id)
            if member.instance_id == self._own.instance_id or known == member:
                continue
            self._members[member.instance_id] = member
            added = True
            self._send(
                Address(member.host, member.port), Greeting(self._own, (), False)
            )
        if added:
            for name in ("forwarding", "loads"):
                self.send(name, InstancesCounted(self.instance_count))

    def _no_change(self) -> CatalogChange:
        catalog = self._catalog
        return CatalogChange(catalog.changed_version, catalog.version, (), ())

    def _make_news(self, change: CatalogChange, is_pull_needed: bool) -> CatalogNews:
        version = self.configuration_version
        return CatalogNews(self._own, change, version, is_pull_needed)

    def _tell_all(self, change: CatalogChange) -> None:
        data = encode_message(self._make_news(change, False), self._key)
        if len(data) > MAX_DATAGRAM_BYTES:
            empty = change._replace(changed=(), removed_ids=())
            data = encode_message(self._make_news(empty, True), self._key)
        for member in self._members.values():
            self._send_bytes(Address(member.host, member.port), data)

    # News of other instances

    def _on_news(self, message: CatalogNews) -> None:
        sender = message.sender
        self._add_members((sender,))
        now_ms = self.kernel.clock.now_ms
        own_id = self._own.instance_id
        is_current = message.change.version >= self._catalog.version
        is_reader = self._turn.reader_id == own_id
        if is_current and (not is_reader or should_yield(own_id, sender.instance_id)):
            self._turn = self._turn._replace(
                reader_id=sender.instance_id, heard_ms=now_ms
            )
            self._schedule_turn()
        applied = apply_change(self._catalog, message.change)
        is_gap = isinstance(applied, VersionGap)
        if message.is_pull_needed:
            is_gap = message.change.version > self._catalog.version
        elif not is_gap:
            self._adopt_catalog(applied, sender.instance_id)
        is_behind = message.configuration_version > self.configuration_version
        if is_gap or is_behind:
            self._pull(sender)

    def _pull(self, member: CatalogMember) -> None:
        if self._pull_token:
            return
        self._pull_token = next(self._tokens)
        target = (
            f"{STATE_PATH}?configuration={self.configuration_version}"
            f"&version={self._catalog.version}"
        )
        self.send(
            "http_client",
            HttpRequested(
                self.name,
                self._pull_token,
                Address(member.host, member.port),
                b"GET",
                target.encode(),
                (Header(b"host", member.host.encode()),),
                b"",
                PULL_TIMEOUT_MS,
            ),
        )

    def _on_pulled(self, message: HttpReplied) -> None:
        self._pull_token = 0
        try:
            state = decode_message(message.body, self._key)
        except PeerMessageError as error:
            logger.warning("catalog: Pulled state refused: {}.", error)
            return
        if not isinstance(state, CatalogState):
            logger.warning("catalog: Pulled state is of another kind.")
            return
        self._take_document(state.configuration, "peer")
        if state.registrations is not None and state.version >= self._catalog.version:
            registrations = {
                item.server.server_id: item for item in state.registrations
            }
            # All that the sender knows replaces all that is known here.
            catalog = Catalog(state.version, state.version, registrations, {})
            self._adopt_catalog(catalog, "peer")

    def _on_pull_failed(self, message: HttpFailed) -> None:
        self._pull_token = 0
        self._record("pull_failed", {"reason": message.reason})
        # The sender may be overrun by pulls of all; another instance may have
        # pulled meanwhile. If not, the next news starts the next pull.
        if self._members:
            self._pull(self._rng.choice(list(self._members.values())))

    def _on_request_received(self, message: RequestReceived) -> None:
        """Answer a pull of another instance."""
        _, _, query = message.head.target.partition(b"?")
        known = dict(parse_qsl(query.decode("latin-1")))
        body = self._encode_state(
            _number(known.get("configuration")) < self.configuration_version,
            _number(known.get("version")) < self._catalog.changed_version,
        )
        head = ResponseHead(200, b"OK", ())
        answer = ResponseStarted(message.request_id, head, len(body), body, True)
        self.send(PORT_NAME, answer)

    def _encode_state(self, has_configuration: bool, has_registrations: bool) -> bytes:
        """
        Encode what another instance does not know, once for all that ask.

        A new configuration is pulled by all instances at the same moment, so
        it goes without the registrations, which they know.
        """
        catalog = self._catalog
        key = (
            self.configuration_version if has_configuration else 0,
            catalog.changed_version if has_registrations else 0,
        )
        if self._encoded is None or self._encoded[0] != key:
            items = tuple(catalog.registrations.values())
            state = CatalogState(
                catalog.version,
                items if has_registrations else None,
                self.configuration_version,
                self._document_bytes if has_configuration else b"",
            )
            self._encoded = key, encode_message(state, self._key)
        return self._encoded[1]

    def _on_nothing_due(self, message: RequestBody | CallerLeft) -> None:
        """Ignore what follows a request that is answered at once."""

    # Readings of the store

    def _schedule_turn(self) -> None:
        self.kernel.cancel(self._timer)
        due_ms = next_reading_ms(self._turn, self._members)
        if self._reading_token:
            due_ms = max(due_ms, self._reading_since_ms + STALE_READING_MS)
        due_ms = max(due_ms, self.kernel.clock.now_ms)
        self._timer = self.kernel.call_at(due_ms, self.name, TurnDue())

    def _on_turn_due(self, message: TurnDue) -> None:
        now_ms = self.kernel.clock.now_ms
        self._reading_token = next(self._tokens)
        self._reading_since_ms = now_ms
        self.send("store", RegistrationsRequested(self.name, self._reading_token))
        is_taking_over = self._turn.reader_id != self._own.instance_id
        is_due = now_ms - self._configuration_read_ms >= CONFIGURATION_INTERVAL_MS
        if is_taking_over or is_due:
            self._configuration_read_ms = now_ms
            token = next(self._tokens)
            self.send("store", ConfigurationRequested(self.name, token))
        self._schedule_turn()

    def _on_registrations_read(self, message: RegistrationsRead) -> None:
        now_ms = self.kernel.clock.now_ms
        own_id = self._own.instance_id
        last_ms = max(self._read_ms, self._turn.heard_ms)
        is_silence_over = last_ms > 0.0 and now_ms - last_ms > OUTAGE_GAP_MS
        if is_silence_over or self._is_reading_lost:
            self._outage_ended_ms = now_ms
            self._is_reading_lost = False
        self._note_store_regained()
        if message.token == self._reading_token:
            self._reading_token = 0
        self._read_ms = now_ms
        self._turn = self._turn._replace(reader_id=own_id, heard_ms=now_ms)
        is_after_outage = now_ms - self._outage_ended_ms < LAPSE_GRACE_MS
        catalog, change = merge_reading(
            self._catalog,
            message.version,
            message.registrations,
            now_ms,
            is_after_outage and self._catalog.version > 0,
        )
        self._record_refused(message)
        self._adopt_catalog(catalog, "store")
        self._tell_all(change)
        self._schedule_turn()

    def _on_configuration_read(self, message: ConfigurationRead) -> None:
        if message.document and self._take_document(message.document, "store"):
            self._tell_all(self._no_change())

    def _on_store_unavailable(self, message: StoreUnavailable) -> None:
        now_ms = self.kernel.clock.now_ms
        if message.token == self._reading_token:
            self._reading_token = 0
            self._is_reading_lost = True
        self._turn = self._turn._replace(refused_ms=now_ms)
        # The configuration is read at once when the store answers again.
        self._configuration_read_ms = float("-inf")
        if not self._is_store_lost:
            self._is_store_lost = True
            logger.warning("catalog: Store does not answer: {}.", message.reason)
            self._record("store_lost", {"reason": message.reason})
        self._schedule_turn()

    def _note_store_regained(self) -> None:
        if self._is_store_lost:
            self._is_store_lost = False
            logger.info("catalog: Store answers again.")
            self._record("store_regained", {})

    def _record_refused(self, message: RegistrationsRead) -> None:
        refused = dict(message.refused)
        for server_id, reason in refused.items():
            if self._refused.get(server_id) != reason:
                details = {"server": server_id, "reason": reason}
                self._record("registration_refused", details)
        self._refused = refused

    # What is believed

    def _take_document(self, data: bytes, source: str) -> bool:
        """Put a newer configuration in force; older ones are ignored."""
        if not data or data == self._document_bytes:
            return False
        try:
            document = self._decode_configuration(data)
        except CodecError as error:
            logger.warning("catalog: Configuration refused: {}.", error)
            return False
        version = document.configuration.sequence
        if version <= self.configuration_version:
            return False
        self._document = document
        self._document_bytes = data
        self._record("configuration_in_force", {"version": version, "source": source})
        self._publish()
        return True

    def _adopt_catalog(self, catalog: Catalog, source: str) -> None:
        before = self._catalog
        self._catalog = catalog
        if before.version and has_same_servers(catalog, before):
            return
        for name, details in list_changes(before, catalog):
            self._record(name, details | {"source": source})
        self._publish()

    def _publish(self) -> None:
        if self._document is None:
            return
        configuration = join_configuration(self._document, self._catalog)
        changed = ConfigurationChanged(configuration)
        for name in CONSUMERS:
            self.send(name, changed)
        if self._catalog.version:
            self.send(SUPERVISOR, ReadinessChanged(self.name, True, ""))

    # Finding each other

    def _on_enrolment_due(self, message: EnrolmentDue) -> None:
        if not self._is_enrolled:
            address = Address(self._own.host, self._own.port)
            token = next(self._tokens)
            self.send(
                "store",
                EnrolmentRequested(self.name, token, self._own.instance_id, address),
            )
            self.call_after(ENROLMENT_RETRY_MS, message)

    def _on_enrolment_stored(self, message: EnrolmentStored) -> None:
        if not self._is_enrolled:
            self._is_enrolled = True
            token = next(self._tokens)
            self.send("store", EnrolledRequested(self.name, token))

    def _on_enrolled_read(self, message: EnrolledRead) -> None:
        self._add_members(
            tuple(CatalogMember(id_, *at) for id_, at in message.members.items())
        )

    def _record(self, name: str, details: dict) -> None:
        self.send("event_log", EventRecorded(self.name, name, "", 0, details))


def _number(text: str | None) -> int:
    """Read a version in a query; one that is malformed counts as unknown."""
    return int(text) if text is not None and text.isdecimal() else 0
