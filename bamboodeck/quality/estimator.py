"""Estimate quality from few ratings: version, then class, then customer."""

from collections.abc import Iterator
from functools import lru_cache
from statistics import NormalDist

from bamboodeck.configuration.model import Customer
from bamboodeck.quality.cells import BIN_COUNT, Cell, CellKey, bin_of
from bamboodeck.quality.distribution import ScoreDistribution
from bamboodeck.quality.goal import quality_goal
from bamboodeck.quality.messages import (
    QualityEstimate,
    QualitySnapshot,
    QualityView,
    Rating,
)
from bamboodeck.quality.store import EMPTY, RatingStore

PRIOR_COUNT = 4.0
MAX_VERSION_COUNT = 8.0
MAX_CLASS_COUNT = 24.0
MIN_VARIANCE = 0.0025
DEFAULT_PRIOR = 0.5
LATER_PRIOR_COUNT = 8.0
JOINT_TARGETS = 10
DELIVERED = ''
ALL_CLASSES = ''

_PARENT_LIMITS = (PRIOR_COUNT, MAX_VERSION_COUNT, MAX_CLASS_COUNT)
_Estimates = dict[tuple[str, str], QualityEstimate]
_Views = dict[tuple[str, str, float], QualityView]


class QualityEstimator:
    """Hold the ratings and the estimates that follow from them."""

    def __init__(self) -> None:
        """Start without ratings and priors."""
        self._priors: dict[str, float] = {}
        self._store = RatingStore()
        self._estimates: dict[str, _Estimates] = {}
        self._views: dict[str, _Views] = {}
        self.recorded_count = 0

    def set_prior(self, version: str, expected_quality: float) -> None:
        """Set what is expected of a version before it is rated."""
        self._priors[version] = expected_quality
        self._forget_cached(version)

    def record(self, rating: Rating, *, delivered: bool = True) -> None:
        """Fold one rating in; tell whether the caller got the answer."""
        score = min(max(rating.score, 0), 1)
        self._store.record(rating, score)
        if delivered:
            for class_name in (rating.request_class, ALL_CLASSES):
                answered = Rating(
                    DELIVERED,
                    rating.customer,
                    class_name,
                    rating.score,
                    rating.request_id,
                )
                self._store.record(answered, score)
        self._forget_cached(rating.version)
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
        """Return what the mean score exceeds with one-sided confidence."""
        estimate = self.estimate(version, customer, request_class)
        return estimate.lower(z_score(confidence))

    def view(
        self,
        version: str,
        customer: str,
        request_class: str,
        confidence: float,
    ) -> QualityView:
        """Return the mean and its lower bound."""
        cached = self._views.setdefault(version, {})
        cache_key = (customer, request_class, confidence)
        found = cached.get(cache_key)
        if found is None:
            estimate = self.estimate(version, customer, request_class)
            lower = estimate.lower(z_score(confidence))
            found = QualityView(estimate.mean, lower)
            cached[cache_key] = found
        return found

    def scores(
        self,
        version: str,
        customer: str,
        request_class: str,
    ) -> ScoreDistribution:
        """Return how a version's direct answers score."""
        return ScoreDistribution(self._shares(version, customer, request_class))

    def later_scores(
        self,
        version: str,
        customer: str,
        request_class: str,
    ) -> ScoreDistribution:
        """Return how a version's answers score that replace rejected ones."""
        shares = self._shares(version, customer, request_class)
        cell = self._store.cell(
            CellKey(version, request_class, later_step=True),
        )
        total = LATER_PRIOR_COUNT + cell.count
        return ScoreDistribution(
            [
                (share * LATER_PRIOR_COUNT + count) / total
                for share, count in zip(shares, cell.bins, strict=True)
            ],
        )

    def delivered(self, customer: str, request_class: str) -> Cell:
        """Return the scores of what a customer got, of a class or of all."""
        return self._store.cell(CellKey(DELIVERED, request_class, customer))

    def goal(
        self,
        customer: Customer,
        request_class: str,
        confidence: float,
    ) -> float:
        """Return the mean score to aim at, for a class or for all."""
        return quality_goal(
            self.delivered(customer.name, request_class),
            customer.quality_target,
            z_score(1 - (1 - confidence) / JOINT_TARGETS),
        )

    def snapshot(self, source: str) -> QualitySnapshot:
        """Return all own ratings, folded, for other nodes."""
        return self._store.snapshot(source)

    def merge(self, snapshot: QualitySnapshot) -> bool:
        """Fold in another source's ratings; tell whether they were news."""
        self._estimates.clear()
        self._views.clear()
        return self._store.merge(snapshot)

    def _estimate(
        self,
        version: str,
        customer: str,
        request_class: str,
    ) -> QualityEstimate:
        mean = self._priors.get(version, DEFAULT_PRIOR)
        square = mean
        weight = PRIOR_COUNT
        count = 0.0
        for cell, part, limit in self._levels(version, customer, request_class):
            weight = min(weight, limit)
            count = _positive(cell.count - part.count)
            total = weight + count
            scores = _positive(cell.score_sum - part.score_sum)
            squares = _positive(cell.square_sum - part.square_sum)
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
        """Return the estimated shares of a version's answers by score."""
        prior = self._priors.get(version, DEFAULT_PRIOR)
        shares = [0.0 for _ in range(BIN_COUNT)]
        shares[bin_of(1)] = prior
        shares[0] = 1 - prior
        weight = PRIOR_COUNT
        for cell, part, limit in self._levels(version, customer, request_class):
            weight = min(weight, limit)
            total = weight + _positive(cell.count - part.count)
            for index, share in enumerate(shares):
                count = _positive(cell.bins[index] - part.bins[index])
                shares[index] = (share * weight + count) / total
            weight = total
        return shares

    def _levels(
        self,
        version: str,
        customer: str,
        request_class: str,
    ) -> Iterator[tuple[Cell, Cell, float]]:
        """Return each cell and its part that counts at the next level."""
        by_version = self._store.cell(CellKey(version))
        by_class = self._store.cell(CellKey(version, request_class))
        leaf = self._store.cell(CellKey(version, request_class, customer))
        return zip(
            (by_version, by_class, leaf),
            (by_class, leaf, EMPTY),
            _PARENT_LIMITS,
            strict=True,
        )

    def _forget_cached(self, version: str) -> None:
        self._estimates.pop(version, None)
        self._views.pop(version, None)


@lru_cache(maxsize=64)
def z_score(confidence: float) -> float:
    """Return the standard normal quantile of a one-sided confidence."""
    return NormalDist().inv_cdf(min(max(confidence, 0.5), 0.9999))


def _positive(difference: float) -> float:
    return max(difference, 0)
