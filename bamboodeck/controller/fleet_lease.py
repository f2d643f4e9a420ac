"""Compete for the fleet lease while holding the zone lease."""

import random
from collections.abc import Callable

from bamboodeck.keyvalue.port import KeyValuePort
from bamboodeck.leases.holder import LeaseHolder
from bamboodeck.leases.messages import LeaseClock, LeaseLimits, LeaseNews

FLEET_LEASE = 'fleet'
NO_TERM = 0


class FleetLease:
    """Manage the lease that allows decisions for the whole fleet."""

    def __init__(
        self,
        store: KeyValuePort,
        clock: LeaseClock,
        rng: random.Random,
        owner: str,
        limits: LeaseLimits,
        on_news: Callable[[LeaseNews], None],
    ) -> None:
        """Prepare without competing for the lease."""
        self._store = store
        self._clock = clock
        self._random = rng
        self._owner = owner
        self._limits = limits
        self._on_news = on_news
        self._holder: LeaseHolder | None = None

    def fencing_number(self) -> int:
        """Return the fencing number of the current term, or 0."""
        holder = self._holder
        if holder is None or not holder.holds(self._clock.monotonic_s()):
            return NO_TERM
        return holder.fencing_number

    def start(self) -> None:
        """Start to compete, when the zone lease is acquired."""
        if self._holder is not None:
            return
        self._holder = LeaseHolder(
            self._store,
            self._clock,
            self._random,
            FLEET_LEASE,
            self._owner,
            self._limits,
            self._on_news,
        )
        self._holder.start()

    def stop(self, on_released: Callable[[], None]) -> None:
        """Release the lease and stop competing, when the zone lease ends."""
        holder = self._holder
        self._holder = None
        if holder is None:
            on_released()
            return
        holder.release(on_released)
