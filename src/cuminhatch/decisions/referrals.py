"""
Tree distribution of a large response that all instances request at once.

The first instance that has a new configuration lacks the bandwidth and CPU
to send it to a hundred others. It sends the response to a few instances of
each failure domain and refers the rest to these, which do the same. The
response then crosses the boundary between failure domains only a few times,
and the time until all have it grows logarithmically with their number.
"""

# Instances of each failure domain that the response is sent to directly. With
# two of them it reaches all instances within a few hops, even if one fails.
HOLDERS_PER_DOMAIN = 2
# Sending a smaller response costs less than another round trip.
REFER_ABOVE_BYTES = 4_096


class Referrals:
    """The instances that were sent one response, by failure domain."""

    __slots__ = ("_holders", "_referral_count")

    def __init__(self) -> None:
        """Start with a response that was sent to no other instance."""
        self._holders: dict[str, list[str]] = {}
        self._referral_count = 0

    def choose_holder(self, requester_id: str, failure_domain: str) -> str | None:
        """
        Choose the instance that sends the response to a requester.

        :param requester_id: id of the instance that requests it.
        :param failure_domain: failure domain of that instance.
        :returns: id of the instance to refer the requester to, None if this
            instance sends the response itself.
        """
        holders = self._holders.setdefault(failure_domain, [])
        if requester_id in holders:
            return None
        if len(holders) < HOLDERS_PER_DOMAIN:
            holders.append(requester_id)
            return None
        self._referral_count += 1
        return holders[self._referral_count % len(holders)]

    def add_holder(self, requester_id: str, failure_domain: str) -> None:
        """
        Record an instance that was sent the response after a failed referral.

        :param requester_id: id of the instance that requested it.
        :param failure_domain: failure domain of that instance.
        """
        holders = self._holders.setdefault(failure_domain, [])
        if requester_id not in holders:
            holders.append(requester_id)
