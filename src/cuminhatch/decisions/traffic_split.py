"""Traffic splitting: which of its services a rule sends a request to."""

from collections.abc import Callable
from random import Random

from cuminhatch.decisions.configuration import Rule

PickService = Callable[[Rule], str]


def weighted_round_robin(rng: Random) -> PickService:
    """
    Divide the requests of each rule by the weights of its parts.

    This is smooth weighted round robin: with each request every part gains
    its weight as credit, and the part with the most credit is chosen and pays
    the sum of all weights. The shares therefore hold over few requests, not
    only on average. The initial credits are random; otherwise many instances
    with few requests each would all favour the same part.

    :param rng: source of randomness.
    :returns: a function of a rule that returns the id of the service for the
        rule's next request.
    """
    credits_by_rule: dict[tuple, list[float]] = {}

    def pick_service(rule: Rule) -> str:
        parts = rule.parts
        if not parts:
            return rule.service_id
        total = sum(part.weight for part in parts)
        key = (rule.rule_id, parts)
        part_credits = credits_by_rule.get(key)
        if part_credits is None:
            part_credits = credits_by_rule[key] = _random_credits(
                total, len(parts), rng
            )
        for index, part in enumerate(parts):
            part_credits[index] += part.weight
        chosen = max(range(len(parts)), key=part_credits.__getitem__)
        part_credits[chosen] -= total
        return parts[chosen].service_id

    return pick_service


def _random_credits(total: float, count: int, rng: Random) -> list[float]:
    """Return random initial credits that sum to zero."""
    drawn = [rng.random() * total for _ in range(count)]
    mean = sum(drawn) / count
    return [credit - mean for credit in drawn]
