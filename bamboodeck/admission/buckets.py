"""Limit a rate with a token bucket."""


class TokenBucket:
    """Limit a rate; an amount above the burst overdraws a full bucket."""

    __slots__ = ('_filled_s', '_level', 'burst', 'rate_per_s')

    def __init__(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Start with a full bucket."""
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = burst
        self._filled_s = now_s

    def set_rate(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Set the rate and the burst; the level is kept up to the burst."""
        self._fill(now_s)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = min(self._level, burst)

    def wait_s(self, amount: float, now_s: float) -> float:
        """Return the seconds until the amount may be taken, 0 if it may now.

        An amount above the burst may be taken from a full bucket.
        """
        self._fill(now_s)
        missing = min(amount, self.burst) - self._level
        if missing <= 0:
            return 0.0
        if self.rate_per_s <= 0:
            return float('inf')
        return missing / self.rate_per_s

    def take(self, amount: float) -> None:
        """Take an amount for which `wait_s` returned 0."""
        self._level -= amount

    def refund(self, amount: float) -> None:
        """Put back an unused amount."""
        self._level = min(self._level + amount, self.burst)

    def _fill(self, now_s: float) -> None:
        elapsed_s = max(now_s - self._filled_s, 0)
        self._filled_s = max(now_s, self._filled_s)
        self._level = min(self._level + elapsed_s * self.rate_per_s, self.burst)
