"""Test a single lease holder."""

import random

import pytest

from bamboodeck.keyvalue.port import CompareAndSwap
from bamboodeck.leases.holder import LeaseHolder
from bamboodeck.leases.messages import (
    LeaseAcquired,
    LeaseClock,
    LeaseEnded,
    LeaseLimits,
)
from tests.virtual_process import VirtualProcess
from tests.virtual_store import Fault, VirtualClock, VirtualStore


@pytest.fixture
def process() -> VirtualProcess:
    """Start a process with a working store."""
    return VirtualProcess(VirtualStore(VirtualClock()))


def start(
    process: VirtualProcess,
    news: list,
    limits: LeaseLimits = LeaseLimits(),  # noqa: WPS404
) -> LeaseHolder:
    """Start a holder and let it acquire the lease."""
    clock = LeaseClock(process.read_s, process.call_after)
    rng = random.Random(1)
    holder = LeaseHolder(
        process, clock, rng, 'fleet', 'h1', limits, news.append
    )
    holder.start()
    process.clock.run(1)
    return holder


class TestLeaseHolder:
    """Acquire, renew, lose and release a lease."""

    def test_renews(self, process: VirtualProcess) -> None:
        """Keep one term while the store answers."""
        news: list = []
        holder = start(process, news)
        process.clock.run(100)
        assert holder.holds(process.read_s())
        assert news == [LeaseAcquired('fleet', holder.fencing_number)]

    @pytest.mark.parametrize('ttl_s', [2, 4, 60])
    def test_short_lease(self, process: VirtualProcess, ttl_s: int) -> None:
        """Renew in time for any TTL of the lease."""
        holder = start(process, [], LeaseLimits(ttl_s=ttl_s))
        number = holder.fencing_number
        for _ in range(100):
            process.clock.run(1)
            assert holder.check(number, process.read_s())

    def test_shorter_grant(self, process: VirtualProcess) -> None:
        """Expire in time if the store grants a shorter lease."""
        holder = start(process, [])
        lease = process._store.leases[1]
        lease.ttl_s = 5
        process.clock.run(3)
        process.disconnect(60)
        process.clock.run(lease.deadline_s - process.read_s())
        assert not holder.holds(process.read_s())

    def test_lost_answer(self, process: VirtualProcess) -> None:
        """Recognize the own claim after its reply was lost."""
        process._store.fail_next(CompareAndSwap, Fault.LOST_AFTER)
        holder = start(process, [])
        assert holder.holds(process.read_s())
        entry = process._store.entries['/bamboodeck/leases/fleet']
        assert holder.fencing_number == entry.created_revision

    def test_paused(self, process: VirtualProcess) -> None:
        """Reject orders from before a pause and get a higher number."""
        news: list = []
        holder = start(process, news)
        number = holder.fencing_number
        process.frozen_until_s = process.read_s() + 20
        process.clock.run(20)
        assert not holder.check(number, process.read_s())
        process.clock.run(20)
        assert holder.fencing_number > number
        assert not holder.check(number, process.read_s())
        assert LeaseEnded('fleet', number, 'local deadline passed') in news

    def test_waits_for_former_orders(self, process: VirtualProcess) -> None:
        """Send to engines without fencing only after old orders end."""
        holder = start(process, [])
        now_s = process.read_s()
        assert holder.may_order(True, now_s)
        assert not holder.may_order(False, now_s + 13)
        process.clock.run(15)
        assert holder.may_order(False, process.read_s())

    def test_release(self, process: VirtualProcess) -> None:
        """Free the lease for other processes at once."""
        holder = start(process, [])
        released: list[float] = []
        holder.release(lambda: released.append(process.read_s()))
        assert not holder.holds(process.read_s())
        process.clock.run(1)
        assert len(released) == 1
        assert not process._store.entries
