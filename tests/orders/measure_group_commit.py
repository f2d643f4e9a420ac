"""Measure the calls to the key-value service per order."""

import functools
import random
from dataclasses import dataclass

from bamboodeck.orders.book import OrderBook
from bamboodeck.orders.messages import (
    MayDispatch,
    OrderLimits,
    OrderOutcome,
    OrderRequest,
)
from bamboodeck.orders.pending import OrderClock
from tests.orders.uuids import make_key
from tests.virtual_process import VirtualProcess
from tests.virtual_store import VirtualClock, VirtualStore

DURATION_S = 20.0
DRAIN_S = 5.0
SERVICE_S = 0.05
LATENCY_S = 0.004


@dataclass(frozen=True)
class Measurement:
    """Report the rates of one run."""

    orders_per_s: float
    writers: int
    linger_s: float
    writes_per_s: float
    reads_per_s: float
    conflicts_per_s: float
    intents_per_write: float
    wait_p50_ms: float
    wait_p99_ms: float
    refused: int
    largest_value_bytes: int


class Load:
    """Send orders at random times through several books."""

    def __init__(
        self,
        orders_per_s: float,
        writers: int,
        linger_s: float = 0,
    ) -> None:
        """Start the books."""
        self.linger_s = linger_s
        self.rng = random.Random(7)
        self.clock = VirtualClock()
        self.store = VirtualStore(self.clock, self.rng, LATENCY_S)
        self.books = [self.start(seed) for seed in range(writers)]
        self.orders_per_s = orders_per_s
        self.waits_s: list[float] = []
        self.refused = 0

    def start(self, seed: int) -> OrderBook:
        """Start one book."""
        process = VirtualProcess(self.store)
        clock = OrderClock(process.read_s, process.read_s, process.call_after)
        limits = OrderLimits(claim_linger_s=self.linger_s)
        return OrderBook(process, clock, random.Random(seed), limits)

    def order(self, number: int) -> None:
        """Send one order and finish it."""
        begun_s = self.clock.now_s
        book = self.rng.choice(self.books)
        request = OrderRequest(
            'plum',
            'payments',
            'pay',
            make_key(begun_s, number),
            b'',
        )

        def decided(decision) -> None:
            if not isinstance(decision, MayDispatch):
                self.refused += 1
                return
            self.waits_s.append(self.clock.now_s - begun_s)
            ticket = decision.ticket
            assert book.check_dispatch(ticket)
            outcome = OrderOutcome(200, b'{"receipt": 123456}')
            self.clock.call_after(
                SERVICE_S,
                lambda: book.finish(ticket, outcome),
            )

        book.begin(request, decided)

    def run(self) -> Measurement:
        """Run the load and return the counts."""
        for number in range(int(self.orders_per_s * DURATION_S)):
            at_s = self.rng.uniform(0, DURATION_S)
            self.clock.call_after(at_s, functools.partial(self.order, number))
        self.clock.run(DURATION_S + DRAIN_S)
        counted = {
            name: sum(book.counters[name] for book in self.books)
            for name in ('writes', 'reads', 'conflicts', 'intents')
        }
        waits_s = sorted(self.waits_s)
        stored = self.store.entries.values()
        done_writes = counted['writes'] - counted['conflicts']
        return Measurement(
            self.orders_per_s,
            len(self.books),
            self.linger_s,
            counted['writes'] / DURATION_S,
            counted['reads'] / DURATION_S,
            counted['conflicts'] / DURATION_S,
            counted['intents'] / max(done_writes, 1),
            waits_s[len(waits_s) // 2] * 1000,
            waits_s[int(len(waits_s) * 0.99)] * 1000,
            self.refused,
            max(len(entry.body) for entry in stored),
        )


def main() -> None:
    """Print the rates for one process, one per zone and one per node."""
    for linger_s in (0.05, 0.1, 0.2):
        print(Load(460, 1, linger_s).run())  # noqa: WPS421
    for writers in (1, 6, 25, 1300):
        for orders_per_s in (1, 10, 100, 460):
            print(Load(orders_per_s, writers).run())  # noqa: WPS421


if __name__ == '__main__':
    main()
