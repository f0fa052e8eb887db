"""
Who gives a long answer that all instances want at the same moment.

One instance has a new configuration first, and its link and processor are too
small to send it to a hundred others. It sends the answer to a few instances of
each failure domain and refers the rest to these, which do the same. The answer
then crosses each border between failure domains a few times, and the time
until all have it grows with the logarithm of their number.
"""

# Two are enough for all to have it after a few steps, and one may fail.
HOLDERS_PER_DOMAIN = 2
# Shorter answers cost less than a second exchange.
REFER_ABOVE_BYTES = 4_096


class Referrals:
    """State of one answer: who has been sent it, by failure domain."""

    __slots__ = ("_holders", "_referred")

    def __init__(self) -> None:
        """Start with an answer that nobody else has."""
        self._holders: dict[str, list[str]] = {}
        self._referred = 0

    def choose_holder(self, asker_id: str, failure_domain: str) -> str | None:
        """
        Choose which instance gives the answer to another one.

        :param asker_id: the instance that asks.
        :param failure_domain: where it runs.
        :returns: id of the instance to ask, None if this one answers.
        """
        holders = self._holders.setdefault(failure_domain, [])
        if asker_id in holders:
            return None
        if len(holders) < HOLDERS_PER_DOMAIN:
            holders.append(asker_id)
            return None
        self._referred += 1
        return holders[self._referred % len(holders)]

    def note_holder(self, asker_id: str, failure_domain: str) -> None:
        """
        Count an instance that was sent the answer although it was referred.

        :param asker_id: the instance.
        :param failure_domain: where it runs.
        """
        holders = self._holders.setdefault(failure_domain, [])
        if asker_id not in holders:
            holders.append(asker_id)
