"""Test that the shares in force never exceed the limit in total."""

import random

import pytest

from bamboodeck.admission.limits import CustomerLimit, Rates
from bamboodeck.controller.limit_allocator import LimitAllocator
from bamboodeck.keyvalue.port import CompareAndSwap
from bamboodeck.peers.messages import DemandReported, RateRow, SharesSent
from tests.controller.virtual_loop import VirtualScheduler
from tests.virtual_store import Fault, VirtualClock, VirtualStore

CUSTOMER = 'desk'
LIMIT = CustomerLimit(CUSTOMER, Rates(10, 1000))
NODES = ('a', 'b', 'c', 'd')
LOSS = 0.3
STEPS = 300


class Fleet:
    """Simulate nodes and an allocator that splits a limit among them."""

    def __init__(self, seed: int) -> None:
        """Start every node with an equal share in force."""
        self.random = random.Random(seed)
        self.clock = VirtualClock()
        self.store = VirtualStore(self.clock, self.random)
        self.in_force = dict.fromkeys(NODES, LIMIT.rates.requests_per_s / 4)
        self.sequences = dict.fromkeys(NODES, 0)
        self.demand = dict.fromkeys(NODES, 0.0)
        self.lossy = True
        self.start_holder()

    def start_holder(self) -> None:
        """Start a new lease holder that knows only the stored record."""
        self.allocator = LimitAllocator(
            self.store,
            VirtualScheduler(self.clock),
            '/limits',
            dict.fromkeys(NODES, 1 / len(NODES)),
            self.deliver,
        )
        self.allocator.set_term(1)

    def deliver(self, sent: SharesSent) -> None:
        """Deliver shares to a node with a delay, or lose them."""
        if self.lossy and self.random.random() < LOSS:
            return
        delay_s = self.random.uniform(0, 5)
        self.clock.call_after(delay_s, lambda: self.take(sent))

    def take(self, sent: SharesSent) -> None:
        """Put newer shares in force on a node."""
        if sent.sequence > self.sequences[sent.holder]:
            self.sequences[sent.holder] = sent.sequence
            self.in_force[sent.holder] = sent.rows[0].requests_per_s

    def step(self, limit: CustomerLimit = LIMIT) -> None:
        """Report the demand, unless it is lost, and split the limit."""
        for node in NODES:
            if self.lossy and self.random.random() < LOSS:
                continue
            rows = (RateRow(CUSTOMER, self.demand[node], 0),)
            sequence = self.sequences[node]
            self.allocator.record_demand(DemandReported(node, sequence, rows))
        self.allocator.split((limit,), (limit,))
        self.clock.run(1)


class TestLimitAllocator:
    """Follow the demand within the limit."""

    @pytest.mark.parametrize('seed', range(10))
    def test_sum_stays_within_the_limit(self, seed: int) -> None:
        """Keep the limit despite lost messages, lost writes and new holders."""
        fleet = Fleet(seed)
        rng = fleet.random
        for _ in range(STEPS):
            if rng.random() < 0.1:
                fleet.demand[rng.choice(NODES)] = rng.uniform(0, 20)
            if rng.random() < 0.05:
                fleet.start_holder()
            fault = rng.choice((Fault.LOST_AFTER, Fault.LATE_EFFECT))
            if rng.random() < 0.1:
                fleet.store.fail_next(CompareAndSwap, fault)
            fleet.step()
            total = sum(fleet.in_force.values())
            assert total <= LIMIT.rates.requests_per_s * (1 + 1e-6)

    def test_demand_gets_share(self) -> None:
        """Move the shares to the node with the demand."""
        fleet = Fleet(1)
        fleet.lossy = False
        fleet.demand['b'] = 20
        for _ in range(30):
            fleet.step()
        assert fleet.in_force['b'] > 0.85 * LIMIT.rates.requests_per_s

    def test_lower_total_fits_once_in_force(self) -> None:
        """Confirm a lower total only once the nodes' shares are within it."""
        fleet = Fleet(2)
        fleet.lossy = False
        for _ in range(5):
            fleet.step()
        lower = CustomerLimit(CUSTOMER, Rates(4, 400))
        assert not fleet.allocator.fits((lower,))
        for _ in range(20):
            fleet.step(lower)
            if fleet.allocator.fits((lower,)):
                break
        assert fleet.allocator.fits((lower,))
        assert sum(fleet.in_force.values()) <= 4 * (1 + 1e-6)
