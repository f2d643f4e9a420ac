"""Measure the memory, time and store calls that billing takes."""

import functools
import random
import time
import tracemalloc
from dataclasses import dataclass

from bamboodeck.billing.holder import BillHolder
from bamboodeck.billing.ledger import Ledger
from bamboodeck.billing.ledger_writer import LedgerWriter
from bamboodeck.billing.messages import (
    BillBatch,
    BillingLimits,
    BillRecord,
    build_bill_id,
)
from bamboodeck.billing.sender import BillSender
from bamboodeck.billing.update import BillingClock
from tests.virtual_store import VirtualClock, VirtualStore

OUTAGE_S = 3600
NODE_REQUESTS_PER_S = 35
KIB = 1024


@dataclass(frozen=True)
class OutageMeasured:
    """Report the memory that an outage takes on one node."""

    records: int
    sender_bytes_per_record: float
    holder_bytes_per_record: float


@dataclass(frozen=True)
class FoldMeasured:
    """Report the size and time of one fold of a shard."""

    ids_in_value: int
    records: int
    value_kib: float
    fold_ms: float


@dataclass(frozen=True)
class CallsMeasured:
    """Report the store calls of several ledger writers."""

    folders: int
    requests_per_s: float
    fold_period_s: float
    writes_per_s: float
    reads_per_s: float
    conflicts_per_s: float


def make_bill(number: int, rng: random.Random) -> BillRecord:
    """Build a bill of typical size."""
    request_id = f'{rng.getrandbits(128):032x}'
    return BillRecord(
        build_bill_id('vandermeulen-school-7', request_id),
        'vandermeulen-school-7',
        request_id,
        'fitting-large@2031-05',
        'fitting_plan',
        900 + number % 100,
        500 + number % 100,
        0.0123,
        'flanders-1',
        1_900_000_000.0 + number,
    )


def measure_outage() -> OutageMeasured:
    """Buffer an hour's bills in a sender and in its peer."""
    rng = random.Random(1)
    count = OUTAGE_S * NODE_REQUESTS_PER_S
    tracemalloc.start()
    sender = BillSender(b'12345678', BillingLimits())
    sender.update_peers(('h1',))
    for number in range(count):
        sender.add(make_bill(number, rng), 0, lambda _: None)
        if number % 100 == 0:
            _hold(sender)
    sender_bytes = tracemalloc.get_traced_memory()[0]
    batch = BillBatch(
        b'12345678',
        0,
        0,
        tuple(bytes(bytearray(packed)) for packed in sender._records),
    )
    before = tracemalloc.get_traced_memory()[0]
    holder = BillHolder(BillingLimits())
    holder.receive(batch, 0)
    copied = sum(len(packed) + 33 for packed in batch.records)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return OutageMeasured(
        count,
        sender_bytes / count,
        (after - before + copied) / count,
    )


def _hold(sender: BillSender) -> None:
    sending = sender.poll(0)
    while sending is not None:
        holder = BillHolder(BillingLimits())
        holder.mark_folded(b'', 0)
        following = sending.batch.first_number + len(sending.batch.records)
        ack = holder.receive(sending.batch, 0)
        held = type(ack)(ack.incarnation, following, 0)
        sender.on_ack('h1', held)
        sending = sender.poll(0)


def measure_fold(known: int, records: int) -> FoldMeasured:
    """Fold bills into a shard that already has `known` bills."""
    rng = random.Random(2)
    ledger = Ledger(None, 0)
    for number in range(known):
        ledger.fold(b'12345678', number, make_bill(number, rng))
    body = ledger.pack()
    bills = [make_bill(number, rng) for number in range(records)]
    started_s = time.process_time()
    ledger = Ledger(body, 60)
    for number, bill in enumerate(bills):
        ledger.fold(b'87654321', number, bill)
    packed = ledger.pack()
    spent_s = time.process_time() - started_s
    return FoldMeasured(known, records, len(packed) / KIB, spent_s * 1000)


class Load:
    """Simulate several controllers that each fold their own bills."""

    def __init__(
        self,
        writer_count: int,
        requests_per_s: float,
        fold_period_s: float,
    ) -> None:
        """Start the controllers."""
        self.rng = random.Random(3)
        self.clock = VirtualClock()
        self.store = VirtualStore(self.clock, self.rng)
        self.holders = [
            BillHolder(BillingLimits()) for _ in range(writer_count)
        ]
        clock = BillingClock(self.clock.read_s, self.clock.call_after)
        self.writers = [
            LedgerWriter(self.store, clock, random.Random(at), BillingLimits())
            for at in range(writer_count)
        ]
        self.requests_per_s = requests_per_s
        self.fold_period_s = fold_period_s
        self.senders = [
            BillSender(self.rng.randbytes(8), BillingLimits())
            for _ in range(writer_count)
        ]
        for sender in self.senders:
            sender.update_peers(('h',))

    def request(self, number: int) -> None:
        """Bill one request through a random host."""
        at = self.rng.randrange(len(self.senders))
        sender = self.senders[at]
        sender.add(make_bill(number, self.rng), 0, lambda _: None)
        sending = sender.poll(self.clock.now_s)
        if sending is not None:
            ack = self.holders[at].receive(sending.batch, self.clock.now_s)
            sender.on_ack('h', ack)

    def fold(self, at: int) -> None:
        """Fold periodically in one controller."""
        self.clock.call_after(self.fold_period_s, lambda: self.fold(at))
        holder = self.holders[at]

        def folded(acks) -> None:
            for ack in acks:
                holder.mark_folded(ack.incarnation, ack.folded_next)

        self.writers[at].fold(holder.batches(), folded)

    def run(self, duration_s: float) -> CallsMeasured:
        """Run the load and count the calls."""
        for number in range(int(self.requests_per_s * duration_s)):
            at_s = self.rng.uniform(0, duration_s)
            self.clock.call_after(at_s, functools.partial(self.request, number))
        for at, _ in enumerate(self.writers):
            start_s = self.rng.uniform(0, self.fold_period_s)
            self.clock.call_after(start_s, functools.partial(self.fold, at))
        self.clock.run(duration_s)
        counted = {
            name: sum(each.counters[name] for each in self.writers)
            for name in ('writes', 'reads', 'conflicts')
        }
        return CallsMeasured(
            len(self.writers),
            self.requests_per_s,
            self.fold_period_s,
            counted['writes'] / duration_s,
            counted['reads'] / duration_s,
            counted['conflicts'] / duration_s,
        )


def main() -> None:
    """Print all measurements."""
    print(measure_outage())  # noqa: WPS421
    for known, records in ((0, 10), (10_000, 10), (38_000, 10), (38_000, 500)):
        print(measure_fold(known, records))  # noqa: WPS421
    for requests_per_s in (1, 10, 100):
        for period_s in (1, 5, 10):
            load = Load(6, requests_per_s, period_s)
            print(load.run(100))  # noqa: WPS421
    print(Load(25, 1000, 10).run(50))  # noqa: WPS421


if __name__ == '__main__':
    main()
