"""Which service takes a request of a rule with several parts."""

from collections.abc import Callable
from random import Random

from cuminhatch.decisions.configuration import Rule

PickService = Callable[[Rule], str]


def weighted_rotation(rng: Random) -> PickService:
    """
    Divide the requests of each rule by the weights of its parts.

    Each part gains its weight per request and pays the sum of all weights
    when it is chosen, so that the shares hold over any few requests and not
    only on average. The start is drawn at random: many instances with few
    requests each would otherwise all favour the same part.

    :param rng: source of randomness.
    :returns: a function of a rule that names the service of its next request.
    """
    credits: dict[tuple, list[float]] = {}

    def pick_service(rule: Rule) -> str:
        parts = rule.parts
        if not parts:
            return rule.service_id
        total = sum(part.weight for part in parts)
        key = (rule.rule_id, parts)
        owned = credits.get(key)
        if owned is None:
            owned = credits[key] = _random_start(total, len(parts), rng)
        for index, part in enumerate(parts):
            owned[index] += part.weight
        chosen = max(range(len(parts)), key=owned.__getitem__)
        owned[chosen] -= total
        return parts[chosen].service_id

    return pick_service


def _random_start(total: float, count: int, rng: Random) -> list[float]:
    """Return credits that sum to zero."""
    drawn = [rng.random() * total for _ in range(count)]
    mean = sum(drawn) / count
    return [credit - mean for credit in drawn]
