"""Collect bill records of other hosts and fold them into the store."""

import random
from collections import Counter

from bamboodeck.billing.copier import BillCopier
from bamboodeck.billing.holder import BillHolder
from bamboodeck.billing.ledger_writer import LedgerWriter
from bamboodeck.billing.messages import BillAck, BillBatch, BillingLimits
from bamboodeck.billing.update import BillingClock
from bamboodeck.environment import Environment
from bamboodeck.keyvalue.port import KeyValuePort
from bamboodeck.loop.scheduler import Scheduler
from bamboodeck.peers.fleet import FleetMap
from bamboodeck.peers.link import PeerLink
from bamboodeck.peers.messages import BillAckMessage, BillBatchMessage

FOLD_PERIOD_S = 10.0
COPY_PERIOD_S = 0.25
DROP_PERIOD_S = 60.0
_SEED_BITS = 64


class ControllerBills:
    """Acknowledge batches at once and fold them periodically."""

    def __init__(
        self,
        environment: Environment,
        link: PeerLink,
        scheduler: Scheduler,
        store: KeyValuePort,
        fleet: FleetMap,
        fold_period_s: float = FOLD_PERIOD_S,
    ) -> None:
        """Subscribe to bill batches and acknowledgements."""
        limits = BillingLimits()
        self.holder = BillHolder(limits)
        self._copier = BillCopier(self.holder, limits)
        self._copier.update_peers(
            tuple(
                each for each in fleet.bill_backups() if each != fleet.own.node
            ),
        )
        self._leaving = False
        self._link = link
        self._scheduler = scheduler
        self._senders: dict[bytes, str] = {}
        rng = random.Random(environment.random.getrandbits(_SEED_BITS))
        self.ledger_writer = LedgerWriter(
            store,
            BillingClock(environment.wall_s, scheduler.call_after),
            rng,
            limits,
        )
        link.on(BillBatchMessage, self._on_batch)
        link.on(BillAckMessage, self._on_ack)
        scheduler.call_every(fold_period_s, self.fold)
        scheduler.call_every(COPY_PERIOD_S, self._copy)
        scheduler.call_every(DROP_PERIOD_S, self._drop_old)

    def fold(self) -> None:
        """Start a round of folding if none is in progress."""
        self.ledger_writer.fold(self.holder.batches(), self._on_folded)

    @property
    def counters(self) -> Counter[str]:
        """Return the counters of held and folded records."""
        return self.ledger_writer.counters + self.holder.counters

    @property
    def is_handed_over(self) -> bool:
        """Return whether this process may end without losing a record."""
        now_s = self._scheduler.now_s()
        return not self._copier.count_uncopied(now_s, leaving=self._leaving)

    def hand_over(self) -> None:
        """Fold the held records, and copy them to a peer in case that fails."""
        self._leaving = True
        self.fold()
        self._copy()

    def _copy(self) -> None:
        now_s = self._scheduler.now_s()
        for sending in self._copier.poll(now_s, leaving=self._leaving):
            batch = sending.batch
            self._link.send(
                sending.peer,
                BillBatchMessage(
                    batch.incarnation,
                    batch.folded_next,
                    batch.first_number,
                    batch.records,
                    batch.copied,
                ),
            )

    def _on_ack(self, sender: str, ack: BillAckMessage) -> None:
        self._copier.on_ack(
            sender,
            BillAck(ack.incarnation, ack.held_next, ack.folded_next),
        )
        if self._leaving:
            self._copy()

    def _on_batch(self, sender: str, message: BillBatchMessage) -> None:
        if not message.copied:
            self._senders[message.incarnation] = sender
        ack = self.holder.receive(
            BillBatch(
                message.incarnation,
                message.folded_next,
                message.first_number,
                message.records,
                message.copied,
            ),
            self._scheduler.now_s(),
        )
        self._acknowledge(sender, ack)

    def _on_folded(self, acks: tuple[BillAck, ...]) -> None:
        for ack in acks:
            self.holder.mark_folded(ack.incarnation, ack.folded_next)
            sender = self._senders.get(ack.incarnation)
            if sender is not None:
                self._acknowledge(sender, ack)

    def _acknowledge(self, sender: str, ack: BillAck) -> None:
        self._link.send(
            sender,
            BillAckMessage(ack.incarnation, ack.held_next, ack.folded_next),
        )

    def _drop_old(self) -> None:
        self.holder.drop_old(self._scheduler.now_s())
