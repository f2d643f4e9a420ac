"""Decide who may hold more memory, and who is closed to free some.

Load pattern: crowds of clients send large bodies and heads at once and stop
before their end, or don't read their answers, while ordinary callers go on.
"""

from collections.abc import Iterable, Iterator, Sequence

import msgspec

from bamboodeck.http.memory_use import CONNECTION_BYTES, CloseReason

# The share of the host's memory that the account may hold. The process at rest,
# the state of the fleet and fragmentation need the rest.
ACCOUNT_FRACTION = 0.25
# The share of the account that free shares of all connections may take beside
# its bound.
FREE_FRACTION = 0.5
# Large requests leave the rest of the account to ordinary ones.
LARGE_FRACTION = 0.75
# Room for an open connection and the first part that it receives.
MIN_FREE_BYTES = 2 * CONNECTION_BYTES
# Ordinary bodies have up to some hundred KB.
MAX_SMALL_BYTES = 524_288
_SMALL_FRACTION = 0.0625
# Heads of ordinary requests and short bodies always fit.
MAX_FREE_BYTES = 32_768
# Descriptors for files, the store, listening sockets and a margin.
RESERVED_DESCRIPTORS = 300
# Share of callers in the other descriptors; the rest is for engines.
CALLER_FRACTION = 0.6
_MIN_CALLERS = 16
# A receiver without progress for so long is closed if others wait.
STALLED_S = 1.0
# A caller that waits for longer is better served by another host.
MAX_WAIT_S = 4.0
# Tells callers apart by what they hold while all have just read.
_MIN_QUIET_S = 0.01

_BYTES_PER_MB = 1_048_576


class MemoryBounds(msgspec.Struct, frozen=True):
    """Hold the bounds of the account in bytes."""

    limit_bytes: int
    # What a connection may hold, whatever the others hold.
    free_bytes: int

    @property
    def small_bytes(self) -> int:
        """Return up to which size a request is small."""
        return min(MAX_SMALL_BYTES, int(self.limit_bytes * _SMALL_FRACTION))

    def find_ceiling(self, needed_bytes: int) -> int:
        """Return what the account may hold for a request of a size."""
        if needed_bytes <= self.small_bytes:
            return self.limit_bytes
        return int(self.limit_bytes * LARGE_FRACTION)


class MemoryUse(msgspec.Struct, frozen=True):
    """Describe what one connection holds."""

    held_bytes: int
    # What it may grow to; more than the free share only if that was granted.
    granted_bytes: int
    needed_bytes: int
    unread_bytes: int
    # Since it received a notable part, or since its caller has read.
    quiet_s: float
    # No request of it runs, so a refusal is truthful.
    receiving: bool
    # How long it has waited for memory; `None` if it does not wait.
    waiting_s: float | None = None

    @property
    def committed_bytes(self) -> int:
        """Return what counts against the bound."""
        return max(self.held_bytes, self.granted_bytes) + self.unread_bytes


class Closing(msgspec.Struct, frozen=True):
    """Close the connection at an index."""

    index: int
    reason: CloseReason


def count_callers(max_descriptors: int) -> int:
    """Return how many callers a host may serve at once."""
    usable = max_descriptors - RESERVED_DESCRIPTORS
    return max(int(usable * CALLER_FRACTION), _MIN_CALLERS)


def find_bounds(memory_mb: int, max_descriptors: int) -> MemoryBounds:
    """Return the bounds that follow from the settings of a host."""
    limit_bytes = int(memory_mb * _BYTES_PER_MB * ACCOUNT_FRACTION)
    each_bytes = limit_bytes * FREE_FRACTION / count_callers(max_descriptors)
    free_bytes = max(min(MAX_FREE_BYTES, int(each_bytes)), MIN_FREE_BYTES)
    return MemoryBounds(limit_bytes, free_bytes)


def may_hold(
    bounds: MemoryBounds,
    others_bytes: int,
    needed_bytes: int,
    *,
    alone: bool,
) -> bool:
    """Tell whether a connection may grow, beside what others hold.

    `alone` means that no other connection holds more than its free share: a
    request within the limits of the configuration is then always served.
    """
    if alone or needed_bytes <= bounds.free_bytes:
        return True
    return others_bytes + needed_bytes <= bounds.find_ceiling(needed_bytes)


def choose_closed(
    bounds: MemoryBounds,
    total_bytes: int,
    uses: Sequence[MemoryUse],
) -> list[Closing]:
    """Choose the connections that are closed now."""
    waited = [
        Closing(index, CloseReason.WAITED)
        for index, use in enumerate(uses)
        if use.receiving and (use.waiting_s or 0.0) > MAX_WAIT_S
    ]
    gone = {closing.index for closing in waited}
    waiting = [
        index
        for index, use in enumerate(uses)
        if use.waiting_s is not None and index not in gone
    ]
    stalled = list(_choose_stalled(bounds, uses, waiting))
    left_bytes = total_bytes - sum(
        uses[closing.index].committed_bytes for closing in (*waited, *stalled)
    )
    unread = _choose_unread(bounds, uses, left_bytes)
    return [*waited, *stalled, *unread]


def _choose_stalled(
    bounds: MemoryBounds,
    uses: Sequence[MemoryUse],
    waiting: Sequence[int],
) -> Iterator[Closing]:
    """Choose receivers that make least progress for what they hold."""
    if not waiting:
        return
    stalled = [
        index
        for index, use in enumerate(uses)
        if _is_stalled(bounds, use) and use.receiving
    ]
    if stalled:
        missing_bytes = sum(uses[index].needed_bytes for index in waiting)
    elif any(_is_moving(bounds, use) for use in uses):
        # Their end frees memory.
        return
    else:
        stalled, missing_bytes = _list_deadlocked(uses, waiting)
    stalled.sort(
        key=lambda index: uses[index].committed_bytes * uses[index].quiet_s,
        reverse=True,
    )
    for index in stalled:
        if missing_bytes <= 0:
            return
        missing_bytes -= uses[index].committed_bytes
        yield Closing(index, CloseReason.STALLED)


def _is_stalled(bounds: MemoryBounds, use: MemoryUse) -> bool:
    if use.waiting_s is not None or use.quiet_s < STALLED_S:
        return False
    return use.committed_bytes > bounds.free_bytes


def _is_moving(bounds: MemoryBounds, use: MemoryUse) -> bool:
    return use.waiting_s is None and use.committed_bytes > bounds.free_bytes


def _list_deadlocked(
    uses: Sequence[MemoryUse],
    waiting: Sequence[int],
) -> tuple[list[int], int]:
    """List who waits for what the others hold that wait as well."""
    longest_s = max(uses[index].waiting_s or 0.0 for index in waiting)
    if longest_s < STALLED_S:
        return [], 0
    first = min(waiting, key=lambda index: uses[index].needed_bytes)
    others = [
        index for index in waiting if index != first and uses[index].receiving
    ]
    return others, uses[first].needed_bytes - uses[first].held_bytes


def _choose_unread(
    bounds: MemoryBounds,
    uses: Sequence[MemoryUse],
    total_bytes: int,
) -> Iterator[Closing]:
    """Choose callers that read least of what is held for them."""
    excess_bytes = total_bytes - bounds.limit_bytes
    slow: Iterable[int] = sorted(
        (
            index
            for index, use in enumerate(uses)
            if use.unread_bytes > bounds.free_bytes
        ),
        key=lambda index: (
            uses[index].unread_bytes * max(uses[index].quiet_s, _MIN_QUIET_S)
        ),
        reverse=True,
    )
    for index in slow:
        if excess_bytes <= 0:
            return
        excess_bytes -= uses[index].unread_bytes
        yield Closing(index, CloseReason.UNREAD)
