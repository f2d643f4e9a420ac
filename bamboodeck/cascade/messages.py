"""Define the messages of cascades."""

from dataclasses import dataclass
from typing import NamedTuple


class VersionOption(NamedTuple):
    """Describe a version's expected cost, delay and quality for a request."""

    version: str
    cost_credits: float
    answer_s: float
    mean: float
    lower: float


@dataclass(frozen=True, slots=True)
class CascadeConstraints:
    """Constrain the plan of a request."""

    quality_target: float
    deadline_s: float
    rating_delay_s: float
    delay_credits_per_s: float
    stream: bool
    allowed: bool


@dataclass(frozen=True, slots=True)
class CascadePlan:
    """Name the version to run and the later ones if answers are rejected."""

    version: str
    later: tuple[str, ...]
    expected_cost_credits: float
    meets_target: bool
    acceptance_scores: tuple[float, ...] = ()
    explored: bool = False
    score_per_credit: float = 0.0


@dataclass(frozen=True, slots=True)
class RatingArrived:
    """Report the score of a held answer."""

    score: float


@dataclass(frozen=True, slots=True)
class RatingLate:
    """Report that the rating timed out."""


@dataclass(frozen=True, slots=True)
class RatingDown:
    """Report that the rating service is unavailable."""


@dataclass(frozen=True, slots=True)
class AnswerAccepted:
    """Send the held answer."""

    reason: str


@dataclass(frozen=True, slots=True)
class NextVersion:
    """Drop the held answer and run the next version."""

    version: str
    later: tuple[str, ...]
    reason: str


RatingOutcome = RatingArrived | RatingLate | RatingDown
StepVerdict = AnswerAccepted | NextVersion
