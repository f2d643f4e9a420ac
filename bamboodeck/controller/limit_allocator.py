"""Split limits among holders; record each plan before sending it."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

import msgspec

from bamboodeck.admission.limits import (
    CustomerLimit,
    Demand,
    LimitPlan,
    LimitShare,
    Rates,
    SentShare,
    split_limits,
)
from bamboodeck.controller.records import Record
from bamboodeck.keyvalue.port import KeyValuePort
from bamboodeck.loop.scheduler import Scheduler
from bamboodeck.peers.messages import DemandReported, RateRow, SharesSent

HOLDER_TIMEOUT_S = 10.0
# Smaller relative changes of a share do not justify a write.
MIN_RELATIVE_CHANGE = 0.1
ROUNDING_TOLERANCE = 1e-6

_Key = tuple[str, str]


@dataclass(frozen=True, slots=True)
class _ReceivedReport:
    report: DemandReported
    received_s: float


class LimitAllocator:
    """Split total rates among zones, or among the nodes of a zone.

    A holder that was never sent a share uses its fraction of the limit.
    """

    def __init__(
        self,
        store: KeyValuePort,
        scheduler: Scheduler,
        key: str,
        fractions: Mapping[str, float],
        send: Callable[[SharesSent], None],
    ) -> None:
        """Start inactive, until `set_term` begins a term."""
        self._store = store
        self._scheduler = scheduler
        self._key = key
        self._fractions = fractions
        self._send = send
        self._record: Record | None = None
        self._plan = LimitPlan()
        self._reports: dict[str, _ReceivedReport] = {}

    def set_term(self, term: int) -> None:
        """Begin a term, or end the current one if the term is 0."""
        if self._record is not None:
            self._record.close()
            self._record = None
        self._reports = {}
        if term:
            self._record = Record(
                self._store,
                self._scheduler,
                self._key,
                self._on_read,
            )
            self._record.load()

    def record_demand(self, report: DemandReported) -> None:
        """Record a holder's demand and which shares it has in force."""
        if report.holder not in self._fractions or not self._is_loaded():
            return
        self._reports[report.holder] = _ReceivedReport(
            report, self._scheduler.now_s()
        )
        self._plan = self._plan.confirm(report.holder, report.sequence)

    def split(
        self,
        totals: Iterable[CustomerLimit],
        limits: Iterable[CustomerLimit],
    ) -> None:
        """Split the totals; `limits` are those of the whole fleet."""
        if not self._is_loaded() or self._record.writing:
            return
        totals = tuple(totals)
        self._add_initial_shares(limits)
        held = self.held()
        shares = split_limits(self._build_demands(totals, held), totals)
        if not self._needs_update(shares, held, totals):
            self._send_all()
            return
        self._plan = self._plan.send(shares)
        self._record.write(msgspec.json.encode(self._plan), self._send_all)

    def held(self) -> dict[_Key, Rates]:
        """Return the largest share in force, by holder and customer."""
        held: dict[_Key, Rates] = {}
        for sent in self._plan.sent:
            share = sent.share
            key = (share.holder, share.customer)
            known = held.get(key, Rates())
            held[key] = Rates(
                max(known.requests_per_s, share.rates.requests_per_s),
                max(known.tokens_per_s, share.rates.tokens_per_s),
            )
        return held

    def fits(self, totals: Iterable[CustomerLimit]) -> bool:
        """Return whether the shares in force are within the totals."""
        if not self._is_loaded() or not self._plan.sent:
            return False
        return _within(self.held(), totals)

    def demand(self) -> tuple[RateRow, ...]:
        """Return the total demand of the holders that are not silent."""
        sums: dict[str, Rates] = {}
        for holder, received in self._reports.items():
            if self._is_silent(holder):
                continue
            for row in received.report.rows:
                known = sums.get(row.customer, Rates())
                sums[row.customer] = Rates(
                    known.requests_per_s + row.requests_per_s,
                    known.tokens_per_s + row.tokens_per_s,
                )
        return tuple(
            RateRow(name, rates.requests_per_s, rates.tokens_per_s)
            for name, rates in sums.items()
        )

    def _is_loaded(self) -> bool:
        return self._record is not None and self._record.loaded

    def _on_read(self, body: bytes) -> None:
        self._plan = LimitPlan()
        if body:
            self._plan = msgspec.json.decode(body, type=LimitPlan)

    def _is_silent(self, holder: str) -> bool:
        received = self._reports.get(holder)
        if received is None:
            return True
        return self._scheduler.now_s() - received.received_s > HOLDER_TIMEOUT_S

    def _add_initial_shares(self, limits: Iterable[CustomerLimit]) -> None:
        """Add the shares that holders use before they are sent any."""
        names = {limit.customer for limit in limits}
        kept = tuple(
            sent
            for sent in self._plan.sent
            if sent.share.holder in self._fractions
            and sent.share.customer in names
        )
        known = {(sent.share.holder, sent.share.customer) for sent in kept}
        initial = [
            SentShare(0, _build_initial_share(holder, limit, fraction))
            for limit in limits
            for holder, fraction in self._fractions.items()
            if (holder, limit.customer) not in known
        ]
        self._plan = replace(self._plan, sent=(*kept, *initial))

    def _build_demands(
        self,
        totals: tuple[CustomerLimit, ...],
        held: Mapping[_Key, Rates],
    ) -> list[Demand]:
        demanded: dict[_Key, Rates] = {}
        for received in self._reports.values():
            for row in received.report.rows:
                rates = Rates(row.requests_per_s, row.tokens_per_s)
                demanded[received.report.holder, row.customer] = rates
        return [
            Demand(
                holder,
                total.customer,
                demanded.get((holder, total.customer), Rates()),
                held.get((holder, total.customer), Rates()),
                self._is_silent(holder),
            )
            for total in totals
            for holder in self._fractions
        ]

    def _needs_update(
        self,
        shares: tuple[LimitShare, ...],
        held: Mapping[_Key, Rates],
        totals: tuple[CustomerLimit, ...],
    ) -> bool:
        if not _within(held, totals):
            return bool(shares)
        for share in shares:
            known = held.get((share.holder, share.customer), Rates())
            if _differ(known.requests_per_s, share.rates.requests_per_s):
                return True
            if _differ(known.tokens_per_s, share.rates.tokens_per_s):
                return True
        return False

    def _send_all(self) -> None:
        """Send each holder its latest shares; holders ignore known ones."""
        newest: dict[str, int] = {}
        for sent in self._plan.sent:
            holder = sent.share.holder
            newest[holder] = max(newest.get(holder, 0), sent.sequence)
        rows: dict[str, list[RateRow]] = {}
        for sent in self._plan.sent:
            share = sent.share
            if sent.sequence and sent.sequence == newest[share.holder]:
                rates = share.rates
                rows.setdefault(share.holder, []).append(
                    RateRow(
                        share.customer,
                        rates.requests_per_s,
                        rates.tokens_per_s,
                    ),
                )
        for holder, own in rows.items():
            self._send(SharesSent(holder, newest[holder], tuple(own)))


def _build_initial_share(
    holder: str,
    limit: CustomerLimit,
    fraction: float,
) -> LimitShare:
    rates = limit.rates
    return LimitShare(
        holder,
        limit.customer,
        Rates(rates.requests_per_s * fraction, rates.tokens_per_s * fraction),
    )


def _within(
    held: Mapping[_Key, Rates],
    totals: Iterable[CustomerLimit],
) -> bool:
    for total in totals:
        shares = [
            rates for (_, name), rates in held.items() if name == total.customer
        ]
        requests = sum(each.requests_per_s for each in shares)
        tokens = sum(each.tokens_per_s for each in shares)
        if requests > total.rates.requests_per_s * (1 + ROUNDING_TOLERANCE):
            return False
        if tokens > total.rates.tokens_per_s * (1 + ROUNDING_TOLERANCE):
            return False
    return True


def _differ(known: float, wanted: float) -> bool:
    return abs(known - wanted) > MIN_RELATIVE_CHANGE * max(known, wanted)
