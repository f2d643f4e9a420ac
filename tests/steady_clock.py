"""Tell the time without stalls of the test process."""

import time
from collections.abc import Callable

MAX_STEP_S = 0.1


class SteadyClock:
    """Count the time between readings, up to a limit for each.

    Hosts that share a process stall together, as separate hosts never do: a
    stall would expire their timeouts for each other all at once.
    """

    def __init__(self, source_s: Callable[[], float] = time.monotonic) -> None:
        """Start at the time of a monotonic clock in seconds."""
        self._source_s = source_s
        self._read_s = source_s()
        self._now_s = self._read_s

    def read_s(self) -> float:
        """Return the time in seconds."""
        read_s = self._source_s()
        self._now_s += min(read_s - self._read_s, MAX_STEP_S)
        self._read_s = read_s
        return self._now_s
