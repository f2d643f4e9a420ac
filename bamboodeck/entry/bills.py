"""Replicate bill records to another host before answers are sent."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from bamboodeck.billing.messages import (
    INCARNATION_BYTES,
    BillAck,
    BillHeld,
    BillingLimits,
    BillOutcome,
    BillRecord,
    BillUnprotected,
    CostRecord,
    build_bill_id,
)
from bamboodeck.billing.sender import BillSender
from bamboodeck.chat.context import AnsweredRequest, ProviderCost
from bamboodeck.environment import Environment
from bamboodeck.logs import EventLog
from bamboodeck.loop.scheduler import Scheduler
from bamboodeck.peers.fleet import FleetMap
from bamboodeck.peers.link import PeerLink
from bamboodeck.peers.messages import BillAckMessage, BillBatchMessage

POLL_PERIOD_S = 0.05
_BITS_PER_BYTE = 8


@dataclass(frozen=True, slots=True)
class BillNotProtected:
    """Log an answer that was sent before its bill was replicated."""

    request_id: str


class NodeBills:
    """Send the node's bill records to controllers on other hosts."""

    def __init__(
        self,
        environment: Environment,
        log: EventLog,
        link: PeerLink,
        scheduler: Scheduler,
        fleet: FleetMap,
    ) -> None:
        """Start a new incarnation, which numbers its records from the start."""
        self.unprotected = 0
        self._environment = environment
        self._log = log
        self._link = link
        self._scheduler = scheduler
        self._zone = fleet.own.zone
        self._draining = False
        self._poll_scheduled = False
        incarnation = environment.random.getrandbits(
            INCARNATION_BYTES * _BITS_PER_BYTE,
        ).to_bytes(INCARNATION_BYTES, 'big')
        self._sender = BillSender(incarnation, BillingLimits())
        self._sender.update_peers(fleet.bill_backups())
        link.on(BillAckMessage, self._on_ack)
        scheduler.call_every(POLL_PERIOD_S, self._poll)

    @property
    def pending_count(self) -> int:
        """Return the number of records not confirmed as stored."""
        return self._sender.pending_count

    @property
    def unheld_count(self) -> int:
        """Return the number of records that no other host holds."""
        return self._sender.unheld_count

    @property
    def counters(self) -> Counter[str]:
        """Return the counters of record events, by name."""
        return self._sender.counters

    def accepts(self) -> bool:
        """Return whether there is room for one more bill record."""
        return self._sender.accepts()

    def drain(self) -> None:
        """Flush the remaining costs on shutdown."""
        self._draining = True

    def bill(
        self,
        answered: AnsweredRequest,
        on_held: Callable[[], None],
    ) -> None:
        """Replicate a bill record; call back once another host holds it."""
        # With the fingerprint, a reused id with another body is a new bill.
        identity = f'{answered.request_id}/{answered.fingerprint.hex()}'
        record = BillRecord(
            build_bill_id(answered.customer, identity),
            answered.customer,
            answered.request_id,
            answered.version,
            answered.request_class,
            answered.usage.prompt_tokens,
            answered.usage.completion_tokens,
            answered.price_credits,
            self._zone,
            self._environment.wall_s(),
            answered.window,
        )

        def on_outcome(outcome: BillOutcome) -> None:
            match outcome:
                case BillHeld():
                    on_held()
                case BillUnprotected():
                    self.unprotected += 1
                    self._log.warn(BillNotProtected(answered.request_id))
                    on_held()

        self._sender.add(record, self._scheduler.now_s(), on_outcome)
        self._poll_soon()

    def record_cost(self, cost: ProviderCost) -> None:
        """Record the provider cost of an attempt."""
        tokens = cost.usage.completion_tokens
        self._sender.add_cost(
            CostRecord(
                cost.model.provider,
                cost.customer,
                cost.model.name,
                1,
                cost.usage.prompt_tokens,
                tokens,
                tokens if cost.wasted else 0,
                cost.cost_credits,
            ),
        )

    def _poll_soon(self) -> None:
        if self._poll_scheduled:
            return
        self._poll_scheduled = True
        self._scheduler.call_after(0, self._poll)

    def _poll(self) -> None:
        self._poll_scheduled = False
        sending = self._sender.poll(
            self._scheduler.now_s(),
            draining=self._draining,
        )
        if sending is None:
            return
        batch = sending.batch
        self._link.send(
            sending.peer,
            BillBatchMessage(
                batch.incarnation,
                batch.folded_next,
                batch.first_number,
                batch.records,
            ),
        )

    def _on_ack(self, sender: str, ack: BillAckMessage) -> None:
        self._sender.on_ack(
            sender,
            BillAck(ack.incarnation, ack.held_next, ack.folded_next),
        )
        self._poll_soon()
