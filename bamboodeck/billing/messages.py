"""Define the records, messages and limits of billing."""

import enum
import hashlib
from dataclasses import dataclass

import msgspec

from bamboodeck.errors import BamboodeckError

BILL_ID_BYTES = 16
INCARNATION_BYTES = 8
MICROCREDITS_PER_CREDIT = 1_000_000
MAX_CREDITS = 1_000_000_000


class BillingError(BamboodeckError):
    """Signal a failure of billing."""


class BillsFullError(BillingError):
    """Signal that the buffer is full until some bills are folded."""


class LedgerFormatError(BillingError):
    """Signal a record or stored total that can't be decoded."""


@enum.unique
class DedupWindow(enum.IntEnum):
    """Select for how long a repeated request is recognized as a duplicate.

    Orders use a day, since their outcome is replayed while their key lives.
    """

    HOUR = 1
    DAY = 2


class BillRecord(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=1,
):
    """Charge a customer for one answered request."""

    bill_id: bytes
    customer: str
    request_id: str
    version: str
    request_class: str
    input_tokens: int
    output_tokens: int
    price_credits: float
    zone: str
    finished_s: float
    window: DedupWindow = DedupWindow.HOUR

    def __post_init__(self) -> None:
        """Raise `ValueError` for a price that can't be summed."""
        _check_credits(self.price_credits)


class CostRecord(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=2,
):
    """Sum the provider credits that attempts on a version used."""

    provider: str
    customer: str
    version: str
    attempts: int
    input_tokens: int
    output_tokens: int
    wasted_tokens: int
    cost_credits: float

    def __post_init__(self) -> None:
        """Raise `ValueError` for a cost that can't be summed."""
        _check_credits(self.cost_credits)


BilledRecord = BillRecord | CostRecord
_decoder = msgspec.msgpack.Decoder(BilledRecord)


@dataclass(frozen=True, slots=True)
class BillBatch:
    """Carry encoded records of one incarnation of an entry process.

    Every record numbered below `folded_next` is in the store. `copied` marks
    a batch that another controller sends in place of a missing sender.
    """

    incarnation: bytes
    folded_next: int
    first_number: int
    records: tuple[bytes, ...]
    copied: bool = False


@dataclass(frozen=True, slots=True)
class BillAck:
    """Acknowledge records: those below `held_next` are held by the peer.

    Those below `folded_next` are in the store.
    """

    incarnation: bytes
    held_next: int
    folded_next: int


@dataclass(frozen=True, slots=True)
class SendBatch:
    """Request that a batch be sent to a peer."""

    peer: str
    batch: BillBatch


@dataclass(frozen=True, slots=True)
class BillHeld:
    """Report that a host other than the sender's holds a record."""

    number: int


@dataclass(frozen=True, slots=True)
class BillUnprotected:
    """Report that no other host held a record before the timeout."""

    number: int


BillOutcome = BillHeld | BillUnprotected


@dataclass(frozen=True, slots=True)
class BillTotal:
    """Sum the bills of a customer for a version and a request class."""

    customer: str
    version: str
    request_class: str
    requests: int
    input_tokens: int
    output_tokens: int
    price_credits: float


@dataclass(frozen=True, slots=True)
class CostTotal:
    """Sum a provider's cost for a customer and a version."""

    provider: str
    customer: str
    version: str
    attempts: int
    input_tokens: int
    output_tokens: int
    wasted_tokens: int
    cost_credits: float


@dataclass(frozen=True, slots=True)
class BillReport:
    """Report all totals; `repeated` counts repeats that were not billed."""

    bills: tuple[BillTotal, ...]
    costs: tuple[CostTotal, ...]
    repeated: int


@dataclass(frozen=True, slots=True)
class BillingLimits:
    """Bound the buffers and set the timeouts of billing."""

    max_records: int = 200_000
    max_batch_records: int = 500
    ack_timeout_s: float = 0.5
    hold_timeout_s: float = 2.0
    refresh_period_s: float = 2.0
    silence_timeout_s: float = 10.0
    retention_s: float = 86_400.0
    retry_base_s: float = 0.05
    retry_max_s: float = 2.0


def _check_credits(amount: float) -> None:
    # msgspec converts a ValueError into its own ValidationError.
    if not 0 <= amount <= MAX_CREDITS:
        raise ValueError(f'{amount} credits are not from 0 to {MAX_CREDITS}')


def build_bill_id(customer: str, request_id: str) -> bytes:
    """Derive the id of a bill from the customer and the request id."""
    encoded = msgspec.msgpack.encode((customer, request_id))
    return hashlib.blake2b(encoded, digest_size=BILL_ID_BYTES).digest()


def pack_record(record: BilledRecord) -> bytes:
    """Encode a record for a batch."""
    return msgspec.msgpack.encode(record)


def unpack_record(packed: bytes) -> BilledRecord:
    """Decode a record; raise `LedgerFormatError` if it is invalid."""
    try:
        return _decoder.decode(packed)
    except msgspec.DecodeError as error:
        raise LedgerFormatError(f'cannot decode bill record: {error}') from None
