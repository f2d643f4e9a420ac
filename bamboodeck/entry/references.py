"""Track the usual scores, errors and latencies of versions on a node."""

from collections import deque
from dataclasses import dataclass, field

from bamboodeck.rollout.evidence import Reference

# Caps the weight of history, so that references follow slow drift but not
# sudden changes.
MAX_COUNT = 1000.0
PRIOR_COUNT = 20.0
PRIOR_ERROR_RATE = 0.005
PRIOR_SLOW_RATE = 0.05
CONFIDENCE_ERRORS = 2.0
# Answers are compared with older ones only; otherwise the first bad answers
# would lower the reference and hide later ones.
SCORE_DELAY_COUNT = 30


@dataclass(slots=True)
class _Scores:
    count: float = 0.0
    total: float = 0.0
    squares: float = 0.0
    shortfall: float = 0.0
    recent: deque[float] = field(default_factory=deque)

    @property
    def mean(self) -> float:
        return self.total / self.count

    def add(self, score: float) -> None:
        """Queue a score and fold in the one that leaves the queue."""
        self.recent.append(score)
        if len(self.recent) > SCORE_DELAY_COUNT:
            self._fold(self.recent.popleft())

    def lower_mean(self) -> float:
        """Return the lower confidence bound of the mean."""
        mean = self.mean
        variance = max(self.squares / self.count - mean * mean, 0)
        return mean - CONFIDENCE_ERRORS * (variance / self.count) ** 0.5

    def _fold(self, score: float) -> None:
        if self.count >= MAX_COUNT:
            kept = (MAX_COUNT - 1) / MAX_COUNT
            self.count *= kept
            self.total *= kept
            self.squares *= kept
            self.shortfall *= kept
        self.count += 1
        self.total += score
        self.squares += score * score
        mean = max(self.mean, 1 / MAX_COUNT)
        self.shortfall += max((mean - score) / mean, 0)


@dataclass(slots=True)
class _Runs:
    count: float = 0.0
    failed: float = 0.0
    slow: float = 0.0

    def add(self, *, failed: bool, slow: bool) -> None:
        """Count an attempt, with older ones discounted at the cap."""
        if self.count >= MAX_COUNT:
            kept = (MAX_COUNT - 1) / MAX_COUNT
            self.count *= kept
            self.failed *= kept
            self.slow *= kept
        self.count += 1
        self.failed += failed
        self.slow += slow


class AnswerStatistics:
    """Keep score statistics by version, customer and class; runs by version."""

    def __init__(self) -> None:
        """Start without statistics."""
        self._scores: dict[tuple[str, str, str], _Scores] = {}
        self._runs: dict[str, _Runs] = {}

    def count_run(self, version: str, *, failed: bool, slow: bool) -> None:
        """Count an attempt of a version."""
        runs = self._runs.setdefault(version, _Runs())
        runs.add(failed=failed, slow=slow)

    def add_score(self, cell: tuple[str, str, str], score: float) -> None:
        """Add a score of a (version, customer, class) cell."""
        self._scores.setdefault(cell, _Scores()).add(score)

    def forget(self, version: str) -> None:
        """Delete the statistics of a withdrawn version."""
        self._runs.pop(version, None)
        for cell in tuple(self._scores):
            if cell[0] == version:
                self._scores.pop(cell)

    def reference(
        self,
        cell: tuple[str, str, str],
        expected_rating: float,
    ) -> Reference:
        """Return the reference for another version's answers."""
        scores = self._scores.get(cell, _Scores())
        shortfall = scores.shortfall / (scores.count + PRIOR_COUNT)
        return self._build(cell[0], expected_rating, shortfall)

    def own_reference(
        self,
        cell: tuple[str, str, str],
        min_count: int,
    ) -> Reference | None:
        """Return the reference for a version's own answers.

        None if there are fewer than `min_count` scores.
        """
        scores = self._scores.get(cell)
        if scores is None or scores.count < min_count:
            return None
        return self._build(cell[0], scores.lower_mean(), 0)

    def _build(
        self,
        version: str,
        rating: float,
        shortfall: float,
    ) -> Reference:
        runs = self._runs.get(version, _Runs())
        count = runs.count + PRIOR_COUNT
        return Reference(
            rating,
            (runs.failed + PRIOR_ERROR_RATE * PRIOR_COUNT) / count,
            (runs.slow + PRIOR_SLOW_RATE * PRIOR_COUNT) / count,
            shortfall,
        )
