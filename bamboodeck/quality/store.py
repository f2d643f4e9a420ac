"""Store ratings in a hierarchy of cells.

Each parent cell is the sum of its leaves. The leaf of a rating is identified by
version, class, customer and whether the answer replaced a rejected one.
"""

from collections.abc import Iterable

from bamboodeck.quality.cells import (
    MAX_LEAF_COUNT,
    MIN_CELL_COUNT,
    Cell,
    CellKey,
)
from bamboodeck.quality.messages import (
    QualitySnapshot,
    Rating,
    RatingCount,
)

MAX_LEAVES = 20_000
MAX_SOURCES = 512
DECAY_FACTOR = 0.5

EMPTY_CELL = Cell()


class RatingStore:
    """Keep this node's own ratings and the sum over all nodes."""

    def __init__(self) -> None:
        """Start empty."""
        self._own: dict[CellKey, Cell] = {}
        self._all: dict[CellKey, Cell] = {}
        self._merged: dict[str, QualitySnapshot] = {}
        self._sequence = 0

    def cell(self, key: CellKey) -> Cell:
        """Return the ratings of all nodes under a key."""
        return self._all.get(key, EMPTY_CELL)

    def record(self, rating: Rating, score: float) -> None:
        """Add a rating of this node; first halve the counts of a full leaf."""
        leaf = leaf_key(rating)
        own = self._own.get(leaf)
        if own is None:
            own = self._new_leaf(leaf)
        if own.count >= MAX_LEAF_COUNT:
            decayed = own.to_counts(leaf)
            own.add_counts(decayed, -DECAY_FACTOR)
            self._add_counts((decayed,), -DECAY_FACTOR)
        own.add(score)
        for key in _path(leaf):
            cell = self._all.get(key)
            if cell is None:
                cell = Cell()
                self._all[key] = cell
            cell.add(score)

    def snapshot(self, source: str) -> QualitySnapshot:
        """Return this node's aggregated ratings for other nodes."""
        self._sequence += 1
        counts = tuple(cell.to_counts(key) for key, cell in self._own.items())
        return QualitySnapshot(source, self._sequence, counts)

    def merge(self, snapshot: QualitySnapshot) -> bool:
        """Replace another source's ratings; return whether they were newer."""
        known = self._merged.get(snapshot.source)
        if known is not None and known.sequence >= snapshot.sequence:
            return False
        if known is None and len(self._merged) >= MAX_SOURCES:
            known = self._merged.pop(next(iter(self._merged)))
        if known is not None:
            self._add_counts(known.counts, -1)
        self._merged[snapshot.source] = snapshot
        self._add_counts(snapshot.counts, 1)
        return True

    def _new_leaf(self, leaf: CellKey) -> Cell:
        if len(self._own) >= MAX_LEAVES:
            oldest = next(iter(self._own))
            self._add_counts((self._own.pop(oldest).to_counts(oldest),), -1)
        cell = Cell()
        self._own[leaf] = cell
        return cell

    def _add_counts(self, counts: Iterable[RatingCount], factor: float) -> None:
        for rating_count in counts:
            for key in _path(leaf_key(rating_count)):
                cell = self._all.setdefault(key, Cell())
                cell.add_counts(rating_count, factor)
                if cell.count < MIN_CELL_COUNT:
                    self._all.pop(key)


def leaf_key(rating: Rating | RatingCount) -> CellKey:
    """Return the key of the leaf cell of a rating."""
    return CellKey(
        rating.version,
        rating.request_class,
        rating.customer,
        rating.step > 0,
    )


def _path(leaf: CellKey) -> tuple[CellKey, ...]:
    # Requests whose first answer was rejected are harder than usual, so later
    # answers must not lower the estimate of direct ones.
    later_step = leaf.later_step
    return (
        CellKey(leaf.version, later_step=later_step),
        CellKey(leaf.version, leaf.request_class, later_step=later_step),
        leaf,
    )
