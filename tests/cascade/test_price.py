"""Test the score price over groups of requests."""

from itertools import product

import pytest

from bamboodeck.cascade.optimizer import (
    Candidate,
    Cascade,
    RequestGroup,
    ScorePrice,
    cascade_at_price,
    cheapest_cascade,
    direct_at_price,
    find_price,
)
from bamboodeck.quality.distribution import ScoreDistribution


def candidate(name: str, cost_credits: float, good: int) -> Candidate:
    """Build a version with this number of good answers out of 20."""
    shares = [0.0 for _ in range(20)]
    shares[2] = (20 - good) / 20
    shares[19] = good / 20
    table = ScoreDistribution(shares)
    return Candidate(name, cost_credits, table, table)


SHORT = RequestGroup(
    1,
    (candidate('cheap', 1, 14), candidate('expensive', 6, 19)),
    0.0,
)
LONG = RequestGroup(
    3,
    (candidate('cheap', 10, 14), candidate('expensive', 60, 19)),
    0.0,
)


def total(cascades: tuple[Cascade, Cascade]) -> tuple[float, float]:
    """Return the cost of both groups and their mean score."""
    short, long = cascades
    cost_credits = short.expected_cost_credits + 3 * long.expected_cost_credits
    score = (short.expected_score + 3 * long.expected_score) / 4
    return cost_credits, score


class TestFindPrice:
    """Check that credits are spent where they raise the score most."""

    @pytest.mark.parametrize('goal', [0.72, 0.78, 0.8, 0.85, 0.9])
    def test_no_costlier_than_apart(self, goal: float) -> None:
        """Cost no more than reaching the goal in each group separately."""
        price = find_price((SHORT, LONG), goal)
        joint, score = total(
            (cascade_at_price(SHORT, price), cascade_at_price(LONG, price)),
        )
        assert price.reaches_goal
        assert score >= goal
        apart, _ = total(
            tuple(
                cheapest_cascade(each.candidates, goal, each.floor)
                for each in (SHORT, LONG)
            ),
        )
        assert joint <= apart + 1e-9

    def test_out_of_reach(self) -> None:
        """Report that no price reaches the goal."""
        assert not find_price((SHORT, LONG), 0.99).reaches_goal


class TestPricedDirect:
    """Check the single version of a request that may not cascade."""

    @pytest.mark.parametrize(
        ('group', 'price'),
        tuple(product((SHORT, LONG), (0.001, 0.01, 0.04, 0.1))),
    )
    def test_highest_value(self, group: RequestGroup, price: float) -> None:
        """Choose the version with the highest value at the price."""
        cascade = direct_at_price(group, ScorePrice(price, reaches_goal=True))
        values_by_version = {
            each.version: each.first.mean - price * each.cost_credits
            for each in group.candidates
        }
        assert len(cascade.steps) == 1
        assert values_by_version[cascade.steps[0].version] == max(
            values_by_version.values()
        )
