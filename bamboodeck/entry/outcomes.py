"""Record attempts, ratings and answers of an entry host."""

from dataclasses import dataclass

from bamboodeck.chat.context import (
    AnswerToRate,
    AttemptOutcome,
    CallerAnswered,
)
from bamboodeck.entry.rollouts import NodeRollouts
from bamboodeck.metrics import Metrics
from bamboodeck.quality.messages import Rating
from bamboodeck.routing.router import Router


@dataclass(frozen=True, slots=True)
class AnswerRated:
    """Log the rating score of an answer."""

    request_id: str
    customer: str
    request_class: str
    version: str
    score: float
    step: int


class OutcomeRecorder:
    """Pass outcomes to metrics, quality estimates and roll-outs."""

    def __init__(
        self,
        metrics: Metrics,
        router: Router,
        decisions,
        rollouts: NodeRollouts,
    ) -> None:
        """Record to the given components."""
        self._rollouts = rollouts
        self._metrics = metrics
        self._router = router
        self._decisions = decisions

    def on_attempt(self, outcome: AttemptOutcome) -> None:
        """Record the outcome of an attempt."""
        self._metrics.count_attempt(outcome.version, outcome.ending.value)
        self._rollouts.on_attempt(outcome)

    def on_rated(
        self,
        answer: AnswerToRate,
        score: float,
        step: int,
        *,
        delivered: bool = True,
    ) -> None:
        """Record the score of an answer, delivered to its caller or not."""
        self._decisions.record(
            answer.request_id,
            AnswerRated(
                answer.request_id,
                answer.customer,
                answer.request_class,
                answer.version,
                score,
                step,
            ),
        )
        self._rollouts.on_rated(answer, score)
        self._router.quality.record(
            Rating(
                answer.version,
                answer.customer,
                answer.request_class,
                score,
                answer.request_id,
                step,
            ),
            delivered=delivered,
        )

    def on_answered(self, answered: CallerAnswered) -> None:
        """Record the result and the latency of a request."""
        self._metrics.count_answer(answered.request_class, answered.outcome)
        if answered.output_tokens:
            self._metrics.tokens.add({}, answered.output_tokens)
            self._metrics.first_token.observe({}, answered.first_token_s)
            self._metrics.total.observe({}, answered.total_s)
