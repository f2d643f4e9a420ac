"""Define the messages of quality estimation."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Rating:
    """Rate an answer with a score from 0 to 1.

    A `step` above 0 marks an answer that replaced a rejected one.
    """

    version: str
    customer: str
    request_class: str
    score: float
    request_id: str
    step: int = 0


@dataclass(frozen=True, slots=True)
class QualityEstimate:
    """Estimate a mean score and its variance.

    `weight` includes the prior, `count` only the customer's own ratings.
    """

    mean: float
    variance: float
    weight: float
    count: float

    def lower(self, z_score: float) -> float:
        """Return the one-sided lower bound: Wilson's, for graded scores."""
        error = (self.variance / self.weight) ** 0.5
        binary_variance = max(self.mean * (1 - self.mean), self.variance)
        square = z_score * z_score
        skew = (self.mean - 0.5) * square / (self.weight + square)
        skew *= self.variance / binary_variance
        return self.mean - z_score * error - max(skew, 0)


@dataclass(frozen=True, slots=True)
class QualityBounds:
    """Hold an estimated mean score and its lower bound."""

    mean: float
    lower: float


@dataclass(frozen=True, slots=True)
class RatingCount:
    """Hold the aggregated ratings of a version, class and customer."""

    version: str
    request_class: str
    customer: str
    step: int
    bins: tuple[float, ...]
    score_sum: float
    square_sum: float


@dataclass(frozen=True, slots=True)
class QualitySnapshot:
    """Hold all ratings of one source; a higher sequence replaces it."""

    source: str
    sequence: int
    counts: tuple[RatingCount, ...]
