"""Define requests, decisions, errors and limits of orders."""

import enum
from dataclasses import dataclass

from bamboodeck.errors import BamboodeckError, InputError


class OrderError(BamboodeckError):
    """Report an order that can't be accepted."""


class OrderKeyError(OrderError, InputError):
    """Report an idempotency key that isn't accepted."""


class MalformedKeyError(OrderKeyError):
    """Report an idempotency key that is not a UUIDv7."""


class ExpiredKeyError(OrderKeyError):
    """Report a key whose records may have been deleted."""


class FutureKeyError(OrderKeyError):
    """Report a key that was issued in the future."""


class RecordFormatError(OrderError):
    """Report a stored value without valid order records."""


@enum.unique
class OrderCode(enum.StrEnum):
    """Name the reason of a refusal."""

    KEY_MALFORMED = 'order_key_malformed'
    KEY_EXPIRED = 'order_key_expired'
    KEY_IN_FUTURE = 'order_key_in_future'
    KEY_REUSED = 'order_key_reused'
    IN_PROGRESS = 'order_in_progress'
    UNKNOWN = 'order_outcome_unknown'
    OVERLOADED = 'order_book_full'
    STORE_FULL = 'order_store_full'
    STORE_UNAVAILABLE = 'order_store_unavailable'
    STORE_UNREADABLE = 'order_store_unreadable'
    TOO_LATE = 'order_deadline_passed'


@dataclass(frozen=True, slots=True)
class OrderRequest:
    """Request a non-idempotent call with the caller's idempotency key."""

    customer: str
    service: str
    method: str
    idempotency_key: str
    body: bytes


@dataclass(frozen=True, slots=True)
class OrderOutcome:
    """Record the answer of the service; long bodies aren't kept."""

    status: int
    body: bytes
    body_kept: bool = True


@dataclass(frozen=True, slots=True)
class OrderTicket:
    """Permit one dispatch before a deadline on the monotonic clock."""

    store_key: str
    digest: bytes
    fingerprint: bytes
    attempt_id: bytes
    dispatch_before_s: float


@dataclass(frozen=True, slots=True)
class MayDispatch:
    """Permit the dispatch, as the intent is stored."""

    ticket: OrderTicket


@dataclass(frozen=True, slots=True)
class AlreadyDone:
    """Report the outcome of an earlier attempt."""

    outcome: OrderOutcome


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """Report that an attempt with this key may have run or be running."""

    message: str
    code: OrderCode = OrderCode.UNKNOWN
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class NotRun:
    """Report that no attempt with this key has been dispatched."""

    code: OrderCode
    message: str
    retry_after_s: float = 0.0


OrderDecision = MayDispatch | AlreadyDone | OutcomeUnknown | NotRun


@dataclass(frozen=True, slots=True)
class OrderLimits:
    """Limit the time and the memory that orders take."""

    key_ttl_s: float = 86_400.0
    key_skew_s: float = 60.0
    claim_timeout_s: float = 2.0
    dispatch_window_s: float = 2.0
    proof_max_age_s: float = 0.5
    record_timeout_s: float = 300.0
    claim_linger_s: float = 0.0
    record_linger_s: float = 0.1
    retry_base_s: float = 0.02
    retry_max_s: float = 1.0
    max_claim_failures: int = 3
    max_pending: int = 1000
    max_value_bytes: int = 900_000
    max_body_bytes: int = 1024
