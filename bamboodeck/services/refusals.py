"""Build the refusals of service calls."""

from dataclasses import replace

from bamboodeck.http.messages import ApiRequest
from bamboodeck.orders.messages import NotRun, OutcomeUnknown
from bamboodeck.refusals import (
    BAD_GATEWAY,
    CONFLICT,
    INVALID_REQUEST,
    UNAVAILABLE,
    Refusal,
    RunState,
)
from bamboodeck.services.call import IDEMPOTENCY_HEADER

RETRY_AFTER_S = 1.0


def mark_run_unknown(refusal: Refusal, request: ApiRequest) -> Refusal:
    """Set the run state to unknown if the call has an idempotency key.

    For refusals before the key's intent is looked up: an earlier attempt may
    have run through another entry host.
    """
    if not request.headers.get(IDEMPOTENCY_HEADER):
        return refusal
    return replace(refusal, run=RunState.UNKNOWN)


def build_outcome_unknown(unknown: OutcomeUnknown) -> Refusal:
    """Build the refusal of a call whose key may already have run."""
    return Refusal(
        CONFLICT,
        unknown.code.value,
        unknown.message,
        RunState.UNKNOWN,
        unknown.retry_after_s,
    )


def build_not_run(not_run: NotRun) -> Refusal:
    """Build the refusal of an order that isn't dispatched."""
    return Refusal(
        UNAVAILABLE if not_run.retry_after_s else INVALID_REQUEST,
        not_run.code.value,
        not_run.message,
        RunState.NOT_RUN,
        not_run.retry_after_s,
    )


def build_dispatch_expired() -> Refusal:
    """Build the refusal of an order whose intent was stored too late."""
    return Refusal(
        UNAVAILABLE,
        'order_deadline_passed',
        'the intent was stored too late to be dispatched',
        RunState.NOT_RUN,
        RETRY_AFTER_S,
    )


def build_without_server(service: str, run: RunState) -> Refusal:
    """Build the refusal of a call without an available backend server."""
    return Refusal(
        UNAVAILABLE,
        'no_backend_server',
        f'service "{service}" has no available backend server',
        run,
        RETRY_AFTER_S,
    )


def build_not_started(reason: str) -> Refusal:
    """Build the refusal of a call that the backend server did not start."""
    return Refusal(
        UNAVAILABLE,
        'backend_server_unavailable',
        reason,
        RunState.NOT_RUN,
        RETRY_AFTER_S,
    )


def build_server_failed(reason: str) -> Refusal:
    """Build the refusal of a call that may have run and failed."""
    return Refusal(
        BAD_GATEWAY,
        'backend_server_failed',
        reason,
        RunState.UNKNOWN,
    )
