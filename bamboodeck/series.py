"""Bound the number of series of a metric."""

MAX_SERIES = 200
OVERFLOW = 'other'


class BoundedLabels:
    """Replace label texts past a bound, so that series stay bounded."""

    def __init__(self, max_series: int = MAX_SERIES) -> None:
        """Start with no label text seen."""
        self.overflowed = 0
        self._max_series = max_series
        self._seen: set[tuple[str, ...]] = set()

    def bound(self, *texts: str) -> tuple[str, ...]:
        """Return the texts, or the overflow mark for each."""
        if texts in self._seen:
            return texts
        if len(self._seen) >= self._max_series:
            self.overflowed += 1
            return (OVERFLOW,) * len(texts)
        self._seen.add(texts)
        return texts
