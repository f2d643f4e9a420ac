"""Track the steps of a cascade for one request."""

from bamboodeck.cascade.judge import judge_step
from bamboodeck.cascade.messages import (
    RatingArrived,
    RatingDown,
    RatingLate,
    StepVerdict,
)
from bamboodeck.chat.context import NotScored, Scored
from bamboodeck.routing.messages import RouteChosen


class CascadeSteps:
    """Track the remaining versions and their acceptance scores."""

    def __init__(self) -> None:
        """Start at the first step, without a plan."""
        self.number = 0
        self.remaining: tuple[str, ...] = ()
        self._acceptance_scores: tuple[float, ...] = ()

    def plan(self, chosen: RouteChosen) -> None:
        """Store the first route's cascade; later routes don't change it."""
        if self.number:
            return
        self.remaining = chosen.cascade
        self._acceptance_scores = chosen.acceptance_scores

    def judge(
        self,
        outcome: Scored | NotScored,
        quality_target: float,
        lower_bound: float,
    ) -> StepVerdict:
        """Return the verdict: accept the answer, or run the next version."""
        match outcome:
            case Scored(score):
                rating = RatingArrived(score)
            case NotScored(late):
                rating = RatingLate() if late else RatingDown()
        return judge_step(
            rating,
            self._acceptance_scores[0],
            quality_target,
            lower_bound,
            self.remaining,
        )

    def advance(self) -> None:
        """Advance to the next step."""
        self.number += 1
        self.remaining = self.remaining[1:]
        self._acceptance_scores = self._acceptance_scores[1:]
