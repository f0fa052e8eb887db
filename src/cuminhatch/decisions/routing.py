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
    ordered = sorted(
        configuration.rules.values(),
        key=lambda rule: (-len(rule.path_prefix), rule.method == ANY_METHOD),
    )

    def match_rule(method: str, path: str) -> Rule | NoRoute:
        is_path_known = False
        for rule in ordered:
            if not path.startswith(rule.path_prefix):
                continue
            if rule.method in (method, ANY_METHOD):
                return rule
            is_path_known = True
        return NoRoute("no-rule-for-method" if is_path_known else "no-rule-for-path")

    return match_rule
