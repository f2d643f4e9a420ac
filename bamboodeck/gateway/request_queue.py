"""Order the requests that wait for a place.

Load pattern: more requests arrive than engines have places. Urgent requests go
first; among equals the customer with the fewest running requests does, so one
customer's burst doesn't hold up the others; then whoever has the least time. A
request whose turn would come too late is rejected at once.
"""

from collections import Counter
from typing import Any

import msgspec

# A waiting request still has to run: it is rejected when its turn is expected
# later than at this part of the time to its deadline.
MAX_WAIT_FRACTION = 0.6
# Bounds the memory that waiting requests take.
MAX_WAITING = 2000
# The time of one turn, assumed before any was seen.
INITIAL_INTERVAL_S = 0.02
_INTERVAL_WEIGHT = 0.1


class QueuedRequest(msgspec.Struct, frozen=True):
    """Describe a request that waits; lower ranks are more urgent."""

    ticket: Any
    service: str
    rank: int
    customer: str
    enqueued_s: float
    deadline_s: float


class RequestQueue:
    """Keep the waiting requests of all services."""

    def __init__(self) -> None:
        """Start empty."""
        self._waiting: dict[str, list[QueuedRequest]] = {}
        self._running: Counter[tuple[str, str]] = Counter()
        self._interval_s: dict[str, float] = {}
        self._last_completion_s: dict[str, float] = {}

    def __len__(self) -> int:
        """Return how many requests wait."""
        return sum(len(queued) for queued in self._waiting.values())

    def services(self) -> tuple[str, ...]:
        """Return the services for which requests wait."""
        return tuple(
            service for service, queued in self._waiting.items() if queued
        )

    def expected_wait_s(self, service: str, rank: int) -> float:
        """Return how long a newcomer would wait for its turn."""
        ahead = sum(
            other.rank <= rank for other in self._waiting.get(service, ())
        )
        return (ahead + 1) * self._interval_s.get(service, INITIAL_INTERVAL_S)

    def can_admit(self, request: QueuedRequest) -> bool:
        """Tell whether a newcomer's turn would come in time."""
        if len(self) >= MAX_WAITING:
            return False
        wait_s = self.expected_wait_s(request.service, request.rank)
        left_s = request.deadline_s - request.enqueued_s
        return wait_s <= left_s * MAX_WAIT_FRACTION

    def add(self, request: QueuedRequest) -> None:
        """Let a request wait."""
        self._waiting.setdefault(request.service, []).append(request)

    def remove(self, service: str, ticket: Any) -> None:
        """Forget a request whose caller has gone."""
        self._waiting[service] = [
            queued
            for queued in self._waiting.get(service, ())
            if queued.ticket is not ticket
        ]

    def peek(self, service: str) -> QueuedRequest | None:
        """Return whose turn it is."""
        queued = self._waiting.get(service)
        if not queued:
            return None
        return min(queued, key=self._sort_key)

    def record_completion(self, service: str, now_s: float) -> None:
        """Learn how fast turns follow each other while requests wait."""
        last_s = self._last_completion_s.get(service)
        self._last_completion_s[service] = now_s
        if last_s is None or not self._waiting.get(service):
            return
        known_s = self._interval_s.get(service, INITIAL_INTERVAL_S)
        self._interval_s[service] = known_s + _INTERVAL_WEIGHT * (
            now_s - last_s - known_s
        )

    def adjust_running(self, service: str, customer: str, change: int) -> None:
        """Count the running requests of a customer."""
        self._running[service, customer] += change

    def _sort_key(self, queued: QueuedRequest) -> tuple[int, int, float]:
        running = self._running[queued.service, queued.customer]
        return (queued.rank, running, queued.deadline_s)
