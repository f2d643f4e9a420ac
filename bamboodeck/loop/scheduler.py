"""Schedule delayed and periodic calls on the event loop."""

import heapq
import itertools
from collections.abc import Callable

from circuits import BaseComponent, handler

Callback = Callable[[], None]


class ScheduledCall:
    """Represent a scheduled call that can be cancelled."""

    __slots__ = ('callback', 'due_s')

    def __init__(self, due_s: float, callback: Callback) -> None:
        """Schedule a callback for a time on the monotonic clock."""
        self.due_s = due_s
        self.callback: Callback | None = callback

    def cancel(self) -> None:
        """Cancel the call."""
        self.callback = None


class Scheduler(BaseComponent):
    """Keep scheduled calls in a heap; run due ones in each loop iteration."""

    channel = 'scheduler'

    def __init__(self, monotonic_s: Callable[[], float]) -> None:
        """Start with no calls, on a monotonic clock."""
        super().__init__()
        self._clock_s = monotonic_s
        self._heap: list[tuple[float, int, ScheduledCall]] = []
        self._order = itertools.count()

    def now_s(self) -> float:
        """Return the monotonic time in seconds."""
        return self._clock_s()

    def call_after(self, delay_s: float, callback: Callback) -> ScheduledCall:
        """Schedule a single call after a delay in seconds."""
        call = ScheduledCall(self._clock_s() + delay_s, callback)
        heapq.heappush(self._heap, (call.due_s, next(self._order), call))
        return call

    def call_every(self, period_s: float, callback: Callback) -> ScheduledCall:
        """Schedule a call at every multiple of a period in seconds.

        Calls due at the same time run in one loop iteration, so that their
        messages to a peer share a frame.
        """
        repeated = ScheduledCall(self._clock_s() + period_s, callback)

        def run() -> None:  # noqa: WPS430
            if repeated.callback is None:
                return
            # First, as the callback may raise.
            self.call_after(self._until_multiple_s(period_s), run)
            repeated.callback()

        self.call_after(self._until_multiple_s(period_s), run)
        return repeated

    def run_due(self) -> float | None:
        """Run due calls; return the seconds until the next call, if any."""
        now_s = self._clock_s()
        while self._heap:
            due_s, _, call = self._heap[0]
            if call.callback is not None and due_s > now_s:
                return due_s - now_s
            heapq.heappop(self._heap)
            if call.callback is not None:
                call.callback()
        return None

    def _until_multiple_s(self, period_s: float) -> float:
        return period_s - self._clock_s() % period_s

    @handler('generate_events')
    def _on_generate_events(self, event) -> None:
        delay_s = self.run_due()
        if delay_s is not None:
            event.reduce_time_left(max(delay_s, 0))
