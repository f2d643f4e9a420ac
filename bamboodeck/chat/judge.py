"""Rate the answers of one request and judge the buffered ones."""

from collections.abc import Callable

from bamboodeck.cascade.messages import AnswerAccepted, StepVerdict
from bamboodeck.chat.attempt import Attempt
from bamboodeck.chat.context import (
    AnswerToRate,
    ChatContext,
    NotScored,
    Scored,
)
from bamboodeck.chat.report import ChatParties
from bamboodeck.chat.requests import ChatRequest
from bamboodeck.chat.steps import CascadeSteps

OnVerdict = Callable[[StepVerdict], None]


class AnswerJudge:
    """Rate answers, and judge those not delivered yet."""

    def __init__(
        self,
        context: ChatContext,
        request: ChatRequest,
        parties: ChatParties,
        steps: CascadeSteps,
    ) -> None:
        """Judge the answers of one request by its cascade steps."""
        self._context = context
        self._request = request
        self._parties = parties
        self._steps = steps

    def judge(
        self,
        attempt: Attempt,
        text: str,
        on_verdict: OnVerdict,
        is_wanted: Callable[[], bool],
    ) -> None:
        """Rate a buffered answer; call back if `is_wanted` holds by then."""
        answer = self._describe(attempt, text)

        def on_outcome(outcome: Scored | NotScored) -> None:
            if is_wanted():
                on_verdict(self._reach_verdict(answer, outcome))

        self._context.ratings.rate(answer, on_outcome)

    def rate_delivered(self, attempt: Attempt, text: str) -> None:
        """Rate a delivered answer for the quality estimates."""
        answer = self._describe(attempt, text)
        step = self._steps.number

        def on_outcome(outcome: Scored | NotScored) -> None:
            if isinstance(outcome, Scored):
                self._context.outcomes.on_rated(answer, outcome.score, step)

        self._context.ratings.rate(answer, on_outcome)

    def _reach_verdict(
        self,
        answer: AnswerToRate,
        outcome: Scored | NotScored,
    ) -> StepVerdict:
        verdict = self._steps.judge(
            outcome,
            self._parties.customer.quality_target,
            self._lower_bound(answer.version),
        )
        if isinstance(outcome, Scored):
            self._context.outcomes.on_rated(
                answer,
                outcome.score,
                self._steps.number,
                delivered=isinstance(verdict, AnswerAccepted),
            )
        return verdict

    def _describe(self, attempt: Attempt, text: str) -> AnswerToRate:
        return AnswerToRate(
            self._request.request_id,
            attempt.chosen.version,
            self._parties.customer.name,
            self._parties.request_class.name,
            text,
        )

    def _lower_bound(self, version: str) -> float:
        return self._context.router.quality.lower_bound(
            version,
            self._parties.customer.name,
            self._parties.request_class.name,
            self._context.configuration().preset.confidence,
        )
