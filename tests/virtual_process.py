"""Freeze, disconnect and kill processes that run on the virtual clock."""

from collections.abc import Callable

from bamboodeck.keyvalue.port import StoreUnavailable
from tests.virtual_store import VirtualClock, VirtualStore


class VirtualProcess:
    """Deliver callbacks of the clock and the store while the process runs."""

    def __init__(self, store: VirtualStore) -> None:
        """Start a running process."""
        self.clock: VirtualClock = store.clock
        self.alive = True
        self.frozen_until_s = 0.0
        self.disconnected_until_s = 0.0
        self._store = store

    def read_s(self) -> float:
        """Return the virtual time."""
        return self.clock.now_s

    def call_after(self, delay_s: float, callback: Callable) -> None:
        """Schedule a callback of this process."""
        self.clock.call_after(delay_s, lambda: self.run(callback))

    def submit(self, request, on_reply) -> None:
        """Send a store request; a disconnection loses requests and replies."""
        if self.is_disconnected():
            lost = StoreUnavailable('cut off', maybe_applied=False)
            self.call_after(0.01, lambda: on_reply(lost))
            return

        def answer(reply) -> None:
            if self.is_disconnected():
                reply = StoreUnavailable('timeout', maybe_applied=True)
            self.run(lambda: on_reply(reply))

        self._store.submit(request, answer)

    def disconnect(self, duration_s: float) -> None:
        """Disconnect the process from the store for a duration."""
        self.disconnected_until_s = self.clock.now_s + duration_s

    def is_disconnected(self) -> bool:
        """Return whether the process is disconnected from the store."""
        return self.clock.now_s < self.disconnected_until_s

    def run(self, callback: Callable) -> None:
        """Run a callback now, after a freeze, or never once killed."""
        if not self.alive:
            return
        if self.clock.now_s < self.frozen_until_s:
            wait_s = self.frozen_until_s - self.clock.now_s
            self.clock.call_after(wait_s, lambda: self.run(callback))
            return
        callback()
