"""Test what follows a failed attempt."""

import itertools

import pytest

from bamboodeck.gateway.retrying import (
    MAX_UNREACHED,
    FailedAttempt,
    FailureCause,
    GiveUp,
    TryAgain,
    follow_failure,
)


def build_failed(**fields: object) -> FailedAttempt:
    """Build an attempt that may be repeated in every respect."""
    described = {
        'cause': FailureCause.BROKEN,
        'repeatable': True,
        'maybe_run_before': False,
        'attempts': 1,
        'max_attempts': 3,
        'unreached': 0,
        'left_s': 1.0,
        'budget_allows': True,
        **fields,
    }
    return FailedAttempt(**described)


class TestRepeating:
    """Repeat what may be repeated, within all bounds."""

    def test_within_bounds(self) -> None:
        """Try again while nothing speaks against it."""
        assert follow_failure(build_failed()) == TryAgain()

    @pytest.mark.parametrize(
        ('fields', 'reason'),
        [
            ({'left_s': 0.01}, 'no-time-left'),
            ({'attempts': 3}, 'no-attempt-left'),
            ({'budget_allows': False}, 'repeat-budget-spent'),
            ({'repeatable': False}, 'not-repeatable'),
        ],
    )
    def test_bounds(self, fields: dict, reason: str) -> None:
        """Give up at each bound, with its reason."""
        sequel = follow_failure(build_failed(**fields))
        assert sequel == GiveUp(not_run=False, reason=reason)

    def test_not_sent(self) -> None:
        """Look for an engine that can be reached, but not for ever."""
        unsafe = {
            'cause': FailureCause.NOT_SENT,
            'repeatable': False,
            'max_attempts': 1,
            'attempts': 0,
        }
        assert follow_failure(build_failed(**unsafe)) == TryAgain()
        sequel = follow_failure(
            build_failed(**unsafe, unreached=MAX_UNREACHED),
        )
        assert sequel == GiveUp(not_run=True, reason='no-engine-reached')


class TestTruth:
    """Say "not run" only of what has not run."""

    def test_every_combination(self) -> None:
        """Never promise it after an attempt that may have run."""
        checked = 0
        for (
            cause,
            repeatable,
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
            sequel = follow_failure(
                build_failed(
                    cause=cause,
                    repeatable=repeatable,
                    maybe_run_before=before,
                    attempts=attempts,
                    left_s=left_s,
                    budget_allows=budget,
                ),
            )
            maybe_run = before or cause in {
                FailureCause.BROKEN,
                FailureCause.ERROR,
            }
            if isinstance(sequel, GiveUp):
                assert sequel.not_run == (not maybe_run)
                checked += 1
            elif not repeatable:
                assert cause in {FailureCause.NOT_SENT, FailureCause.NOT_RUN}
        assert checked > 100
