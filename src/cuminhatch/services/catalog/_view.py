"""State shared by the functions of the catalog service."""

from collections.abc import Callable, Mapping
from itertools import count
from random import Random
from typing import Any, NamedTuple

from cuminhatch.address import Address
from cuminhatch.codecs.catalog_thrift import CatalogMember
from cuminhatch.decisions.catalog import (
    EMPTY_CATALOG,
    Catalog,
    ConfigurationDocument,
    RefusedEntry,
)
from cuminhatch.decisions.change_history import ChangeHistory
from cuminhatch.decisions.evacuation import Evacuation
from cuminhatch.decisions.read_span import NO_READS
from cuminhatch.decisions.reader_selection import LatestReads
from cuminhatch.decisions.referrals import Referrals
from cuminhatch.decisions.store_version import (
    NO_CONFIGURATION,
    NO_VERSION,
    ConfigurationVersion,
    StoreVersion,
)
from cuminhatch.kernel import Kernel
from cuminhatch.messages import EventRecorded, RequestReceived

NAME = "catalog"
PORT_NAME = "catalog_port"
# Four messages of the reader, so that the loss of some does not matter.
EVACUATION_WAIT_MS = 2_000.0

DecodeConfiguration = Callable[[bytes], ConfigurationDocument]
RedactConfiguration = Callable[[bytes], bytes]
SendBytes = Callable[[tuple[str, int], bytes], None]


class Pull(NamedTuple):
    """
    A pull in progress.

    ``first_instance`` is the instance that was asked first; ``referrals``
    counts the referrals to other instances followed since.
    """

    first_instance: CatalogMember
    referrals: int


class MissingParts(NamedTuple):
    """
    The parts of the state that an instance lacks.

    ``configuration_version`` and ``changed_version`` are the versions of the
    configuration and of the registrations in the response,
    ``NO_CONFIGURATION`` or ``NO_VERSION`` if that part is not sent.
    ``previous_version`` is the version of the registrations that the change
    applies to; if it is ``NO_VERSION``, all registrations are sent.
    ``instances`` is the number of instances in the response, 0 if they are
    not sent.
    """

    configuration_version: ConfigurationVersion
    previous_version: StoreVersion
    changed_version: StoreVersion
    instances: int


NOTHING_MISSING = MissingParts(NO_CONFIGURATION, NO_VERSION, NO_VERSION, 0)


class PullResponse(NamedTuple):
    """An encoded response to pulls, shared by all that lack the same parts."""

    body: bytes
    referrals: Referrals


class CatalogView:
    """State of the service: catalog, configuration and known instances."""

    def __init__(
        self,
        kernel: Kernel,
        own: CatalogMember,
        failure_domain: str,
        key: bytes,
        decode_configuration: DecodeConfiguration,
        send_bytes: SendBytes,
        rng: Random,
        heartbeat_ms: float,
        redact_configuration: RedactConfiguration,
        has_evacuations: bool = False,
        has_warmup_limit: bool = False,
    ) -> None:
        """
        Start with an empty catalog.

        :param kernel: kernel of the process.
        :param own: this instance.
        :param failure_domain: failure domain of this instance.
        :param key: key shared by all daemons.
        :param decode_configuration: decoder of the operator's document.
        :param send_bytes: sends a datagram.
        :param rng: source of randomness.
        :param heartbeat_ms: interval at which backend servers register.
        :param redact_configuration: removes from a document what instances
            must not keep.
        :param has_evacuations: whether operators evacuate failure domains.
        :param has_warmup_limit: whether requests to servers that warm up are
            limited.
        """
        self.kernel = kernel
        self.clock = kernel.clock
        self.send = kernel.send
        self.own = own
        self.failure_domain = failure_domain
        self.key = key
        self.decode_configuration = decode_configuration
        self.redact_configuration = redact_configuration
        self.send_bytes = send_bytes
        self.rng = rng
        self.heartbeat_ms = heartbeat_ms
        self.has_evacuations = has_evacuations
        self.has_warmup_limit = has_warmup_limit
        self.is_instances_due = False
        self.request_tokens = count(1)
        self.members: dict[str, CatalogMember] = {}
        # Highest number of known instances that another one has reported.
        self.instances_reported = 0
        # Whether other instances contact this one first when they start.
        self.is_seed = False
        # Addresses of the others that instances contact first.
        self.seeds: tuple[Address, ...] = ()
        # Whether the record of this instance is in the store.
        self.is_instance_record_stored = False
        self.catalog: Catalog = EMPTY_CATALOG
        self.document: ConfigurationDocument | None = None
        self.document_bytes = b""
        # Digests of documents that cannot be read, the latest last.
        self.refused_documents: dict[bytes, None] = {}
        # The latest version whose document was pulled and cannot be used.
        self.unusable_version = NO_CONFIGURATION
        # Entries of this version that were recorded as refused.
        self.refused_entries: set[RefusedEntry] = set()
        self.refused_entries_version = 0
        # Era of the store that the configuration in force was read in.
        self.document_era = 0
        # The latest known read of the evacuated failure domains, and since
        # when each of them is known to be evacuated.
        self.evacuation: Evacuation | None = None
        self.evacuated_since_ms: dict[str, float] = {}
        # Since when a configuration is held back, because it is not known yet
        # which domains are evacuated.
        self.evacuation_missed_ms: float | None = None
        self.is_published = False
        # Earliest time of the first read of the store.
        self.first_read_ms = 0.0
        # The instance that reads the store for all, and when it last did.
        self.latest_reads = LatestReads(
            own.instance_id, "", float("-inf"), float("-inf")
        )
        self.read_timer: int | None = None
        # Token of the read in progress, 0 for none.
        self.read_token = 0
        self.read_started_ms = 0.0
        self.configuration_requested_ms = float("-inf")
        self.last_read_ms = float("-inf")
        # Reads by any instance, also by those that this one does not follow.
        self.read_span = NO_READS
        self.outage_ended_ms = float("-inf")
        # Highest era of the store that is known, and when this instance found
        # that the store had been restored.
        self.store_era = 0
        self.restored_ms = float("-inf")
        # Why the latest call to the store failed, empty if it did not.
        self.store_lost_reason = ""
        self.refused_rows: dict[str, str] = {}
        self.change_history = ChangeHistory()
        # The pull in progress, and the version and sender of the newest
        # configuration announced meanwhile.
        self.active_pull: Pull | None = None
        self.announced_configuration: (
            tuple[ConfigurationVersion, CatalogMember] | None
        ) = None
        # Pulls that have failed in a row, and the timer of the next one.
        self.pull_failures = 0
        self.pull_retry_timer: int | None = None
        # Pulls of other instances that wait until the one in progress ends.
        self.deferred_pulls: list[RequestReceived] = []
        self.cached_responses: dict[MissingParts, PullResponse] = {}

    @property
    def configuration_version(self) -> ConfigurationVersion:
        """Return the version of the configuration in force."""
        if self.document is None:
            return NO_CONFIGURATION
        return ConfigurationVersion(
            self.document.configuration.sequence, self.document_era
        )

    def is_behind(self, version: ConfigurationVersion) -> bool:
        """
        Tell whether a version is newer, and may be used here.

        :param version: version of the configuration at another instance.
        """
        is_newer = version > self.configuration_version
        return is_newer and version != self.unusable_version

    @property
    def is_store_unavailable(self) -> bool:
        """Tell whether the store has not responded, or was not understood."""
        return bool(self.store_lost_reason)

    @property
    def read_gap_max_ms(self) -> float:
        """
        Return how long no instance may read while the store is up.

        A shorter outage makes a backend server miss one heartbeat at most; the
        store removes it after three.
        """
        return self.heartbeat_ms

    @property
    def is_evacuation_awaited(self) -> bool:
        """
        Tell whether the evacuated domains are not known but may be soon.

        Instances that know them tell them in each message, so that an
        instance in touch with one of these hears of them in time.
        """
        if not self.has_evacuations or self.evacuation is not None:
            return False
        since_ms = self.evacuation_missed_ms
        return since_ms is None or self.clock.now_ms - since_ms < EVACUATION_WAIT_MS

    @property
    def instance_count(self) -> int:
        """Return the number of known instances, this one included."""
        return len(self.members) + 1

    @property
    def near_instance_count(self) -> int:
        """Return how many instances are in this failure domain, or may be."""
        domains = (self.failure_domain, "")
        near = sum(member.failure_domain in domains for member in self.members.values())
        return near + 1

    def call_at(self, at_ms: float, message: Any) -> int:
        """
        Schedule a message to the catalog itself.

        :param at_ms: monotonic time in milliseconds.
        :param message: message to deliver.
        :returns: a token for ``kernel.cancel``.
        """
        return self.kernel.call_at(at_ms, NAME, message)

    def record(self, name: str, details: Mapping[str, Any]) -> None:
        """
        Write an event to the event log.

        :param name: name of the event.
        :param details: what the event is about.
        """
        self.send("event_log", EventRecorded(NAME, name, "", 0, dict(details)))
