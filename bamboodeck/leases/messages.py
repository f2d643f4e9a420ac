"""Define the limits, clock and events of leases."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

KEY_PREFIX = '/bamboodeck/leases/'

_MARGIN_FRACTION = 0.15
_RENEW_FRACTION = 0.3


@dataclass(frozen=True, slots=True)
class LeaseLimits:
    """Configure the durations of leases, polls, retries and orders."""

    ttl_s: int = 10
    retry_s: float = 0.5
    poll_interval_s: float = 5.0
    max_order_s: float = 5.0

    @property
    def margin_s(self) -> float:
        """Return how long before the TTL a holder gives up its lease."""
        return self.ttl_s * _MARGIN_FRACTION

    @property
    def renew_s(self) -> float:
        """Return the interval between renewals."""
        return self.ttl_s * _RENEW_FRACTION


@dataclass(frozen=True, slots=True)
class LeaseClock:
    """Provide the event loop's monotonic clock and timer, in seconds."""

    monotonic_s: Callable[[], float]
    call_after: Callable[[float, Callable[[], None]], Any]


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """Log that a lease was acquired, with the fencing number of its term."""

    name: str
    fencing_number: int


@dataclass(frozen=True, slots=True)
class LeaseEnded:
    """Log that a term ended; orders with its fencing number are dropped."""

    name: str
    fencing_number: int
    reason: str


LeaseNews = LeaseAcquired | LeaseEnded
