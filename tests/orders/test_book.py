"""Test that orders run at most once."""

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


class Zone:
    """Hold one entry process and its book."""

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
        """Start a payment; the list gets the decision."""
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
        decision = self.decide_at_once(key)
        assert self.book.check_dispatch(decision.ticket)
        self.book.finish(decision.ticket, PAID)
        self.clock.run(1)
        return decision

    def decide_at_once(self, key: str):
        """Start a payment and wait only as long as a good store takes."""
        decisions = self.begin(key)
        self.clock.run(0.5)
        assert len(decisions) == 1
        return decisions[0]


def decide_frozen(store: VirtualStore, key: str):
    """Freeze a process over its read while another zone pays."""
    process = VirtualProcess(store)
    decisions = Zone(process, 1, max_value_bytes=100).begin(key)
    process.frozen_until_s = store.clock.now_s + 30
    store.clock.run(0.5)
    Zone(VirtualProcess(store), 2).pay(key)
    store.clock.run(60)
    return decisions[0]


@pytest.fixture
def store() -> VirtualStore:
    """Start a store that works."""
    return VirtualStore(VirtualClock())


@pytest.fixture
def key(store: VirtualStore) -> str:
    """Issue a key now."""
    return make_key(store.clock.now_s)


class TestOutcomes:
    """Show what a later request with the key is told."""

    def test_replays_the_outcome(self, store: VirtualStore, key: str) -> None:
        """Give the recorded answer to a retry through another zone."""
        Zone(VirtualProcess(store), 1).pay(key)
        assert Zone(VirtualProcess(store), 2).decide(key) == AlreadyDone(PAID)

    def test_another_body(self, store: VirtualStore, key: str) -> None:
        """Refuse a used key with another body."""
        Zone(VirtualProcess(store), 1).pay(key)
        refusal = Zone(VirtualProcess(store), 2).decide(key, b'{"sum": 31}')
        assert refusal.code is OrderCode.KEY_REUSED

    def test_killed_after_the_intent(
        self,
        store: VirtualStore,
        key: str,
    ) -> None:
        """Say unknown when the process that holds the intent is gone."""
        first = Zone(VirtualProcess(store), 1).decide_at_once(key)
        assert isinstance(first, MayDispatch)
        assert isinstance(
            Zone(VirtualProcess(store), 2).decide(key), OutcomeUnknown
        )

    def test_runs_again_if_not_started(
        self,
        store: VirtualStore,
        key: str,
    ) -> None:
        """Permit a new attempt after the peer refused the first."""
        first = Zone(VirtualProcess(store), 1)
        ticket = first.decide_at_once(key).ticket
        assert first.book.check_dispatch(ticket)
        first.book.not_started(ticket, 'queue is full')
        store.clock.run(1)
        assert isinstance(
            Zone(VirtualProcess(store), 2).decide(key), MayDispatch
        )

    def test_one_of_two_at_once(self, store: VirtualStore, key: str) -> None:
        """Let one of two zones and one of two local calls dispatch."""
        zones = [Zone(VirtualProcess(store), seed) for seed in (1, 2)]
        waiting = [zone.begin(key) for zone in (*zones, zones[0])]
        store.clock.run(5)
        kinds = [type(decisions[0]) for decisions in waiting]
        assert kinds.count(MayDispatch) == 1
        assert kinds.count(OutcomeUnknown) == 2

    def test_long_body(self, store: VirtualStore, key: str) -> None:
        """Keep the status of an outcome whose body is too long."""
        zone = Zone(VirtualProcess(store), 1)
        ticket = zone.decide_at_once(key).ticket
        assert zone.book.check_dispatch(ticket)
        zone.book.finish(ticket, OrderOutcome(200, b'x' * 1025))
        store.clock.run(1)
        replay = Zone(VirtualProcess(store), 2).decide(key)
        assert replay == AlreadyDone(OrderOutcome(200, b'', body_kept=False))


class TestKeys:
    """Show which keys are accepted."""

    def test_age(self, store: VirtualStore) -> None:
        """Say unknown for a key that is too old or from the future."""
        zone = Zone(VirtualProcess(store), 1, key_ttl_s=600)
        now_s = store.clock.now_s
        old = zone.decide(make_key(now_s - 601))
        assert old.code is OrderCode.KEY_EXPIRED
        future = zone.decide(make_key(now_s + 600))
        assert future.code is OrderCode.KEY_IN_FUTURE

    def test_other_uuids(self, store: VirtualStore) -> None:
        """Refuse a key without an issue time, which no host ever accepts."""
        refusal = Zone(VirtualProcess(store), 1).decide(str(uuid.UUID(int=4)))
        assert isinstance(refusal, NotRun)
        assert refusal.code is OrderCode.KEY_MALFORMED

    def test_deletion(self, store: VirtualStore) -> None:
        """Delete no bucket that holds a key which a slow clock accepts."""
        now_s = store.clock.now_s
        oldest_s = now_s - keys.MAX_KEY_TTL_S - keys.RETENTION_MARGIN_S
        swept = keys.last_expired_bucket(now_s) - 9
        prefixes = list(keys.expired_prefixes(now_s, swept))
        request = OrderRequest('a', 'b', 'c', make_key(oldest_s), b'')
        kept = keys.place_order(request).store_key
        assert prefixes
        assert not any(kept.startswith(prefix) for prefix in prefixes)
        request = OrderRequest('a', 'b', 'c', make_key(oldest_s - 10), b'')
        gone = keys.place_order(request).store_key
        assert gone.startswith(prefixes[-1])


class TestFaults:
    """Show what is told when the key-value service fails."""

    def test_lost_answer(self, store: VirtualStore, key: str) -> None:
        """Find the own intent when the answer was lost after the effect."""
        store.fail_next(CompareAndSwap, Fault.LOST_AFTER)
        zone = Zone(VirtualProcess(store), 1)
        assert isinstance(zone.decide_at_once(key), MayDispatch)
        swaps = [kind for kind in store.requests if kind.__class__ != ReadKey]
        assert len(swaps) == 1

    def test_outage(self, store: VirtualStore, key: str) -> None:
        """Say unknown in an outage, as an earlier attempt can't be excluded."""
        Zone(VirtualProcess(store), 1).pay(key)
        store.faults = lambda _: Fault.REFUSED
        refusal = Zone(VirtualProcess(store), 2).decide(key)
        assert isinstance(refusal, OutcomeUnknown)
        assert refusal.code is OrderCode.STORE_UNAVAILABLE

    def test_writes_fail(self, store: VirtualStore, key: str) -> None:
        """Say not run when the records can be read but not written."""
        store.fail_next(CompareAndSwap, Fault.LOST_BEFORE, 3)
        refusal = Zone(VirtualProcess(store), 1).decide(key)
        assert isinstance(refusal, NotRun)

    def test_late_effect(self, store: VirtualStore, key: str) -> None:
        """Withdraw an intent that takes effect after its refusal."""
        zone = Zone(VirtualProcess(store), 1)
        store.fail_next(CompareAndSwap, Fault.LATE_EFFECT, 3)
        assert isinstance(zone.decide(key), NotRun)
        assert zone.book.pending_count == 0
        assert isinstance(
            Zone(VirtualProcess(store), 2).decide(key), MayDispatch
        )

    def test_frozen_process(self, store: VirtualStore, key: str) -> None:
        """Refuse a dispatch after the deadline and record that."""
        zone = Zone(VirtualProcess(store), 1)
        ticket = zone.decide_at_once(key).ticket
        store.clock.now_s += 60
        assert not zone.book.check_dispatch(ticket)
        store.clock.run(1)
        assert isinstance(
            Zone(VirtualProcess(store), 2).decide(key), MayDispatch
        )

    def test_stale_proof(
        self,
        store: VirtualStore,
        key: str,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Prove nothing by a value that was read before a freeze."""
        assert isinstance(decide_frozen(store, key), OutcomeUnknown)
        monkeypatch.setattr(ShardWriter, '_is_fresh', lambda writer: True)
        other = make_key(store.clock.now_s, 2)
        assert isinstance(decide_frozen(store, other), NotRun)

    def test_withdraws_own(self, store: VirtualStore, key: str) -> None:
        """Leave the record of another attempt when withdrawing the own one."""
        process = VirtualProcess(store)
        cut = Zone(process, 1)
        store.fail_next(CompareAndSwap, Fault.LOST_BEFORE)
        refusals = cut.begin(key)
        store.clock.run(0.005)
        process.disconnected_until_s = store.clock.now_s + 10
        store.clock.run(5)
        assert isinstance(refusals[0], OutcomeUnknown)
        Zone(VirtualProcess(store), 2).pay(key)
        store.clock.run(30)
        replay = Zone(VirtualProcess(store), 3).decide(key)
        assert replay == AlreadyDone(PAID)

    def test_dispatch_once(self, store: VirtualStore, key: str) -> None:
        """Permit a ticket's dispatch once."""
        zone = Zone(VirtualProcess(store), 1)
        ticket = zone.decide_at_once(key).ticket
        assert zone.book.check_dispatch(ticket)
        assert not zone.book.check_dispatch(ticket)

    def test_full_value(self, store: VirtualStore, key: str) -> None:
        """Say not run when the value has no room."""
        zone = Zone(VirtualProcess(store), 1, max_value_bytes=100)
        refusal = zone.decide(key)
        assert refusal.code is OrderCode.STORE_FULL

    def test_unreadable_value(self, store: VirtualStore, key: str) -> None:
        """Say unknown when the value holds something else."""
        request = OrderRequest('plum', 'payments', 'pay', key, b'')
        place = keys.place_order(request).store_key
        store.apply(CompareAndSwap(place, 0, b'something else'))
        refusal = Zone(VirtualProcess(store), 1).decide(key)
        assert refusal.code is OrderCode.STORE_UNREADABLE

    def test_bounded(self, store: VirtualStore) -> None:
        """Refuse as unknown what exceeds the bound on orders in progress."""
        zone = Zone(VirtualProcess(store), 1, max_pending=2)
        now_s = store.clock.now_s
        waiting = [zone.begin(make_key(now_s, each)) for each in range(3)]
        assert waiting[2][0].code is OrderCode.OVERLOADED


class TestStop:
    """Show what a graceful shutdown waits for."""

    def test_idle(self, store: VirtualStore, key: str) -> None:
        """Tell when the last outcome is stored."""
        zone = Zone(VirtualProcess(store), 1)
        ticket = zone.decide_at_once(key).ticket
        assert zone.book.check_dispatch(ticket)
        told: list[float] = []
        zone.book.on_idle(lambda: told.append(store.clock.now_s))
        zone.book.finish(ticket, PAID)
        assert not told
        store.clock.run(1)
        assert len(told) == 1
        assert Zone(VirtualProcess(store), 2).decide(key) == AlreadyDone(PAID)
