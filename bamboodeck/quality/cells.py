"""Aggregate ratings into cells of fixed size."""

from typing import NamedTuple

from bamboodeck.quality.messages import RatingCount

BIN_COUNT = 20
MAX_LEAF_COUNT = 400
MIN_CELL_COUNT = 0.01

_ROUNDING = 1e-9


class CellKey(NamedTuple):
    """Identify a cell; an empty class or customer stands for all."""

    version: str
    request_class: str = ''
    customer: str = ''
    later_step: bool = False


class Cell:
    """Hold a histogram of scores and their first two moments."""

    __slots__ = ('bins', 'count', 'score_sum', 'square_sum')

    def __init__(self) -> None:
        """Start without ratings."""
        self.bins = [0.0 for _ in range(BIN_COUNT)]
        self.count = 0.0
        self.score_sum = 0.0
        self.square_sum = 0.0

    def add(self, score: float) -> None:
        """Add one score."""
        self.bins[bin_of(score)] += 1
        self.count += 1
        self.score_sum += score
        self.square_sum += score * score

    def add_counts(self, rating_count: RatingCount, factor: float) -> None:
        """Add aggregated ratings times a factor; a negative one subtracts."""
        for index, weight in enumerate(rating_count.bins):
            self.bins[index] += weight * factor
        self.count += sum(rating_count.bins) * factor
        self.score_sum += rating_count.score_sum * factor
        self.square_sum += rating_count.square_sum * factor

    def to_counts(self, key: CellKey) -> RatingCount:
        """Return the aggregated ratings as a message."""
        return RatingCount(
            key.version,
            key.request_class,
            key.customer,
            int(key.later_step),
            tuple(self.bins),
            self.score_sum,
            self.square_sum,
        )


def bin_of(score: float) -> int:
    """Return the index of the bin that holds a score."""
    return min(max(int(score * BIN_COUNT + _ROUNDING), 0), BIN_COUNT - 1)
