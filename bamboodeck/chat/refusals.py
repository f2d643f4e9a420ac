"""Build the refusals of chat requests."""

from bamboodeck.refusals import (
    BAD_GATEWAY,
    FORBIDDEN,
    TIMEOUT,
    UNAVAILABLE,
    Refusal,
    RunState,
)
from bamboodeck.routing.messages import RefusalCode, RouteRefused

RETRY_AFTER_FAILURE_S = 1.0
_TRANSIENT = frozenset((RefusalCode.NO_ENGINE, RefusalCode.OVERLOADED))


def build_route_refusal(refused: RouteRefused, run: RunState) -> Refusal:
    """Build the refusal of a request that could not be routed."""
    return Refusal(
        UNAVAILABLE if refused.code in _TRANSIENT else FORBIDDEN,
        refused.code.value,
        refused.message,
        run,
        refused.retry_after_s,
    )


def build_attempt_refusal(code: str, reason: str, run: RunState) -> Refusal:
    """Build the refusal after the last failed attempt."""
    return Refusal(
        BAD_GATEWAY,
        code,
        f'no engine completed the answer: {reason}',
        run,
        RETRY_AFTER_FAILURE_S,
    )


def build_timeout_refusal(deadline_s: float, run: RunState) -> Refusal:
    """Build the refusal of a request that missed its deadline."""
    return Refusal(
        TIMEOUT,
        'deadline_exceeded',
        f'no complete answer within {deadline_s:g} s',
        run,
        RETRY_AFTER_FAILURE_S,
    )
