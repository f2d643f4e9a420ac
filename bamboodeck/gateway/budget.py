"""Limit a host's retries to its share of the fleet's budget.

Load pattern: engines fail, every host retries, and the retries add to the load
that made the engines fail. Each host keeps its ratio of retries to requests,
so the sum over all hosts keeps it too.
"""

from collections import deque

# Allows for requests that are counted here but never reach an engine.
SAFETY_FACTOR = 0.8


class RetryBudget:
    """Count requests and retries per service in a sliding window."""

    def __init__(self, ratio: float, window_s: float, slack: float) -> None:
        """Set the bounds; `slack` is shared by all hosts of the fleet."""
        self.hosts = 1
        self.set_bounds(ratio, window_s, slack)
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def set_bounds(self, ratio: float, window_s: float, slack: float) -> None:
        """Replace the bounds."""
        self._ratio = ratio * SAFETY_FACTOR
        self._window_s = window_s
        self._slack = slack * SAFETY_FACTOR

    def record_request(self, service: str, now_s: float) -> None:
        """Count a caller's request."""
        self._requests.setdefault(service, deque()).append(now_s)

    def record_retry(self, service: str, now_s: float) -> None:
        """Count a request that is sent to an engine again."""
        self._retries.setdefault(service, deque()).append(now_s)

    def allows(self, service: str, now_s: float) -> bool:
        """Tell whether the budget allows one more retry."""
        return self.remaining(service, now_s) >= 1

    def remaining(self, service: str, now_s: float) -> float:
        """Return the number of retries that are left."""
        requests = self._count(self._requests, service, now_s)
        retries = self._count(self._retries, service, now_s)
        allowed = self._ratio * requests + self._slack / max(self.hosts, 1)
        return allowed - retries

    def _count(
        self,
        times: dict[str, deque[float]],
        service: str,
        now_s: float,
    ) -> int:
        recent = times.get(service)
        if recent is None:
            return 0
        while recent and recent[0] < now_s - self._window_s:
            recent.popleft()
        return len(recent)
