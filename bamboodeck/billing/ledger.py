"""Keep the totals of one shard of the bills and fold records into them.

A watermark per incarnation prevents folding a record twice; the ids of
recent bills prevent billing a repeated request twice. Both are written in
the same compare-and-swap as the totals.
"""

import hashlib

import msgspec

from bamboodeck.billing.messages import (
    MICROCREDITS_PER_CREDIT,
    BilledRecord,
    BillRecord,
    BillTotal,
    CostRecord,
    CostTotal,
    DedupWindow,
    LedgerFormatError,
)
from bamboodeck.billing.window import (
    SLOT_S,
    SeenSlot,
    SeenWindow,
    WindowLimits,
)

SHARDS = 16
PREFIX = '/bamboodeck/bills/'
MAX_WATERMARKS = 10_000
HOUR_LIMITS = WindowLimits(max_slots=60, max_bytes=400_000)
DAY_LIMITS = WindowLimits(max_slots=1500, max_bytes=200_000)

_FORMAT = 1


class _BillSum(msgspec.Struct, array_like=True):
    customer: str
    version: str
    request_class: str
    requests: int = 0
    input_tokens: int = 0
    output_tokens: int = 0
    price_microcredits: int = 0


class _CostSum(msgspec.Struct, array_like=True):
    provider: str
    customer: str
    version: str
    attempts: int = 0
    input_tokens: int = 0
    output_tokens: int = 0
    wasted_tokens: int = 0
    cost_microcredits: int = 0


class _Watermark(msgspec.Struct, array_like=True):
    incarnation: bytes
    next_number: int
    slot: int


class _StoredLedger(msgspec.Struct, array_like=True):
    format: int
    bills: list[_BillSum]
    costs: list[_CostSum]
    watermarks: list[_Watermark]
    seen: list[SeenSlot]
    repeated: int
    seen_orders: list[SeenSlot] = []


_decoder = msgspec.msgpack.Decoder(_StoredLedger)


class Ledger:
    """Fold records into a working copy of one shard's stored value."""

    def __init__(self, body: bytes | None, now_s: float) -> None:
        """Decode a stored value; raise `LedgerFormatError`."""
        stored = _unpack(body)
        self.changed = False
        self.repeated = stored.repeated
        self.dropped_slots = 0
        self._now_s = now_s
        self._bills = {
            (each.customer, each.version, each.request_class): each
            for each in stored.bills
        }
        self._costs = {
            (each.provider, each.customer, each.version): each
            for each in stored.costs
        }
        self._watermarks = {
            each.incarnation: each for each in stored.watermarks
        }
        self._seen = SeenWindow(stored.seen, HOUR_LIMITS)
        self._seen_orders = SeenWindow(stored.seen_orders, DAY_LIMITS)

    def next_number(self, incarnation: bytes) -> int:
        """Return the number of the first record that is not folded yet."""
        watermark = self._watermarks.get(incarnation)
        return 0 if watermark is None else watermark.next_number

    def fold(
        self,
        incarnation: bytes,
        number: int,
        record: BilledRecord,
    ) -> None:
        """Add a record unless it was folded or its request was billed."""
        if number < self.next_number(incarnation):
            return
        self.changed = True
        slot = int(self._now_s // SLOT_S)
        watermark = _Watermark(incarnation, number + 1, slot)
        self._watermarks[incarnation] = watermark
        match record:
            case BillRecord():
                self._add_bill(record)
            case CostRecord():
                self._add_cost(record)

    def pack(self) -> bytes:
        """Encode the totals, the watermarks and the recent bill ids."""
        for window in (self._seen, self._seen_orders):
            self.dropped_slots += window.flush(self._now_s)
        return msgspec.msgpack.encode(
            _StoredLedger(
                _FORMAT,
                list(self._bills.values()),
                list(self._costs.values()),
                self._recent_watermarks(),
                self._seen.slots,
                self.repeated,
                self._seen_orders.slots,
            ),
        )

    def seen_ids(self) -> tuple[bytes, ...]:
        """Return the truncated ids of the recent bills."""
        return (*self._seen.list_ids(), *self._seen_orders.list_ids())

    def bill_totals(self) -> tuple[BillTotal, ...]:
        """Return the totals billed to customers."""
        return tuple(
            BillTotal(
                each.customer,
                each.version,
                each.request_class,
                each.requests,
                each.input_tokens,
                each.output_tokens,
                each.price_microcredits / MICROCREDITS_PER_CREDIT,
            )
            for each in self._bills.values()
        )

    def cost_totals(self) -> tuple[CostTotal, ...]:
        """Return the totals of the providers' costs."""
        return tuple(
            CostTotal(
                each.provider,
                each.customer,
                each.version,
                each.attempts,
                each.input_tokens,
                each.output_tokens,
                each.wasted_tokens,
                each.cost_microcredits / MICROCREDITS_PER_CREDIT,
            )
            for each in self._costs.values()
        )

    def _add_bill(self, record: BillRecord) -> None:
        match record.window:
            case DedupWindow.HOUR:
                window = self._seen
            case DedupWindow.DAY:
                window = self._seen_orders
        if record.bill_id in window:
            self.repeated += 1
            return
        window.add(record.bill_id)
        key = (record.customer, record.version, record.request_class)
        total = self._bills.setdefault(key, _BillSum(*key))
        total.requests += 1
        total.input_tokens += record.input_tokens
        total.output_tokens += record.output_tokens
        total.price_microcredits += round(
            record.price_credits * MICROCREDITS_PER_CREDIT
        )

    def _add_cost(self, record: CostRecord) -> None:
        key = (record.provider, record.customer, record.version)
        total = self._costs.setdefault(key, _CostSum(*key))
        total.attempts += record.attempts
        total.input_tokens += record.input_tokens
        total.output_tokens += record.output_tokens
        total.wasted_tokens += record.wasted_tokens
        total.cost_microcredits += round(
            record.cost_credits * MICROCREDITS_PER_CREDIT
        )

    def _recent_watermarks(self) -> list[_Watermark]:
        watermarks = list(self._watermarks.values())
        if len(watermarks) <= MAX_WATERMARKS:
            return watermarks
        watermarks.sort(key=lambda watermark: watermark.slot)
        return watermarks[-MAX_WATERMARKS:]


def shard_of(record: BilledRecord) -> int:
    """Return the shard of a record; equal ids go to the same shard."""
    match record:
        case BillRecord(bill_id=bill_id):
            return bill_id[-1] % SHARDS
        case CostRecord():
            label = f'{record.provider} {record.customer} {record.version}'
            return hashlib.blake2b(label.encode()).digest()[0] % SHARDS


def shard_key(shard: int) -> str:
    """Return the key of a shard in the key-value store."""
    return f'{PREFIX}{shard:02d}'


def _unpack(body: bytes | None) -> _StoredLedger:
    if body is None:
        return _StoredLedger(_FORMAT, [], [], [], [], 0)
    try:
        stored = _decoder.decode(body)
    except msgspec.DecodeError as error:
        raise LedgerFormatError(f'cannot decode bill totals: {error}') from None
    if stored.format != _FORMAT:
        raise LedgerFormatError(
            f'bill totals have unsupported format {stored.format}'
        )
    return stored
