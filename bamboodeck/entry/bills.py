"""Bill answers once another host holds their records."""

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
    """Log an answer that went out though no other host held its bill."""

    request_id: str


class NodeBills:
    """Send the node's bill records to a controller on another host."""

    def __init__(
        self,
        environment: Environment,
        log: EventLog,
        link: PeerLink,
        scheduler: Scheduler,
        fleet: FleetMap,
    ) -> None:
        """Start a new incarnation."""
        self.unprotected = 0
        self._environment = environment
        self._log = log
        self._link = link
        self._scheduler = scheduler
        self._zone = fleet.own.zone
        self._draining = False
        self._poll_asked = False
        incarnation = environment.random.getrandbits(
            INCARNATION_BYTES * _BITS_PER_BYTE,
        ).to_bytes(INCARNATION_BYTES, 'big')
        self._sender = BillSender(incarnation, BillingLimits())
        self._sender.update_peers(fleet.bill_backups())
        link.on(BillAckMessage, self._on_ack)
        scheduler.call_every(POLL_PERIOD_S, self._poll)

    @property
    def pending_count(self) -> int:
        """Count the records that aren't known to be in the store."""
        return self._sender.pending_count

    @property
    def unheld_count(self) -> int:
        """Count the records that no other host holds."""
        return self._sender.unheld_count

    @property
    def counters(self) -> Counter[str]:
        """Return how often each thing happened to the records."""
        return self._sender.counters

    def accepts(self) -> bool:
        """Tell whether the bill of one more request can be kept."""
        return self._sender.accepts()

    def drain(self) -> None:
        """Send the last costs too, as the process stops."""
        self._draining = True

    def bill(
        self,
        answered: AnsweredRequest,
        on_held: Callable[[], None],
    ) -> None:
        """Call back once another host holds the bill record."""
        # The fingerprint makes a repeated id with another body a new bill.
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

        def take(outcome: BillOutcome) -> None:
            match outcome:
                case BillHeld():
                    on_held()
                case BillUnprotected():
                    self.unprotected += 1
                    self._log.warn(BillNotProtected(answered.request_id))
                    on_held()

        self._sender.add(record, self._scheduler.now_s(), take)
        self._poll_soon()

    def spend(self, cost: ProviderCost) -> None:
        """Record what an attempt cost."""
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
        if self._poll_asked:
            return
        self._poll_asked = True
        self._scheduler.call_after(0, self._poll)

    def _poll(self) -> None:
        self._poll_asked = False
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
