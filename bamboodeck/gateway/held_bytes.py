"""Bound what all unfinished answers of a host hold in memory.

Load pattern: faulty engines send answers that never end, each of which may be
held up to its own limit, to hundreds of callers at the same time.
"""

# The share of the host's memory that unfinished answers may hold.
HELD_MEMORY_FRACTION = 0.125
# Each answer may hold this much, whatever the others hold.
FREE_HELD_BYTES = 32_768

_BYTES_PER_MB = 1_048_576


class HeldBytes:
    """Count the bytes that unfinished answers hold."""

    def __init__(self, memory_mb: int) -> None:
        """Start without answers."""
        self.held_bytes = 0
        self.set_memory(memory_mb)

    def set_memory(self, memory_mb: int) -> None:
        """Apply the host's memory, of which the limit is a share."""
        self.limit_bytes = int(memory_mb * _BYTES_PER_MB * HELD_MEMORY_FRACTION)

    def find_limit(self, limit_bytes: int) -> int:
        """Return what an answer may hold now, of its own limit in bytes."""
        if self.held_bytes <= self.limit_bytes:
            return limit_bytes
        return min(limit_bytes, FREE_HELD_BYTES)


class HeldAnswer:
    """Hold a part of one answer."""

    def __init__(self, total: HeldBytes, limit_bytes: int) -> None:
        """Start empty."""
        self._total = total
        self._limit_bytes = limit_bytes
        self._size_bytes = 0

    def resize(self, size_bytes: int) -> bool:
        """Record the size in bytes; return whether it is allowed."""
        self._total.held_bytes += size_bytes - self._size_bytes
        self._size_bytes = size_bytes
        return size_bytes <= self._total.find_limit(self._limit_bytes)
