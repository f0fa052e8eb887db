"""
Part of one instance in the quotas: which messages it sends, and when.

Handles frozen instances, lost aggregators and partitions of any size; nothing
here waits for another instance.
"""

from collections.abc import Mapping
from random import Random

from cuminhatch.decisions.quota._aggregation import SILENT_MS, Aggregation
from cuminhatch.decisions.quota._choice import AggregatorChoice
from cuminhatch.decisions.quota._local import LocalAdmission
from cuminhatch.decisions.quota._types import (
    Outgoing,
    QuotaEvent,
    QuotaFigures,
    QuotaLimits,
    QuotaMessage,
    QuotaReport,
    QuotaSums,
    TeamQuotas,
)

INTERVAL_MS = 250.0
# Shortest time between messages that do not wait for their turn, which bounds
# the number of messages while teams exceed their usual rate.
URGENT_GAP_MS = 60.0
# After a longer pause this instance has been frozen.
PAUSE_MS = 600.0
# An instance that has just started lets a running aggregator go on. It also
# learns of the other instances meanwhile.
LISTEN_MS = 300.0
# Time in which an instance that has just started may know only few others.
DISCOVERY_MS = 3_000.0
# Number of instances assumed meanwhile, unless it is known to be alone.
INSTANCES_ASSUMED = 100
# An instance that stays away for this long is not counted any more. Longer
# than a partition, so that no group takes the quota of another one.
FORGET_MS = 60_000.0
# Keeps a team whose share is about 1 from causing two events a second.
UNLIMITED_AFTER_MS = 2_000.0


class QuotaPeer:
    """State of the quotas at one instance."""

    def __init__(
        self,
        instance_id: str,
        failure_domain: str,
        limits: QuotaLimits,
        has_others: bool,
        rng: Random,
        now_ms: float,
    ) -> None:
        """
        Start without members and figures.

        :param instance_id: id of this instance.
        :param failure_domain: failure domain of this instance.
        :param limits: how far quotas may be exceeded.
        :param has_others: whether other instances are to be expected.
        :param rng: source of randomness.
        :param now_ms: current time.
        """
        self.local = LocalAdmission(limits, rng, now_ms)
        self.teams: TeamQuotas = {}
        self._instance_id = instance_id
        self._failure_domain = failure_domain
        self._limits = limits
        self._has_others = has_others
        self._rng = rng
        self._incarnation = rng.getrandbits(31)
        self._started_ms = now_ms
        self._ticked_ms = now_ms
        self._choice = AggregatorChoice(failure_domain, instance_id)
        self._choice.add((instance_id,))
        self._far_choices: dict[str, AggregatorChoice] = {}
        # Ids of the known instances by failure domain.
        self._members: dict[str, set[str]] = {failure_domain: {instance_id}}
        # Those of this failure domain that have not been heard of for long.
        self._forgotten: set[str] = set()
        # The same of whole failure domains, or of instances in unknown ones.
        self._forgotten_domains: set[str] = set()
        self._aggregation: Aggregation | None = None
        self._reported_to = ""
        self._reported_ms = self._aggregated_ms = float("-inf")
        self._is_confirmed = False
        # When the figures last limited a team.
        self._limited: dict[str, float] = {}
        self._is_alone = True
        self._events: list[QuotaEvent] = []

    @property
    def aggregator_id(self) -> str:
        """Return the aggregator that the latest report went to."""
        return self._reported_to

    @property
    def is_aggregator(self) -> bool:
        """Tell whether this instance is the aggregator of its domain."""
        return self._aggregation is not None

    def set_members(self, domains: Mapping[str, str]) -> None:
        """
        Set the known instances.

        :param domains: failure domains of the other instances, by their ids.
        """
        members = {self._failure_domain: {self._instance_id}}
        for id_, domain in domains.items():
            members.setdefault(domain, set()).add(id_)
        self._members = members
        for domain, ids in members.items():
            if domain == self._failure_domain:
                self._choice.add(ids)
            elif domain:
                far = self._far_choices.setdefault(domain, AggregatorChoice(domain))
                far.add(ids)
        self.local.known_instances = self._count_known(self._started_ms)

    def take_events(self) -> list[QuotaEvent]:
        """Return what operators are told since the last call."""
        events, self._events = self._events, []
        return events

    def tick(self, now_ms: float) -> list[Outgoing]:
        """
        Return the messages that are due; to be called each ``INTERVAL_MS``.

        :param now_ms: current time.
        """
        interval_ms = now_ms - self._ticked_ms
        if interval_ms > PAUSE_MS:
            self._resume(now_ms)
        self._ticked_ms = now_ms
        if interval_ms > 0.0:
            self.local.measure_rates(interval_ms, now_ms)
        self.local.known_instances = self._count_known(now_ms)
        outgoing = self._report(now_ms)
        if self._aggregation is not None:
            outgoing += self._aggregate(self._aggregation, now_ms)
        self._note_changes(now_ms)
        return outgoing

    def report_early(self, now_ms: float) -> list[Outgoing]:
        """
        Return a report that does not wait for its turn, if one is needed.

        To be called after a request was admitted: the sudden load of a team is
        known to all instances within a fraction of the usual time.

        :param now_ms: current time.
        """
        if not self.local.is_report_urgent:
            return []
        if now_ms - self._reported_ms < URGENT_GAP_MS or not self._reported_to:
            return []
        return self._report(now_ms) + self._aggregate_early(now_ms)

    def receive(self, message: QuotaMessage, now_ms: float) -> list[Outgoing]:
        """
        Handle a message of another instance, and return the replies.

        :param message: the message.
        :param now_ms: current time.
        """
        if now_ms - self._ticked_ms > PAUSE_MS:
            # It may have arrived long ago, while this instance was frozen.
            return []
        if isinstance(message, QuotaReport):
            if message.failure_domain == self._failure_domain:
                self._add_member(message.instance_id)
                if self._aggregation is not None:
                    self._aggregation.add_report(message, now_ms)
                    return self._aggregate_early(now_ms)
            return []
        if isinstance(message, QuotaSums):
            return self._receive_sums(message, now_ms)
        return self._receive_figures(message, now_ms)

    def _receive_sums(self, sums: QuotaSums, now_ms: float) -> list[Outgoing]:
        domain = sums.failure_domain
        if domain == self._failure_domain:
            return []
        choice = self._far_choices.setdefault(domain, AggregatorChoice(domain))
        choice.hear(sums.aggregator_id, now_ms)
        aggregation = self._aggregation
        if aggregation is None:
            return []
        if not aggregation.add_sums(sums, now_ms):
            return self._aggregate_early(now_ms)
        # A new aggregator waits for them before it settles.
        reply = aggregation.make_sums(self._count_near(), True, now_ms)
        return [Outgoing((sums.aggregator_id,), reply)]

    def _receive_figures(self, figures: QuotaFigures, now_ms: float) -> list[Outgoing]:
        if figures.failure_domain != self._failure_domain:
            return []
        self._choice.hear(figures.aggregator_id, now_ms)
        if figures.aggregator_id != self._pick_aggregator(now_ms):
            return []
        if figures.aggregator_id != self._reported_to:
            return self._report(now_ms)
        if figures.is_settled:
            self._is_confirmed = True
            self.local.set_figures(figures, now_ms)
            self._note_changes(now_ms)
        return []

    def _add_member(self, id_: str) -> None:
        near = self._members[self._failure_domain]
        if id_ not in near:
            near.add(id_)
            self._choice.add((id_,))

    def _resume(self, now_ms: float) -> None:
        self._choice.restart_waiting(now_ms)
        if self._aggregation is not None:
            # Another instance has taken over.
            self._aggregation = None
            self._reported_to = ""

    def _pick_aggregator(self, now_ms: float) -> str:
        """Return the id of the aggregator, as far as this instance knows."""
        picked = self._choice.pick(now_ms)[0]
        if picked == self._instance_id and self._aggregation is None:
            is_new = now_ms - self._started_ms < LISTEN_MS
            others = [id_ for id_ in self._choice.order if id_ != picked]
            if is_new and others:
                recent = self._choice.list_recent(now_ms) - {picked}
                return min(recent, key=others.index) if recent else others[0]
        return picked

    def _report(self, now_ms: float) -> list[Outgoing]:
        """Report the counters to the aggregator, or become it."""
        self._reported_ms = now_ms
        picked = self._pick_aggregator(now_ms)
        if picked != self._reported_to:
            self._change_aggregator(picked, now_ms)
        report = QuotaReport(
            self._instance_id,
            self._failure_domain,
            self._incarnation,
            self.local.list_counts(not self._is_confirmed, now_ms),
        )
        if self._aggregation is not None:
            self._aggregation.add_report(report, now_ms)
            return []
        return [Outgoing((picked,), report)]

    def _change_aggregator(self, picked: str, now_ms: float) -> None:
        details = {"aggregator": picked, "previous": self._reported_to}
        self._events.append(QuotaEvent("quota_aggregator_changed", details))
        self._reported_to = picked
        self._is_confirmed = False
        if picked != self._instance_id:
            self._aggregation = None
            return
        self._aggregation = Aggregation(
            self._instance_id,
            self._failure_domain,
            self._rng.getrandbits(31),
            self._limits,
            self.local.get_history(now_ms),
            now_ms,
        )

    def _aggregate_early(self, now_ms: float) -> list[Outgoing]:
        """Return sums and figures that do not wait for their turn."""
        aggregation = self._aggregation
        if aggregation is None or not aggregation.is_settled:
            return []
        is_due = now_ms - self._aggregated_ms >= URGENT_GAP_MS
        if not (aggregation.is_urgent and is_due):
            return []
        return self._aggregate(aggregation, now_ms)

    def _aggregate(self, aggregation: Aggregation, now_ms: float) -> list[Outgoing]:
        """Update the buckets, and return sums and figures to be sent."""
        near = self._members[self._failure_domain] - {self._instance_id}
        is_complete = not aggregation.is_settled
        self._aggregated_ms = now_ms
        aggregation.settle(now_ms)
        known = self._count_known(now_ms)
        aggregation.update(self.teams, known, now_ms)
        if aggregation.heard * 2 > known:
            self._forget_silent(aggregation, now_ms)
        figures = aggregation.make_figures(self.teams)
        if aggregation.is_settled:
            self._is_confirmed = True
            self.local.set_figures(figures, now_ms)
        sums = aggregation.make_sums(self._count_near(), is_complete, now_ms)
        outgoing = [Outgoing(tuple(sorted(near)), figures)]
        targets = self._list_far_aggregators(now_ms)
        return [*outgoing, Outgoing(targets, sums)] if targets else outgoing

    def _list_far_aggregators(self, now_ms: float) -> tuple[str, ...]:
        targets: set[str] = set()
        for choice in self._far_choices.values():
            targets.update(choice.pick(now_ms), choice.list_recent(now_ms))
        return tuple(sorted(targets))

    def _forget_silent(self, aggregation: Aggregation, now_ms: float) -> None:
        before_ms = now_ms - FORGET_MS
        for id_ in self._members[self._failure_domain]:
            source = aggregation.instances.get(id_)
            heard_ms = aggregation.started_ms if source is None else source.heard_ms
            if heard_ms < before_ms:
                self._forgotten.add(id_)
            else:
                self._forgotten.discard(id_)
        for domain in self._members:
            if aggregation.get_heard_ms(domain) >= before_ms:
                self._forgotten_domains.discard(domain)
            elif domain != self._failure_domain:
                self._forgotten_domains.add(domain)

    def _count_near(self) -> int:
        """Return how many instances of this failure domain share quotas."""
        return len(self._members[self._failure_domain] - self._forgotten)

    def _count_known(self, now_ms: float) -> int:
        """Return how many instances of all failure domains share quotas."""
        known = 0
        for domain, ids in self._members.items():
            if domain in self._forgotten_domains:
                continue
            far = 0
            if self._aggregation is not None:
                far = self._aggregation.get_known(domain)
            known += far or (
                self._count_near() if domain == self._failure_domain else len(ids)
            )
        if self._has_others and now_ms - self._started_ms < DISCOVERY_MS:
            known = max(known, INSTANCES_ASSUMED)
        return known

    def _note_changes(self, now_ms: float) -> None:
        """Note which teams are limited, and whether figures are missing."""
        figures = self.local.limited_teams
        for team_id in sorted(figures.keys() - self._limited.keys()):
            item = figures[team_id]
            details = {
                "team": team_id,
                "share": round(item.share, 3),
                "balance": round(item.balance, 1),
                "asked_per_s": round(item.asked_per_s, 1),
            }
            self._events.append(QuotaEvent("quota_limited", details))
        self._limited.update(dict.fromkeys(figures, now_ms))
        for team_id, limited_ms in sorted(self._limited.items()):
            if now_ms - limited_ms > UNLIMITED_AFTER_MS:
                del self._limited[team_id]
                self._events.append(QuotaEvent("quota_unlimited", {"team": team_id}))
        is_alone = not self.local.has_recent_figures(now_ms)
        if is_alone and not self._is_alone:
            details = {"known": self._count_known(now_ms), "silent_ms": SILENT_MS}
            self._events.append(QuotaEvent("quota_own_part", details))
        self._is_alone = is_alone
