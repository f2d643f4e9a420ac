"""Token bucket that limits the rate of calls."""


class TokenBucket:
    """Admit calls at a rate, with a burst of one second's worth."""

    def __init__(self, rate_per_s: float, now_s: float) -> None:
        """Create a full bucket."""
        self._rate_per_s = rate_per_s
        self._tokens = rate_per_s
        self._updated_s = now_s

    def take(self, now_s: float, amount: float = 1) -> bool:
        """Take tokens if available; return whether they were taken."""
        gained = (now_s - self._updated_s) * self._rate_per_s
        self._tokens = min(self._rate_per_s, self._tokens + gained)
        self._updated_s = now_s
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True
