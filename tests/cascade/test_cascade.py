"""Test the planning of cascades and the acceptance of answers."""

from dataclasses import replace
from itertools import permutations

import pytest

from bamboodeck.cascade.judge import judge_step
from bamboodeck.cascade.messages import (
    AnswerAccepted,
    CascadeConstraints,
    NextVersion,
    RatingArrived,
    RatingDown,
    RatingLate,
    VersionOption,
)
from bamboodeck.cascade.optimizer import (
    Candidate,
    Cascade,
    CascadeStep,
    cheapest_cascade,
)
from bamboodeck.cascade.plan import choose_plan
from bamboodeck.quality.distribution import ScoreDistribution

CHEAP = VersionOption('cheap', 1.0, 3.0, 0.7, 0.6)
EXPENSIVE = VersionOption('expensive', 10.0, 5.0, 0.95, 0.9)

CASCADE = Cascade(
    (CascadeStep('cheap', 0.6), CascadeStep('expensive', 0)),
    3.5,
    0.9,
    reaches_goal=True,
)


def constraints(**changes) -> CascadeConstraints:
    """Build constraints that allow a cascade."""
    fields = {
        'quality_target': 0.85,
        'deadline_s': 20.0,
        'rating_delay_s': 0.5,
        'delay_credits_per_s': 0.0,
        'stream': False,
        'allowed': True,
    }
    return CascadeConstraints(**(fields | changes))


class TestPlanCascade:
    """Check when a cascade is chosen over a single version."""

    def test_cheaper(self) -> None:
        """Choose the cascade if it costs less than the expensive version."""
        plan = choose_plan((CHEAP, EXPENSIVE), constraints(), CASCADE)
        assert (plan.version, plan.later) == ('cheap', ('expensive',))
        assert plan.expected_cost_credits == 3.5
        assert plan.acceptance_scores == (0.6, 0)

    def test_goal_out_of_reach(self) -> None:
        """Run one version if it scores higher than a failing cascade."""
        cascade = replace(CASCADE, reaches_goal=False)
        plan = choose_plan((CHEAP, EXPENSIVE), constraints(), cascade)
        assert (plan.version, plan.later) == ('expensive', ())

    def test_unrated_expensive_version(self) -> None:
        """Cascade to an unrated version if no version meets the target."""
        unrated = EXPENSIVE._replace(lower=0.5)
        cascade = replace(CASCADE, reaches_goal=False)
        plan = choose_plan((CHEAP, unrated), constraints(), cascade)
        assert plan.later == ('expensive',)

    @pytest.mark.parametrize(
        'changes',
        [
            {'allowed': False},
            {'deadline_s': 8.0},
        ],
    )
    def test_direct(self, changes: dict[str, float]) -> None:
        """Run one version if the cascade is not allowed or too slow."""
        plan = choose_plan((CHEAP, EXPENSIVE), constraints(**changes), CASCADE)
        assert (plan.version, plan.later) == ('expensive', ())


def candidate(name: str, cost_credits: float, good: int) -> Candidate:
    """Build a version with this number of good answers out of 20."""
    shares = [0.0 for _ in range(20)]
    shares[2] = (20 - good) / 20
    shares[19] = good / 20
    table = ScoreDistribution(shares)
    return Candidate(name, cost_credits, table, table)


class TestCheapestCascade:
    """Check the cascade that reaches a goal at the lowest cost."""

    @pytest.mark.parametrize('goal', [0.5, 0.7, 0.8, 0.9, 0.95])
    def test_lowest_cost(self, goal: float) -> None:
        """Cost no more than any pair of versions that reaches the goal."""
        versions = (
            candidate('cheap', 1, 12),
            candidate('middle', 4, 16),
            candidate('expensive', 20, 19),
        )
        cascade = cheapest_cascade(versions, goal, floor=0.3)
        assert cascade.expected_score >= goal
        for first, following in permutations(versions, 2):
            share = first.first.share_below(0.5)
            score = first.first.sum_from(0.5) + share * following.later.mean
            cost_credits = first.cost_credits + share * following.cost_credits
            if score >= goal:
                assert cascade.expected_cost_credits <= cost_credits + 1e-9

    def test_out_of_reach(self) -> None:
        """Return the best cascade if none reaches the goal."""
        versions = (candidate('cheap', 1, 12), candidate('expensive', 20, 14))
        assert cheapest_cascade(versions, 0.99, floor=0.3).expected_score < 0.99

    def test_floor(self) -> None:
        """Replace answers below the floor even if the mean reaches the goal."""
        versions = (candidate('cheap', 1, 18), candidate('expensive', 20, 19))
        cascade = cheapest_cascade(versions, 0.5, floor=0.4)
        assert cascade.steps == (
            CascadeStep('cheap', 0.4),
            CascadeStep('expensive', 0),
        )


class TestJudgeStep:
    """Check which held answers are accepted."""

    def test_rated(self) -> None:
        """Accept answers that reach the acceptance score, replace others."""
        accepted = judge_step(
            RatingArrived(0.7), 0.6, 0.85, 0.1, ('expensive',)
        )
        assert accepted == AnswerAccepted('rating')
        rejected = judge_step(
            RatingArrived(0.5),
            0.6,
            0.85,
            0.9,
            ('expensive', 'top'),
        )
        assert isinstance(rejected, NextVersion)
        assert (rejected.version, rejected.later) == ('expensive', ('top',))

    @pytest.mark.parametrize('outcome', [RatingLate(), RatingDown()])
    def test_unrated(self, outcome: RatingLate | RatingDown) -> None:
        """Accept an unrated answer only if the lower bound meets the target."""
        assert isinstance(
            judge_step(outcome, 0.6, 0.85, 0.84, ('expensive',)),
            NextVersion,
        )
        accepted = judge_step(outcome, 0.6, 0.85, 0.86, ('expensive',))
        assert accepted == AnswerAccepted('lower_bound')
