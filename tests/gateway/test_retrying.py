"""Test the decision to retry after a failed attempt."""

import itertools

import pytest

from bamboodeck.gateway.retrying import (
    MAX_UNREACHABLE_ENGINES,
    FailedAttempt,
    FailureCause,
    GiveUp,
    Retry,
    decide_retry,
)


def build_failed(**fields: object) -> FailedAttempt:
    """Build a failed attempt that may be retried."""
    described = {
        'cause': FailureCause.BROKEN,
        'retryable': True,
        'answer_begun': False,
        'may_have_run_before': False,
        'attempts': 1,
        'max_attempts': 3,
        'unreachable_engines': 0,
        'left_s': 1.0,
        'budget_allows': True,
        **fields,
    }
    return FailedAttempt(**described)


class TestRetrying:
    """Retry requests within all bounds."""

    def test_within_bounds(self) -> None:
        """Retry within all bounds."""
        assert decide_retry(build_failed()) == Retry()

    @pytest.mark.parametrize(
        ('fields', 'reason'),
        [
            ({'left_s': 0.01}, 'no-time-left'),
            ({'attempts': 3}, 'no-attempt-left'),
            ({'budget_allows': False}, 'repeat-budget-spent'),
            ({'retryable': False}, 'not-repeatable'),
            ({'answer_begun': True}, 'answer-begun'),
        ],
    )
    def test_bounds(self, fields: dict, reason: str) -> None:
        """Give up at each bound, with its reason."""
        decision = decide_retry(build_failed(**fields))
        assert decision == GiveUp(not_run=False, reason=reason)

    @pytest.mark.parametrize('cause', FailureCause)
    def test_begun(self, cause: FailureCause) -> None:
        """Never join two runs, nor say that one has not run."""
        failed = build_failed(cause=cause, answer_begun=True)
        assert decide_retry(failed) == GiveUp(
            not_run=False, reason='answer-begun'
        )

    def test_not_sent(self) -> None:
        """Retry unreachable engines a limited number of times."""
        unsafe = {
            'cause': FailureCause.NOT_SENT,
            'retryable': False,
            'max_attempts': 1,
            'attempts': 0,
        }
        assert decide_retry(build_failed(**unsafe)) == Retry()
        decision = decide_retry(
            build_failed(**unsafe, unreachable_engines=MAX_UNREACHABLE_ENGINES),
        )
        assert decision == GiveUp(not_run=True, reason='no-engine-reached')


class TestNotRun:
    """Report `not_run` only for requests that have not run."""

    def test_every_combination(self) -> None:
        """Never report it after an attempt that may have run."""
        checked = 0
        for (
            cause,
            retryable,
            before,
            attempts,
            left_s,
            budget,
        ) in itertools.product(
            FailureCause,
            (True, False),
            (True, False),
            (0, 1, 3),
            (0.01, 1.0),
            (True, False),
        ):
            decision = decide_retry(
                build_failed(
                    cause=cause,
                    retryable=retryable,
                    may_have_run_before=before,
                    attempts=attempts,
                    left_s=left_s,
                    budget_allows=budget,
                ),
            )
            may_have_run = before or cause in {
                FailureCause.BROKEN,
                FailureCause.ERROR,
            }
            if isinstance(decision, GiveUp):
                assert decision.not_run == (not may_have_run)
                checked += 1
            elif not retryable:
                assert cause in {FailureCause.NOT_SENT, FailureCause.NOT_RUN}
        assert checked > 100
