"""Collect the metrics of a gateway."""

import math
from collections import Counter as TextCounter
from collections import deque

from bamboodeck.series import BoundedLabels

LATENCY_BUCKETS_S = (
    0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 4.0, 8.0, 25.0, math.inf,
)  # fmt: skip
# Observations kept until the registry is built: some seconds' worth of answers.
MAX_PENDING = 5_000
# Bounds the labels; less urgent ranks count as this one.
LAST_RANK = 9


class GatewayMetrics:
    """Keep plain counts; the registry is built from them on first use.

    Importing the metrics library takes a tenth of the start time, so it is
    delayed until after a restarted host serves callers.
    """

    def __init__(self) -> None:
        """Start without a registry."""
        self.answers: TextCounter[tuple[str, str]] = TextCounter()
        self.events: TextCounter[str] = TextCounter()
        # By reason, rank and size class.
        self.rejections: TextCounter[tuple[str, int, str]] = TextCounter()
        self.states: dict[str, float] = {}
        self._labels = BoundedLabels()
        self._pending: deque[tuple[float, float]] = deque(maxlen=MAX_PENDING)
        self._exposition = None

    def count_answer(self, route: str, outcome: str) -> None:
        """Count an answer to a caller."""
        self.answers[self._labels.bound(route, outcome)] += 1

    def count_rejection(self, reason: str, rank: int, size: str) -> None:
        """Count a request that was rejected as its service is overloaded."""
        self.rejections[reason, min(rank, LAST_RANK), size] += 1

    def count(self, event: str, number: int = 1) -> None:
        """Count an event."""
        self.events[event] += number

    def time_answer(self, first_s: float, total_s: float) -> None:
        """Add an answer to the histograms."""
        if self._exposition is None:
            self._pending.append((first_s, total_s))
        else:
            self._exposition.observe(first_s, total_s)

    def set_state(self, name: str, number: float) -> None:
        """Set a gauge."""
        self.states[name] = number

    def load(self) -> None:
        """Build the registry and add the pending observations."""
        if self._exposition is not None:
            return
        # Imported late, as it isn't needed before the first answer.
        from bamboodeck.gateway.exposition import Exposition

        self._exposition = Exposition(LATENCY_BUCKETS_S)
        for first_s, total_s in self._pending:
            self._exposition.observe(first_s, total_s)
        self._pending.clear()

    def render(self) -> bytes:
        """Render all metrics in the Prometheus text format."""
        self.load()
        return self._exposition.render(
            self.answers,
            self.events,
            self.states,
            self.rejections,
        )
