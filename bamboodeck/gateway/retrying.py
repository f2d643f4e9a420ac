"""Decide whether to retry after a failed attempt.

Load pattern: engines crash, hang or reject requests under load. A request is
sent to another engine only if it may run more than once, or certainly has not
run.
"""

import enum

import msgspec

# Time an engine needs for the smallest answer, including the round trip.
MIN_ATTEMPT_S = 0.08
# A request fails after this many unreachable engines.
MAX_UNREACHABLE_ENGINES = 6


@enum.unique
class FailureCause(enum.Enum):
    """Classify a failed attempt by whether the request may have run."""

    # No byte of the request was sent, or another engine received it.
    NOT_SENT = 'not-sent'
    # The engine reported that it didn't run the request.
    NOT_RUN = 'not-run'
    # The engine may have run the request, and its answer is incomplete.
    BROKEN = 'broken'
    # The engine answered with a server error.
    ERROR = 'error'


class FailedAttempt(msgspec.Struct, frozen=True):
    """Describe a failed attempt and the time and attempts left."""

    cause: FailureCause
    retryable: bool
    # Whether the caller has a part of the answer, which no other run continues.
    answer_begun: bool
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
    """End the request; `not_run` allows answering that it has not run."""

    not_run: bool
    reason: str


RetryDecision = Retry | GiveUp


def decide_retry(failed: FailedAttempt) -> RetryDecision:
    """Decide whether a failed attempt is followed by another."""
    not_run = _has_not_run(failed)
    if failed.answer_begun:
        return GiveUp(not_run=False, reason='answer-begun')
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
