"""Estimate the quality of versions hierarchically from few ratings.

A version's prior is refined by its ratings of other classes, then of other
customers in the class, then of the customer. Each level is the prior of the
next one, with a bounded weight.
"""

from collections.abc import Iterator
from functools import lru_cache
from statistics import NormalDist

from bamboodeck.configuration.model import Customer
from bamboodeck.quality.cells import BIN_COUNT, Cell, CellKey, bin_of
from bamboodeck.quality.distribution import ScoreDistribution
from bamboodeck.quality.goal import quality_goal
from bamboodeck.quality.messages import (
    QualityBounds,
    QualityEstimate,
    QualitySnapshot,
    Rating,
)
from bamboodeck.quality.store import EMPTY_CELL, RatingStore

PRIOR_WEIGHT = 4.0
MAX_VERSION_WEIGHT = 8.0
MAX_CLASS_WEIGHT = 24.0
MIN_VARIANCE = 0.0025
DEFAULT_PRIOR = 0.5
LATER_PRIOR_WEIGHT = 8.0
JOINT_TARGETS = 10
DELIVERED_KEY = ''
ALL_CLASSES = ''

_MAX_PARENT_WEIGHTS = (PRIOR_WEIGHT, MAX_VERSION_WEIGHT, MAX_CLASS_WEIGHT)
_Estimates = dict[tuple[str, str], QualityEstimate]
_Bounds = dict[tuple[str, str, float], QualityBounds]


class QualityEstimator:
    """Record ratings and estimate the quality of versions."""

    def __init__(self) -> None:
        """Start without ratings and priors."""
        self._priors: dict[str, float] = {}
        self._store = RatingStore()
        self._estimates: dict[str, _Estimates] = {}
        self._bounds: dict[str, _Bounds] = {}
        self.recorded_count = 0

    def set_prior(self, version: str, expected_quality: float) -> None:
        """Set the quality that is expected of a version without ratings."""
        self._priors[version] = expected_quality
        self._invalidate(version)

    def record(self, rating: Rating, *, delivered: bool = True) -> None:
        """Record a rating; `delivered` is set if the caller got the answer."""
        score = min(max(rating.score, 0), 1)
        self._store.record(rating, score)
        if delivered:
            for class_name in (rating.request_class, ALL_CLASSES):
                delivered_rating = Rating(
                    DELIVERED_KEY,
                    rating.customer,
                    class_name,
                    rating.score,
                    rating.request_id,
                )
                self._store.record(delivered_rating, score)
        self._invalidate(rating.version)
        self.recorded_count += 1

    def estimate(
        self,
        version: str,
        customer: str,
        request_class: str,
    ) -> QualityEstimate:
        """Estimate the mean score of a version's direct answers."""
        cached = self._estimates.setdefault(version, {})
        found = cached.get((customer, request_class))
        if found is None:
            found = self._estimate(version, customer, request_class)
            cached[customer, request_class] = found
        return found

    def lower_bound(
        self,
        version: str,
        customer: str,
        request_class: str,
        confidence: float,
    ) -> float:
        """Return the one-sided lower confidence bound on the mean score."""
        estimate = self.estimate(version, customer, request_class)
        return estimate.lower(z_score(confidence))

    def bounds(
        self,
        version: str,
        customer: str,
        request_class: str,
        confidence: float,
    ) -> QualityBounds:
        """Return the estimated mean score and its lower bound."""
        cached = self._bounds.setdefault(version, {})
        cache_key = (customer, request_class, confidence)
        found = cached.get(cache_key)
        if found is None:
            estimate = self.estimate(version, customer, request_class)
            lower = estimate.lower(z_score(confidence))
            found = QualityBounds(estimate.mean, lower)
            cached[cache_key] = found
        return found

    def scores(
        self,
        version: str,
        customer: str,
        request_class: str,
    ) -> ScoreDistribution:
        """Return the score distribution of a version's direct answers."""
        return ScoreDistribution(self._shares(version, customer, request_class))

    def later_scores(
        self,
        version: str,
        customer: str,
        request_class: str,
    ) -> ScoreDistribution:
        """Return the distribution for answers that replace rejected ones."""
        shares = self._shares(version, customer, request_class)
        cell = self._store.cell(
            CellKey(version, request_class, later_step=True),
        )
        total = LATER_PRIOR_WEIGHT + cell.count
        return ScoreDistribution(
            [
                (share * LATER_PRIOR_WEIGHT + count) / total
                for share, count in zip(shares, cell.bins, strict=True)
            ],
        )

    def delivered(self, customer: str, request_class: str) -> Cell:
        """Return the scores of a customer's delivered answers.

        The class may be `ALL_CLASSES`.
        """
        return self._store.cell(CellKey(DELIVERED_KEY, request_class, customer))

    def goal(
        self,
        customer: Customer,
        request_class: str,
        confidence: float,
    ) -> float:
        """Return the mean score to aim at, for a class or `ALL_CLASSES`."""
        return quality_goal(
            self.delivered(customer.name, request_class),
            customer.quality_target,
            z_score(1 - (1 - confidence) / JOINT_TARGETS),
        )

    def snapshot(self, source: str) -> QualitySnapshot:
        """Return this node's aggregated ratings for other nodes."""
        return self._store.snapshot(source)

    def merge(self, snapshot: QualitySnapshot) -> bool:
        """Merge another source's ratings; return whether they were newer."""
        self._estimates.clear()
        self._bounds.clear()
        return self._store.merge(snapshot)

    def _estimate(
        self,
        version: str,
        customer: str,
        request_class: str,
    ) -> QualityEstimate:
        mean = self._priors.get(version, DEFAULT_PRIOR)
        square = mean
        weight = PRIOR_WEIGHT
        count = 0.0
        for cell, child, max_weight in self._levels(
            version, customer, request_class
        ):
            weight = min(weight, max_weight)
            count = _non_negative(cell.count - child.count)
            total = weight + count
            scores = _non_negative(cell.score_sum - child.score_sum)
            squares = _non_negative(cell.square_sum - child.square_sum)
            mean = (mean * weight + scores) / total
            square = (square * weight + squares) / total
            weight = total
        variance = max(square - mean * mean, MIN_VARIANCE)
        return QualityEstimate(mean, variance, weight, count)

    def _shares(
        self,
        version: str,
        customer: str,
        request_class: str,
    ) -> list[float]:
        """Return the estimated share of answers in each score bin."""
        prior = self._priors.get(version, DEFAULT_PRIOR)
        shares = [0.0 for _ in range(BIN_COUNT)]
        shares[bin_of(1)] = prior
        shares[0] = 1 - prior
        weight = PRIOR_WEIGHT
        for cell, child, max_weight in self._levels(
            version, customer, request_class
        ):
            weight = min(weight, max_weight)
            total = weight + _non_negative(cell.count - child.count)
            for index, share in enumerate(shares):
                count = _non_negative(cell.bins[index] - child.bins[index])
                shares[index] = (share * weight + count) / total
            weight = total
        return shares

    def _levels(
        self,
        version: str,
        customer: str,
        request_class: str,
    ) -> Iterator[tuple[Cell, Cell, float]]:
        """Return each level's cell, child cell and maximal prior weight.

        The child's ratings are subtracted, as they count at the next level.
        """
        by_version = self._store.cell(CellKey(version))
        by_class = self._store.cell(CellKey(version, request_class))
        leaf = self._store.cell(CellKey(version, request_class, customer))
        return zip(
            (by_version, by_class, leaf),
            (by_class, leaf, EMPTY_CELL),
            _MAX_PARENT_WEIGHTS,
            strict=True,
        )

    def _invalidate(self, version: str) -> None:
        self._estimates.pop(version, None)
        self._bounds.pop(version, None)


@lru_cache(maxsize=64)
def z_score(confidence: float) -> float:
    """Return the standard normal quantile of a one-sided confidence."""
    return NormalDist().inv_cdf(min(max(confidence, 0.5), 0.9999))


def _non_negative(difference: float) -> float:
    return max(difference, 0)
