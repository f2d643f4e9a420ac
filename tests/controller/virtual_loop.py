"""Provide the loop's scheduler on a virtual clock."""

import functools
from collections.abc import Callable

from tests.virtual_store import VirtualClock


class VirtualScheduler:
    """Stand in for the scheduler of an event loop."""

    def __init__(self, clock: VirtualClock) -> None:
        """Schedule calls on a virtual clock."""
        self._clock = clock
        self.call_after = clock.call_after

    def now_s(self) -> float:
        """Return the virtual time."""
        return self._clock.now_s

    def call_every(self, period_s: float, callback: Callable) -> None:
        """Call at the end of each period."""
        self.call_after(
            period_s,
            functools.partial(self._repeat, period_s, callback),
        )

    def _repeat(self, period_s: float, callback: Callable) -> None:
        self.call_every(period_s, callback)
        callback()
