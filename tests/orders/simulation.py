"""Simulate orders in several processes under random faults."""

import random
from collections import Counter
from dataclasses import dataclass

from bamboodeck.invariants import Invariants
from bamboodeck.keyvalue.port import StoreRequest
from bamboodeck.orders.book import OrderBook
from bamboodeck.orders.messages import (
    AlreadyDone,
    MayDispatch,
    NotRun,
    OrderDecision,
    OrderLimits,
    OrderOutcome,
    OrderRequest,
    OrderTicket,
    OutcomeUnknown,
)
from bamboodeck.orders.pending import OrderClock
from tests.orders.uuids import make_key
from tests.virtual_process import VirtualProcess
from tests.virtual_store import Fault, VirtualClock, VirtualStore

LIMITS = OrderLimits()
DURATION_S = 40.0


@dataclass(frozen=True)
class Execution:
    """Record one execution by the order service."""

    time_s: float
    body: bytes
    answer: bytes


class EntryProcess(VirtualProcess):
    """Dispatch permitted orders to the order service."""

    def __init__(self, simulation: 'Simulation', seed: int) -> None:
        """Start with an empty book."""
        super().__init__(simulation.store)
        self.simulation = simulation
        self.book = OrderBook(
            self,
            OrderClock(self.read_s, self.read_s, self.call_after),
            random.Random(seed),
            LIMITS,
            Invariants(None, raising=True),
        )

    def begin(self, call: 'Call') -> None:
        """Begin the order of a call."""
        self.book.begin(call.request, lambda found: self.decided(call, found))

    def decided(self, call: 'Call', decision: OrderDecision) -> None:
        """Dispatch after a random delay, or answer."""
        if not isinstance(decision, MayDispatch):
            self.simulation.answer(call, decision)
            return
        delay_s = self.simulation.rng.choice((0, 0, 0.001, 0.05, 3))
        self.call_after(delay_s, lambda: self.dispatch(call, decision.ticket))

    def dispatch(self, call: 'Call', ticket: OrderTicket) -> None:
        """Send the order to the service once."""
        started_s = self.read_s()
        if not self.book.check_dispatch(ticket):
            self.simulation.answer(call, NotRun('late', 'late'))
            return
        longest_s = LIMITS.claim_timeout_s + LIMITS.dispatch_window_s
        assert started_s - call.begun_s <= longest_s, 'dispatch too late'
        key = call.request.idempotency_key
        self.simulation.dispatched.setdefault(key, []).append(started_s)
        delay_s = self.simulation.rng.uniform(0, 0.05)
        self.clock.call_after(delay_s, lambda: self.serve(call, ticket))

    def serve(self, call: 'Call', ticket: OrderTicket) -> None:
        """Execute in the service; the answer may be lost."""
        result = self.simulation.rng.choice(
            ('done', 'done', 'lost', 'not started')
        )
        if result == 'not started':
            self.simulation.dispatched[call.request.idempotency_key].clear()
            self.run(lambda: self.refused(call, ticket))
            return
        outcome = self.simulation.execute(call)
        if result == 'lost':
            self.run(lambda: self.book.mark_unknown(ticket, 'timeout'))
            return
        self.run(lambda: self.finished(call, ticket, outcome))

    def refused(self, call: 'Call', ticket: OrderTicket) -> None:
        """Handle a refusal by the service."""
        self.book.mark_not_started(ticket, 'full')
        self.simulation.answer(call, NotRun('refused', 'refused'))

    def finished(
        self,
        call: 'Call',
        ticket: OrderTicket,
        outcome: OrderOutcome,
    ) -> None:
        """Answer with the outcome."""
        self.book.finish(ticket, outcome)
        self.simulation.answer(call, AlreadyDone(outcome))


@dataclass(frozen=True)
class Call:
    """Describe one call and when it began."""

    request: OrderRequest
    begun_s: float


class Simulation:
    """Simulate callers, faults and the order service from one seed."""

    def __init__(self, seed: int) -> None:
        """Start four processes with one store."""
        self.rng = random.Random(seed)
        self.store = VirtualStore(VirtualClock(), random.Random(seed + 1))
        self.store.faults = self.choose_fault
        self.fault_share = self.rng.choice((0, 0.05, 0.3, 0.6))
        self.down_until_s = 0.0
        self.processes = [EntryProcess(self, each) for each in range(4)]
        self.executions: dict[str, list[Execution]] = {}
        self.dispatched: dict[str, list[float]] = {}
        self.answers: Counter[type] = Counter()

    def choose_fault(self, request: StoreRequest) -> Fault:
        """Choose the fault of a request to the store."""
        if self.store.clock.now_s < self.down_until_s:
            return Fault.REFUSED
        if self.rng.random() >= self.fault_share:
            return Fault.NONE
        return self.rng.choice(list(Fault))

    def run(self) -> 'Simulation':
        """Run callers and faults, then check the executions."""
        clock = self.store.clock
        for number in range(40):
            at_s = self.rng.uniform(0, DURATION_S)
            key = make_key(clock.now_s + at_s, number)
            for _ in range(self.rng.choice((1, 2, 4, 6))):
                at_s += self.rng.choice((0, 0.005, 0.5, 2, 4))
                self.call_at(at_s, key)
        for _ in range(40):
            clock.call_after(self.rng.uniform(0, DURATION_S), self.inject_fault)
        clock.run(DURATION_S * 2)
        for executions in self.executions.values():
            assert len(executions) == 1, 'an order ran twice'
        return self

    def call_at(self, delay_s: float, key: str) -> None:
        """Call a random process with a key, sometimes with another body."""
        body = self.rng.choice((b'30', b'30', b'30', b'31'))

        def call() -> None:
            request = OrderRequest('plum', 'payments', 'pay', key, body)
            process = self.rng.choice(self.processes)
            process.run(
                lambda: process.begin(Call(request, process.read_s())),
            )

        self.store.clock.call_after(delay_s, call)

    def inject_fault(self) -> None:
        """Kill, freeze or isolate a process, or stop the store."""
        index = self.rng.randrange(len(self.processes))
        process = self.processes[index]
        now_s = self.store.clock.now_s
        match self.rng.randrange(4):
            case 0:
                process.alive = False
                seed = self.rng.randrange(10**6)
                self.processes[index] = EntryProcess(self, seed)
            case 1:
                process.frozen_until_s = now_s + self.rng.choice((0.01, 1, 8))
            case 2:
                process.disconnected_until_s = now_s + self.rng.choice(
                    (0.02, 1, 5)
                )
            case _:
                self.down_until_s = now_s + self.rng.choice((0.02, 1, 5))

    def execute(self, call: Call) -> OrderOutcome:
        """Execute an order in the service."""
        key = call.request.idempotency_key
        done = self.executions.setdefault(key, [])
        now_s = self.store.clock.now_s
        answer = f'receipt {key} {len(done)}'.encode()
        done.append(Execution(now_s, call.request.body, answer))
        return OrderOutcome(200, answer)

    def answer(self, call: Call, decision: OrderDecision) -> None:
        """Check an answer against the executions of the service."""
        self.answers[type(decision)] += 1
        key = call.request.idempotency_key
        done = self.executions.get(key, [])
        match decision:
            case NotRun():
                proof_s = self.store.clock.now_s - LIMITS.proof_max_age_s
                for dispatched_s in self.dispatched.get(key, ()):
                    assert dispatched_s > proof_s, (
                        'not-run for a dispatched order'
                    )
                for execution in done:
                    assert execution.time_s > proof_s, (
                        'not-run for an executed order'
                    )
            case AlreadyDone(outcome=outcome):
                assert done, 'done for an order that never ran'
                expected = done[0].answer if outcome.body_kept else b''
                assert outcome.body == expected, (
                    'answer differs from the execution'
                )
                assert call.request.body == done[0].body, (
                    'body differs from the execution'
                )
            case OutcomeUnknown():
                return
