"""Test that the sweeper deletes only expired records."""

import pytest

from bamboodeck.keyvalue.port import CompareAndSwap
from bamboodeck.orders import keys
from bamboodeck.orders.messages import MayDispatch
from bamboodeck.orders.sweeper import SWEPT_KEY, OrderSweeper
from tests.orders.test_book import OrderProcess
from tests.orders.uuids import make_key
from tests.virtual_process import VirtualProcess
from tests.virtual_store import Fault, VirtualClock, VirtualStore

TTL_S = 600
LIFE_S = keys.MAX_KEY_TTL_S + keys.RETENTION_MARGIN_S
SWEEPS = 450


@pytest.fixture
def store() -> VirtualStore:
    """Start a store without faults."""
    return VirtualStore(VirtualClock())


def put(store: VirtualStore, issued_s: float) -> str:
    """Store a value for keys that are issued at a time."""
    key = f'{keys.bucket_prefix(int(issued_s // keys.BUCKET_S))}3'
    store.apply(CompareAndSwap(key, 0, b'records'))
    return key


def sweep(store: VirtualStore, times: int) -> OrderSweeper:
    """Run several sweeps in a row."""
    sweeper = OrderSweeper(VirtualProcess(store))
    for _ in range(times):
        sweeper.sweep(store.clock.now_s)
        store.clock.run(5)
    return sweeper


class TestOrderSweeper:
    """Check which records a sweep deletes."""

    def test_deletes_expired(self, store: VirtualStore) -> None:
        """Delete records whose keys no host accepts, and keep others."""
        sweep(store, 1)
        old = put(store, store.clock.now_s)
        store.clock.run(LIFE_S + 60)
        young = put(store, store.clock.now_s)
        sweep(store, SWEEPS)
        assert old not in store.entries
        assert young in store.entries

    def test_longer_lived_keys(self, store: VirtualStore) -> None:
        """Run no order twice after the time to live is raised."""
        key = make_key(store.clock.now_s)
        sweep(store, 1)
        OrderProcess(VirtualProcess(store), 1, key_ttl_s=TTL_S).pay(key)
        store.clock.run(TTL_S + keys.RETENTION_MARGIN_S + 60)
        sweep(store, 10)
        later = OrderProcess(VirtualProcess(store), 2, key_ttl_s=10 * 86_400)
        assert not isinstance(later.decide(key), MayDispatch)

    def test_failed_delete(self, store: VirtualStore) -> None:
        """Retry a bucket whose deletion had no reply."""
        sweep(store, 1)
        old = put(store, store.clock.now_s)
        store.clock.run(LIFE_S + 60)
        store.fail_next(CompareAndSwap, Fault.LOST_BEFORE, 2)
        sweep(store, SWEEPS)
        assert old not in store.entries

    def test_bounded(self, store: VirtualStore) -> None:
        """Bound the work of one sweep after a long pause."""
        sweep(store, 1)
        store.clock.run(86_400)
        before = len(store.requests)
        sweep(store, 1)
        assert len(store.requests) - before < 30
        assert SWEPT_KEY in store.entries
