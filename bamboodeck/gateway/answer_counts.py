"""Count answers by route and load.

Load pattern: every host counts the answers that it gets, and adds up the counts
of all hosts.
"""

import enum
from collections.abc import Iterable, Mapping

import msgspec

# Ratios of observed to predicted time above which an answer counts as slow. A
# version is slow if it is slow by any of them. They are the same on all hosts,
# whose counts are added, and each host has few answers.
SLOW_RATIOS = (1.5, 2.0, 3.0, 4.0, 6.0)
# The load of an engine with this share of its slots in use is high.
HIGH_LOAD_SHARE = 0.5


@enum.unique
class Load(enum.IntEnum):
    """State the load of the engine that a request was sent to."""

    USUAL = 0
    # Hosts sent requests there at the same time, unknown to each other.
    BURST = 1
    HIGH = 2


_LOADS = frozenset(map(int, Load))


class Cell(msgspec.Struct, frozen=True):
    """Name the answers of one route at one level of load."""

    route: str
    load: Load


def read_load(number: int) -> Load:
    """Return a load by its number; unknown ones count as usual."""
    return Load(number) if number in _LOADS else Load.USUAL


class AnswerCounts(msgspec.Struct, frozen=True):
    """Count answers, and the failed and slow ones of them."""

    answers: int = 0
    failed: int = 0
    # By ratio of `SLOW_RATIOS`.
    slow: tuple[int, ...] = (0,) * len(SLOW_RATIOS)

    def add(self, *, failed: bool, time_ratio: float) -> 'AnswerCounts':
        """Return the counts with one more answer."""
        return AnswerCounts(
            self.answers + 1,
            self.failed + failed,
            tuple(
                count + (time_ratio > ratio)
                for count, ratio in zip(self.slow, SLOW_RATIOS, strict=True)
            ),
        )


CellCounts = Mapping[Cell, AnswerCounts]


def sum_counts(counts: Iterable[AnswerCounts]) -> AnswerCounts:
    """Add up counts."""
    summed = (AnswerCounts(), *counts)
    by_ratio = zip(*(each.slow for each in summed), strict=True)
    return AnswerCounts(
        sum(each.answers for each in summed),
        sum(each.failed for each in summed),
        tuple(map(sum, by_ratio)),
    )


def subtract_counts(
    after: AnswerCounts,
    before: AnswerCounts,
) -> AnswerCounts:
    """Return the counts that were added, never below zero."""
    return AnswerCounts(
        max(after.answers - before.answers, 0),
        max(after.failed - before.failed, 0),
        tuple(
            max(new - old, 0)
            for new, old in zip(after.slow, before.slow, strict=True)
        ),
    )


def add_cells(counts: Iterable[CellCounts]) -> dict[Cell, AnswerCounts]:
    """Add up counts by cell."""
    by_cell: dict[Cell, list[AnswerCounts]] = {}
    for each in counts:
        for cell, cell_counts in each.items():
            by_cell.setdefault(cell, []).append(cell_counts)
    return {name: sum_counts(listed) for name, listed in by_cell.items()}
