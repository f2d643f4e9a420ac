"""Define the messages of the cascade slice."""

from dataclasses import dataclass
from typing import NamedTuple


class VersionOption(NamedTuple):
    """Hold what one version would cost and reach for one request."""

    version: str
    cost_credits: float
    answer_s: float
    mean: float
    lower: float


@dataclass(frozen=True, slots=True)
class CascadeConstraints:
    """Hold the terms under which a cascade may be planned."""

    quality_target: float
    deadline_s: float
    rating_delay_s: float
    delay_credits_per_s: float
    stream: bool
    allowed: bool


@dataclass(frozen=True, slots=True)
class CascadePlan:
    """Hold the version to run and those to go on to after a rejection."""

    version: str
    later: tuple[str, ...]
    expected_cost_credits: float
    meets_target: bool
    acceptance_scores: tuple[float, ...] = ()
    explored: bool = False
    score_per_credit: float = 0.0


@dataclass(frozen=True, slots=True)
class RatingArrived:
    """Tell the score of an answer that is held back."""

    score: float


@dataclass(frozen=True, slots=True)
class RatingLate:
    """Tell that no rating came in time."""


@dataclass(frozen=True, slots=True)
class RatingDown:
    """Tell that the rating service doesn't work."""


@dataclass(frozen=True, slots=True)
class AnswerAccepted:
    """Tell that the held answer may be sent."""

    reason: str


@dataclass(frozen=True, slots=True)
class NextVersion:
    """Tell to run the next version and to drop the held answer."""

    version: str
    later: tuple[str, ...]
    reason: str


RatingOutcome = RatingArrived | RatingLate | RatingDown
StepVerdict = AnswerAccepted | NextVersion
