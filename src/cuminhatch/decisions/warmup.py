"""
Which instances may send requests to a server that warms up.

A cold server tolerates few requests a second from all instances together, and
no instance sees what the others send. So only the first few instances of an
order that all compute alike may send to it, each at most one request in
``SEND_INTERVAL_MS``. Most places are for instances in the failure domain of
the server, the rest for others.

Views differ. Known instances are never forgotten, so that an instance that was
frozen or cut off only takes itself for one of the first if it is one of the
first among those known then. So each instance that has joined since adds at
most one sender. Instances that start during a partition could take themselves
for all there are: they wait until they know the seeds, or for ``ALONE_MS``.

A server may become cold at any moment, so no registration proves that it is
warm. An instance therefore also needs a health check answer that is younger
than ``ANSWER_MAX_AGE_MS`` before it sends to any server of such a service.

Load that this module handles: one check of each server of a service per
placement. The order is computed once for a server and a set of instances, and
only for cold servers: about 35 hashes where 1,900 instances are known.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from math import inf
from typing import NamedTuple

from cuminhatch.decisions.candidates import CandidateCounts
from cuminhatch.decisions.placement import (
    USUAL_TIME_MARGIN,
    RequestProfile,
    max_wait_ms,
)
from cuminhatch.decisions.rendezvous import rank
from cuminhatch.decisions.server_records import ServerRecord

# A little more than a second, so that two requests of one instance are never
# in the same second.
SEND_INTERVAL_MS = 1_100.0
# The rest of the bound is for instances that take themselves for first ones
# by another view, and for what was under way when a server became cold.
BOUND_MARGIN = 1.5
# Share of the places for instances of other failure domains, so that the loss
# of those in one domain does not leave its cold servers without requests.
FAR_SHARE = 1 / 3
# Far servers to choose from if there are no near ones.
FAR_CANDIDATES = 2
# Instances probe a server just before they send. With an older answer a server
# that has just become cold would get the requests of this time from all.
ANSWER_MAX_AGE_MS = 100.0
# After the start of all instances they know each other within about two
# messages of the reader of the store, 500 ms apart, and one pull.
START_MS = 3_000.0
# Time without news of further instances after which all seem to be known.
QUIET_MS = 2_000.0
# An instance that hears of no other one for so long is the only one, and a
# seed that it does not hear of has left.
ALONE_MS = 10_000.0


class WarmupLimit(NamedTuple):
    """
    Limit on the requests to a cold server, over all instances.

    In any second it gets at most ``overshoot`` times the rate that its service
    tolerates, plus ``slack`` requests.
    """

    overshoot: float
    slack: float


def count_senders(limit: WarmupLimit, rate_per_s: float) -> int:
    """
    Return how many instances may send to a cold server.

    :param limit: limit of the deployment.
    :param rate_per_s: requests per second that the server tolerates.
    """
    bound = rate_per_s * limit.overshoot + limit.slack
    return max(int(bound / BOUND_MARGIN), min(1, int(bound)))


class Senders:
    """
    State of what this instance knows of the others, and of its own places.

    An instance that may not know all others yet is none of the first.
    """

    def __init__(self, own_id: str, now_ms: float) -> None:
        """
        Start without other instances.

        :param own_id: id of this instance.
        :param now_ms: current time.
        """
        self._own_id = own_id
        self._started_ms = now_ms
        # Failure domains by instance id, empty where it is unknown.
        self._domains: Mapping[str, str] = {}
        self._sizes: Counter[str] = Counter()
        self._reported = 0
        self._is_seed_missing = False
        self._grown_ms = now_ms
        self._is_settled = False
        # Whether this instance is one of the first, by server and number.
        self._places: dict[tuple[str, int], bool] = {}

    def set_instances(
        self,
        domains: Mapping[str, str],
        reported: int,
        is_seed_missing: bool,
        now_ms: float,
    ) -> None:
        """
        Replace what is known of the instances.

        :param domains: failure domains of all known instances, this one
            included, by instance id.
        :param reported: highest number of instances that another one knows, 0
            if none was heard of.
        :param is_seed_missing: whether a seed is not among them.
        :param now_ms: current time.
        """
        if len(domains) > len(self._domains) or reported > self._reported:
            self._grown_ms = now_ms
        if domains != self._domains:
            self._domains = domains
            self._sizes = Counter(domains.values())
            self._places = {}
        self._reported = reported
        self._is_seed_missing = is_seed_missing

    def knows_all(self, now_ms: float) -> bool:
        """
        Tell whether this instance seems to know all others.

        :param now_ms: current time.
        """
        if len(self._domains) < self._reported:
            return False
        if not self._is_settled:
            age_ms = now_ms - self._started_ms
            is_alone = not self._reported or self._is_seed_missing
            self._is_settled = (
                age_ms >= (ALONE_MS if is_alone else START_MS)
                and now_ms - self._grown_ms >= QUIET_MS
            )
        return self._is_settled

    def is_sender(self, server_id: str, domain: str, count: int) -> bool:
        """
        Tell whether this instance is one of the first for a server.

        :param server_id: id of the server.
        :param domain: failure domain of the server.
        :param count: number of the first instances.
        """
        is_first = self._places.get((server_id, count))
        if is_first is None:
            is_first = self._find_place(server_id, domain, count)
            self._places[server_id, count] = is_first
        return is_first

    def _find_place(self, server_id: str, domain: str, count: int) -> bool:
        """Tell whether fewer instances than places precede this one."""
        places = count - int(count * FAR_SHARE)
        is_near = self._domains.get(self._own_id) == domain
        if not is_near:
            near_count = self._sizes[domain] + self._sizes[""]
            places = count - min(places, near_count)
        own_rank = rank(server_id, self._own_id)
        for instance_id, other_domain in self._domains.items():
            # One of an unknown failure domain may be near or far.
            if other_domain and (other_domain == domain) is not is_near:
                continue
            if rank(server_id, instance_id) < own_rank:
                places -= 1
            if places <= 0:
                return False
        return True


def limit_candidates(
    wanted: CandidateCounts, records: Sequence[ServerRecord]
) -> CandidateCounts:
    """
    Return how many servers to probe, without far ones in place of cold ones.

    Each instance may probe a far server only once in some seconds. While the
    near domain is cold, a few requests would otherwise use up all its probes,
    and later ones find no server with a fresh answer.

    :param wanted: number of candidates.
    :param records: servers of the service that may take requests.
    """
    near = min(wanted.near, sum(record.is_near for record in records))
    far = max(wanted.far, min(wanted.near, FAR_CANDIDATES) - near)
    return wanted._replace(near=near, far=far)


def get_wait_limit_ms(work: RequestProfile) -> float:
    """
    Return how long a request may wait until a server may be sent to.

    :param work: the request.
    :returns: time after its arrival at which an idle server still answers
        within the target latency, and at least the usual wait.
    """
    latest_ms = work.target_ms - work.usual_ms * USUAL_TIME_MARGIN
    return max(max_wait_ms(work, True), latest_ms)


def is_cold(record: ServerRecord, now_ms: float) -> bool:
    """
    Tell whether a server warms up, as far as is known.

    :param record: the server.
    :param now_ms: current time.
    """
    return now_ms < record.warm_at_ms


def has_fresh_answer(record: ServerRecord, now_ms: float) -> bool:
    """
    Tell whether a health check answer is recent enough to send a request.

    :param record: the server.
    :param now_ms: current time.
    """
    return now_ms - record.answer_asked_ms <= ANSWER_MAX_AGE_MS


def may_send_to_cold(
    record: ServerRecord, senders: Senders, count: int, now_ms: float
) -> bool:
    """
    Tell whether this instance may send to a server that may be cold now.

    :param record: the server.
    :param senders: what this instance knows of the others.
    :param count: number of instances that may send to it.
    :param now_ms: current time.
    """
    if now_ms - record.sent_ms < SEND_INTERVAL_MS or not senders.knows_all(now_ms):
        return False
    server = record.server
    return senders.is_sender(server.server_id, server.failure_domain, count)


def record_warmup(
    record: ServerRecord, left_ms: float | None, asked_ms: float, now_ms: float
) -> None:
    """
    Record what a server says of its warm-up in a health check answer.

    :param record: the server.
    :param left_ms: time left, None if it says nothing.
    :param asked_ms: when the health check was sent. The answer of a server may
        have waited for an instance that was frozen.
    :param now_ms: current time.
    """
    if asked_ms < record.answer_asked_ms:
        return
    record.answer_asked_ms = asked_ms
    if left_ms is not None:
        record.warm_at_ms = now_ms + left_ms if left_ms > 0.0 else -inf


def record_registered_warmup(
    record: ServerRecord, left_ms: float, now_ms: float
) -> None:
    """
    Record the remaining warm-up of a changed registration.

    It may be some seconds old, so it does not make a cold server warm.

    :param record: the server.
    :param left_ms: time left when the server registered.
    :param now_ms: current time.
    """
    if left_ms > 0.0:
        record.warm_at_ms = max(record.warm_at_ms, now_ms + left_ms)
