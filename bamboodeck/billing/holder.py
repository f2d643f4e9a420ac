"""Buffer copies of other hosts' bills until they are in the store."""

from collections import Counter
from dataclasses import dataclass, field

from bamboodeck.billing.messages import BillAck, BillBatch, BillingLimits


@dataclass(slots=True)
class _HeldRecords:
    """Buffer consecutive records, starting at the first one not stored."""

    folded_next: int
    received_s: float
    copied: bool
    records: list[bytes] = field(default_factory=list)

    @property
    def held_next(self) -> int:
        """Return the number that follows the last held record."""
        return self.folded_next + len(self.records)

    def trim(self, folded_next: int) -> None:
        """Drop the records below a number."""
        folded = folded_next - self.folded_next
        if folded <= 0:
            return
        del self.records[:folded]  # noqa: WPS420
        self.folded_next = folded_next


class BillHolder:
    """Buffer records, grouped by the incarnation of their entry process."""

    def __init__(self, limits: BillingLimits) -> None:
        """Start with no records."""
        self.counters: Counter[str] = Counter()
        self._limits = limits
        self._held: dict[bytes, _HeldRecords] = {}
        self._size = 0

    @property
    def record_count(self) -> int:
        """Return the number of records held."""
        return self._size

    def receive(self, batch: BillBatch, now_s: float) -> BillAck:
        """Add the new records of a batch; return what is held so far."""
        held = self._held.get(batch.incarnation)
        if held is None:
            held = _HeldRecords(batch.folded_next, now_s, batch.copied)
            self._held[batch.incarnation] = held
        if not batch.copied:
            held.copied = False
        self._trim(held, batch.folded_next)
        overlap = held.held_next - batch.first_number
        if overlap < 0:
            self.counters['gaps'] += 1
            return self._ack(batch.incarnation, held)
        self._append(held, batch.records[overlap:])
        held.received_s = now_s
        return self._ack(batch.incarnation, held)

    def mark_folded(self, incarnation: bytes, folded_next: int) -> None:
        """Drop the records that are in the store."""
        held = self._held.get(incarnation)
        if held is not None:
            self._trim(held, folded_next)

    def batches(self) -> tuple[BillBatch, ...]:
        """Return a batch for each incarnation with records.

        Batches are folded here or sent to the host that folds for the zone.
        """
        return tuple(
            BillBatch(
                incarnation,
                held.folded_next,
                held.folded_next,
                tuple(held.records[: self._limits.max_batch_records]),
            )
            for incarnation, held in self._held.items()
            if held.records
        )

    def incarnations(self) -> tuple[bytes, ...]:
        """Return the incarnations that have records."""
        return tuple(
            incarnation
            for incarnation, held in self._held.items()
            if held.records
        )

    def silent_incarnations(self, now_s: float) -> tuple[bytes, ...]:
        """Return the incarnations silent for `silence_timeout_s`.

        Records copied from another controller are left out, since both
        controllers hold them.
        """
        silence_timeout_s = self._limits.silence_timeout_s
        return tuple(
            incarnation
            for incarnation, held in self._held.items()
            if held.records
            and not held.copied
            and now_s - held.received_s >= silence_timeout_s
        )

    def copy_batch(self, incarnation: bytes, number: int) -> BillBatch:
        """Return a batch that starts at a number, for another controller."""
        held = self._held[incarnation]
        first = max(number, held.folded_next)
        start = first - held.folded_next
        records = held.records[start : start + self._limits.max_batch_records]
        return BillBatch(
            incarnation,
            held.folded_next,
            first,
            tuple(records),
            copied=True,
        )

    def count_from(self, incarnation: bytes, number: int) -> int:
        """Count the held records from a number on."""
        held = self._held[incarnation]
        return max(held.held_next - max(number, held.folded_next), 0)

    def drop_old(self, now_s: float) -> int:
        """Drop incarnations past the retention period; count lost records."""
        lost = 0
        for incarnation, held in list(self._held.items()):
            if now_s - held.received_s < self._limits.retention_s:
                continue
            lost += len(held.records)
            self._size -= len(held.records)
            self._held.pop(incarnation)
        self.counters['dropped'] += lost
        return lost

    def _append(self, held: _HeldRecords, records: tuple[bytes, ...]) -> None:
        room = max(self._limits.max_records - self._size, 0)
        if len(records) > room:
            self.counters['full'] += 1
        added = records[:room]
        held.records.extend(added)
        self._size += len(added)

    def _trim(self, held: _HeldRecords, folded_next: int) -> None:
        before = len(held.records)
        held.trim(folded_next)
        self._size -= before - len(held.records)

    def _ack(self, incarnation: bytes, held: _HeldRecords) -> BillAck:
        return BillAck(incarnation, held.held_next, held.folded_next)
