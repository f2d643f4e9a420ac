"""Keep a host's repeats below its part of the fleet's budget.

Load pattern: engines fail, every host repeats, and the repeats add to the load
that made them fail. Each host keeps to the ratio by its own requests, so the
sum over all hosts does too.
"""

from collections import deque

# Leaves room for requests that a host counts and engines never see.
SAFETY_FACTOR = 0.8


class RetryBudget:
    """Count requests and repeats over a sliding window, by service."""

    def __init__(self, ratio: float, window_s: float, slack: float) -> None:
        """Keep the deployment's bounds; `slack` is the whole fleet's."""
        self.hosts = 1
        self.set_bounds(ratio, window_s, slack)
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def set_bounds(self, ratio: float, window_s: float, slack: float) -> None:
        """Keep to other bounds from now on."""
        self._ratio = ratio * SAFETY_FACTOR
        self._window_s = window_s
        self._slack = slack * SAFETY_FACTOR

    def record_request(self, service: str, now_s: float) -> None:
        """Count a caller's request."""
        self._requests.setdefault(service, deque()).append(now_s)

    def record_retry(self, service: str, now_s: float) -> None:
        """Count a further arrival at an engine."""
        self._retries.setdefault(service, deque()).append(now_s)

    def allows(self, service: str, now_s: float) -> bool:
        """Tell whether one more repeat keeps to the budget."""
        return self.remaining(service, now_s) >= 1

    def remaining(self, service: str, now_s: float) -> float:
        """Return how many repeats are left now."""
        requests = self._count(self._requests, service, now_s)
        repeats = self._count(self._retries, service, now_s)
        allowed = self._ratio * requests + self._slack / max(self.hosts, 1)
        return allowed - repeats

    def _count(
        self,
        times: dict[str, deque[float]],
        service: str,
        now_s: float,
    ) -> int:
        seen = times.get(service)
        if seen is None:
            return 0
        while seen and seen[0] < now_s - self._window_s:
            seen.popleft()
        return len(seen)
