"""Tests of rule matching."""

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


def make_router_for(*rules):
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
    """Guards against matches that depend on the order of the rules."""
    assert make_router_for(*rules)(method, path).rule_id == rule_id


def test_no_route_says_what_is_missing():
    """Guards against a wrong method that is reported as a wrong path."""
    match_rule = make_router_for(RULES[1])
    assert match_rule("POST", "/maps") == NoRoute("no-rule-for-method")
    assert match_rule("GET", "/") == NoRoute("no-rule-for-path")


def test_host_separates_rules_with_the_same_prefix():
    """Guards against routing a request to the service of another host."""
    match_rule = make_router_for(
        Rule("here", "desk", "*", "/a/", host="here.example"),
        Rule("there", "depot", "*", "/a/", host="there.example"),
        Rule("deeper", "depot", "*", "/a/b/", host="there.example"),
    )
    assert match_rule("GET", "/a/b/1", "here.example").rule_id == "here"
    assert match_rule("GET", "/a/b/1", "there.example").rule_id == "deeper"
    assert isinstance(match_rule("GET", "/a/b/1", "else.example"), NoRoute)
    assert isinstance(match_rule("GET", "/a/b/1"), NoRoute)


def test_rules_for_any_host_are_the_fallback():
    """Guards against ignoring rules without a host."""
    match_rule = make_router_for(
        RULES[0], Rule("x", "depot", "*", "/x/", host="here.example")
    )
    assert match_rule("GET", "/y", "here.example").rule_id == "any"
    assert match_rule("GET", "/x/", "here.example").rule_id == "x"
