"""Decide whether the answer of a cascade's step is accepted."""

from typing import assert_never

from bamboodeck.cascade.messages import (
    AnswerAccepted,
    NextVersion,
    RatingArrived,
    RatingDown,
    RatingLate,
    RatingOutcome,
    StepVerdict,
)


def judge_step(
    outcome: RatingOutcome,
    acceptance_score: float,
    quality_target: float,
    lower_bound: float,
    later: tuple[str, ...],
) -> StepVerdict:
    """Accept the held answer or name the version to run next.

    Without a rating, the answer is accepted if the lower bound on the quality
    of its version reaches the target.
    """
    if not later:
        return AnswerAccepted('last_step')
    match outcome:
        case RatingArrived(score):
            if score >= acceptance_score:
                return AnswerAccepted('rating')
            return NextVersion(later[0], later[1:], 'low_rating')
        case RatingLate() | RatingDown():
            if lower_bound >= quality_target:
                return AnswerAccepted('lower_bound')
            return NextVersion(later[0], later[1:], 'no_rating')
        case _:
            assert_never(outcome)
