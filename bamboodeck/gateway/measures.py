"""Count and time what a gateway does."""

import math
from collections import Counter as TextCounter

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from bamboodeck.metrics import BoundedLabels

LATENCY_BUCKETS_S = (
    0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 4.0, 8.0, 25.0, math.inf,
)  # fmt: skip


class GatewayMetrics:
    """Own the registry; counts are kept plain and copied when asked for."""

    def __init__(self) -> None:
        """Define the metrics."""
        self.registry = Registry()
        self.answers: TextCounter[tuple[str, str]] = TextCounter()
        self.events: TextCounter[str] = TextCounter()
        self._labels = BoundedLabels()
        self._answers = Counter(
            'bamboodeck_gateway_answers_total',
            'Answers by route and outcome',
            registry=self.registry,
        )
        self._events = Counter(
            'bamboodeck_gateway_events_total',
            'Attempts, repeats, refusals and lost dependencies',
            registry=self.registry,
        )
        self._gauge = Gauge(
            'bamboodeck_gateway_state',
            'Versions in force, ages in seconds, sizes',
            registry=self.registry,
        )
        self._first = Histogram(
            'bamboodeck_gateway_first_byte_seconds',
            'Time to the first byte of an answer in seconds',
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self._total = Histogram(
            'bamboodeck_gateway_answer_seconds',
            'Time to the whole answer in seconds',
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )

    def count_answer(self, route: str, outcome: str) -> None:
        """Count an answer to a caller."""
        self.answers[self._labels.bound(route, outcome)] += 1

    def count(self, event: str, number: int = 1) -> None:
        """Count something that happened."""
        self.events[event] += number

    def time_answer(self, first_s: float, total_s: float) -> None:
        """Add an answer to the histograms."""
        self._first.observe({}, first_s)
        self._total.observe({}, total_s)

    def set_state(self, name: str, number: float) -> None:
        """Set a number that an operator watches."""
        self._gauge.set({'name': name}, number)

    def render(self) -> bytes:
        """Write all metrics in the Prometheus text format."""
        for (route, outcome), number in self.answers.items():
            self._answers.set({'route': route, 'outcome': outcome}, number)
        for event, number in self.events.items():
            self._events.set({'event': event}, number)
        content, _ = render(self.registry, ['text/plain'])
        return content
