"""Simulate an overloaded queue on a virtual clock.

`python -m tests.admission.trials` prints the figures.
"""

import heapq
import itertools
import random
from collections import Counter, deque
from dataclasses import dataclass, field

from bamboodeck.admission.admission import Admission
from bamboodeck.admission.limits import LimitShare, Rates
from bamboodeck.admission.messages import AdmissionRequest, Admitted

CAPACITY = 40
SERVICE_S = 1.0
BEST_PER_S = CAPACITY / SERVICE_S
DEADLINE_S = 4.0
MAX_TRIES = 3
STEP_FROM_S = 60
STEP_TO_S = 120
END_S = 200
CUSTOMERS = ('a', 'b', 'c')


@dataclass(frozen=True)
class Call:
    """Describe one try of a caller."""

    customer: str
    tries: int
    sent_s: float


@dataclass
class Result:
    """Collect goodput and latencies of the calls."""

    good: Counter[int] = field(default_factory=Counter)
    good_by_customer: Counter[str] = field(default_factory=Counter)
    latencies_s: list[float] = field(default_factory=list)

    def goodput(self, from_s: int, to_s: int) -> float:
        """Return the answers within their deadline, per second."""
        answers = sum(self.good[at_s] for at_s in range(from_s, to_s))
        return answers / (to_s - from_s)

    def recovery_s(self, level: float) -> int:
        """Return the seconds until goodput recovers after the step."""
        for start in range(STEP_TO_S, END_S - 10):
            if self.goodput(start, start + 5) >= level:
                return start - STEP_TO_S
        return END_S - STEP_TO_S

    def p95_latency_s(self) -> float:
        """Return the 95th percentile of the latency of admitted calls."""
        ordered = sorted(self.latencies_s)
        return ordered[int(len(ordered) * 0.95)]


class QueueTrial:
    """Serve calls in FIFO order, with or without admission control."""

    def __init__(self, admission: Admission | None, seed: int) -> None:
        """Start with an empty queue."""
        self.result = Result()
        self._admission = admission
        self._rng = random.Random(seed)
        self._events: list = []
        self._order = itertools.count()
        self._queue: deque[Call] = deque()
        self._busy = 0
        self._now_s = 0.0

    def run(self, load: float, step_load: float) -> Result:
        """Run with a load, and another in the step, as ratios of capacity."""
        at_s = 0.0
        while at_s < END_S:
            in_step = STEP_FROM_S <= at_s < STEP_TO_S
            part = step_load if in_step else load
            at_s += self._rng.expovariate(BEST_PER_S * part)
            customer = self._rng.choices(CUSTOMERS, (8, 1, 1))[0]
            self._at(at_s, self._arrive, Call(customer, 1, at_s))
        while self._events:
            event = heapq.heappop(self._events)
            self._now_s = event[0]
            event[2](event[3])
        return self.result

    def _at(self, at_s: float, action, call: Call) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), action, call))

    def _arrive(self, call: Call) -> None:
        if self._admission is not None:
            request = AdmissionRequest(
                call.customer, 1, 100, DEADLINE_S, SERVICE_S
            )
            answer = self._admission.decide(request, self._now_s)
            if not isinstance(answer, Admitted):
                self._retry(call, answer.retry_after_s)
                return
        self._queue.append(call)
        self._serve()

    def _retry(self, call: Call, wait_s: float) -> None:
        if call.tries == MAX_TRIES or self._now_s > END_S:
            return
        at_s = self._now_s + wait_s
        self._at(at_s, self._arrive, Call(call.customer, call.tries + 1, at_s))

    def _serve(self) -> None:
        while self._queue and self._busy < CAPACITY:
            self._busy += 1
            service_s = self._rng.uniform(0.5, 1.5) * SERVICE_S
            self._at(self._now_s + service_s, self._end, self._queue.popleft())

    def _end(self, call: Call) -> None:
        self._busy -= 1
        if self._admission is not None:
            self._admission.finish(call.customer, SERVICE_S)
        latency_s = self._now_s - call.sent_s
        self.result.latencies_s.append(latency_s)
        if latency_s <= DEADLINE_S:
            self.result.good[int(self._now_s)] += 1
            if STEP_FROM_S <= self._now_s < STEP_TO_S:
                self.result.good_by_customer[call.customer] += 1
        else:
            # The caller has timed out and retries.
            self._retry(call, 0)
        self._serve()


def open_admission() -> Admission:
    """Build an admission with limits above the load."""
    admission = Admission(CAPACITY, 1.5)
    shares = [LimitShare('n1', name, Rates(1e4, 1e7)) for name in CUSTOMERS]
    admission.set_shares(shares, 0)
    return admission


def main() -> None:
    """Print goodput, recovery and latency with and without admission."""
    for seed in range(10):
        for name, admission in (('with', open_admission()), ('without', None)):
            result = QueueTrial(admission, seed).run(0.85, 2)
            before = result.goodput(20, 60)
            print(  # noqa: WPS421
                f'seed={seed} admission={name} best={BEST_PER_S:.1f}',
                f'before={before:.1f} doubled={result.goodput(70, 120):.1f}',
                f'ratio={result.goodput(70, 120) / BEST_PER_S:.3f}',
                f'recovery_s={result.recovery_s(0.95 * before)}',
                f'p95_s={result.p95_latency_s():.2f}',
                dict(result.good_by_customer),
            )


if __name__ == '__main__':
    main()
