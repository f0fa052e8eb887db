"""
Which instance of a failure domain is its aggregator.

Handles the loss of any number of instances at once: as long as none answers,
the number of candidates tried doubles, so that 35 are tried in two seconds.
"""

from collections.abc import Iterable

from cuminhatch.decisions.rendezvous import rank

# Two lost datagrams in a row are not taken for the loss of the aggregator.
SILENCE_MS = 600.0
# Further candidates get time for one datagram.
NEXT_SILENCE_MS = 300.0


class AggregatorChoice:
    """The candidates of one failure domain, in rendezvous order."""

    def __init__(self, failure_domain: str, own_id: str = "") -> None:
        """
        Start without candidates.

        :param failure_domain: the failure domain.
        :param own_id: id of this instance if it belongs to that domain; it is
            never taken for silent.
        """
        self._failure_domain = failure_domain
        self._own_id = own_id
        self._ranks: dict[str, bytes] = {}
        self._order: list[str] = []
        self._silent: set[str] = set()
        self._heard_ms: dict[str, float] = {}
        self._width = 1
        self._tried_since_ms = float("-inf")

    @property
    def order(self) -> tuple[str, ...]:
        """Return the ids of all candidates, the first choice first."""
        return tuple(self._order)

    def add(self, ids: Iterable[str]) -> None:
        """
        Add candidates.

        :param ids: ids of instances of the failure domain.
        """
        for id_ in ids:
            if id_ not in self._ranks:
                self._ranks[id_] = rank("quota", self._failure_domain, id_)
        if len(self._ranks) > len(self._order):
            self._order = sorted(self._ranks, key=self._ranks.__getitem__)

    def hear(self, id_: str, now_ms: float) -> None:
        """
        Note a message that only an aggregator sends.

        :param id_: its sender.
        :param now_ms: current time.
        """
        self.add((id_,))
        self._heard_ms[id_] = now_ms
        if id_ in self._silent:
            self._silent.discard(id_)
            self._tried_since_ms = now_ms
        self._width = 1

    def restart_waiting(self, now_ms: float) -> None:
        """
        Forget the silence so far, after a pause of this instance itself.

        :param now_ms: current time.
        """
        self._tried_since_ms = now_ms

    def list_recent(self, now_ms: float) -> set[str]:
        """
        Return the instances heard as aggregators lately.

        :param now_ms: current time.
        """
        return {
            id_ for id_, at_ms in self._heard_ms.items() if now_ms - at_ms <= SILENCE_MS
        }

    def pick(self, now_ms: float) -> tuple[str, ...]:
        """
        Return the aggregator, or the candidates to be tried at once.

        The first of them is the aggregator as far as this instance knows.

        :param now_ms: current time.
        """
        if self._tried_since_ms == float("-inf"):
            self._tried_since_ms = now_ms
        tried = self._list_tried()
        wait_ms = SILENCE_MS if self._width == 1 else NEXT_SILENCE_MS
        heard_ms = max((self._heard_ms.get(id_, 0.0) for id_ in tried), default=0.0)
        if now_ms - max(heard_ms, self._tried_since_ms) <= wait_ms:
            return tried
        if self._own_id in tried[:1]:
            return tried
        self._silent.update(tried)
        self._silent.discard(self._own_id)
        self._width *= 2
        self._tried_since_ms = now_ms
        if len(self._silent) == len(self._order):
            # All are tried again, as they may have been out of reach.
            self._silent.clear()
            self._width = 1
        return self._list_tried()

    def _list_tried(self) -> tuple[str, ...]:
        usable = [id_ for id_ in self._order if id_ not in self._silent]
        if self._own_id and usable[:1] == [self._own_id]:
            return (self._own_id,)
        return tuple(usable[: self._width])
