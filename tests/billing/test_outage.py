"""Test a one-hour outage of the key-value store on a virtual clock."""

from collections import Counter

import pytest

from bamboodeck.billing.messages import BillingLimits
from bamboodeck.keyvalue.port import CompareAndSwap
from tests.billing import simulation

OUTAGE_S = 3600
ANSWER_PERIOD_S = 4
ANSWERS_OF_HOST = OUTAGE_S // ANSWER_PERIOD_S
ANSWERS = len(simulation.ZONES) * ANSWERS_OF_HOST
FEW_RECORDS = 200
# Records that a folding host receives from others before they are stored.
FORWARDED_RECORDS = 100
MAX_RECORD_BYTES = 80
MAX_CATCH_UP_S = 60
# Requests of all hosts together to the store during the outage.
MAX_REQUESTS_PER_S = 5
MAX_WRITES_PER_S = 300


class OutageSimulation(simulation.BillingSimulation):
    """Answer at a steady rate and count the requests to the store."""

    def __init__(self) -> None:
        """Start with an outage of the store."""
        super().__init__(1)
        self.started = 0
        self.refused = 0
        self.writes: Counter[int] = Counter()
        self.requests_in_outage = 0
        self.peak_records = 0
        self.peak_bytes = 0
        self.down_until_s = self.clock.now_s + OUTAGE_S
        submit = self.store.submit

        def count(request, on_reply) -> None:
            if self.clock.now_s < self.down_until_s:
                self.requests_in_outage += 1
            elif isinstance(request, CompareAndSwap):
                self.writes[int(self.clock.now_s)] += 1
            submit(request, on_reply)

        self.store.submit = count

    def run_outage(self) -> None:
        """Answer requests throughout the outage."""
        for _ in range(ANSWERS_OF_HOST):
            for number, host in enumerate(self.hosts):
                if not host.sender.accepts():
                    self.refused += 1
                    continue
                self.started += 1
                self.answer(number, f'r{self.started}')
            self.clock.run(ANSWER_PERIOD_S)
            self.measure()

    def measure(self) -> None:
        """Record the peak number and size of the records on a host."""
        for host in self.hosts:
            records = list(held_records(host))
            self.peak_records = max(self.peak_records, len(records))
            size_bytes = sum(map(len, records))
            self.peak_bytes = max(self.peak_bytes, size_bytes)

    def catch_up(self) -> int:
        """Run until all records are stored; return the seconds it took."""
        started_s = self.clock.now_s
        while any(any(held_records(host)) for host in self.hosts):
            self.clock.run(1)
            assert self.clock.now_s < started_s + OUTAGE_S
        return int(self.clock.now_s - started_s)


def held_records(host: simulation.Host):
    """Yield the encoded records that both processes of a host buffer."""
    yield from host.sender._records
    for held in host.holder._held.values():
        yield from held.records


class TestHour:
    """Test that answers continue during a one-hour outage."""

    def build(
        self, patch: pytest.MonkeyPatch, max_records: int
    ) -> OutageSimulation:
        """Build a simulation whose processes each buffer `max_records`."""
        limits = BillingLimits(max_records=max_records, max_batch_records=20)
        patch.setattr(simulation, 'LIMITS', limits)
        return OutageSimulation()

    def test_room_for_all(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Hold each bill on another host and store it after the outage."""
        sim = self.build(monkeypatch, 10 * ANSWERS)
        sim.run_outage()
        assert not sim.refused
        assert sim.started == ANSWERS
        assert all(bill.answered for bill in sim.bills.values())
        assert sim.peak_records <= 2 * ANSWERS_OF_HOST + FORWARDED_RECORDS
        assert sim.peak_bytes <= sim.peak_records * MAX_RECORD_BYTES
        assert sim.requests_in_outage <= OUTAGE_S * MAX_REQUESTS_PER_S
        assert sim.catch_up() <= MAX_CATCH_UP_S
        assert max(sim.writes.values()) <= MAX_WRITES_PER_S
        sim.settle()
        assert sum(sim.count().values()) == ANSWERS

    def test_room_for_few(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Refuse requests before the buffers for their bills are full.

        When all senders chose the same peer and ignored that it was full,
        240 of 995 answers were sent without a copy of the bill elsewhere.
        """
        sim = self.build(monkeypatch, FEW_RECORDS)
        sim.run_outage()
        assert sim.refused
        assert sim.peak_records <= 2 * FEW_RECORDS
        unprotected = sum(not each.answered for each in sim.bills.values())
        assert unprotected <= len(simulation.ZONES)
        assert sim.catch_up() <= MAX_CATCH_UP_S
        assert all(host.sender.accepts() for host in sim.hosts)
        sim.settle()
