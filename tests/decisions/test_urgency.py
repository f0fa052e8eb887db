"""Tests of the ranks of requests that share a service."""

from types import MappingProxyType

from cuminhatch.decisions.configuration import (
    EMPTY_CONFIGURATION,
    Rule,
    Team,
    TrafficPart,
)
from cuminhatch.decisions.urgency import Urgency, find_urgency, list_urgencies

LOOKUP = Rule("lookup", "search", "*", "/a", priority=1)
UPLOAD = Rule("upload", "intake", "*", "/b", priority=1, is_upload=True)
SPLIT = UPLOAD._replace(
    rule_id="split", parts=(TrafficPart("intake", 3.0), TrafficPart("search", 1.0))
)
TEAM = Team("a")


def list_ranks(*rules, teams=(TEAM,)):
    by_id = MappingProxyType({rule.rule_id: rule for rule in rules})
    configuration = EMPTY_CONFIGURATION._replace(
        rules=by_id, teams={team.team_id: team for team in teams}
    )
    return list_urgencies(configuration)


def test_upload_is_less_urgent_than_others_of_its_priority():
    """
    Guards against long uploads in front of short requests.

    Load: part of the uploads goes to a service of short requests.
    """
    ranks = list_ranks(LOOKUP, SPLIT)
    assert ranks["search"] == (Urgency(1, False), Urgency(1, True))
    assert ranks["intake"] == (Urgency(1, True),)
    urgent = SPLIT._replace(priority=0)
    assert list_ranks(LOOKUP, urgent)["search"][0] == find_urgency(urgent, TEAM)


def test_priority_of_a_team_takes_precedence():
    """Guards against a team that is served by the priority of the route."""
    urgent = Team("b", priority=0)
    ranks = list_ranks(LOOKUP, teams=(TEAM, urgent))
    assert ranks["search"] == (Urgency(0, False), Urgency(1, False))
    assert find_urgency(LOOKUP, urgent) == Urgency(0, False)
    assert find_urgency(LOOKUP, None) == Urgency(1, False)


def test_entries_that_are_refused_or_have_no_team_add_no_rank():
    """Guards against a reserve for requests that can't occur."""
    faulty = LOOKUP._replace(rule_id="faulty", priority=0, fault="kind")
    anonymous = LOOKUP._replace(is_anonymous=True)
    teams = (TEAM, Team("b", priority=0, fault="rate"), Team("c", priority=0))
    assert list_ranks(LOOKUP, faulty, teams=teams[:2])["search"] == (Urgency(1, False),)
    assert list_ranks(anonymous, teams=teams)["search"] == (Urgency(1, False),)
