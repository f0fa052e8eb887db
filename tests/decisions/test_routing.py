"""Tests of the choice of a rule."""

from types import MappingProxyType

import pytest

from cuminhatch.decisions.configuration import EMPTY_CONFIGURATION, Rule
from cuminhatch.decisions.routing import NoRoute, make_router

RULES = (
    Rule("any", "desk", "*", "/"),
    Rule("maps", "depot", "GET", "/maps"),
    Rule("maps-any", "depot", "*", "/maps"),
    Rule("parish", "depot", "GET", "/maps/parish"),
)


def make(*rules):
    by_id = MappingProxyType({rule.rule_id: rule for rule in rules})
    return make_router(EMPTY_CONFIGURATION._replace(rules=by_id))


@pytest.mark.parametrize(
    ("method", "path", "rule_id"),
    [
        ("GET", "/maps/parish/3", "parish"),
        ("POST", "/maps/parish/3", "maps-any"),
        ("GET", "/maps", "maps"),
        ("GET", "/map", "any"),
    ],
)
@pytest.mark.parametrize("rules", [RULES, RULES[::-1]])
def test_longest_prefix_wins_then_named_method(method, path, rule_id, rules):
    """Guards against routes that depend on the order of the notes."""
    assert make(*rules)(method, path).rule_id == rule_id


def test_no_route_says_what_is_missing():
    """Guards against a wrong method that is reported as a wrong path."""
    match_rule = make(RULES[1])
    assert match_rule("POST", "/maps") == NoRoute("no-rule-for-method")
    assert match_rule("GET", "/") == NoRoute("no-rule-for-path")


def test_host_separates_rules_with_the_same_prefix():
    """Guards against a request that runs at another host's service."""
    match_rule = make(
        Rule("here", "desk", "*", "/a/", host="here.example"),
        Rule("there", "depot", "*", "/a/", host="there.example"),
        Rule("deeper", "depot", "*", "/a/b/", host="there.example"),
    )
    assert match_rule("GET", "/a/b/1", "here.example").rule_id == "here"
    assert match_rule("GET", "/a/b/1", "there.example").rule_id == "deeper"
    assert isinstance(match_rule("GET", "/a/b/1", "else.example"), NoRoute)
    assert isinstance(match_rule("GET", "/a/b/1"), NoRoute)


def test_rules_of_any_host_serve_hosts_without_a_match():
    """Guards against notes without hosts that stop to apply."""
    match_rule = make(RULES[0], Rule("x", "depot", "*", "/x/", host="here.example"))
    assert match_rule("GET", "/y", "here.example").rule_id == "any"
    assert match_rule("GET", "/x/", "here.example").rule_id == "x"
