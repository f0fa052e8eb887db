"""
Which requests of a service are more urgent than others.

Load: requests of several kinds and teams share the backend servers of a
service that is short of capacity. The rank of a request is the place of its
urgency among those that can occur at the service; rank 0 is the most urgent.
"""

from collections.abc import Iterator
from typing import NamedTuple

from cuminhatch.decisions.configuration import Configuration, Rule, Team


class Urgency(NamedTuple):
    """
    Urgency of a request; the most urgent one sorts first.

    Long uploads hold a slot for longer than other requests, so they come
    after these where priorities are equal.
    """

    priority: int
    is_upload: bool


def find_urgency(rule: Rule, team: Team | None) -> Urgency:
    """
    Return the urgency of a request.

    :param rule: rule of the request.
    :param team: team of the caller, None if it is unknown.
    """
    if team is None or team.priority is None:
        return Urgency(rule.priority, rule.is_upload)
    return Urgency(team.priority, rule.is_upload)


def list_urgencies(configuration: Configuration) -> dict[str, tuple[Urgency, ...]]:
    """
    Return the urgencies that can occur at each service, most urgent first.

    :param configuration: configuration in force.
    :returns: urgencies by service id; a service without rules is missing.
    """
    # Teams are many, their priorities few.
    priorities = {
        team.priority for team in (configuration.teams or {}).values() if not team.fault
    }
    found: dict[str, set[Urgency]] = {}
    for rule in configuration.rules.values():
        if rule.fault:
            continue
        urgencies = set(_list_rule_urgencies(rule, priorities))
        for service_id in _list_service_ids(rule):
            found.setdefault(service_id, set()).update(urgencies)
    return {service_id: tuple(sorted(values)) for service_id, values in found.items()}


def _list_rule_urgencies(
    rule: Rule, team_priorities: set[int | None]
) -> Iterator[Urgency]:
    """Yield the urgencies of a rule's requests, possibly more than once."""
    if rule.is_anonymous or not team_priorities:
        yield Urgency(rule.priority, rule.is_upload)
        return
    for priority in team_priorities:
        yield Urgency(rule.priority if priority is None else priority, rule.is_upload)


def _list_service_ids(rule: Rule) -> tuple[str, ...]:
    if not rule.parts:
        return (rule.service_id,)
    return tuple(part.service_id for part in rule.parts if part.weight > 0.0)
