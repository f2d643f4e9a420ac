"""Record the decisions, outcomes and costs of one chat request."""

from dataclasses import dataclass

from bamboodeck.chat.attempt import Attempt
from bamboodeck.chat.context import (
    AttemptEnding,
    AttemptOutcome,
    CallerAnswered,
    ChatContext,
    ProviderCost,
)
from bamboodeck.chat.events import (
    AnswerSent,
    AttemptFailed,
    CascadeJudged,
    RouteDecided,
    RouteDeclined,
)
from bamboodeck.chat.pricing import compute_price
from bamboodeck.chat.requests import ChatRequest
from bamboodeck.configuration.model import Customer, RequestClass
from bamboodeck.refusals import RunState
from bamboodeck.routing.messages import RouteChosen, RouteRefused
from bamboodeck.streaming.messages import Usage


@dataclass(frozen=True, slots=True)
class ChatParties:
    """Customer, request class and session of a request."""

    customer: Customer
    request_class: RequestClass
    session_version: str | None
    session_token: str


@dataclass(frozen=True, slots=True)
class RequestResult:
    """Result of a request for its caller."""

    outcome: str
    run: RunState
    version: str = ''
    usage: Usage = Usage(0, 0, 0)
    price_credits: float = 0.0
    dropped_chunks: int = 0


class ExchangeReport:
    """Record one request to the log, the metrics and the accounts."""

    def __init__(
        self,
        context: ChatContext,
        request: ChatRequest,
        parties: ChatParties,
    ) -> None:
        """Record the start time of the request."""
        self.first_token_s = 0.0
        self._context = context
        self._request_id = request.request_id
        self._prompt_tokens = request.prompt_tokens
        self._customer = parties.customer.name
        self._class = parties.request_class.name
        self._started_s = context.scheduler.now_s()

    def elapsed_s(self) -> float:
        """Return the seconds since the request arrived."""
        return self._context.scheduler.now_s() - self._started_s

    def record_first_token(self) -> None:
        """Record the latency of the first token; later calls do nothing."""
        if not self.first_token_s:
            self.first_token_s = self.elapsed_s()

    def route_decided(
        self,
        chosen: RouteChosen,
        cascade: tuple[str, ...],
        attempt_number: int,
        resume_from: int,
    ) -> None:
        """Log the chosen version and engine."""
        self._record(
            RouteDecided(
                self._request_id,
                self._customer,
                self._class,
                chosen.version,
                chosen.engine,
                chosen.reason,
                chosen.rejected_count,
                chosen.expected_cost_credits,
                ','.join(cascade),
                attempt_number,
                resume_from,
                chosen.score_per_credit,
            ),
        )

    def route_declined(self, refused: RouteRefused, attempts: int) -> None:
        """Log why the request could not be routed."""
        self._record(
            RouteDeclined(
                self._request_id,
                self._customer,
                self._class,
                refused.code.value,
                refused.message,
                refused.rejected_count,
                attempts,
            ),
        )

    def attempt_failed(self, attempt: Attempt, reason: str) -> None:
        """Log why an attempt ended early."""
        self._record(
            AttemptFailed(
                self._request_id,
                attempt.chosen.engine,
                attempt.chosen.version,
                reason,
                attempt.generated_tokens,
            ),
        )

    def judged(self, attempt: Attempt, reason: str, next_version: str) -> None:
        """Log whether a buffered answer was accepted."""
        self._record(
            CascadeJudged(
                self._request_id,
                attempt.chosen.version,
                not next_version,
                reason,
                next_version,
            ),
        )

    def attempt_ended(
        self,
        attempt: Attempt,
        ending: AttemptEnding,
    ) -> None:
        """Record an attempt's outcome and release its slot on the engine."""
        now_s = self._context.scheduler.now_s()
        chosen = attempt.chosen
        self._context.router.on_finished(
            chosen.engine,
            attempt.call_id,
            now_s,
            ending is AttemptEnding.FINISHED,
        )
        self._context.outcomes.on_attempt(
            AttemptOutcome(
                self._request_id,
                self._customer,
                self._class,
                chosen.version,
                chosen.engine,
                ending,
                now_s - attempt.started_s,
            ),
        )

    def spent(self, attempt: Attempt, *, wasted: bool) -> None:
        """Record the provider cost of an attempt."""
        tokens = attempt.generated_tokens
        prompt_tokens = self._prompt_tokens
        if attempt.splicer.usage is not None:
            prompt_tokens = attempt.splicer.usage.prompt_tokens
        usage = Usage(prompt_tokens, tokens, prompt_tokens + tokens)
        models = self._context.configuration().models_by_name
        model = models[attempt.chosen.version]
        self._context.bills.record_cost(
            ProviderCost(
                self._request_id,
                self._customer,
                model,
                usage,
                compute_price(model, usage),
                wasted,
            ),
        )

    def ended(self, result: RequestResult) -> None:
        """Log and count the result of the request."""
        total_s = self.elapsed_s()
        self._record(
            AnswerSent(
                self._request_id,
                self._customer,
                result.version,
                result.run.value,
                result.outcome,
                result.usage.prompt_tokens,
                result.usage.completion_tokens,
                result.price_credits,
                self.first_token_s,
                total_s,
                result.dropped_chunks,
            ),
        )
        self._context.outcomes.on_answered(
            CallerAnswered(
                self._class,
                result.outcome,
                self.first_token_s,
                total_s,
                result.usage.completion_tokens,
            ),
        )

    def _record(self, event) -> None:
        self._context.decisions.record(self._request_id, event)
