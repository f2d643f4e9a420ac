"""Define the metrics of a process, with a limited number of series."""

import math
import resource
from collections.abc import Mapping
from pathlib import Path

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from bamboodeck.series import BoundedLabels

FIRST_TOKEN_BUCKETS_S = (0.1, 0.25, 0.5, 1, 1.9, 3, 5, 10, math.inf)
TOTAL_BUCKETS_S = (0.5, 1, 2, 5, 10, 20, 30, 60, 120, math.inf)


_PAGE_BYTES = resource.getpagesize()


class Metrics:
    """Own the metrics registry of a process."""

    def __init__(self) -> None:
        """Define the metrics."""
        self.registry = Registry()
        self.answers = Counter(
            'bamboodeck_answers_total',
            'Answers by class and outcome',
            registry=self.registry,
        )
        self.attempts = Counter(
            'bamboodeck_attempts_total',
            'Attempts by version and end',
            registry=self.registry,
        )
        self.tokens = Counter(
            'bamboodeck_output_tokens_total',
            'Tokens sent to callers',
            registry=self.registry,
        )
        self.first_token = Histogram(
            'bamboodeck_first_token_seconds',
            'Time to the first token in seconds',
            registry=self.registry,
            buckets=FIRST_TOKEN_BUCKETS_S,
        )
        self.total = Histogram(
            'bamboodeck_answer_seconds',
            'Time to the whole answer in seconds',
            registry=self.registry,
            buckets=TOTAL_BUCKETS_S,
        )
        self.invariants = Gauge(
            'bamboodeck_invariant_checks',
            'Checks made and violated',
            registry=self.registry,
        )
        self.state = Gauge(
            'bamboodeck_state',
            'Revision in force, ages, queue sizes',
            registry=self.registry,
        )
        self._labels: dict[str, BoundedLabels] = {}

    def count_answer(self, request_class: str, outcome: str) -> None:
        """Count an answer."""
        class_label, outcome_label = self._limit_labels(
            'answers',
            request_class,
            outcome,
        )
        self.answers.inc({'class': class_label, 'outcome': outcome_label})

    def count_attempt(self, version: str, outcome: str) -> None:
        """Count an attempt on an engine."""
        version_label, outcome_label = self._limit_labels(
            'attempts',
            version,
            outcome,
        )
        self.attempts.inc({'version': version_label, 'outcome': outcome_label})

    def set_state(self, name: str, number: float) -> None:
        """Set a gauge of the process state."""
        self.state.set({'name': name}, number)

    def set_counters(self, part: str, counters: Mapping[str, int]) -> None:
        """Set the counters of a component."""
        for name, number in counters.items():
            label = self._limit_labels('counters', f'{part}_{name}')[0]
            self.set_state(label, number)

    def set_invariant(self, name: str, checked: int, violated: int) -> None:
        """Set the counts of checks and violations of an invariant."""
        self.invariants.set({'invariant': name, 'kind': 'checked'}, checked)
        self.invariants.set({'invariant': name, 'kind': 'violated'}, violated)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        overflow_count = sum(
            each.overflow_count for each in self._labels.values()
        )
        self.set_state('label_overflows', overflow_count)
        content, _ = render(self.registry, ['text/plain'])
        return content

    def _limit_labels(self, metric: str, *texts: str) -> tuple[str, ...]:
        return self._labels.setdefault(metric, BoundedLabels()).bound(*texts)


def read_resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    pages = Path('/proc/self/statm').read_text().split()[1]
    return int(pages) * _PAGE_BYTES
