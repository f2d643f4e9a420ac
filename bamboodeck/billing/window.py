"""Remember the ids of recent bills to detect duplicates."""

from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

SLOT_S = 60
# With 10 bytes, a collision among a million bills has probability 4e-13.
SEEN_ID_BYTES = 10

_MAX_LINEAR_SEARCHES = 64
_PARTS_PER_WINDOW = 50


@dataclass(frozen=True, slots=True)
class WindowLimits:
    """Bound a window in non-empty time slots and in bytes."""

    max_slots: int
    max_bytes: int


class SeenSlot(msgspec.Struct, array_like=True):
    """Store the truncated ids of the bills of one time slot."""

    slot: int
    ids: bytes


class SeenWindow:
    """Keep the ids of the last non-empty time slots.

    Empty slots don't count, so that no id expires during an outage.
    """

    def __init__(self, slots: list[SeenSlot], limits: WindowLimits) -> None:
        """Start from the stored slots."""
        self._slots = slots
        self._limits = limits
        self._new_ids: set[bytes] = set()
        self._index: set[bytes] | None = None
        self._searches = 0

    def __contains__(self, bill_id: bytes) -> bool:
        """Return whether a bill is in the window."""
        seen_id = bill_id[:SEEN_ID_BYTES]
        if seen_id in self._new_ids:
            return True
        # A few linear searches cost less than building an index.
        self._searches += 1
        if self._searches > _MAX_LINEAR_SEARCHES and self._index is None:
            self._index = _build_index(self._slots)
        if self._index is not None:
            return seen_id in self._index
        return any(_is_in(each.ids, seen_id) for each in self._slots)

    def add(self, bill_id: bytes) -> None:
        """Add a bill to the current slot."""
        self._new_ids.add(bill_id[:SEEN_ID_BYTES])

    def list_ids(self) -> tuple[bytes, ...]:
        """Return the stored ids, truncated to `SEEN_ID_BYTES`."""
        return tuple(_split_ids(self._slots))

    def flush(self, now_s: float) -> int:
        """Move new ids into the current slot; count slots dropped for size."""
        slot = int(now_s // SLOT_S)
        ids = b''.join(sorted(self._new_ids))
        self._new_ids = set()
        self._index = None
        ids_per_part = (
            self._limits.max_bytes // _PARTS_PER_WINDOW // SEEN_ID_BYTES
        )
        part_bytes = max(ids_per_part, 1) * SEEN_ID_BYTES
        for offset in range(0, len(ids), part_bytes):
            self._append(slot, ids[offset : offset + part_bytes], part_bytes)
        while self._count_slots() > self._limits.max_slots:
            self._slots.pop(0)
        dropped = 0
        while self._count_bytes() > self._limits.max_bytes:
            self._slots.pop(0)
            dropped += 1
        return dropped

    @property
    def slots(self) -> list[SeenSlot]:
        """Return the slots, oldest first."""
        return self._slots

    def _append(self, slot: int, ids: bytes, part_bytes: int) -> None:
        """Extend the last slot, or add one if it is full or outdated."""
        last = self._slots[-1] if self._slots else SeenSlot(slot, b'')
        full = len(last.ids) + len(ids) > part_bytes
        if not self._slots or last.slot < slot or full:
            self._slots.append(SeenSlot(max(slot, last.slot), ids))
            return
        last.ids += ids

    def _count_slots(self) -> int:
        return len({each.slot for each in self._slots})

    def _count_bytes(self) -> int:
        return sum(len(each.ids) for each in self._slots)


def _is_in(ids: bytes, seen_id: bytes) -> bool:
    offset = ids.find(seen_id)
    while offset >= 0:
        if offset % SEEN_ID_BYTES == 0:
            return True
        offset = ids.find(seen_id, offset + 1)
    return False


def _build_index(slots: list[SeenSlot]) -> set[bytes]:
    return set(_split_ids(slots))


def _split_ids(slots: list[SeenSlot]) -> Iterator[bytes]:
    for each in slots:
        for offset in range(0, len(each.ids), SEEN_ID_BYTES):
            yield each.ids[offset : offset + SEEN_ID_BYTES]
