"""Which rule applies to a request."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from cuminhatch.decisions.configuration import Configuration, Rule

ANY_METHOD = "*"


class NoRoute(NamedTuple):
    """No rule matches the request; ``reason`` says why."""

    reason: str


class _PrefixTable(NamedTuple):
    """
    Rules of one host by path prefix and method.

    ``lengths`` are the distinct prefix lengths, the longest first.
    """

    by_prefix: dict[str, dict[str, Rule]]
    lengths: list[int]


Router = Callable[..., Rule | NoRoute]


def make_router(configuration: Configuration) -> Router:
    """
    Build a function that finds the rule for a request.

    :param configuration: configuration in force.
    :returns: a function of method, path and host (empty if there is none).
        Rules for the host take precedence over rules for any host. Among the
        rules that match the method, the longest matching prefix wins; at the
        same prefix, a rule that names the method.
    """
    grouped: dict[str, list[Rule]] = {}
    for rule in configuration.rules.values():
        grouped.setdefault(rule.host, []).append(rule)
    tables = {host: _index_rules(rules) for host, rules in grouped.items()}
    any_host = tables.get("", _index_rules([]))

    def match_rule(method: str, path: str, host: str = "") -> Rule | NoRoute:
        table = tables.get(host)
        if table is not None and host:
            found = _find_rule(table, method, path)
            if isinstance(found, Rule):
                return found
        return _find_rule(any_host, method, path)

    return match_rule


def _index_rules(rules: Iterable[Rule]) -> _PrefixTable:
    by_prefix: dict[str, dict[str, Rule]] = {}
    for rule in rules:
        by_prefix.setdefault(rule.path_prefix, {}).setdefault(rule.method, rule)
    # A lookup costs one dictionary access per distinct prefix length instead
    # of one comparison per rule: 520 services may have thousands of rules.
    lengths = sorted({len(prefix) for prefix in by_prefix}, reverse=True)
    return _PrefixTable(by_prefix, lengths)


def _find_rule(table: _PrefixTable, method: str, path: str) -> Rule | NoRoute:
    is_path_known = False
    for length in table.lengths:
        if length > len(path):
            continue
        by_method = table.by_prefix.get(path[:length])
        if by_method is None:
            continue
        rule = by_method.get(method) or by_method.get(ANY_METHOD)
        if rule is not None:
            return rule
        is_path_known = True
    return NoRoute("no-rule-for-method" if is_path_known else "no-rule-for-path")
