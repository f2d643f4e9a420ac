"""Test the estimates of quality."""

import random

from bamboodeck.quality.cells import Cell
from bamboodeck.quality.estimator import QualityEstimator
from bamboodeck.quality.goal import quality_goal
from bamboodeck.quality.messages import Rating
from tests.routing.sample import customer


def rate(
    estimator: QualityEstimator,
    score: float,
    count: int,
    customer: str = 'school',
    request_class: str = 'chat',
    step: int = 0,
) -> None:
    """Record the same score a number of times."""
    for index in range(count):
        estimator.record(
            Rating('a@1', customer, request_class, score, str(index), step),
        )


class TestQualityEstimator:
    """Check estimates from few and many ratings."""

    def test_prior(self) -> None:
        """Start at the expected quality with a wide confidence bound."""
        estimator = QualityEstimator()
        estimator.set_prior('a@1', 0.8)
        assert estimator.estimate('a@1', 'school', 'chat').mean == 0.8
        assert estimator.lower_bound('a@1', 'school', 'chat', 0.9) < 0.6

    def test_hierarchy(self) -> None:
        """Use other customers' ratings until a customer has its own."""
        estimator = QualityEstimator()
        estimator.set_prior('a@1', 0.8)
        rate(estimator, 0.3, 100, customer='shop')
        before = estimator.estimate('a@1', 'school', 'chat').mean
        assert before < 0.4
        rate(estimator, 0.9, 200)
        assert estimator.estimate('a@1', 'school', 'chat').mean > 0.8

    def test_lower_bound_covers(self) -> None:
        """Keep the bound below the true mean about as often as stated."""
        rng = random.Random(3)
        below = 0
        for _ in range(400):
            estimator = QualityEstimator()
            estimator.set_prior('a@1', 0.8)
            for index in range(40):
                score = float(rng.random() < 0.8)
                rating = Rating('a@1', 'school', 'chat', score, str(index))
                estimator.record(rating)
            bound = estimator.lower_bound('a@1', 'school', 'chat', 0.9)
            below += bound <= 0.8
        assert below / 400 > 0.88

    def test_later_steps(self) -> None:
        """Exclude answers that replaced others from the direct estimate."""
        estimator = QualityEstimator()
        rate(estimator, 0.9, 50)
        before = estimator.estimate('a@1', 'school', 'chat')
        rate(estimator, 0.1, 50, step=1)
        assert estimator.estimate('a@1', 'school', 'chat') == before

    def test_scores(self) -> None:
        """Separate the scores of direct answers from those of later steps."""
        estimator = QualityEstimator()
        rate(estimator, 0.9, 150)
        rate(estimator, 0.3, 50)
        rate(estimator, 0.5, 200, step=1)
        direct = estimator.scores('a@1', 'school', 'chat')
        assert 0.2 < direct.share_below(0.6) < 0.3
        assert 0.7 < direct.mean < 0.8
        later = estimator.later_scores('a@1', 'school', 'chat')
        assert 0.5 < later.mean < 0.55

    def test_goal(self) -> None:
        """Count only delivered answers towards the target."""
        estimator = QualityEstimator()
        school = customer(name='school')
        before = estimator.goal(school, 'chat', confidence=0.9)
        for index in range(50):
            rating = Rating('a@1', 'school', 'chat', 0.1, str(index))
            estimator.record(rating, delivered=False)
        assert estimator.goal(school, 'chat', confidence=0.9) == before
        rate(estimator, 0.5, 50)
        assert estimator.goal(school, 'chat', confidence=0.9) > before

    def test_goal_correction(self) -> None:
        """Raise the goal after a shortfall and lower it after a surplus."""
        low, high = Cell(), Cell()
        for _ in range(100):
            low.add(0.5)
            high.add(0.9)
        assert quality_goal(low, 0.8, z_score=1) > 0.9
        assert quality_goal(high, 0.8, z_score=1) < 0.8

    def test_merge(self) -> None:
        """Merge another node's ratings once, ignoring old snapshots."""
        first, second = QualityEstimator(), QualityEstimator()
        rate(second, 0.9, 100)
        old = second.snapshot('n2')
        rate(second, 0.9, 50)
        new = second.snapshot('n2')
        assert first.merge(new)
        assert not first.merge(old)
        assert not first.merge(new)
        estimate = first.estimate('a@1', 'school', 'chat')
        assert estimate == second.estimate('a@1', 'school', 'chat')
        assert first.snapshot('n1').counts == ()

    def test_decay(self) -> None:
        """Follow a version whose quality drops, with estimates from 0 to 1."""
        estimator = QualityEstimator()
        rate(estimator, 0.9, 900, customer='shop')
        rate(estimator, 0.9, 900)
        rate(estimator, 0.1, 500)
        assert estimator.estimate('a@1', 'school', 'chat').mean < 0.4
        for name in ('shop', 'school', 'new'):
            assert 0 <= estimator.estimate('a@1', name, 'chat').mean <= 1
        assert estimator.estimate('a@1', 'shop', 'chat').mean > 0.8
