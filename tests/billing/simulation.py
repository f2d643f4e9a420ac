"""Simulate billing on several hosts whose processes and links fail."""

import functools
import random
from collections import Counter
from dataclasses import dataclass, field

from bamboodeck.billing.copier import BillCopier
from bamboodeck.billing.holder import BillHolder
from bamboodeck.billing.ledger import PREFIX
from bamboodeck.billing.ledger_writer import LedgerWriter
from bamboodeck.billing.messages import (
    BillHeld,
    BillingLimits,
    BillOutcome,
    BillRecord,
    BillReport,
    CostRecord,
    SendBatch,
    build_bill_id,
    pack_record,
)
from bamboodeck.billing.report import build_report
from bamboodeck.billing.sender import BillSender
from bamboodeck.billing.update import BillingClock
from tests.virtual_process import VirtualProcess
from tests.virtual_store import Fault, VirtualClock, VirtualStore

LIMITS = BillingLimits(max_batch_records=3, retention_s=3600)
TICK_S = 0.1
ZONES = ('a', 'a', 'a', 'b', 'b')


@dataclass
class Host:
    """Group the entry process and the controller of one host."""

    name: str
    zone: str
    entry: VirtualProcess
    controller: VirtualProcess
    sender: BillSender
    holder: BillHolder
    ledger_writer: LedgerWriter
    copier: BillCopier
    folds: bool = False
    leaving: bool = False


@dataclass
class Bill:
    """Track the bill of a request and whether it was answered."""

    packed: list[bytes] = field(default_factory=list)
    answered: bool = False


class BillingSimulation:
    """Run five hosts in two zones on a virtual clock."""

    def __init__(self, seed: int) -> None:
        """Start all hosts; the first one of each zone folds."""
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.store = VirtualStore(self.clock, random.Random(seed + 1))
        self.store.faults = self.choose_fault
        self.fault_share = 0.0
        self.down_until_s = 0.0
        self.loss_share = 0.0
        self.bills: dict[str, Bill] = {}
        self.received: set[bytes] = set()
        self.attempts = 0
        self.lost_costs = False
        self.hosts = [self.boot(number) for number in range(len(ZONES))]
        self.hosts[0].folds = True
        self.hosts[3].folds = True
        self.clock.call_after(TICK_S, self.tick)

    def choose_fault(self, request) -> Fault:
        """Choose the fault to apply to a store request."""
        if self.clock.now_s < self.down_until_s:
            return Fault.REFUSED
        if self.rng.random() >= self.fault_share:
            return Fault.NONE
        return self.rng.choice(list(Fault))

    def boot(self, number: int) -> Host:
        """Start both processes of a host."""
        controller = VirtualProcess(self.store)
        clock = BillingClock(controller.read_s, controller.call_after)
        rng = random.Random(self.rng.random())
        holder = BillHolder(LIMITS)
        return Host(
            f'h{number}',
            ZONES[number],
            VirtualProcess(self.store),
            controller,
            BillSender(self.rng.randbytes(8), LIMITS),
            holder,
            LedgerWriter(controller, clock, rng, LIMITS),
            BillCopier(holder, LIMITS),
        )

    def answer(self, number: int, request_id: str) -> None:
        """Bill a request; it counts as answered once its bill is held."""
        host = self.hosts[number]
        bill = self.bills.setdefault(request_id, Bill())
        record = BillRecord(
            build_bill_id('plum', request_id),
            'plum',
            request_id,
            'plan@2',
            request_id,
            10,
            20,
            0.25,
            host.zone,
            self.clock.now_s,
        )
        bill.packed.append(pack_record(record))

        def on_outcome(outcome: BillOutcome) -> None:
            if isinstance(outcome, BillHeld):
                assert self.is_kept(request_id), (
                    'reported as held before a copy existed'
                )
                bill.answered = True

        host.sender.add(record, self.clock.now_s, on_outcome)
        host.sender.add_cost(
            CostRecord('aster', 'plum', 'plan@2', 2, 10, 20, 5, 0.125),
        )
        self.attempts += 2

    def is_kept(self, request_id: str) -> bool:
        """Return whether a bill is stored or has reached another host."""
        if self.count()[request_id]:
            return True
        packed = self.bills[request_id].packed
        return bool(self.received.intersection(packed))

    def tick(self) -> None:
        """Run one round of sending, folding, forwarding and copying."""
        self.clock.call_after(TICK_S, self.tick)
        for host in self.hosts:
            host.entry.run(functools.partial(self.send, host))
            host.controller.run(functools.partial(self.fold, host))
            host.controller.run(functools.partial(self.forward, host))
            host.controller.run(functools.partial(self.copy, host))

    def peers(self, host: Host) -> list[Host]:
        """Return the other hosts of the zone, the next one first."""
        others = [other for other in self.hosts if other.zone == host.zone]
        after = [other for other in others if other.name > host.name]
        return after + [other for other in others if other.name < host.name]

    def find(self, name: str) -> Host:
        """Return the current host of a name."""
        return next(host for host in self.hosts if host.name == name)

    def send(self, host: Host) -> None:
        """Send the entry process's next batch."""
        host.sender.update_peers(tuple(each.name for each in self.peers(host)))
        sent = host.sender.poll(self.clock.now_s, draining=host.leaving)
        if sent is None or self.is_lost():
            return
        entry = host.entry
        sender = host.sender

        def arrive() -> None:
            holder = self.find(sent.peer).holder
            self.received.update(sent.batch.records)
            ack = holder.receive(sent.batch, self.clock.now_s)
            if not self.is_lost():
                self.clock.call_after(
                    self.rng.uniform(0, 0.2),
                    lambda: entry.run(lambda: sender.on_ack(sent.peer, ack)),
                )

        self.deliver(sent.peer, arrive)

    def forward(self, host: Host) -> None:
        """Send the records of a controller to a host that folds."""
        folding = [each for each in self.peers(host) if each.folds]
        if host.folds or not folding:
            return
        target = self.rng.choice(folding)
        for batch in host.holder.batches():
            if self.is_lost():
                continue

            def arrive(batch=batch) -> None:
                now_s = self.clock.now_s
                ack = self.find(target.name).holder.receive(batch, now_s)
                host.holder.mark_folded(ack.incarnation, ack.folded_next)

            self.deliver(target.name, arrive)

    def copy(self, host: Host) -> None:
        """Copy the records of missing senders to another controller."""
        copier = host.copier
        copier.update_peers(tuple(each.name for each in self.peers(host)))
        sends = copier.poll(self.clock.now_s, leaving=host.leaving)
        for sent in sends:
            if self.is_lost():
                continue

            arrive = functools.partial(self.arrive_copy, host, sent)
            self.deliver(sent.peer, arrive)

    def arrive_copy(self, host: Host, sent: SendBatch) -> None:
        """Receive a copy and acknowledge it."""
        holder = self.find(sent.peer).holder
        ack = holder.receive(sent.batch, self.clock.now_s)
        host.controller.run(lambda: host.copier.on_ack(sent.peer, ack))

    def leave(self, number: int) -> bool:
        """Shut a host down gracefully and replace it by a new one.

        Return False if its records could not be copied within 10 s.
        """
        host = self.hosts[number]
        host.leaving = True
        for _ in range(100):
            self.clock.run(TICK_S)
            now_s = self.clock.now_s
            left = host.copier.count_uncopied(now_s, leaving=True)
            if not left and not host.sender.unheld_count:
                fresh = self.boot(number)
                fresh.folds = host.folds
                host.entry.alive = False
                host.controller.alive = False
                self.lost_costs = True
                self.hosts[number] = fresh
                return True
        host.leaving = False
        return False

    def fold(self, host: Host) -> None:
        """Fold the records of a controller if its host folds."""
        if not host.folds:
            return

        def folded(acks) -> None:
            for ack in acks:
                host.holder.mark_folded(ack.incarnation, ack.folded_next)

        host.ledger_writer.fold(host.holder.batches(), folded)

    def deliver(self, name: str, arrive) -> None:
        """Deliver a message to a host's controller after a random delay."""
        controller = self.find(name).controller
        self.clock.call_after(
            self.rng.uniform(0, 0.2),
            lambda: controller.run(arrive),
        )

    def is_lost(self) -> bool:
        """Return whether the next message is lost."""
        return self.rng.random() < self.loss_share

    def kill(self, number: int, *, entry: bool, controller: bool) -> bool:
        """Kill processes of a host unless they hold the last copy of a bill."""
        host = self.hosts[number]
        if not self.survives(host, entry=entry, controller=controller):
            return False
        fresh = self.boot(number)
        fresh.folds = host.folds
        if entry:
            host.entry.alive = False
            self.lost_costs = True
        else:
            fresh.entry = host.entry
            fresh.sender = host.sender
        if controller:
            host.controller.alive = False
        else:
            fresh.controller = host.controller
            fresh.holder = host.holder
            fresh.ledger_writer = host.ledger_writer
            fresh.copier = host.copier
        self.hosts[number] = fresh
        return True

    def survives(self, lost: Host, *, entry: bool, controller: bool) -> bool:
        """Return whether each answered bill is stored or has another copy."""
        copies: set[bytes] = set()
        for host in self.hosts:
            if host is not lost or not entry:
                copies.update(host.sender._records)
            if host is not lost or not controller:
                for held in host.holder._held.values():
                    copies.update(held.records)
        stored = self.count()
        return all(
            stored[name] or copies.intersection(bill.packed)
            for name, bill in self.bills.items()
            if bill.answered
        )

    def report(self) -> BillReport:
        """Build the report from the totals in the store."""
        entries = [
            entry
            for key, entry in self.store.entries.items()
            if key.startswith(PREFIX)
        ]
        return build_report(entries, self.clock.now_s)

    def count(self) -> Counter[str]:
        """Count the bills in the store by request."""
        counted: Counter[str] = Counter()
        for total in self.report().bills:
            counted[total.request_class] += total.requests
            assert total.price_credits == 0.25 * total.requests
        return counted

    def count_attempts(self) -> int:
        """Count the attempts in the store."""
        return sum(total.attempts for total in self.report().costs)

    def check(self) -> None:
        """Check that nothing is billed twice so far."""
        assert self.count_attempts() <= self.attempts, 'costs counted twice'
        for name, count in self.count().items():
            assert count == 1, f'{name} is billed {count} times'

    def settle(self) -> None:
        """Clear all faults, then check that answered requests are billed."""
        self.fault_share = 0.0
        self.loss_share = 0.0
        self.down_until_s = 0.0
        self.hosts[0].folds = True
        self.hosts[3].folds = True
        self.clock.run(60)
        self.check()
        counted = self.count()
        for name, bill in self.bills.items():
            if bill.answered:
                assert counted[name] == 1, f'{name} is not billed'
        if not self.lost_costs:
            assert self.count_attempts() == self.attempts, 'costs are lost'
        assert not any(host.sender.pending_count for host in self.hosts)
        assert not any(host.holder.record_count for host in self.hosts)
