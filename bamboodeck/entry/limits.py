"""Report a node's demand and keep its latest limit shares."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from bamboodeck.admission.limits import LimitShare, Rates
from bamboodeck.configuration.model import Configuration
from bamboodeck.logs import EventLog
from bamboodeck.loop.scheduler import Scheduler
from bamboodeck.peers.link import PeerLink
from bamboodeck.peers.messages import DemandReported, RateRow, SharesSent

REPORT_PERIOD_S = 1.0
DEMAND_WINDOW_S = 5.0


@dataclass(frozen=True, slots=True)
class LimitShareTaken:
    """Log a new share of a customer's limit for this node."""

    customer: str
    requests_per_s: float
    tokens_per_s: float
    sequence: int


@dataclass(slots=True)
class _OfferedLoad:
    requests: float = 0.0
    tokens: float = 0.0
    seen_s: float = 0.0

    def add(self, requests: int, tokens: float, now_s: float) -> None:
        """Add to the exponentially decayed sums."""
        decay = math.exp((self.seen_s - now_s) / DEMAND_WINDOW_S)
        self.requests = self.requests * decay + requests
        self.tokens = self.tokens * decay + tokens
        self.seen_s = now_s


class NodeLimits:
    """Measure demand; during a partition the last shares stay in force."""

    def __init__(
        self,
        link: PeerLink,
        scheduler: Scheduler,
        log: EventLog,
        node: str,
        relays: Callable[[], tuple[str, ...]],
        on_shares: Callable[[tuple[LimitShare, ...]], None],
    ) -> None:
        """Subscribe to the shares sent by the zone's relay."""
        self._link = link
        self._scheduler = scheduler
        self._log = log
        self._node = node
        self._relays = relays
        self._on_shares = on_shares
        self._sequence = 0
        self._offered: dict[str, _OfferedLoad] = {}
        self._received: dict[str, LimitShare] = {}
        link.on(SharesSent, self._on_shares_sent)
        scheduler.call_every(REPORT_PERIOD_S, self.report)

    def count(self, customer: str, tokens: float) -> None:
        """Count an offered request, whether or not it is admitted."""
        offered = self._offered.setdefault(customer, _OfferedLoad())
        offered.add(1, tokens, self._scheduler.now_s())

    def shares(
        self,
        configuration: Configuration,
        fleet_nodes: int,
    ) -> tuple[LimitShare, ...]:
        """Return the shares in force; an even split where none was received."""
        shares = []
        for customer in configuration.customers:
            even = LimitShare(
                self._node,
                customer.name,
                Rates(
                    customer.requests_per_s / fleet_nodes,
                    customer.tokens_per_s / fleet_nodes,
                ),
            )
            shares.append(self._received.get(customer.name, even))
        return tuple(shares)

    def report(self) -> None:
        """Send the demand and the sequence number of the shares in force."""
        now_s = self._scheduler.now_s()
        rows = []
        for customer, offered in self._offered.items():
            offered.add(0, 0, now_s)
            rows.append(
                RateRow(
                    customer,
                    offered.requests / DEMAND_WINDOW_S,
                    offered.tokens / DEMAND_WINDOW_S,
                ),
            )
        report = DemandReported(self._node, self._sequence, tuple(rows))
        for relay in self._relays():
            self._link.send(relay, report)

    def _on_shares_sent(self, sender: str, sent: SharesSent) -> None:
        # Messages may arrive out of order; ignore older plans.
        if sent.holder != self._node or sent.sequence <= self._sequence:
            return
        self._sequence = sent.sequence
        for row in sent.rows:
            rates = Rates(row.requests_per_s, row.tokens_per_s)
            share = LimitShare(self._node, row.customer, rates)
            if self._received.get(row.customer) != share:
                self._received[row.customer] = share
                self._log.emit(
                    LimitShareTaken(
                        row.customer,
                        row.requests_per_s,
                        row.tokens_per_s,
                        sent.sequence,
                    ),
                )
        self._on_shares(tuple(self._received.values()))
        self.report()
