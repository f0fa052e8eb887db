"""The state of the catalog that its functions share."""

from collections.abc import Callable, Mapping
from itertools import count
from random import Random
from typing import Any, NamedTuple

from cuminhatch.codecs.catalog_thrift import CatalogMember
from cuminhatch.decisions.catalog import EMPTY_CATALOG, Catalog, ConfigurationDocument
from cuminhatch.decisions.change_history import ChangeHistory
from cuminhatch.decisions.reading_turns import Turn
from cuminhatch.decisions.referrals import Referrals
from cuminhatch.kernel import Kernel
from cuminhatch.messages import EventRecorded, RequestReceived

NAME = "catalog"
PORT_NAME = "catalog_port"

DecodeConfiguration = Callable[[bytes], ConfigurationDocument]
SendBytes = Callable[[tuple[str, int], bytes], None]


class Pull(NamedTuple):
    """
    A pull under way.

    ``origin`` has told of what is pulled; ``referrals`` counts the instances
    that have named another one since.
    """

    origin: CatalogMember
    referrals: int


class PullNeed(NamedTuple):
    """What an instance lacks; 0 where it lacks nothing."""

    configuration_version: int
    previous_version: int
    changed_version: int
    instances: int


NOTHING_NEEDED = PullNeed(0, 0, 0, 0)


class PullAnswer(NamedTuple):
    """An answer to pulls, encoded once for all that need it."""

    body: bytes
    referrals: Referrals


class CatalogView:
    """What this instance believes, and what it knows of the others."""

    def __init__(
        self,
        kernel: Kernel,
        own: CatalogMember,
        failure_domain: str,
        key: bytes,
        decode_configuration: DecodeConfiguration,
        send_bytes: SendBytes,
        rng: Random,
    ) -> None:
        """
        Start without knowledge.

        :param kernel: kernel of the process.
        :param own: this instance.
        :param failure_domain: where this instance runs.
        :param key: key shared by all daemons.
        :param decode_configuration: decoder of the operator's document.
        :param send_bytes: sends a datagram.
        :param rng: source of randomness.
        """
        self.kernel = kernel
        self.clock = kernel.clock
        self.send = kernel.send
        self.own = own
        self.failure_domain = failure_domain
        self.key = key
        self.decode_configuration = decode_configuration
        self.send_bytes = send_bytes
        self.rng = rng
        self.tokens = count(1)
        self.members: dict[str, CatalogMember] = {}
        # The most instances that another one knows, itself included.
        self.instances_told = 0
        # Others look for this instance when they start.
        self.is_first_contact = False
        self.is_enrolled = False
        self.catalog: Catalog = EMPTY_CATALOG
        self.document: ConfigurationDocument | None = None
        self.document_bytes = b""
        # Readings of the store; the first one may be put off.
        self.first_reading_ms = 0.0
        self.turn = Turn(own.instance_id, "", float("-inf"), float("-inf"))
        self.turn_timer: int | None = None
        self.reading_token = 0
        self.reading_since_ms = 0.0
        self.configuration_read_ms = float("-inf")
        self.read_ms = float("-inf")
        self.outage_ended_ms = float("-inf")
        self.is_store_lost = False
        self.is_reading_lost = False
        self.refused: dict[str, str] = {}
        self.history = ChangeHistory()
        # Pulls from other instances, and the newest configuration heard of.
        self.pull: Pull | None = None
        self.heard: tuple[int, CatalogMember] | None = None
        # Pulls of others that wait for the end of the own one.
        self.held_pulls: list[RequestReceived] = []
        # What is told to instances that pull, by what they lack.
        self.answers: dict[PullNeed, PullAnswer] = {}

    @property
    def configuration_version(self) -> int:
        """Return the version of the configuration in force, 0 for none."""
        return self.document.configuration.sequence if self.document else 0

    @property
    def instance_count(self) -> int:
        """Return how many instances are known, this one included."""
        return len(self.members) + 1

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
        Write a line of the event log.

        :param name: name of the event.
        :param details: what decided it.
        """
        self.send("event_log", EventRecorded(NAME, name, "", 0, dict(details)))
