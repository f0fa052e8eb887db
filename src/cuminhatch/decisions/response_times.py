"""
Distribution of response times relative to their prediction.

Load: three in 100 requests take seven times as long, and machines are four
times slower for 300 ms at a time, so a mean says little about late responses.
An instance sees one or two requests of a rule per second. The histogram
starts from a neutral distribution and forgets old responses slowly.
"""

from itertools import accumulate
from math import erf, log, log2, sqrt

# Bins are equal on a logarithmic scale, four per doubling, which is finer than
# the prediction is accurate. The first and the last one have no outer bound.
RATIO_MIN = 0.25
RATIO_MAX = 16.0
BINS_PER_DOUBLING = 4
BIN_COUNT = int(log2(RATIO_MAX / RATIO_MIN)) * BINS_PER_DOUBLING + 2
# Effective number of responses: a hundred seconds of a rule at one instance.
# With fewer the tail, a few responses in a hundred, would be noise.
SAMPLES_KEPT = 200.0
# Effective number of responses that the neutral distribution counts for.
NEUTRAL_SAMPLES = 20.0
# Neutral distribution: log-normal around the prediction, 8% above twice it.
NEUTRAL_SIGMA = 0.5


class ResponseTimes:
    """
    Histogram of (response time / predicted time), with exponential decay.

    A response that was not waited for counts as well: its time is known to be
    longer than the wait. Otherwise requests that were hedged would not count
    as slow, and the tail would seem to vanish the more is hedged.
    """

    __slots__ = ("_longer", "_weights")

    def __init__(self) -> None:
        """Start with the neutral distribution."""
        bounds = [0.0]
        for index in range(BIN_COUNT - 1):
            ratio = RATIO_MIN * 2.0 ** (index / BINS_PER_DOUBLING)
            below = (1.0 + erf(log(ratio) / NEUTRAL_SIGMA / sqrt(2.0))) / 2.0
            bounds.append(below)
        bounds.append(1.0)
        self._weights = [
            NEUTRAL_SAMPLES * (bounds[i + 1] - bounds[i]) for i in range(BIN_COUNT)
        ]
        # Share of responses above the lower bound of each bin.
        self._longer: list[float] = []
        self._update()

    def record(self, ratio: float) -> None:
        """
        Add the time of a response.

        :param ratio: response time divided by the predicted time.
        """
        self._decay()
        self._weights[int(_position(ratio))] += 1.0
        self._update()

    def record_longer(self, ratio: float) -> None:
        """
        Add a response that was not waited for.

        It counts in parts for all longer times, as likely as they are.

        :param ratio: time waited divided by the predicted time.
        """
        index = int(_position(ratio))
        self._decay()
        total = sum(self._weights[index:])
        if total > 0.0:
            factor = 1.0 + 1.0 / total
            for i in range(index, BIN_COUNT):
                self._weights[i] *= factor
        else:
            self._weights[index] += 1.0
        self._update()

    def longer_share(self, ratio: float) -> float:
        """
        Return the share of responses that take longer.

        :param ratio: time divided by the predicted time.
        """
        if ratio <= 0.0:
            return 1.0
        position = _position(ratio)
        index = int(position)
        above = self._longer[index + 1]
        return above + (self._longer[index] - above) * (1.0 - position + index)

    def _decay(self) -> None:
        keep = 1.0 - 1.0 / SAMPLES_KEPT
        self._weights = [weight * keep for weight in self._weights]

    def _update(self) -> None:
        total = sum(self._weights)
        sums = accumulate(reversed(self._weights), initial=0.0)
        self._longer = [weight / total for weight in sums][::-1]


def _position(ratio: float) -> float:
    """Return the index of the bin of a ratio and the place in it."""
    if ratio < RATIO_MIN:
        return max(0.0, ratio / RATIO_MIN)
    position = 1.0 + log2(ratio / RATIO_MIN) * BINS_PER_DOUBLING
    return min(position, BIN_COUNT - 0.5)
