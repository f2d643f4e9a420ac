"""Fold the bills that a zone holds into the totals in the key-value store.

Folding a record means adding it to the totals of its shard.
"""

import functools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from bamboodeck.billing.ledger import Ledger, shard_key, shard_of
from bamboodeck.billing.messages import (
    BillAck,
    BillBatch,
    BilledRecord,
    BillingLimits,
    LedgerFormatError,
    unpack_record,
)
from bamboodeck.billing.update import BillingClock, UpdateContext, ValueUpdate
from bamboodeck.keyvalue.port import KeyValuePort

OnFolded = Callable[[tuple[BillAck, ...]], None]


@dataclass(frozen=True, slots=True)
class _NumberedRecord:
    incarnation: bytes
    number: int
    record: BilledRecord


@dataclass(slots=True)
class _Round:
    acks: tuple[BillAck, ...]
    on_folded: OnFolded
    pending_shards: int


class LedgerWriter:
    """Fold batches into the ledger shards, one round at a time.

    Two writers may run at once without billing twice: the watermarks are
    stored in the same value as the totals.
    """

    def __init__(
        self,
        port: KeyValuePort,
        clock: BillingClock,
        rng: random.Random,
        limits: BillingLimits,
    ) -> None:
        """Start with no round in progress."""
        self.counters: Counter[str] = Counter()
        self._context = UpdateContext(port, clock, rng, limits, self.counters)
        self._round: _Round | None = None

    @property
    def is_busy(self) -> bool:
        """Return whether a round is in progress."""
        return self._round is not None

    def fold(
        self,
        batches: tuple[BillBatch, ...],
        on_folded: OnFolded,
    ) -> bool:
        """Start a round unless one is in progress; return whether it started.

        Every shard update is retried until the store has accepted it.
        """
        if self._round is not None or not batches:
            return False
        acks = tuple(_ack(batch) for batch in batches)
        items_by_shard = self._group_by_shard(batches)
        if not items_by_shard:
            on_folded(acks)
            return True
        self._round = _Round(acks, on_folded, len(items_by_shard))
        for shard, items in items_by_shard.items():
            ValueUpdate(
                self._context,
                shard_key(shard),
                functools.partial(self._fold_into_shard, items),
                self._on_shard_done,
            ).start()
        return True

    def _group_by_shard(
        self, batches: tuple[BillBatch, ...]
    ) -> dict[int, list[_NumberedRecord]]:
        items_by_shard: dict[int, list[_NumberedRecord]] = {}
        for batch in batches:
            for number, packed in enumerate(batch.records, batch.first_number):
                try:
                    record = unpack_record(packed)
                except LedgerFormatError:
                    self.counters['unreadable_records'] += 1
                    continue
                item = _NumberedRecord(batch.incarnation, number, record)
                items_by_shard.setdefault(shard_of(record), []).append(item)
        return items_by_shard

    def _fold_into_shard(
        self, items: list[_NumberedRecord], body: bytes | None
    ) -> bytes | None:
        ledger = Ledger(body, self._context.clock.wall_s())
        for item in items:
            ledger.fold(item.incarnation, item.number, item.record)
        if not ledger.changed:
            return None
        packed = ledger.pack()
        self.counters['dropped_slots'] += ledger.dropped_slots
        return packed

    def _on_shard_done(self) -> None:
        current = self._round
        current.pending_shards -= 1
        if current.pending_shards:
            return
        self._round = None
        self.counters['rounds'] += 1
        current.on_folded(current.acks)


def _ack(batch: BillBatch) -> BillAck:
    next_number = batch.first_number + len(batch.records)
    return BillAck(batch.incarnation, next_number, next_number)
