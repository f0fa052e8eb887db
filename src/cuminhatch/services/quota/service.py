"""The quota service: its socket, its timer and its message handlers."""

from collections.abc import Iterator
from random import Random
from socket import socket

from cuminhatch.address import Address
from cuminhatch.codecs.quota_thrift import decode_message, encode_message
from cuminhatch.codecs.signing import PeerMessageError
from cuminhatch.decisions.quota import (
    INTERVAL_MS,
    Outgoing,
    QuotaLimits,
    QuotaMessage,
    QuotaPeer,
    QuotaReport,
)
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.log import logger
from cuminhatch.messages import (
    ConfigurationChanged,
    CounterIncremented,
    EventRecorded,
    Gauge,
    GaugesReported,
    GaugesRequested,
)
from cuminhatch.messages.quota import InstancesListed, QuotaUpdateDue
from cuminhatch.services._bound_socket import bind_datagram_socket
from cuminhatch.services.quota._gate import QuotaGate

NAME = "quota"
MAX_DATAGRAMS_PER_EVENT = 64
MAX_RECEIVED_BYTES = 65_536


class QuotaService(Service):
    """
    Exchanges counters with the other instances.

    Nothing is sent while the configuration names no quota.
    """

    name = NAME

    def __init__(
        self,
        kernel: Kernel,
        instance_id: str,
        failure_domain: str,
        address: Address,
        key: str,
        limits: QuotaLimits,
        has_others: bool,
        rng: Random | None = None,
    ) -> None:
        """
        Start without a configuration.

        :param kernel: kernel of the process.
        :param instance_id: id of this instance.
        :param failure_domain: failure domain of this instance.
        :param address: UDP address of this instance; the others use its port
            as well.
        :param key: key shared by all daemons.
        :param limits: how far quotas may be exceeded.
        :param has_others: whether other instances are to be expected.
        :param rng: source of randomness.
        """
        super().__init__(kernel)
        self._address = address
        self._key = key.encode()
        self._sock: socket | None = None
        self._addresses: dict[str, Address] = {}
        self._is_running = False
        self._has_warned = False
        self._peer = QuotaPeer(
            instance_id,
            failure_domain,
            limits,
            has_others,
            rng or Random(),
            kernel.clock.now_ms,
        )
        self._gate = QuotaGate(self._peer, self._increment, self._report_early)

    @property
    def gate(self) -> QuotaGate:
        """Return the object that decides on requests."""
        return self._gate

    def message_handlers(self) -> MessageTable:
        """Return the handler of each message that this service receives."""
        return {
            ConfigurationChanged: self._on_configuration_changed,
            InstancesListed: self._on_instances_listed,
            QuotaUpdateDue: self._on_update_due,
            GaugesRequested: self._on_gauges_requested,
        }

    def open(self) -> None:
        """
        Bind the socket.

        :raises AddressError: the address cannot be bound.
        """
        self._sock = bind_datagram_socket(self._address)
        self.watch_read(self._sock, self._read_datagrams)

    def _on_configuration_changed(self, message: ConfigurationChanged) -> None:
        teams = message.configuration.teams or {}
        self._peer.teams = {
            id_: team for id_, team in teams.items() if team.rate_per_s > 0.0
        }
        if self._peer.teams and not self._is_running:
            self._is_running = True
            self._on_update_due(QuotaUpdateDue())

    def _on_instances_listed(self, message: InstancesListed) -> None:
        port = self._address.port
        for id_, instance in message.instances.items():
            self._addresses[id_] = Address(instance.host, port)
        self._peer.set_members(
            {id_: item.failure_domain for id_, item in message.instances.items()}
        )

    def _on_update_due(self, message: QuotaUpdateDue) -> None:
        if not self._peer.teams:
            self._is_running = False
            return
        self._send_all(self._peer.tick(self.kernel.clock.now_ms))
        self._record_events()
        self.call_after(INTERVAL_MS, message)

    def _report_early(self) -> None:
        if self._is_running:
            self._send_all(self._peer.report_early(self.kernel.clock.now_ms))
            self._record_events()

    def _on_gauges_requested(self, message: GaugesRequested) -> None:
        gauges = tuple(self._list_gauges()) if self._is_running else ()
        self.send(message.reply_to, GaugesReported(message.token, gauges))

    def _list_gauges(self) -> Iterator[Gauge]:
        """Yield gauges of instances, and of teams that are or were limited."""
        local = self._peer.local
        heard = 0 if local.figures is None else local.figures.heard
        if not local.has_recent_figures(self.kernel.clock.now_ms):
            heard = 1
        yield Gauge("quota_instances_heard", {}, float(heard))
        yield Gauge("quota_instances_known", {}, float(local.known_instances))
        yield Gauge("quota_aggregator", {}, float(self._peer.is_aggregator))
        limited = local.limited_teams
        for team_id in self._gate.labels & self._peer.teams.keys():
            figures = limited.get(team_id)
            left = self._peer.teams[team_id].burst
            labels = {"team": team_id}
            yield Gauge("quota_left", labels, figures.balance if figures else left)
            yield Gauge("quota_share", labels, figures.share if figures else 1.0)

    def _send_all(self, outgoing: list[Outgoing]) -> None:
        for item in outgoing:
            data = encode_message(item.message, self._key)
            for id_ in item.instance_ids:
                address = self._addresses.get(id_)
                if address is not None:
                    self._send_bytes(address, data)

    def _send_bytes(self, address: Address, data: bytes) -> None:
        try:
            self._sock.sendto(data, address)
        except OSError as error:
            # The counters are cumulative; the next datagram replaces this one.
            logger.debug("quota: Sending a datagram failed: {}.", error.strerror)

    def _read_datagrams(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_EVENT):
            try:
                data, sender = self._sock.recvfrom(MAX_RECEIVED_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # ICMP error: an earlier datagram was not received.
                logger.debug("quota: Receiving a datagram failed: {}.", error.strerror)
                continue
            if not self._is_running:
                continue
            try:
                message = decode_message(data, self._key)
            except PeerMessageError as error:
                self._count_malformed(error)
                continue
            self._learn_address(message, sender[0])
            self._send_all(self._peer.receive(message, self.kernel.clock.now_ms))
            self._record_events()

    def _learn_address(self, message: QuotaMessage, host: str) -> None:
        """Keep the address of an instance that the catalog does not know."""
        if isinstance(message, QuotaReport):
            id_ = message.instance_id
        else:
            id_ = message.aggregator_id
        if id_ not in self._addresses:
            self._addresses[id_] = Address(host, self._address.port)

    def _count_malformed(self, error: PeerMessageError) -> None:
        self._increment("quota_malformed_total", {})
        if not self._has_warned:
            self._has_warned = True
            logger.warning("quota: Invalid datagram ignored: {}.", error)

    def _record_events(self) -> None:
        for event in self._peer.take_events():
            record = EventRecorded(NAME, event.name, "", 0, dict(event.details))
            self.send("event_log", record)

    def _increment(self, name: str, labels: dict[str, str]) -> None:
        self.send("metrics", CounterIncremented(name, labels))
