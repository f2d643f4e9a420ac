"""Render a gateway's metrics in the Prometheus text format."""

from collections.abc import Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry, render


class Exposition:
    """Hold the metrics registry of a gateway."""

    def __init__(self, buckets_s: tuple[float, ...]) -> None:
        """Define the metrics."""
        self._registry = Registry()
        self._answers = Counter(
            'bamboodeck_gateway_answers_total',
            'Answers by route and outcome',
            registry=self._registry,
        )
        self._events = Counter(
            'bamboodeck_gateway_events_total',
            'Attempts, repeats, refusals and lost dependencies',
            registry=self._registry,
        )
        self._rejections = Counter(
            'bamboodeck_gateway_rejections_total',
            'Requests rejected under overload by reason, rank and size',
            registry=self._registry,
        )
        self._state = Gauge(
            'bamboodeck_gateway_state',
            'Versions in force, ages in seconds, sizes',
            registry=self._registry,
        )
        self._first = Histogram(
            'bamboodeck_gateway_first_byte_seconds',
            'Time to the first byte of an answer in seconds',
            registry=self._registry,
            buckets=buckets_s,
        )
        self._total = Histogram(
            'bamboodeck_gateway_answer_seconds',
            'Time to the whole answer in seconds',
            registry=self._registry,
            buckets=buckets_s,
        )

    def observe(self, first_s: float, total_s: float) -> None:
        """Add an answer to the histograms."""
        self._first.observe({}, first_s)
        self._total.observe({}, total_s)

    def render(
        self,
        answers: Mapping[tuple[str, str], int],
        events: Mapping[str, int],
        states: Mapping[str, float],
        rejections: Mapping[tuple[str, int, str], int],
    ) -> bytes:
        """Render all metrics."""
        for (route, outcome), number in answers.items():
            self._answers.set({'route': route, 'outcome': outcome}, number)
        for event, number in events.items():
            self._events.set({'event': event}, number)
        for (reason, rank, size), number in rejections.items():
            self._rejections.set(
                {'reason': reason, 'rank': str(rank), 'size': size},
                number,
            )
        for name, number in states.items():
            self._state.set({'name': name}, number)
        content, _ = render(self._registry, ['text/plain'])
        return content
