"""Track a host's calls to the store, and when it may retry a failed one."""

from collections.abc import Callable

from bamboodeck.gateway.ports import RegistryFailed, RegistryReply
from bamboodeck.gateway.store_polling import (
    MAX_RETRY_S,
    ZoneRank,
    find_retry_delay_s,
)

# Doubling further would overflow the delay.
MAX_FAILURES = 16
TURN_SPREAD_S = 0.5
# The store keeps its history for this long, so a snapshot that took longer
# can't be followed up.
MAX_CALL_S = 20.0

OnReply = Callable[[RegistryReply], None]


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
        # When the host last called.
        self.began_s = 0.0
        self._number = 0
        self._retry_spread = 1.0

    def send(
        self,
        now_s: float,
        call: Callable[[OnReply], None],
        on_reply: OnReply,
    ) -> None:
        """Make a call; one that can't be sent fails at once."""
        on_ended = self._begin(now_s, on_reply)
        try:
            call(on_ended)
        except OSError as error:
            # The host has no descriptor left, for example.
            on_ended(RegistryFailed(f'not sent: {error}'))

    def give_up_overdue(self, now_s: float) -> bool:
        """Give up a call without a reply, and tell whether there was one."""
        if not self.in_flight or now_s - self.began_s < MAX_CALL_S:
            return False
        self.in_flight = False
        return True

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
        return now_s - self.began_s

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

    def _begin(self, now_s: float, on_reply: OnReply) -> OnReply:
        self._number += 1
        number = self._number
        self.in_flight = True
        self.poll_postponed = False
        self.began_s = now_s

        def end(reply: RegistryReply) -> None:
            if not self.in_flight or number != self._number:
                # The call was given up.
                return
            self.in_flight = False
            on_reply(reply)

        return end
