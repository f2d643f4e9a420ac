"""Decide how to answer an order that may not be dispatched."""

from bamboodeck.orders.messages import (
    AlreadyDone,
    NotRun,
    OrderCode,
    OrderDecision,
    OutcomeUnknown,
)
from bamboodeck.orders.pending import ChangeResult, ProvenNotRun, Unreadable
from bamboodeck.orders.records import (
    Blocked,
    OrderRecord,
    RecordState,
    ValueFull,
    outcome_of,
)

_RETRY_AFTER_S = 1.0
_FULL_RETRY_AFTER_S = 10.0

KEY_REUSED = OutcomeUnknown(
    'idempotency key was used for another body',
    OrderCode.KEY_REUSED,
)
TOO_LATE = NotRun(
    OrderCode.TOO_LATE,
    'the intent was stored after the dispatch deadline',
    _RETRY_AFTER_S,
)


def decide_refusal(outcome: ChangeResult, fingerprint: bytes) -> OrderDecision:
    """Turn the failure of a claim into the decision for its caller."""
    match outcome:
        case Blocked(record=record):
            return _decide_blocked(record, fingerprint)
        case ProvenNotRun():
            return NotRun(
                OrderCode.STORE_UNAVAILABLE,
                'intent could not be written to the key-value service',
                _RETRY_AFTER_S,
            )
        case ValueFull():
            return NotRun(
                OrderCode.STORE_FULL,
                'no room for more orders with keys issued at this time',
                _FULL_RETRY_AFTER_S,
            )
        case Unreadable(reason=reason):
            return OutcomeUnknown(reason, OrderCode.STORE_UNREADABLE)
        case _:
            return OutcomeUnknown(
                'key-value service does not answer',
                OrderCode.STORE_UNAVAILABLE,
                _RETRY_AFTER_S,
            )


def _decide_blocked(record: OrderRecord, fingerprint: bytes) -> OrderDecision:
    if record.fingerprint != fingerprint:
        if record.state is RecordState.NOT_STARTED:
            return NotRun(
                OrderCode.KEY_REUSED,
                'idempotency key was used for another body',
            )
        return KEY_REUSED
    if record.state is RecordState.DONE:
        return AlreadyDone(outcome_of(record))
    return OutcomeUnknown('an earlier attempt may have run')
