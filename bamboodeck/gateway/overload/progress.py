"""Account for the work in progress and the usual load of customers.

Load pattern: one customer sends many times its usual load, or many requests
have one key, while others send a few requests.
"""

import math
from collections import Counter

import msgspec

from bamboodeck.gateway.overload.admission import Progress, build_progress

# Arrivals of a service that the usual load covers, at least the latter half.
MAX_ARRIVALS = 1000
# A customer's weight is at least this share of the mean, and at most that.
MIN_WEIGHT = 0.5
MAX_WEIGHT = 8.0
# What is left of ended work by rounding.
ROUNDING_MS = 0.001
# Ended work counts for about this long. A host of a large fleet runs one or two
# requests at a time, too few to tell a flood from the usual load.
RECENT_S = 10.0


class StartedWork(msgspec.Struct, frozen=True):
    """Describe the work of a request that is in progress."""

    service: str
    customer: str
    key: str
    work_ms: float


class _DecayedWork(msgspec.Struct, frozen=True):
    work_ms: float
    since_s: float

    def left_ms(self, now_s: float) -> float:
        return self.work_ms * math.exp((self.since_s - now_s) / RECENT_S)


_NO_WORK = _DecayedWork(0.0, 0.0)


class ProgressTable:
    """Hold the recent work of all services on this host."""

    def __init__(self) -> None:
        """Start without work."""
        # By service, then by customer or key.
        self._running: dict[str, Counter[str]] = {}
        self._keys: dict[str, Counter[str]] = {}
        self._ended: dict[str, dict[str, _DecayedWork]] = {}
        self._counts: Counter[str] = Counter()
        self._arrivals: dict[str, Counter[str]] = {}

    def record_calm_arrival(self, service: str, customer: str) -> None:
        """Count an arrival at a service without waiting requests.

        A flood makes requests wait, so it isn't taken as usual.
        """
        arrivals = self._arrivals.setdefault(service, Counter())
        arrivals[customer] += 1
        if arrivals.total() > MAX_ARRIVALS:
            self._arrivals[service] = Counter(
                {
                    each: number // 2
                    for each, number in arrivals.items()
                    if number > 1
                },
            )

    def start(self, started: StartedWork) -> None:
        """Add work that was sent to an engine."""
        self._counts[started.service] += 1
        self._change(started, started.work_ms)

    def end(self, started: StartedWork, now_s: float) -> None:
        """Let work count less and less from its end on."""
        self._counts[started.service] -= 1
        self._change(started, -started.work_ms)
        ended = self._ended.setdefault(started.service, {})
        known = ended.get(started.customer, _NO_WORK)
        ended[started.customer] = _DecayedWork(
            known.left_ms(now_s) + started.work_ms,
            now_s,
        )

    def count_running(self, service: str) -> int:
        """Return the requests in progress of a service."""
        return self._counts[service]

    def find(self, service: str, usual_ms: float, now_s: float) -> Progress:
        """Return the recent work of a service."""
        by_customer = Counter(self._running.get(service, {}))
        for customer, ended in self._ended.get(service, {}).items():
            by_customer[customer] += ended.left_ms(now_s)
        return build_progress(
            usual_ms,
            by_customer,
            self._keys.get(service, {}),
            self._find_weights(service),
        )

    def _find_weights(self, service: str) -> dict[str, float]:
        arrivals = self._arrivals.get(service)
        if not arrivals:
            return {}
        # One more for each, so that few arrivals tell little.
        mean = arrivals.total() / len(arrivals) + 1
        return {
            customer: min(max((number + 1) / mean, MIN_WEIGHT), MAX_WEIGHT)
            for customer, number in arrivals.items()
        }

    def _change(self, started: StartedWork, change_ms: float) -> None:
        for table, name in (
            (self._running, started.customer),
            (self._keys, started.key),
        ):
            of_service = table.setdefault(started.service, Counter())
            of_service[name] += change_ms
            if of_service[name] < ROUNDING_MS:
                of_service.pop(name)
