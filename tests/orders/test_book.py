"""Test the decisions on orders and their records."""

import random
import uuid

import pytest

from bamboodeck.invariants import Invariants
from bamboodeck.keyvalue.port import CompareAndSwap, ReadKey
from bamboodeck.orders import keys
from bamboodeck.orders.book import OrderBook
from bamboodeck.orders.messages import (
    AlreadyDone,
    MayDispatch,
    NotRun,
    OrderCode,
    OrderLimits,
    OrderOutcome,
    OrderRequest,
    OutcomeUnknown,
)
from bamboodeck.orders.pending import OrderClock
from bamboodeck.orders.writer import ShardWriter
from tests.orders.uuids import make_key
from tests.virtual_process import VirtualProcess
from tests.virtual_store import Fault, VirtualClock, VirtualStore

PAID = OrderOutcome(200, b'{"receipt": 7}')


class OrderProcess:
    """Run one entry process with its order book."""

    def __init__(self, store: VirtualProcess, seed: int, **limits) -> None:
        """Start a process."""
        clock = OrderClock(store.read_s, store.read_s, store.call_after)
        self.clock = store.clock
        self.book = OrderBook(
            store,
            clock,
            random.Random(seed),
            OrderLimits(**limits),
            Invariants(None, raising=True),
        )

    def begin(self, key: str, body: bytes = b'{"sum": 30}') -> list:
        """Start a payment; the returned list receives the decision."""
        decisions: list = []
        request = OrderRequest('plum', 'payments', 'pay', key, body)
        self.book.begin(request, decisions.append)
        return decisions

    def decide(self, key: str, body: bytes = b'{"sum": 30}'):
        """Start a payment and wait for the decision."""
        decisions = self.begin(key, body)
        self.clock.run(10)
        assert len(decisions) == 1
        return decisions[0]

    def pay(self, key: str) -> MayDispatch:
        """Pay and record the outcome."""
        decision = self.decide_promptly(key)
        assert self.book.check_dispatch(decision.ticket)
        self.book.finish(decision.ticket, PAID)
        self.clock.run(1)
        return decision

    def decide_promptly(self, key: str):
        """Start a payment and wait as long as a healthy store takes."""
        decisions = self.begin(key)
        self.clock.run(0.5)
        assert len(decisions) == 1
        return decisions[0]


def decide_frozen(store: VirtualStore, key: str):
    """Freeze a process during its read while another process pays."""
    process = VirtualProcess(store)
    decisions = OrderProcess(process, 1, max_value_bytes=100).begin(key)
    process.frozen_until_s = store.clock.now_s + 30
    store.clock.run(0.5)
    OrderProcess(VirtualProcess(store), 2).pay(key)
    store.clock.run(60)
    return decisions[0]


@pytest.fixture
def store() -> VirtualStore:
    """Start a store without faults."""
    return VirtualStore(VirtualClock())


@pytest.fixture
def key(store: VirtualStore) -> str:
    """Return a key that is issued now."""
    return make_key(store.clock.now_s)


class TestOutcomes:
    """Check the answer to a later request with the same key."""

    def test_replays_the_outcome(self, store: VirtualStore, key: str) -> None:
        """Answer a retry at another process with the recorded outcome."""
        OrderProcess(VirtualProcess(store), 1).pay(key)
        assert OrderProcess(VirtualProcess(store), 2).decide(
            key
        ) == AlreadyDone(PAID)

    def test_another_body(self, store: VirtualStore, key: str) -> None:
        """Refuse a used key with another body."""
        OrderProcess(VirtualProcess(store), 1).pay(key)
        refusal = OrderProcess(VirtualProcess(store), 2).decide(
            key, b'{"sum": 31}'
        )
        assert refusal.code is OrderCode.KEY_REUSED

    def test_killed_after_the_intent(
        self,
        store: VirtualStore,
        key: str,
    ) -> None:
        """Answer unknown when the process of the intent was killed."""
        first = OrderProcess(VirtualProcess(store), 1).decide_promptly(key)
        assert isinstance(first, MayDispatch)
        assert isinstance(
            OrderProcess(VirtualProcess(store), 2).decide(key), OutcomeUnknown
        )

    def test_runs_again_if_not_started(
        self,
        store: VirtualStore,
        key: str,
    ) -> None:
        """Permit a new attempt after the first was refused."""
        first = OrderProcess(VirtualProcess(store), 1)
        ticket = first.decide_promptly(key).ticket
        assert first.book.check_dispatch(ticket)
        first.book.mark_not_started(ticket, 'queue is full')
        store.clock.run(1)
        assert isinstance(
            OrderProcess(VirtualProcess(store), 2).decide(key), MayDispatch
        )

    def test_one_of_two_at_once(self, store: VirtualStore, key: str) -> None:
        """Permit one dispatch for concurrent calls at two processes."""
        processes = [
            OrderProcess(VirtualProcess(store), seed) for seed in (1, 2)
        ]
        waiting = [process.begin(key) for process in (*processes, processes[0])]
        store.clock.run(5)
        kinds = [type(decisions[0]) for decisions in waiting]
        assert kinds.count(MayDispatch) == 1
        assert kinds.count(OutcomeUnknown) == 2

    def test_long_body(self, store: VirtualStore, key: str) -> None:
        """Record only the status of an outcome with a long body."""
        process = OrderProcess(VirtualProcess(store), 1)
        ticket = process.decide_promptly(key).ticket
        assert process.book.check_dispatch(ticket)
        process.book.finish(ticket, OrderOutcome(200, b'x' * 1025))
        store.clock.run(1)
        replay = OrderProcess(VirtualProcess(store), 2).decide(key)
        assert replay == AlreadyDone(OrderOutcome(200, b'', body_kept=False))


class TestKeys:
    """Check which keys are accepted and kept."""

    def test_age(self, store: VirtualStore) -> None:
        """Answer unknown for a key that is expired or from the future."""
        process = OrderProcess(VirtualProcess(store), 1, key_ttl_s=600)
        now_s = store.clock.now_s
        old = process.decide(make_key(now_s - 601))
        assert old.code is OrderCode.KEY_EXPIRED
        future = process.decide(make_key(now_s + 600))
        assert future.code is OrderCode.KEY_IN_FUTURE

    def test_other_uuids(self, store: VirtualStore) -> None:
        """Answer not run for a key without an issue time."""
        refusal = OrderProcess(VirtualProcess(store), 1).decide(
            str(uuid.UUID(int=4))
        )
        assert isinstance(refusal, NotRun)
        assert refusal.code is OrderCode.KEY_MALFORMED

    def test_deletion(self, store: VirtualStore) -> None:
        """Keep buckets with keys that a host with a slow clock accepts."""
        now_s = store.clock.now_s
        oldest_s = now_s - keys.MAX_KEY_TTL_S - keys.RETENTION_MARGIN_S
        swept = keys.last_expired_bucket(now_s) - 9
        prefixes = list(keys.expired_prefixes(now_s, swept))
        request = OrderRequest('a', 'b', 'c', make_key(oldest_s), b'')
        kept = keys.locate_record(request).store_key
        assert prefixes
        assert not any(kept.startswith(prefix) for prefix in prefixes)
        request = OrderRequest('a', 'b', 'c', make_key(oldest_s - 10), b'')
        gone = keys.locate_record(request).store_key
        assert gone.startswith(prefixes[-1])


class TestFaults:
    """Check the answers when the key-value service fails."""

    def test_lost_answer(self, store: VirtualStore, key: str) -> None:
        """Find the stored intent when the reply to its write was lost."""
        store.fail_next(CompareAndSwap, Fault.LOST_AFTER)
        process = OrderProcess(VirtualProcess(store), 1)
        assert isinstance(process.decide_promptly(key), MayDispatch)
        swaps = [kind for kind in store.requests if kind.__class__ != ReadKey]
        assert len(swaps) == 1

    def test_outage(self, store: VirtualStore, key: str) -> None:
        """Answer unknown, as an earlier attempt can't be ruled out."""
        OrderProcess(VirtualProcess(store), 1).pay(key)
        store.faults = lambda _: Fault.REFUSED
        refusal = OrderProcess(VirtualProcess(store), 2).decide(key)
        assert isinstance(refusal, OutcomeUnknown)
        assert refusal.code is OrderCode.STORE_UNAVAILABLE

    def test_writes_fail(self, store: VirtualStore, key: str) -> None:
        """Answer not run when records can be read but not written."""
        store.fail_next(CompareAndSwap, Fault.LOST_BEFORE, 3)
        refusal = OrderProcess(VirtualProcess(store), 1).decide(key)
        assert isinstance(refusal, NotRun)

    def test_late_effect(self, store: VirtualStore, key: str) -> None:
        """Withdraw an intent whose write takes effect after the refusal."""
        process = OrderProcess(VirtualProcess(store), 1)
        store.fail_next(CompareAndSwap, Fault.LATE_EFFECT, 3)
        assert isinstance(process.decide(key), NotRun)
        assert process.book.pending_count == 0
        assert isinstance(
            OrderProcess(VirtualProcess(store), 2).decide(key), MayDispatch
        )

    def test_frozen_process(self, store: VirtualStore, key: str) -> None:
        """Refuse a dispatch after its deadline, and record not started."""
        process = OrderProcess(VirtualProcess(store), 1)
        ticket = process.decide_promptly(key).ticket
        store.clock.now_s += 60
        assert not process.book.check_dispatch(ticket)
        store.clock.run(1)
        assert isinstance(
            OrderProcess(VirtualProcess(store), 2).decide(key), MayDispatch
        )

    def test_stale_proof(
        self,
        store: VirtualStore,
        key: str,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Don't take a value read before a freeze for a proof."""
        assert isinstance(decide_frozen(store, key), OutcomeUnknown)
        monkeypatch.setattr(ShardWriter, '_is_fresh', lambda writer: True)
        other = make_key(store.clock.now_s, 2)
        assert isinstance(decide_frozen(store, other), NotRun)

    def test_withdraws_own(self, store: VirtualStore, key: str) -> None:
        """Keep the record of another attempt when withdrawing a claim."""
        process = VirtualProcess(store)
        cut = OrderProcess(process, 1)
        store.fail_next(CompareAndSwap, Fault.LOST_BEFORE)
        refusals = cut.begin(key)
        store.clock.run(0.005)
        process.disconnected_until_s = store.clock.now_s + 10
        store.clock.run(5)
        assert isinstance(refusals[0], OutcomeUnknown)
        OrderProcess(VirtualProcess(store), 2).pay(key)
        store.clock.run(30)
        replay = OrderProcess(VirtualProcess(store), 3).decide(key)
        assert replay == AlreadyDone(PAID)

    def test_dispatch_once(self, store: VirtualStore, key: str) -> None:
        """Permit the dispatch of a ticket only once."""
        process = OrderProcess(VirtualProcess(store), 1)
        ticket = process.decide_promptly(key).ticket
        assert process.book.check_dispatch(ticket)
        assert not process.book.check_dispatch(ticket)

    def test_full_value(self, store: VirtualStore, key: str) -> None:
        """Answer not run when the value is full."""
        process = OrderProcess(VirtualProcess(store), 1, max_value_bytes=100)
        refusal = process.decide(key)
        assert refusal.code is OrderCode.STORE_FULL

    def test_unreadable_value(self, store: VirtualStore, key: str) -> None:
        """Answer unknown when the value has no valid records."""
        request = OrderRequest('plum', 'payments', 'pay', key, b'')
        location = keys.locate_record(request).store_key
        store.apply(CompareAndSwap(location, 0, b'something else'))
        refusal = OrderProcess(VirtualProcess(store), 1).decide(key)
        assert refusal.code is OrderCode.STORE_UNREADABLE

    def test_bounded(self, store: VirtualStore) -> None:
        """Answer unknown above the limit of orders in progress."""
        process = OrderProcess(VirtualProcess(store), 1, max_pending=2)
        now_s = store.clock.now_s
        waiting = [process.begin(make_key(now_s, each)) for each in range(3)]
        assert waiting[2][0].code is OrderCode.OVERLOADED


class TestStop:
    """Check when a graceful shutdown may proceed."""

    def test_idle(self, store: VirtualStore, key: str) -> None:
        """Call back once the last outcome is stored."""
        process = OrderProcess(VirtualProcess(store), 1)
        ticket = process.decide_promptly(key).ticket
        assert process.book.check_dispatch(ticket)
        idle_s: list[float] = []
        process.book.on_idle(lambda: idle_s.append(store.clock.now_s))
        process.book.finish(ticket, PAID)
        assert not idle_s
        store.clock.run(1)
        assert len(idle_s) == 1
        assert OrderProcess(VirtualProcess(store), 2).decide(
            key
        ) == AlreadyDone(PAID)
