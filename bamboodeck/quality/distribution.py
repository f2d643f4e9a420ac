"""Tabulate the distribution of a version's scores."""

from collections.abc import Sequence

from bamboodeck.quality.cells import BIN_COUNT

_MIDDLES = tuple((index + 0.5) / BIN_COUNT for index in range(BIN_COUNT))


class ScoreDistribution:
    """Query a distribution of scores in constant time."""

    __slots__ = ('_share_below', '_sum_below', 'mean')

    def __init__(self, shares: Sequence[float]) -> None:
        """Accumulate the shares of the score bins, lowest bin first."""
        share_below = 0.0
        sum_below = 0.0
        self._share_below = [share_below]
        self._sum_below = [sum_below]
        for share, middle in zip(shares, _MIDDLES, strict=True):
            share_below += share
            sum_below += share * middle
            self._share_below.append(share_below)
            self._sum_below.append(sum_below)
        self.mean = sum_below

    def share_below(self, threshold: float) -> float:
        """Return the share of scores below a threshold."""
        return self._share_below[_edge(threshold)]

    def sum_from(self, threshold: float) -> float:
        """Return the contribution of scores from a threshold to the mean."""
        return self.mean - self._sum_below[_edge(threshold)]

    def mean_with_fallback(self, threshold: float, fallback: float) -> float:
        """Return the mean if scores below a threshold are replaced.

        `fallback` is the mean score of the replacements.
        """
        edge = _edge(threshold)
        kept_sum = self.mean - self._sum_below[edge]
        return kept_sum + fallback * self._share_below[edge]


def _edge(threshold: float) -> int:
    return min(max(round(threshold * BIN_COUNT), 0), BIN_COUNT)
