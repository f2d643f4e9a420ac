"""Maintain the credit ledger of the fleet and publish prices."""

from dataclasses import dataclass

import msgspec

from bamboodeck.billing.messages import BillReport
from bamboodeck.billing.report import read_bills
from bamboodeck.controller.ports import FleetPorts
from bamboodeck.controller.records import Record
from bamboodeck.credits.decisions import decide, remaining_credits
from bamboodeck.credits.state import (
    CreditLedgerState,
    CreditMessage,
    MeterSpend,
    ProviderCredits,
    ProviderLedger,
    Reprice,
    SetCredits,
)
from bamboodeck.keyvalue.port import StoreUnavailable
from bamboodeck.peers.messages import CreditNews, ProviderNews

CREDITS_KEY = '/bamboodeck/credits'
TERM_CHECK_PERIOD_S = 1.0
REPRICE_PERIOD_S = 15.0
# The folded costs are not broken down by zone.
WHOLE_FLEET = 'fleet'


@dataclass(frozen=True, slots=True)
class CreditPriced:
    """Log the price of a provider's credits once it is recorded."""

    provider: str
    credits: float
    spent_credits: float
    credit_price: float


@dataclass(frozen=True, slots=True)
class PeriodBase:
    """Store the credits spent at a provider before a period began."""

    provider: str
    expires_s: float
    total_credits: float


@dataclass(frozen=True, slots=True)
class StoredLedger:
    """Store the ledger and the bases of its periods."""

    state: CreditLedgerState = CreditLedgerState()
    bases: tuple[PeriodBase, ...] = ()


class FleetCredits:
    """Meter and price credits while this process holds the fleet lease."""

    def __init__(self, ports: FleetPorts) -> None:
        """Start inactive, until a term begins."""
        self._ports = ports
        self._wall_s = ports.environment.wall_s
        self._term = 0
        self._record: Record | None = None
        self._stored = StoredLedger()
        ports.scheduler.call_every(TERM_CHECK_PERIOD_S, self._update_term)
        ports.scheduler.call_every(REPRICE_PERIOD_S, self.reprice)

    def reprice(self) -> None:
        """Read the spent credits and update the prices."""
        if self._may_price():
            read_bills(self._ports.store, self._wall_s(), self._on_report)

    def _may_price(self) -> bool:
        record = self._record
        if record is None or not record.loaded or record.writing:
            return False
        has_term = self._term and self._ports.fencing_number() == self._term
        return bool(has_term and self._ports.replica.configuration)

    def _update_term(self) -> None:
        term = self._ports.fencing_number()
        if term == self._term:
            return
        if self._record is not None:
            self._record.close()
            self._record = None
        self._term = term
        if term:
            self._record = Record(
                self._ports.store,
                self._ports.scheduler,
                CREDITS_KEY,
                self._on_read,
            )
            self._record.load()

    def _on_read(self, body: bytes) -> None:
        self._stored = StoredLedger()
        if body:
            self._stored = msgspec.json.decode(body, type=StoredLedger)
        self.reprice()

    def _on_report(self, report: BillReport | StoreUnavailable) -> None:
        if not isinstance(report, BillReport) or not self._may_price():
            return
        totals: dict[str, float] = {}
        for cost in report.costs:
            known = totals.get(cost.provider, 0)
            totals[cost.provider] = known + cost.cost_credits
        providers = tuple(
            ProviderCredits(each.name, each.credits, each.expires_s)
            for each in self._ports.replica.configuration.providers
        )
        self._stored = self._begin_periods(providers, totals)
        self._decide(SetCredits(providers))
        for base in self._stored.bases:
            spent = totals.get(base.provider, 0) - base.total_credits
            self._decide(
                MeterSpend(
                    WHOLE_FLEET,
                    base.provider,
                    base.expires_s,
                    max(spent, 0),
                ),
            )
        self._decide(Reprice())
        self._record.write(
            msgspec.json.encode(self._stored),
            self._publish,
        )

    def _begin_periods(
        self,
        providers: tuple[ProviderCredits, ...],
        totals: dict[str, float],
    ) -> StoredLedger:
        known = {
            (each.provider, each.expires_s): each for each in self._stored.bases
        }
        bases = []
        for each in providers:
            base = known.get((each.provider, each.expires_s))
            if base is None:
                # The first period includes all earlier spending.
                earlier = any(
                    old.provider == each.provider for old in self._stored.bases
                )
                total = totals.get(each.provider, 0) if earlier else 0
                base = PeriodBase(each.provider, each.expires_s, total)
            bases.append(base)
        return StoredLedger(self._stored.state, tuple(bases))

    def _decide(self, message: CreditMessage) -> None:
        state, _ = decide(self._stored.state, message, self._wall_s())
        self._stored = StoredLedger(state, self._stored.bases)

    def _publish(self) -> None:
        rows = []
        for ledger in self._stored.state.ledgers:
            row = self._describe(ledger)
            rows.append(row)
            self._ports.log.emit(
                CreditPriced(
                    row.provider,
                    row.credits,
                    row.spent_credits,
                    row.credit_price,
                ),
            )
        news = CreditNews(self._term, tuple(rows))
        for relay in self._ports.all_relays():
            self._ports.messenger.send(relay, news)

    def _describe(self, ledger: ProviderLedger) -> ProviderNews:
        state = self._stored.state
        remaining = remaining_credits(ledger, state, self._wall_s())
        return ProviderNews(
            ledger.provider,
            ledger.credits,
            ledger.credits - remaining,
            ledger.expires_s,
            ledger.multiplier,
        )
