"""Test the plan and the judgement of cascades."""

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
DEAR = VersionOption('dear', 10.0, 5.0, 0.95, 0.9)

CASCADE = Cascade(
    (CascadeStep('cheap', 0.6), CascadeStep('dear', 0)),
    3.5,
    0.9,
    reaches_goal=True,
)


def constraints(**changes) -> CascadeConstraints:
    """Build terms that allow a cascade."""
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
    """Show when a cascade is worth it."""

    def test_cheaper(self) -> None:
        """Take the chain if it costs less than the dear version."""
        plan = choose_plan((CHEAP, DEAR), constraints(), CASCADE)
        assert (plan.version, plan.later) == ('cheap', ('dear',))
        assert plan.expected_cost_credits == 3.5
        assert plan.acceptance_scores == (0.6, 0)

    def test_goal_out_of_reach(self) -> None:
        """Go direct when replacing would not reach the target."""
        cascade = replace(CASCADE, reaches_goal=False)
        plan = choose_plan((CHEAP, DEAR), constraints(), cascade)
        assert (plan.version, plan.later) == ('dear', ())

    def test_unrated_dear_version(self) -> None:
        """Learn of a dear version when no rated one meets the target."""
        unrated = DEAR._replace(lower=0.5)
        cascade = replace(CASCADE, reaches_goal=False)
        plan = choose_plan((CHEAP, unrated), constraints(), cascade)
        assert plan.later == ('dear',)

    @pytest.mark.parametrize(
        'changes',
        [
            {'allowed': False},
            {'deadline_s': 8.0},
        ],
    )
    def test_direct(self, changes: dict[str, float]) -> None:
        """Go direct when nothing else is allowed or in time."""
        plan = choose_plan((CHEAP, DEAR), constraints(**changes), CASCADE)
        assert (plan.version, plan.later) == ('dear', ())


def candidate(name: str, cost_credits: float, good: int) -> Candidate:
    """Build a version of whose 20 answers so many are good, the rest bad."""
    shares = [0.0 for _ in range(20)]
    shares[2] = (20 - good) / 20
    shares[19] = good / 20
    table = ScoreDistribution(shares)
    return Candidate(name, cost_credits, table, table)


class TestCheapestCascade:
    """Show the cascade that reaches a goal at the lowest cost."""

    @pytest.mark.parametrize('goal', [0.5, 0.7, 0.8, 0.9, 0.95])
    def test_no_cheaper_one(self, goal: float) -> None:
        """Cost no more than any pair that reaches the goal."""
        versions = (
            candidate('cheap', 1, 12),
            candidate('middle', 4, 16),
            candidate('dear', 20, 19),
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
        """Return the best there is when nothing reaches the goal."""
        versions = (candidate('cheap', 1, 12), candidate('dear', 20, 14))
        assert cheapest_cascade(versions, 0.99, floor=0.3).expected_score < 0.99

    def test_floor(self) -> None:
        """Replace bad answers even if the mean would do."""
        versions = (candidate('cheap', 1, 18), candidate('dear', 20, 19))
        cascade = cheapest_cascade(versions, 0.5, floor=0.4)
        assert cascade.steps == (
            CascadeStep('cheap', 0.4),
            CascadeStep('dear', 0),
        )


class TestJudgeStep:
    """Show which held answers are sent."""

    def test_rated(self) -> None:
        """Send what reaches the target and replace what doesn't."""
        accepted = judge_step(RatingArrived(0.7), 0.6, 0.85, 0.1, ('dear',))
        assert accepted == AnswerAccepted('rating')
        rejected = judge_step(
            RatingArrived(0.5),
            0.6,
            0.85,
            0.9,
            ('dear', 'top'),
        )
        assert isinstance(rejected, NextVersion)
        assert (rejected.version, rejected.later) == ('dear', ('top',))

    @pytest.mark.parametrize('outcome', [RatingLate(), RatingDown()])
    def test_unrated(self, outcome: RatingLate | RatingDown) -> None:
        """Send an unrated answer only if the lower bound shows enough."""
        assert isinstance(
            judge_step(outcome, 0.6, 0.85, 0.84, ('dear',)),
            NextVersion,
        )
        accepted = judge_step(outcome, 0.6, 0.85, 0.86, ('dear',))
        assert accepted == AnswerAccepted('lower_bound')
