"""Buffer the bills of an entry process until they are in the store.

Records are numbered and copied to one peer on another host. Both keep a
record until the store has it, so the loss of either host loses no bill.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from bamboodeck.billing.messages import (
    BillAck,
    BillBatch,
    BillHeld,
    BillingLimits,
    BillOutcome,
    BillRecord,
    BillsFullError,
    BillUnprotected,
    CostRecord,
    SendBatch,
    pack_record,
)

OnHeld = Callable[[BillOutcome], None]

# One ack without progress may be a late ack of the previous batch.
FULL_PEER_STALLS = 2


@dataclass(frozen=True, slots=True)
class _HoldWaiter:
    deadline_s: float
    on_held: OnHeld


@dataclass(frozen=True, slots=True)
class _CostKey:
    provider: str
    customer: str
    version: str


class BillSender:
    """Number the records of one incarnation and send them to a peer."""

    def __init__(self, incarnation: bytes, limits: BillingLimits) -> None:
        """Start an incarnation with no records and no peers."""
        self.counters: Counter[str] = Counter()
        self._incarnation = incarnation
        self._limits = limits
        self._records: list[bytes] = []
        self._folded_next = 0
        self._held_next = 0
        self._notified_next = 0
        self._waiters: dict[int, _HoldWaiter] = {}
        self._flushed_costs_next = 0
        self._costs: dict[_CostKey, CostRecord] = {}
        self._peers: tuple[str, ...] = ()
        self._peer = ''
        self._sent_s: float | None = None
        self._refreshed_s = 0.0
        self._draining = False
        self._reconfirming = False
        self._sent_next = 0
        self._stalls = 0

    @property
    def pending_count(self) -> int:
        """Count the records not yet confirmed to be in the store."""
        return len(self._records) + len(self._costs)

    @property
    def unheld_count(self) -> int:
        """Count the records not yet confirmed to be held by another host."""
        if self._reconfirming:
            return self.pending_count
        return self._next_number - self._held_next + len(self._costs)

    def accepts(self) -> bool:
        """Return whether one more bill fits here and on the peer."""
        return (
            len(self._records) < self._limits.max_records
            and not self._peer_full
        )

    def update_peers(self, peers: tuple[str, ...]) -> None:
        """Set the controllers on other hosts of the zone."""
        self._peers = peers
        if self._peer not in peers:
            self._choose_peer()

    def add(self, record: BillRecord, now_s: float, on_held: OnHeld) -> int:
        """Buffer a record and return its number.

        The callback gets `BillHeld`, or `BillUnprotected` after the timeout.
        Raise `BillsFullError` at twice the limit that `accepts` checks.
        """
        if len(self._records) >= 2 * self._limits.max_records:
            raise BillsFullError('too many bills are waiting for the store')
        number = self._append(record)
        deadline_s = now_s + self._limits.hold_timeout_s
        self._waiters[number] = _HoldWaiter(deadline_s, on_held)
        return number

    def add_cost(self, cost: CostRecord) -> None:
        """Add the cost of an attempt to the sums that are sent next."""
        key = _CostKey(cost.provider, cost.customer, cost.version)
        total = self._costs.get(key)
        self._costs[key] = cost if total is None else _add(total, cost)

    def poll(
        self,
        now_s: float,
        *,
        draining: bool = False,
    ) -> SendBatch | None:
        """Return the batch to send now, if any.

        While draining, all costs are sent and the peer is asked again what
        it holds, because this host's copies are about to be lost.
        """
        if draining and not self._draining:
            self._reconfirming = True
        self._draining = draining
        self._expire_waiters(now_s)
        if self._sent_s is not None:
            if now_s - self._sent_s < self._limits.ack_timeout_s:
                return None
            self.counters['ack_timeouts'] += 1
            self._choose_peer()
        if not self._peer or (
            self._peer_full and not self._needs_refresh(now_s)
        ):
            return None
        if draining or self._folded_next >= self._flushed_costs_next:
            self._flush_costs()
        has_new_records = self._next_number > self._held_next
        if (
            not has_new_records
            and not self._reconfirming
            and not self._needs_refresh(now_s)
        ):
            return None
        self._sent_s = now_s
        self._refreshed_s = now_s
        batch = self._batch()
        self._sent_next = batch.first_number if batch.records else -1
        return SendBatch(self._peer, batch)

    def on_ack(self, peer: str, ack: BillAck) -> None:
        """Process an ack; only the current peer's `held_next` counts."""
        if ack.incarnation != self._incarnation:
            return
        self._trim(ack.folded_next)
        if peer != self._peer:
            return
        self._sent_s = None
        self._reconfirming = False
        self._track_peer_capacity(ack)
        self._held_next = min(
            max(ack.held_next, self._folded_next),
            self._next_number,
        )
        self._notify_held()

    @property
    def _peer_full(self) -> bool:
        """Return whether the peer has no room for more records."""
        return self._stalls >= FULL_PEER_STALLS

    def _track_peer_capacity(self, ack: BillAck) -> None:
        """Count successive batches from which the peer took no record."""
        if ack.held_next != self._sent_next:
            self._stalls = 0
            return
        self._stalls += 1
        if self._stalls == FULL_PEER_STALLS:
            self.counters['full_peers'] += 1

    @property
    def _next_number(self) -> int:
        return self._folded_next + len(self._records)

    def _append(self, record: BillRecord | CostRecord) -> int:
        number = self._next_number
        self._records.append(pack_record(record))
        return number

    def _flush_costs(self) -> None:
        """Append one record for each summed cost.

        Later costs are summed until these records are stored, so an outage
        of the store adds few records.
        """
        costs = self._costs
        self._costs = {}
        for cost in costs.values():
            self._append(cost)
        self._flushed_costs_next = self._next_number

    def _batch(self) -> BillBatch:
        start = self._held_next - self._folded_next
        end = start + self._limits.max_batch_records
        return BillBatch(
            self._incarnation,
            self._folded_next,
            self._held_next,
            tuple(self._records[start:end]),
        )

    def _needs_refresh(self, now_s: float) -> bool:
        """Return whether to ask the peer again what the store has."""
        age_s = now_s - self._refreshed_s
        return bool(self._records) and age_s >= self._limits.refresh_period_s

    def _choose_peer(self) -> None:
        """Switch to the next peer, which holds no records yet."""
        self._sent_s = None
        self._stalls = 0
        self._held_next = self._folded_next
        if not self._peers:
            self._peer = ''
            return
        after = -1
        if self._peer in self._peers:
            after = self._peers.index(self._peer)
        self._peer = self._peers[(after + 1) % len(self._peers)]

    def _trim(self, folded_next: int) -> None:
        """Drop the records that are in the store."""
        folded = min(folded_next, self._next_number) - self._folded_next
        if folded <= 0:
            return
        del self._records[:folded]  # noqa: WPS420
        self._folded_next += folded
        self._held_next = max(self._held_next, self._folded_next)
        self._notify_held()

    def _notify_held(self) -> None:
        """Call each waiter once; a stored record counts as held."""
        start = self._notified_next
        self._notified_next = max(start, self._held_next)
        for number in range(start, self._notified_next):
            waiter = self._waiters.pop(number, None)
            if waiter is not None:
                waiter.on_held(BillHeld(number))

    def _expire_waiters(self, now_s: float) -> None:
        for number, waiter in list(self._waiters.items()):
            if now_s < waiter.deadline_s:
                return
            self.counters['unprotected'] += 1
            self._waiters.pop(number)
            waiter.on_held(BillUnprotected(number))


def _add(total: CostRecord, cost: CostRecord) -> CostRecord:
    return CostRecord(
        total.provider,
        total.customer,
        total.version,
        total.attempts + cost.attempts,
        total.input_tokens + cost.input_tokens,
        total.output_tokens + cost.output_tokens,
        total.wasted_tokens + cost.wasted_tokens,
        total.cost_credits + cost.cost_credits,
    )
