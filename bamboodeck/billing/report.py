"""Read the bill and cost totals for the operators."""

from collections.abc import Callable, Iterable

from bamboodeck.billing.ledger import PREFIX, Ledger
from bamboodeck.billing.messages import (
    BillReport,
    BillTotal,
    CostTotal,
    LedgerFormatError,
)
from bamboodeck.keyvalue.port import (
    Entry,
    KeyValuePort,
    PrefixRead,
    ReadPrefix,
    StoreReply,
    StoreUnavailable,
)

OnReport = Callable[[BillReport | StoreUnavailable], None]


def read_bills(port: KeyValuePort, now_s: float, on_report: OnReport) -> None:
    """Read the current totals from the key-value store."""

    def on_reply(reply: StoreReply) -> None:  # noqa: WPS430
        match reply:
            case PrefixRead(entries=entries):
                on_report(build_report(entries, now_s))
            case _:
                on_report(
                    StoreUnavailable(
                        'bill totals could not be read', maybe_applied=False
                    )
                )

    port.submit(ReadPrefix(PREFIX), on_reply)


def build_report(entries: Iterable[Entry], now_s: float) -> BillReport:
    """Sum the totals of all shards; raise `LedgerFormatError`."""
    bills: dict[tuple[str, ...], BillTotal] = {}
    costs: dict[tuple[str, ...], CostTotal] = {}
    repeated = 0
    for entry in entries:
        ledger = _load_ledger(entry, now_s)
        repeated += ledger.repeated
        for bill in ledger.bill_totals():
            key = (bill.customer, bill.version, bill.request_class)
            bills[key] = _add_bill(bills.get(key), bill)
        for cost in ledger.cost_totals():
            costs[cost.provider, cost.customer, cost.version] = cost
    return BillReport(
        tuple(bills[key] for key in sorted(bills)),
        tuple(costs[key] for key in sorted(costs)),
        repeated,
    )


def _load_ledger(entry: Entry, now_s: float) -> Ledger:
    try:
        return Ledger(entry.body, now_s)
    except LedgerFormatError as error:
        raise LedgerFormatError(f'{entry.key}: {error}') from None


def _add_bill(subtotal: BillTotal | None, bill: BillTotal) -> BillTotal:
    if subtotal is None:
        return bill
    return BillTotal(
        bill.customer,
        bill.version,
        bill.request_class,
        subtotal.requests + bill.requests,
        subtotal.input_tokens + bill.input_tokens,
        subtotal.output_tokens + bill.output_tokens,
        subtotal.price_credits + bill.price_credits,
    )
