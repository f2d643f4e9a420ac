"""Count and time what a process does, with bounded labels."""

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
    """Own the registry of a process and its metrics."""

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
        each, end = self._bound('answers', request_class, outcome)
        self.answers.inc({'class': each, 'outcome': end})

    def count_attempt(self, version: str, outcome: str) -> None:
        """Count an attempt on an engine."""
        each, end = self._bound('attempts', version, outcome)
        self.attempts.inc({'version': each, 'outcome': end})

    def set_state(self, name: str, number: float) -> None:
        """Set a number that an operator watches."""
        self.state.set({'name': name}, number)

    def set_counters(self, part: str, counters: Mapping[str, int]) -> None:
        """Set how often each thing happened in a part of the process."""
        for name, number in counters.items():
            label = self._bound('counters', f'{part}_{name}')[0]
            self.set_state(label, number)

    def set_invariant(self, name: str, checked: int, violated: int) -> None:
        """Set how often an invariant was checked and violated."""
        self.invariants.set({'invariant': name, 'kind': 'checked'}, checked)
        self.invariants.set({'invariant': name, 'kind': 'violated'}, violated)

    def render(self) -> bytes:
        """Write all metrics in the Prometheus text format."""
        overflowed = sum(each.overflowed for each in self._labels.values())
        self.set_state('label_overflows', overflowed)
        content, _ = render(self.registry, ['text/plain'])
        return content

    def _bound(self, metric: str, *texts: str) -> tuple[str, ...]:
        return self._labels.setdefault(metric, BoundedLabels()).bound(*texts)


def read_resident_bytes() -> int:
    """Return the memory that this process holds, in bytes."""
    pages = Path('/proc/self/statm').read_text().split()[1]
    return int(pages) * _PAGE_BYTES
