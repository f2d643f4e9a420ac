"""Limit the number of series of a metric."""

MAX_SERIES = 200
OVERFLOW = 'other'


class BoundedLabels:
    """Replace label values beyond a maximum number of series."""

    def __init__(self, max_series: int = MAX_SERIES) -> None:
        """Start with no series."""
        self.overflow_count = 0
        self._max_series = max_series
        self._seen: set[tuple[str, ...]] = set()

    def bound(self, *texts: str) -> tuple[str, ...]:
        """Return the label values, or the overflow label in place of each."""
        if texts in self._seen:
            return texts
        if len(self._seen) >= self._max_series:
            self.overflow_count += 1
            return (OVERFLOW,) * len(texts)
        self._seen.add(texts)
        return texts
