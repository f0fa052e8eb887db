"""Which rule a request falls under."""

from collections.abc import Callable
from typing import NamedTuple

from cuminhatch.decisions.configuration import Configuration, Rule

ANY_METHOD = "*"


class NoRoute(NamedTuple):
    """Sentinel: no rule matches; ``reason`` says why."""

    reason: str


def make_router(configuration: Configuration) -> Callable[[str, str], Rule | NoRoute]:
    """
    Build a function that finds the rule of a request.

    :param configuration: configuration in force.
    :returns: a function of method and path; the longest matching prefix
        wins, then a rule that names the method.
    """
    by_prefix: dict[str, dict[str, Rule]] = {}
    for rule in configuration.rules.values():
        by_prefix.setdefault(rule.path_prefix, {}).setdefault(rule.method, rule)
    # A look-up costs one dictionary access per distinct prefix length, not
    # one comparison per rule: 520 services have thousands of rules.
    lengths = sorted({len(prefix) for prefix in by_prefix}, reverse=True)

    def match_rule(method: str, path: str) -> Rule | NoRoute:
        is_path_known = False
        for length in lengths:
            if length > len(path):
                continue
            by_method = by_prefix.get(path[:length])
            if by_method is None:
                continue
            rule = by_method.get(method) or by_method.get(ANY_METHOD)
            if rule is not None:
                return rule
            is_path_known = True
        return NoRoute("no-rule-for-method" if is_path_known else "no-rule-for-path")

    return match_rule
