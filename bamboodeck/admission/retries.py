"""Limit retries to a ratio of the requests."""

DEFAULT_RESERVE = 10.0


class RetryBudget:
    """Limit retries to a ratio of the requests plus a small reserve."""

    def __init__(self, ratio: float, reserve: float = DEFAULT_RESERVE) -> None:
        """Start with the reserve, which is also the maximum of the budget."""
        self.ratio = ratio
        self._reserve = reserve
        self._level = reserve

    def note_request(self) -> None:
        """Add the ratio to the budget for a first attempt."""
        self._level = min(self._level + self.ratio, self._reserve)

    def try_retry(self, *, idempotent: bool) -> bool:
        """Return whether a retry may run, and charge it to the budget."""
        if not idempotent or self._level < 1:
            return False
        self._level -= 1
        return True
