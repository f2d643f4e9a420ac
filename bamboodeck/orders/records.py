"""Encode the records of orders and apply changes to them."""

import enum
from dataclasses import dataclass

import msgspec

from bamboodeck.orders.messages import (
    OrderLimits,
    OrderOutcome,
    RecordFormatError,
)

_FORMAT = 1
# An upper bound of the packed size of a record without a body.
_RECORD_BYTES = 64


@enum.unique
class RecordState(enum.IntEnum):
    """Name the state of an attempt."""

    INTENT = 0
    DONE = 1
    NOT_STARTED = 2


class OrderRecord(msgspec.Struct, frozen=True, array_like=True):
    """Record the latest attempt with one key."""

    digest: bytes
    fingerprint: bytes
    attempt_id: bytes
    state: RecordState
    status: int = 0
    body: bytes | None = None


class _StoredValue(msgspec.Struct, frozen=True, array_like=True):
    format: int
    records: list[OrderRecord]


@dataclass(frozen=True, slots=True)
class Claim:
    """Record the intent of an attempt unless another one is recorded."""

    digest: bytes
    fingerprint: bytes
    attempt_id: bytes


@dataclass(frozen=True, slots=True)
class Finish:
    """Record the outcome of an attempt."""

    digest: bytes
    attempt_id: bytes
    outcome: OrderOutcome


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Record that an attempt has not started and never will start."""

    digest: bytes
    fingerprint: bytes
    attempt_id: bytes


Change = Claim | Finish | Withdraw


@dataclass(frozen=True, slots=True)
class Applied:
    """Report that a change is in the value or isn't needed in it."""


@dataclass(frozen=True, slots=True)
class Blocked:
    """Report the record that prevents a claim."""

    record: OrderRecord


@dataclass(frozen=True, slots=True)
class ValueFull:
    """Report that the key has not run and that the value is full."""


ApplyResult = Applied | Blocked | ValueFull


class RecordSet:
    """Apply changes to a working copy of one stored value."""

    def __init__(self, body: bytes | None, limits: OrderLimits) -> None:
        """Decode a stored value; raise `RecordFormatError`."""
        self.changed = False
        self._limits = limits
        self._size_bytes = len(body or b'') + _RECORD_BYTES
        self._records = {record.digest: record for record in _unpack(body)}

    def pack(self) -> bytes:
        """Encode all records as a stored value."""
        records = list(self._records.values())
        return msgspec.msgpack.encode(_StoredValue(_FORMAT, records))

    def permits(self, claim: Claim) -> bool:
        """Return whether no attempt with the claimed key has started."""
        record = self._records.get(claim.digest)
        return record is None or record.state is RecordState.NOT_STARTED

    def apply(self, change: Change) -> ApplyResult:
        """Apply a change; applying it again has no further effect."""
        match change:
            case Claim():
                return self._claim(change)
            case Finish():
                return self._finish(change)
            case Withdraw():
                return self._withdraw(change)

    def _claim(self, claim: Claim) -> ApplyResult:
        record = self._records.get(claim.digest)
        if record is None:
            if not self._has_room(_RECORD_BYTES):
                return ValueFull()
        elif record.fingerprint != claim.fingerprint:
            return Blocked(record)
        elif record.state is not RecordState.NOT_STARTED:
            same_attempt = record.attempt_id == claim.attempt_id
            return Applied() if same_attempt else Blocked(record)
        self._put(
            OrderRecord(
                claim.digest,
                claim.fingerprint,
                claim.attempt_id,
                RecordState.INTENT,
            ),
        )
        return Applied()

    def _finish(self, change: Finish) -> Applied:
        record = self._records.get(change.digest)
        if record is None or record.attempt_id != change.attempt_id:
            return Applied()
        if record.state is not RecordState.INTENT:
            return Applied()
        self._put(
            OrderRecord(
                record.digest,
                record.fingerprint,
                record.attempt_id,
                RecordState.DONE,
                change.outcome.status,
                self._kept_body(change.outcome),
            ),
        )
        return Applied()

    def _withdraw(self, change: Withdraw) -> Applied:
        record = self._records.get(change.digest)
        if record is not None:
            same_attempt = record.attempt_id == change.attempt_id
            if not same_attempt or record.state is not RecordState.INTENT:
                return Applied()
        self._put(
            OrderRecord(
                change.digest,
                change.fingerprint,
                change.attempt_id,
                RecordState.NOT_STARTED,
            ),
        )
        return Applied()

    def _kept_body(self, outcome: OrderOutcome) -> bytes | None:
        size = len(outcome.body)
        if not outcome.body_kept or size > self._limits.max_body_bytes:
            return None
        return outcome.body if self._has_room(size) else None

    def _has_room(self, size_bytes: int) -> bool:
        return self._size_bytes + size_bytes <= self._limits.max_value_bytes

    def _put(self, record: OrderRecord) -> None:
        self._records[record.digest] = record
        self._size_bytes += _RECORD_BYTES + len(record.body or b'')
        self.changed = True


def outcome_of(record: OrderRecord) -> OrderOutcome:
    """Return the outcome of a finished record."""
    kept = record.body is not None
    return OrderOutcome(record.status, record.body or b'', kept)


def _unpack(body: bytes | None) -> list[OrderRecord]:
    if body is None:
        return []
    try:
        stored = msgspec.msgpack.decode(body, type=_StoredValue)
    except msgspec.DecodeError as error:
        raise RecordFormatError(f'order records: {error}') from None
    if stored.format != _FORMAT:
        raise RecordFormatError(f'order records of format {stored.format}')
    return stored.records
