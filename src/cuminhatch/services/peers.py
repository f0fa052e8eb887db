"""
Gossip between the daemons: heartbeats, load samples and permit wishes.

A permit wish asks the holder of a permit of a backend server to release it.
"""

from itertools import count
from random import Random
from socket import socket
from typing import Any, NamedTuple

from cuminhatch.address import Address
from cuminhatch.codecs.peers_thrift import (
    Heartbeat,
    LoadSample,
    PermitWish,
    decode_message,
    encode_message,
)
from cuminhatch.codecs.signing import MAX_DATAGRAM_BYTES, PeerMessageError
from cuminhatch.decisions.hybrid_clock import ZERO_STAMP, Stamp, merge_stamp
from cuminhatch.decisions.membership import (
    HeartbeatEntry,
    KnownInstance,
    Member,
    list_members,
    merge_entry,
    pick_entries,
    pick_targets,
    remove_silent,
)
from cuminhatch.decisions.platform import InstanceList
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.log import logger
from cuminhatch.messages import (
    ConfigurationChanged,
    CounterIncremented,
    DrainAnnounced,
    HeadChanged,
    HeadReceived,
    InstanceListReplied,
    InstanceListRequested,
    LeavingServersChanged,
    LoadObserved,
    MembershipChanged,
    PermitReleaseRequested,
    RemotePermitNeeded,
    StampAdvanced,
    StampReceived,
    StatusReported,
)
from cuminhatch.services._bound_socket import bind_datagram_socket, get_bound_address

# Two heartbeats of about 650 bytes every 500 ms, sent and received, take
# 5.2 KB/s of the 8 KB/s that control traffic may use.
HEARTBEAT_INTERVAL_MS = 500
HEARTBEAT_FAN_OUT = 2
# Heartbeats sent at once when the head of the notes, the sequence number of
# the latest configuration note, changes.
HEAD_FAN_OUT = 3
MAX_MEMBERS_PER_HEARTBEAT = 8
MAX_SAMPLES_PER_HEARTBEAT = 8
MAX_WISHES_PER_HEARTBEAT = 4
MAX_SAMPLE_AGE_MS = 2_000
# Interval between reads of the platform's instance list. A backend server must
# get no new requests 3 s after the list shows that it leaves. A list of 26
# backend servers and 18 instances is about 3.4 KB; read every second, it would
# take control traffic, heartbeats included, above the limit of 8 KB/s.
LIST_INTERVAL_MS = 2_000
STATUS_INTERVAL_MS = 2_000
MAX_DATAGRAMS_PER_EVENT = 64


class HeartbeatDue(NamedTuple):
    """Timer: send the next regular heartbeat."""


class ListReadDue(NamedTuple):
    """Timer: read the platform's list of instances."""


class StatusDue(NamedTuple):
    """Timer: report the status to operators."""


class Peers(Service):
    """Owns the UDP socket and the table of the other known instances."""

    name = "peers"

    def __init__(
        self,
        kernel: Kernel,
        address: Address,
        key: str,
        instance_id: str,
        seeds: tuple[Address, ...],
        rng: Random | None = None,
    ) -> None:
        """
        Create the service without opening its socket.

        :param kernel: kernel of the process.
        :param address: address to listen on; port 0 takes any free one.
        :param key: key shared by all daemons.
        :param instance_id: id of this instance.
        :param seeds: addresses of the instances to contact first.
        :param rng: source of randomness.
        """
        super().__init__(kernel)
        self._address = address
        self._key = key.encode()
        self._instance_id = instance_id
        # Increases with each restart, unless the wall clock is set back by
        # more than the uptime of the former process.
        self._incarnation = int(kernel.clock.wall_ms)
        self._heartbeat_count = 0
        self._is_leaving = False
        self._seeds = tuple(f"{seed.host}:{seed.port}" for seed in seeds)
        self._contacts: tuple[str, ...] = self._seeds
        self._rng = rng or Random()
        self._known_instances: dict[str, KnownInstance] = {}
        self._members: tuple[Member, ...] = ()
        self._head_sequence = 0
        self._stamp: Stamp = ZERO_STAMP
        self._samples: dict[str, LoadObserved] = {}
        self._pending_wishes: dict[str, list[PermitWish]] = {}
        self._leaving_ids: frozenset[str] = frozenset()
        self._sock: socket | None = None
        self._tokens = count(1)
        self._sent_bytes = 0
        self._received_bytes = 0
        self._refused_count = 0

    def message_handlers(self) -> MessageTable:
        """Return the handlers of timers and of messages of other services."""
        return {
            HeartbeatDue: self._on_heartbeat_due,
            ListReadDue: self._on_list_read_due,
            StatusDue: self._on_status_due,
            HeadChanged: self._on_head_changed,
            ConfigurationChanged: self._on_configuration_changed,
            LoadObserved: self._on_load_observed,
            RemotePermitNeeded: self._on_remote_permit_needed,
            StampAdvanced: self._on_stamp_advanced,
            InstanceListReplied: self._on_instance_list_replied,
            DrainAnnounced: self._on_drain_announced,
        }

    @property
    def address(self) -> Address:
        """Return the address in use, with the bound port once open."""
        return self._address if self._sock is None else get_bound_address(self._sock)

    @property
    def incarnation(self) -> int:
        """Return the incarnation of this process."""
        return self._incarnation

    def open(self) -> None:
        """
        Bind the socket and start the heartbeats.

        :raises AddressError: the address cannot be bound.
        """
        self._sock = bind_datagram_socket(self._address)
        self.watch_read(self._sock, self._read)
        self.call_after(0, HeartbeatDue())
        self.call_after(0, ListReadDue())
        self.call_after(STATUS_INTERVAL_MS, StatusDue())

    # Sending

    def _on_heartbeat_due(self, message: HeartbeatDue) -> None:
        now_ms = self.kernel.clock.now_ms
        remove_silent(self._known_instances, now_ms)
        self._heartbeat_count += 1
        self._send_heartbeats(HEARTBEAT_FAN_OUT)
        self._publish_members()
        self.call_after(HEARTBEAT_INTERVAL_MS, HeartbeatDue())

    def _on_head_changed(self, message: HeadChanged) -> None:
        self._head_sequence = message.sequence
        self._heartbeat_count += 1
        self._send_heartbeats(HEAD_FAN_OUT)

    def _send_heartbeats(self, fan_out: int) -> None:
        now_ms = self.kernel.clock.now_ms
        own = self._own_entry()
        contacts = tuple(
            contact for contact in self._contacts if contact != f"{own.host}:{own.port}"
        )
        targets = pick_targets(
            self._known_instances, contacts, fan_out, now_ms, self._rng
        )
        for target in targets:
            self._send_heartbeat(target, own, now_ms)

    def _own_entry(self) -> HeartbeatEntry:
        host, port = self.address
        return HeartbeatEntry(
            self._instance_id,
            host,
            port,
            self._incarnation,
            self._heartbeat_count,
            self._is_leaving,
        )

    def _send_heartbeat(self, target: str, own: HeartbeatEntry, now_ms: float) -> None:
        heartbeat = Heartbeat(
            own,
            self._head_sequence,
            self._stamp,
            pick_entries(
                self._known_instances, MAX_MEMBERS_PER_HEARTBEAT, now_ms, self._rng
            ),
            self._pick_samples(now_ms),
            tuple(self._pending_wishes.pop(target, ())),
        )
        data = encode_message(heartbeat, self._key)
        if len(data) > MAX_DATAGRAM_BYTES:
            # Long ids can make the heartbeat too large. Members and samples
            # are optional, and are then left out.
            data = encode_message(heartbeat._replace(members=(), samples=()), self._key)
        host, _, port = target.rpartition(":")
        try:
            self._sock.sendto(data, (host, int(port)))
            self._sent_bytes += len(data)
        except OSError:
            # Heartbeats may be lost anyway; the next one is due soon.
            pass

    def _pick_samples(self, now_ms: float) -> tuple[LoadSample, ...]:
        fresh = [
            sample
            for sample in self._samples.values()
            if now_ms - sample.observed_ms <= MAX_SAMPLE_AGE_MS
        ]
        self._rng.shuffle(fresh)
        # Samples of leaving servers go first. Picked at random, they do not
        # reach every instance within the required 3 s if there are, for
        # example, 26 servers and 18 instances.
        fresh.sort(key=lambda sample: not sample.is_leaving)
        return tuple(
            LoadSample(
                sample.server_id,
                sample.in_flight,
                sample.queued,
                sample.slots,
                sample.latency_ms,
                sample.is_leaving,
                now_ms - sample.observed_ms,
            )
            for sample in fresh[:MAX_SAMPLES_PER_HEARTBEAT]
        )

    # Receiving

    def _read(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_EVENT):
            try:
                data, _ = self._sock.recvfrom(65_536)
            except OSError:
                return
            self._received_bytes += len(data)
            try:
                message = decode_message(data, self._key)
            except PeerMessageError as error:
                self._count_refused(error)
                continue
            if isinstance(message, Heartbeat):
                self._on_heartbeat(message)

    def _count_refused(self, error: PeerMessageError) -> None:
        self._refused_count += 1
        self.send("metrics", CounterIncremented("peer_messages_refused_total", {}))
        if self._refused_count == 1:
            logger.warning("peers: Invalid datagram ignored: {}.", error)

    def _on_heartbeat(self, message: Heartbeat) -> None:
        now_ms = self.kernel.clock.now_ms
        for entry in (message.sender, *message.members):
            if entry.instance_id != self._instance_id:
                merge_entry(self._known_instances, entry, now_ms)
        self._stamp = merge_stamp(self._stamp, message.stamp, self.kernel.clock.wall_ms)
        self.send("timeline", StampReceived(message.stamp))
        sender = message.sender
        self.send(
            "notes",
            HeadReceived(
                message.head_sequence,
                sender.instance_id,
                Address(sender.host, sender.port),
            ),
        )
        for sample in message.samples:
            self._merge_sample(sample, now_ms)
        for wish in message.wishes:
            self.send("permits", PermitReleaseRequested(*wish))

    def _merge_sample(self, sample: LoadSample, now_ms: float) -> None:
        observed = LoadObserved(
            sample.server_id,
            sample.in_flight,
            sample.queued,
            sample.slots,
            sample.latency_ms,
            sample.is_leaving,
            now_ms - sample.age_ms,
            "peer",
        )
        known = self._samples.get(sample.server_id)
        if known is None or known.observed_ms < observed.observed_ms:
            self._samples[sample.server_id] = observed
            self.send("dispatch", observed)

    # Messages of other services

    def _on_load_observed(self, message: LoadObserved) -> None:
        self._samples[message.server_id] = message

    def _on_configuration_changed(self, message: ConfigurationChanged) -> None:
        servers = message.configuration.servers
        for server_id in [s for s in self._samples if s not in servers]:
            del self._samples[server_id]

    def _on_remote_permit_needed(self, message: RemotePermitNeeded) -> None:
        known = self._known_instances.get(message.holder_id)
        if known is None:
            return
        target = f"{known.entry.host}:{known.entry.port}"
        wish = PermitWish(self._instance_id, message.kind, message.server_id)
        wishes = self._pending_wishes.setdefault(target, [])
        if wish not in wishes and len(wishes) < MAX_WISHES_PER_HEARTBEAT:
            wishes.append(wish)
        self._send_heartbeat(target, self._own_entry(), self.kernel.clock.now_ms)

    def _on_stamp_advanced(self, message: StampAdvanced) -> None:
        self._stamp = max(self._stamp, message.stamp)

    def _on_drain_announced(self, message: DrainAnnounced) -> None:
        self._is_leaving = True

    def _on_list_read_due(self, message: ListReadDue) -> None:
        self.send("platform", InstanceListRequested(self.name, next(self._tokens)))
        self.call_after(LIST_INTERVAL_MS, ListReadDue())

    def _on_instance_list_replied(self, message: InstanceListReplied) -> None:
        if not isinstance(message.result, InstanceList):
            return
        entries = message.result.instances
        self._contacts = tuple(
            {
                *self._seeds,
                # The kind "entry" is a load balancer instance.
                *(listed.address for listed in entries if listed.kind == "entry"),
            }
        )
        leaving = frozenset(
            listed.instance_id
            for listed in entries
            if listed.kind == "backend" and listed.state == "leaving"
        )
        if leaving != self._leaving_ids:
            self._leaving_ids = leaving
            self.send("dispatch", LeavingServersChanged(leaving))

    def _publish_members(self) -> None:
        members = list_members(self._known_instances, self.kernel.clock.now_ms)
        if members != self._members:
            self._members = members
            for name in ("dispatch", "permits", "probes"):
                self.send(name, MembershipChanged(members))

    def _on_status_due(self, message: StatusDue) -> None:
        values: dict[str, Any] = {
            "members": [member._asdict() for member in self._members],
            "sent_bytes": self._sent_bytes,
            "received_bytes": self._received_bytes,
            "refused": self._refused_count,
        }
        self.send("operators", StatusReported(self.name, values))
        self.call_after(STATUS_INTERVAL_MS, StatusDue())
