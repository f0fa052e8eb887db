"""How long work of each rule usually takes, and how long its answers are."""

from typing import NamedTuple

# Part of the target latency that work takes until something is measured.
TARGET_SHARE = 0.35
# The few requests with much work must not set the usual time: longer samples
# count as this many times the usual.
LONGEST_FACTOR = 2.0
SHORTEST_FACTOR = 0.5
# Taken for the length of an answer until one is known, so that the first long
# ones do not cross the border of a failure domain.
UNKNOWN_ANSWER_BYTES = 16 * 1024.0
TIME_WEIGHT = 1 / 16
BYTES_WEIGHT = 1 / 8


class WorkTime(NamedTuple):
    """Usual time of the work and usual length of the answer of a rule."""

    usual_ms: float
    answer_bytes: float


class WorkTimes:
    """State of the averages, by rule and service."""

    __slots__ = ("_known",)

    def __init__(self) -> None:
        """Start without samples."""
        self._known: dict[tuple[str, str], WorkTime] = {}

    def expect(self, rule_id: str, service_id: str, target_ms: float) -> WorkTime:
        """
        Return what is expected of a request.

        :param rule_id: its rule.
        :param service_id: service that takes it.
        :param target_ms: target latency of the rule.
        """
        known = self._known.get((rule_id, service_id))
        return known or WorkTime(target_ms * TARGET_SHARE, UNKNOWN_ANSWER_BYTES)

    def note(
        self,
        rule_id: str,
        service_id: str,
        target_ms: float,
        took_ms: float,
        answer_bytes: int,
    ) -> None:
        """
        Take an answer into account.

        :param rule_id: rule of the request.
        :param service_id: service that answered.
        :param target_ms: target latency of the rule.
        :param took_ms: time from sending to the end of the answer, at the
            usual speed of a server.
        :param answer_bytes: length of its body.
        """
        usual = self.expect(rule_id, service_id, target_ms)
        lowest_ms = usual.usual_ms * SHORTEST_FACTOR
        sample_ms = min(max(took_ms, lowest_ms), usual.usual_ms * LONGEST_FACTOR)
        weight = BYTES_WEIGHT if (rule_id, service_id) in self._known else 1.0
        self._known[(rule_id, service_id)] = WorkTime(
            usual.usual_ms + (sample_ms - usual.usual_ms) * TIME_WEIGHT,
            usual.answer_bytes + (answer_bytes - usual.answer_bytes) * weight,
        )
