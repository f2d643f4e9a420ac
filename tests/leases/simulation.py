"""Simulate processes that compete for a lease and send orders."""

import random
from dataclasses import dataclass

from bamboodeck.leases.holder import LeaseHolder
from bamboodeck.leases.messages import LeaseClock, LeaseLimits
from tests.virtual_process import VirtualProcess
from tests.virtual_store import Fault, VirtualClock, VirtualStore

LIMITS = LeaseLimits(poll_interval_s=1)
STEP_S = 0.05
PROCESSES = 3


@dataclass(frozen=True)
class Order:
    """Represent an order that is queued in a process."""

    fencing_number: int


class Competitor(VirtualProcess):
    """Queue orders while holding the lease and send them later."""

    def __init__(self, world: 'LeaseWorld', number: int) -> None:
        """Start competing for the lease."""
        super().__init__(world.store)
        self.world = world
        self.queue: list[Order] = []
        self.holder = LeaseHolder(
            self,
            LeaseClock(self.read_s, self.call_after),
            random.Random(number),
            'zone-a',
            f'host-{number}',
            LIMITS,
        )
        self.holder.start()

    def work(self) -> None:
        """Queue an order while holding the lease; send a permitted one."""
        now_s = self.read_s()
        if self.holder.holds(now_s):
            self.queue.append(Order(self.holder.fencing_number))
        if not self.queue or self.world.rng.random() < 0.5:
            return
        order = self.queue.pop(0)
        if not self.holder.check(order.fencing_number, now_s):
            return
        self.world.send(order, checks_fencing=True)
        if self.holder.may_order(False, now_s):
            self.world.send(order, checks_fencing=False)


class LeaseWorld:
    """Run the competitors against one store and two engines."""

    def __init__(self, seed: int) -> None:
        """Start the processes."""
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.store = VirtualStore(
            self.clock,
            random.Random(seed + 1),
            self.rng.choice((0.002, 0.3, 0.8)),
        )
        self.store.faults = self.choose_fault
        self.fault_share = 0.0
        self.highest = 0
        self.accepted: list[int] = []
        self.arrived: list[int] = []
        self.releases = 0
        self.terms: set[int] = set()
        self.competitors = [Competitor(self, at) for at in range(PROCESSES)]

    def choose_fault(self, request) -> Fault:
        """Choose the fault of a request to the store."""
        if self.rng.random() >= self.fault_share:
            return Fault.NONE
        return self.rng.choice(list(Fault))

    def send(self, order: Order, *, checks_fencing: bool) -> None:
        """Deliver an order to an engine after a random permitted delay."""
        delay_s = self.rng.uniform(0, LIMITS.max_order_s)
        arrive = self.accept if checks_fencing else self.arrive
        self.clock.call_after(delay_s, lambda: arrive(order))

    def accept(self, order: Order) -> None:
        """Accept an order in an engine that rejects old fencing numbers."""
        if order.fencing_number >= self.highest:
            self.highest = order.fencing_number
            self.accepted.append(order.fencing_number)

    def arrive(self, order: Order) -> None:
        """Accept any order in an engine that ignores fencing numbers."""
        self.arrived.append(order.fencing_number)
        newest = max(self.arrived)
        assert order.fencing_number == newest, (
            'order of a former holder arrived'
        )

    def run(self, duration_s: float) -> None:
        """Advance time and check the holders after each step."""
        for _ in range(int(duration_s / STEP_S)):
            self.clock.run(STEP_S)
            for competitor in self.competitors:
                competitor.run(competitor.work)
            self.check()

    def check(self) -> None:
        """Assert that at most one process considers itself the holder."""
        now_s = self.clock.now_s
        numbers = [
            each.holder.fencing_number
            for each in self.competitors
            if each.alive and each.holder.holds(now_s)
        ]
        assert len(numbers) <= 1, 'two processes hold the lease'
        self.terms.update(numbers)

    def find_holder(self) -> Competitor | None:
        """Return the process that holds the lease."""
        for competitor in self.competitors:
            if competitor.holder.holds(self.clock.now_s):
                return competitor
        return None

    def settle(self) -> None:
        """Clear all faults and assert that a holder emerges."""
        self.fault_share = 0.0
        self.store.latency_s = 0.002
        self.run(40)
        assert self.find_holder() is not None
