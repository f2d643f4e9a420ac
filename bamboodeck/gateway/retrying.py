"""Decide what follows a failed attempt.

Load pattern: engines that crash, fall silent or reject under load. A request
goes to another engine only if it may run again, or surely has not run.
"""

import enum

import msgspec

# An engine needs about this long for the smallest answer, with its round trip.
MIN_ATTEMPT_S = 0.08
# Engines that can't be reached one after the other, before a request gives up.
MAX_UNREACHABLE_ENGINES = 6


@enum.unique
class FailureCause(enum.Enum):
    """Tell what is known of a failed attempt."""

    # No byte of the request has left this host, or a stranger got it.
    NOT_SENT = 'not-sent'
    # The engine says that it hasn't run the request.
    NOT_RUN = 'not-run'
    # The engine may have run the request, and its answer isn't whole.
    BROKEN = 'broken'
    # The engine has answered with a failure of its own.
    ERROR = 'error'


class FailedAttempt(msgspec.Struct, frozen=True):
    """Describe a failed attempt and what is left to the request."""

    cause: FailureCause
    retryable: bool
    # Whether an earlier attempt of this request may have run.
    may_have_run_before: bool
    attempts: int
    max_attempts: int
    unreachable_engines: int
    left_s: float
    budget_allows: bool


class Retry(msgspec.Struct, frozen=True):
    """Send the request to another engine."""


class GiveUp(msgspec.Struct, frozen=True):
    """End the request; `not_run` tells whether a refusal would be true."""

    not_run: bool
    reason: str


RetryDecision = Retry | GiveUp


def decide_retry(failed: FailedAttempt) -> RetryDecision:
    """Return what follows a failed attempt."""
    not_run = _has_not_run(failed)
    if failed.left_s < MIN_ATTEMPT_S:
        return GiveUp(not_run, 'no-time-left')
    if failed.cause is FailureCause.NOT_SENT:
        if failed.unreachable_engines >= MAX_UNREACHABLE_ENGINES:
            return GiveUp(not_run, 'no-engine-reached')
        return Retry()
    if not (failed.retryable or failed.cause is FailureCause.NOT_RUN):
        return GiveUp(not_run, 'not-repeatable')
    if failed.attempts >= failed.max_attempts:
        return GiveUp(not_run, 'no-attempt-left')
    if not failed.budget_allows:
        return GiveUp(not_run, 'repeat-budget-spent')
    return Retry()


def _has_not_run(failed: FailedAttempt) -> bool:
    if failed.may_have_run_before:
        return False
    return failed.cause in {FailureCause.NOT_SENT, FailureCause.NOT_RUN}
