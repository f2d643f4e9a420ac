"""Track a host's calls to the store, and when it may retry a failed one."""

from bamboodeck.gateway.store_polling import (
    MAX_RETRY_S,
    ZoneRank,
    find_retry_delay_s,
)

# Doubling further would overflow the delay.
MAX_FAILURES = 16
TURN_SPREAD_S = 0.5


class StoreCalls:
    """Hold the call in flight and the calls that failed in a row."""

    def __init__(self) -> None:
        """Start without calls."""
        self.in_flight = False
        # Whether a poll came due while the call is in flight.
        self.poll_postponed = False
        self.failures = 0
        self.failed_s = 0.0
        # When the store itself last answered.
        self.last_reply_s = 0.0
        self._began_s = 0.0
        self._retry_spread = 1.0

    def begin(self, now_s: float) -> None:
        """Record that a call is sent."""
        self.in_flight = True
        self.poll_postponed = False
        self._began_s = now_s

    def record_reply(self, now_s: float) -> None:
        """Record an answer of the store, which ends the failures."""
        self.last_reply_s = now_s
        self.failures = 0

    def record_failure(self, now_s: float, retry_spread: float) -> float:
        """Record a failed call and return its duration in seconds.

        `retry_spread` scales the delay before the next one.
        """
        self.failures = min(self.failures + 1, MAX_FAILURES)
        self.failed_s = now_s
        self._retry_spread = retry_spread
        return now_s - self._began_s

    def find_retry_s(self, rank: ZoneRank, *, zone_served: bool) -> float:
        """Return when a host may call again after a failure.

        With `zone_served`, the store serves another host of the zone.
        """
        delay_s = find_retry_delay_s(
            rank,
            max(self.failures, 1),
            zone_served=zone_served,
        )
        if delay_s <= MAX_RETRY_S:
            return self.failed_s + delay_s * self._retry_spread
        # Turns are a second apart, and stay so.
        spread_s = (self._retry_spread - 1) * TURN_SPREAD_S
        return self.failed_s + delay_s + spread_s
