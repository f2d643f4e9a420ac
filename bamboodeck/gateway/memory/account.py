"""Account for the memory that a host holds for others, and bound it.

Load pattern: hundreds of connections report each part that arrives; a review
of all of them runs only while some wait or the bound is exceeded.
"""

from collections.abc import Callable

import msgspec

from bamboodeck.gateway.measures import GatewayMetrics
from bamboodeck.gateway.memory.decisions import (
    MemoryBounds,
    MemoryUse,
    choose_closed,
    may_hold,
)
from bamboodeck.gateway.memory.events import ConnectionClosedForMemory
from bamboodeck.http.memory_use import MemoryHolder
from bamboodeck.logs import EventLog
from bamboodeck.loop.program import Loop

REVIEW_PERIOD_S = 0.25
# A smaller part is no progress of a large request.
PROGRESS_BYTES = 16_384


class OtherUse(msgspec.Struct, frozen=True):
    """Measure what the host holds beside its connections to callers."""

    # Unfinished answers of engines.
    answers: Callable[[], int]
    # Unfinished answers of the store and of other hosts.
    messages: Callable[[], int]


class ConnectionReservation:
    """Record what one connection holds."""

    __slots__ = (
        '_account',
        '_progress_bytes',
        'granted_bytes',
        'held_bytes',
        'holder',
        'needed_bytes',
        'progress_s',
        'unread_bytes',
        'waiting_since_s',
    )

    def __init__(self, account: 'HostMemory', holder: MemoryHolder) -> None:
        """Start empty."""
        self._account = account
        self._progress_bytes = 0
        self.holder = holder
        self.held_bytes = 0
        self.granted_bytes = 0
        self.needed_bytes = 0
        self.unread_bytes = 0
        self.progress_s = account.now_s()
        self.waiting_since_s: float | None = None

    @property
    def committed_bytes(self) -> int:
        """Return what counts against the bound."""
        return max(self.held_bytes, self.granted_bytes) + self.unread_bytes

    def resize(self, held_bytes: int, needed_bytes: int) -> bool:
        """Record what is held; return whether it may grow as needed."""
        grown_bytes = held_bytes - self._progress_bytes
        if grown_bytes >= PROGRESS_BYTES or grown_bytes < 0:
            self._progress_bytes = held_bytes
            self.progress_s = self._account.now_s()
        return self._account.resize(self, held_bytes, needed_bytes)

    def resize_unread(self, size_bytes: int) -> None:
        """Record how much of its answers the caller has not read."""
        if size_bytes < self.unread_bytes:
            self.progress_s = self._account.now_s()
        self._account.resize_unread(self, size_bytes)

    def close(self) -> None:
        """Release everything, as the connection has closed."""
        self._account.close(self)

    def describe(self, now_s: float) -> MemoryUse:
        """Describe the connection for a decision."""
        waiting_s = None
        if self.waiting_since_s is not None:
            waiting_s = now_s - self.waiting_since_s
        return MemoryUse(
            self.held_bytes,
            self.granted_bytes,
            self.needed_bytes,
            self.unread_bytes,
            now_s - self.progress_s,
            self.holder.receiving,
            waiting_s,
        )


class HostMemory:
    """Hold the account of all connections to callers."""

    def __init__(
        self,
        loop: Loop,
        bounds: MemoryBounds,
        others: OtherUse,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        """Start without connections."""
        self.bounds = bounds
        self._loop = loop
        self._others = others
        self._log = log
        self._metrics = metrics
        # In the order of arrival, so that a run can be repeated.
        self._open: dict[ConnectionReservation, None] = {}
        self._waiting: dict[ConnectionReservation, None] = {}
        self._connections_bytes = 0
        # Connections that count for more than their free share.
        self._large = 0
        self._review_due = False
        loop.scheduler.call_every(REVIEW_PERIOD_S, self._review_regularly)

    @property
    def total_bytes(self) -> int:
        """Return what counts against the bound."""
        others = self._others.answers() + self._others.messages()
        return self._connections_bytes + others

    @property
    def is_tight(self) -> bool:
        """Tell whether so much is held that producers should pause."""
        tight_bytes = self.bounds.find_ceiling(self.bounds.limit_bytes)
        return self.total_bytes > tight_bytes

    def now_s(self) -> float:
        """Return the monotonic time in seconds."""
        return self._loop.scheduler.now_s()

    def open(self, holder: MemoryHolder) -> ConnectionReservation:
        """Add a connection."""
        reservation = ConnectionReservation(self, holder)
        self._open[reservation] = None
        return reservation

    def resize(
        self,
        reservation: ConnectionReservation,
        held_bytes: int,
        needed_bytes: int,
    ) -> bool:
        """Record a size; grant what is needed, or have the holder wait."""
        if reservation not in self._open:
            return True
        self._recount(reservation, held_bytes, needed_bytes=needed_bytes)
        if self._grant(reservation):
            self._end_wait(reservation)
            return True
        if reservation.waiting_since_s is None:
            reservation.waiting_since_s = self.now_s()
            self._waiting[reservation] = None
            self._metrics.count('memory_waited')
        return False

    def resize_unread(
        self,
        reservation: ConnectionReservation,
        size_bytes: int,
    ) -> None:
        """Record the unread size; drop slow callers above the bound."""
        if reservation not in self._open:
            return
        before_bytes = reservation.committed_bytes
        reservation.unread_bytes = size_bytes
        self._count_change(reservation, before_bytes)
        if self.total_bytes > self.bounds.limit_bytes:
            self._schedule_review()

    def close(self, reservation: ConnectionReservation) -> None:
        """Release all that a connection holds."""
        if self._open.pop(reservation, self) is self:
            return
        before_bytes = reservation.committed_bytes
        self._waiting.pop(reservation, None)
        reservation.held_bytes = 0
        reservation.granted_bytes = 0
        reservation.unread_bytes = 0
        self._count_change(reservation, before_bytes)

    def list_states(self) -> dict[str, float]:
        """Return the gauges of the metrics."""
        uses = [each.describe(self.now_s()) for each in self._open]
        return {
            'memory_limit_bytes': self.bounds.limit_bytes,
            'memory_committed_bytes': self.total_bytes,
            'memory_receiving_bytes': sum(
                use.held_bytes for use in uses if use.receiving
            ),
            'memory_running_bytes': sum(
                use.held_bytes for use in uses if not use.receiving
            ),
            'memory_unread_bytes': sum(use.unread_bytes for use in uses),
            'memory_answers_bytes': self._others.answers(),
            'memory_messages_bytes': self._others.messages(),
            'memory_waiting': len(self._waiting),
        }

    def _recount(
        self,
        reservation: ConnectionReservation,
        held_bytes: int,
        needed_bytes: int,
    ) -> None:
        before_bytes = reservation.committed_bytes
        reservation.held_bytes = held_bytes
        reservation.needed_bytes = needed_bytes
        # What is not needed any more is given back.
        reservation.granted_bytes = min(reservation.granted_bytes, needed_bytes)
        self._count_change(reservation, before_bytes)

    def _grant(self, reservation: ConnectionReservation) -> bool:
        needed_bytes = reservation.needed_bytes
        if needed_bytes <= reservation.granted_bytes:
            return True
        before_bytes = reservation.committed_bytes
        alone = self._large == int(before_bytes > self.bounds.free_bytes)
        others_bytes = self.total_bytes - before_bytes
        if not may_hold(self.bounds, others_bytes, needed_bytes, alone=alone):
            return False
        reservation.granted_bytes = needed_bytes
        self._count_change(reservation, before_bytes)
        return True

    def _count_change(
        self,
        reservation: ConnectionReservation,
        before_bytes: int,
    ) -> None:
        after_bytes = reservation.committed_bytes
        free_bytes = self.bounds.free_bytes
        self._connections_bytes += after_bytes - before_bytes
        self._large += (after_bytes > free_bytes) - (before_bytes > free_bytes)
        if after_bytes < before_bytes and self._waiting:
            self._schedule_review()

    def _schedule_review(self) -> None:
        """Review soon, but not within the call that changed a size."""
        if not self._review_due:
            self._review_due = True
            self._loop.scheduler.call_after(0, self._review)

    def _review_regularly(self) -> None:
        if self._waiting or self.total_bytes > self.bounds.limit_bytes:
            self._close_chosen()
            self._grant_waiting()

    def _review(self) -> None:
        self._review_due = False
        if self.total_bytes > self.bounds.limit_bytes:
            self._close_chosen()
        self._grant_waiting()

    def _grant_waiting(self) -> None:
        for reservation in sorted(self._waiting, key=_count_missing):
            if reservation not in self._waiting:
                continue
            if not self._grant(reservation):
                continue
            self._end_wait(reservation)
            reservation.progress_s = self.now_s()
            reservation.holder.resume()

    def _end_wait(self, reservation: ConnectionReservation) -> None:
        self._waiting.pop(reservation, None)
        reservation.waiting_since_s = None

    def _close_chosen(self) -> None:
        now_s = self.now_s()
        reservations = list(self._open)
        uses = [each.describe(now_s) for each in reservations]
        chosen = choose_closed(self.bounds, self.total_bytes, uses)
        for closing in chosen:
            use = uses[closing.index]
            self._metrics.count(f'memory_closed_{closing.reason.value}')
            self._log.warn(
                ConnectionClosedForMemory(
                    closing.reason.value,
                    use.held_bytes,
                    use.unread_bytes,
                    use.quiet_s,
                    len(reservations),
                    self.total_bytes,
                    self.bounds.limit_bytes,
                ),
            )
            reservations[closing.index].holder.evict(closing.reason)


def _count_missing(reservation: ConnectionReservation) -> int:
    return reservation.needed_bytes - reservation.committed_bytes
