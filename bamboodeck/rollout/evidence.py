"""Turn rated answers into scores for the sequential test."""

from dataclasses import dataclass, replace

PERFECT_SCORE = 1.0
SMALLEST_MEAN = 0.001
LARGEST_MEAN = 0.999
TIE_RATING = 0.5
PAIRED_SCALE = 0.5


@dataclass(frozen=True, slots=True)
class Reference:
    """Describe the baseline's answers for the same customer and class.

    `shortfall` is how far its answers are below its own mean rating on average;
    a failed answer counts as 1.
    """

    rating: float
    error_rate: float
    slow_rate: float
    shortfall: float = 0.0


@dataclass(frozen=True, slots=True)
class AnswerOutcome:
    """Describe the outcome of one answer and the baseline to compare with.

    `rating` is from 0 to 1, or None if the answer has none; `slow` is whether
    its latency exceeded the usual bound of the baseline; `paired` is whether
    the rating is relative to a concurrent answer of the baseline.
    """

    reference: Reference
    rating: float | None
    failed: bool = False
    slow: bool = False
    paired: bool = False


@dataclass(frozen=True, slots=True)
class Margins:
    """Set how much worse than its baseline a version may be.

    A version within the tolerated margins is good; one beyond the harmful
    margins must not advance.
    """

    tolerated_rating: float = 0.02
    tolerated_errors: float = 0.01
    tolerated_slow: float = 0.05
    harmful_rating: float = 0.1
    harmful_errors: float = 0.05
    harmful_slow: float = 0.2


@dataclass(frozen=True, slots=True)
class Score:
    """Pair a score from 0 (bad) to 1 with the means to test it against."""

    observed: float
    good_mean: float
    harmful_mean: float


def score_rating(outcome: AnswerOutcome, margins: Margins) -> Score | None:
    """Score the rating; return None if there is none."""
    if outcome.rating is None:
        return None
    expected = outcome.reference.rating
    scale = PAIRED_SCALE if outcome.paired else 1
    return Score(
        min(max(outcome.rating, 0), PERFECT_SCORE),
        _clamp(expected - margins.tolerated_rating * scale),
        _clamp(expected - margins.harmful_rating * scale),
    )


def score_failure(outcome: AnswerOutcome, margins: Margins) -> Score:
    """Score whether the answer failed."""
    expected = PERFECT_SCORE - outcome.reference.error_rate
    return Score(
        float(not outcome.failed),
        _clamp(expected - margins.tolerated_errors),
        _clamp(expected - margins.harmful_errors),
    )


def score_latency(outcome: AnswerOutcome, margins: Margins) -> Score | None:
    """Score whether the answer was slow; a failed one has no latency."""
    if outcome.failed:
        return None
    expected = PERFECT_SCORE - outcome.reference.slow_rate
    return Score(
        float(not outcome.slow),
        _clamp(expected - margins.tolerated_slow),
        _clamp(expected - margins.harmful_slow),
    )


def find_shortfall(outcome: AnswerOutcome) -> float:
    """Return the shortfall of an answer in excess of the baseline's average.

    An answer that failed or has no rating has a shortfall of 1 before the
    baseline's is subtracted; the result is below 0 for an answer that is better
    than the baseline's usual ones.
    """
    if outcome.failed or outcome.rating is None:
        return PERFECT_SCORE - outcome.reference.shortfall
    expected = _clamp(outcome.reference.rating)
    short = min(max((expected - outcome.rating) / expected, 0), 1)
    return short - outcome.reference.shortfall


def score_outcome(
    outcome: AnswerOutcome,
    margins: Margins,
) -> tuple[Score | None, Score | None, Score | None]:
    """Return the scores of rating, failure and latency, in this order."""
    return (
        score_rating(outcome, margins),
        score_failure(outcome, margins),
        score_latency(outcome, margins),
    )


def pair_outcome(
    candidate: AnswerOutcome,
    control: AnswerOutcome,
) -> AnswerOutcome:
    """Rate an answer relative to a concurrent one of the baseline.

    A rating of 0.5 is a tie. A bias of the rating service that affects both
    answers cancels out.
    """
    if candidate.rating is None or control.rating is None:
        return candidate
    difference = candidate.rating - control.rating
    return replace(
        candidate,
        reference=replace(candidate.reference, rating=TIE_RATING),
        rating=TIE_RATING + difference * PAIRED_SCALE,
        paired=True,
    )


def _clamp(mean: float) -> float:
    return min(max(mean, SMALLEST_MEAN), LARGEST_MEAN)
