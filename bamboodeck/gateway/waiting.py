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
LARGEST_WAIT_PART = 0.6
# Bounds the memory that waiting requests take.
MAX_WAITING = 2000
# The time of one turn, assumed before any was seen.
FIRST_TURN_S = 0.02
_TURN_WEIGHT = 0.1


class Waiting(msgspec.Struct, frozen=True):
    """Describe a request that waits; lower ranks are more urgent."""

    ticket: Any
    service: str
    rank: int
    customer: str
    since_s: float
    deadline_s: float


class WaitingRoom:
    """Keep the waiting requests of all services."""

    def __init__(self) -> None:
        """Start empty."""
        self._waiting: dict[str, list[Waiting]] = {}
        self._running: Counter[tuple[str, str]] = Counter()
        self._turn_s: dict[str, float] = {}
        self._last_turn_s: dict[str, float] = {}

    def __len__(self) -> int:
        """Return how many requests wait."""
        return sum(len(waiting) for waiting in self._waiting.values())

    def services(self) -> tuple[str, ...]:
        """Return the services for which requests wait."""
        return tuple(
            service for service, waiting in self._waiting.items() if waiting
        )

    def expected_wait_s(self, service: str, rank: int) -> float:
        """Return how long a newcomer would wait for its turn."""
        ahead = sum(
            other.rank <= rank for other in self._waiting.get(service, ())
        )
        return (ahead + 1) * self._turn_s.get(service, FIRST_TURN_S)

    def has_room(self, newcomer: Waiting) -> bool:
        """Tell whether a newcomer's turn would come in time."""
        if len(self) >= MAX_WAITING:
            return False
        wait_s = self.expected_wait_s(newcomer.service, newcomer.rank)
        left_s = newcomer.deadline_s - newcomer.since_s
        return wait_s <= left_s * LARGEST_WAIT_PART

    def add(self, newcomer: Waiting) -> None:
        """Let a request wait."""
        self._waiting.setdefault(newcomer.service, []).append(newcomer)

    def remove(self, service: str, ticket: Any) -> None:
        """Forget a request whose caller has gone."""
        self._waiting[service] = [
            waiting
            for waiting in self._waiting.get(service, ())
            if waiting.ticket is not ticket
        ]

    def peek(self, service: str) -> Waiting | None:
        """Return whose turn it is."""
        waiting = self._waiting.get(service)
        if not waiting:
            return None
        return min(waiting, key=self._rank)

    def note_turn(self, service: str, now_s: float) -> None:
        """Learn how fast turns follow each other while requests wait."""
        last_s = self._last_turn_s.get(service)
        self._last_turn_s[service] = now_s
        if last_s is None or not self._waiting.get(service):
            return
        known_s = self._turn_s.get(service, FIRST_TURN_S)
        self._turn_s[service] = known_s + _TURN_WEIGHT * (
            now_s - last_s - known_s
        )

    def note_running(self, service: str, customer: str, change: int) -> None:
        """Count the running requests of a customer."""
        self._running[service, customer] += change

    def _rank(self, waiting: Waiting) -> tuple[int, int, float]:
        running = self._running[waiting.service, waiting.customer]
        return (waiting.rank, running, waiting.deadline_s)
