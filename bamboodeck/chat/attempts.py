"""Run the attempts of a chat request, one at a time."""

from collections.abc import Callable

from bamboodeck.chat.attempt import Attempt
from bamboodeck.chat.context import AttemptEnding, ChatContext
from bamboodeck.chat.refusals import build_attempt_refusal
from bamboodeck.chat.report import ChatParties, ExchangeReport
from bamboodeck.chat.requests import ChatRequest
from bamboodeck.fingerprint import compute_fingerprint
from bamboodeck.refusals import Refusal, RunState
from bamboodeck.routing.messages import (
    RouteChosen,
    RouteDecision,
    RouteRequest,
)
from bamboodeck.streaming.engine_stream import AttemptListener

_CALL_NUMBER_BITS = 32


class AttemptRunner:
    """Own the running attempt and the state kept across attempts."""

    def __init__(
        self,
        context: ChatContext,
        request: ChatRequest,
        parties: ChatParties,
        report: ExchangeReport,
    ) -> None:
        """Start without an attempt."""
        self.fingerprint = compute_fingerprint(
            parties.customer.name,
            request.raw_body,
        )
        self.current: Attempt | None = None
        self.count = 0
        self.last_version: str | None = None
        self._count_of_step = 0
        self._excluded: frozenset[str] = frozenset()
        self._context = context
        self._request = request
        self._parties = parties
        self._report = report
        self._fingerprint_hex = self.fingerprint.hex()

    @property
    def run_state(self) -> RunState:
        """Return whether the request may have run."""
        return RunState.UNKNOWN if self.count else RunState.NOT_RUN

    @property
    def output_bound(self) -> int:
        """Return the maximum number of output tokens."""
        return (
            self._request.max_tokens
            or self._parties.request_class.expected_output_tokens
        )

    def decide(self, version: str | None, deadline_s: float) -> RouteDecision:
        """Route the request; `deadline_s` is relative to now."""
        route_request = RouteRequest(
            request_id=self._request.request_id,
            customer=self._parties.customer,
            request_class=self._parties.request_class,
            session_version=version,
            requested_model=self._request.requested_model,
            prompt_tokens=self._request.prompt_tokens,
            prefix_hash=self._request.prefix_hash,
            stream=self._request.body.stream,
            deadline_s=max(deadline_s, 0),
            attempt=self.count,
            excluded_engines=self._excluded
            | self._context.admission.engines_to_avoid(self._fingerprint_hex),
            opens_session=self._request.wants_session
            and self._parties.session_version is None,
        )
        return self._context.router.decide(
            route_request,
            self._context.scheduler.now_s(),
        )

    def reserve(self, engine: str, on_change: Callable[[], None]) -> bool:
        """Return whether the request may run now; else call back to reroute."""
        admission = self._context.admission
        return admission.reserve(self._fingerprint_hex, engine, on_change)

    def wait(self, on_change: Callable[[], None]) -> bool:
        """Return whether the request must wait; if so, call back to reroute."""
        return self._context.admission.wait(self._fingerprint_hex, on_change)

    def check_poison(self) -> Refusal | None:
        """Return a refusal if the request has crashed too many engines."""
        return self._context.admission.check_poison(self._fingerprint_hex)

    def open(self, chosen: RouteChosen, resume: Attempt | None) -> Attempt:
        """Create an attempt, which resumes `resume` if that is given."""
        self.current = Attempt(
            chosen,
            resume.call_id if resume else self._new_call_id(),
            resume.splicer if resume else None,
            self._context.scheduler.now_s(),
        )
        self.count += 1
        self._count_of_step += 1
        return self.current

    def start(self, attempt: Attempt, listener: AttemptListener) -> None:
        """Register an attempt and send it to its engine."""
        engine = attempt.chosen.engine
        self._context.router.on_dispatched(
            engine,
            attempt.call_id,
            attempt.started_s,
        )
        self._context.admission.attempt_started(self._fingerprint_hex, engine)
        attempt.start(
            self._context.client,
            self._request,
            self.output_bound,
            listener,
        )

    def end(self, ending: AttemptEnding) -> Attempt:
        """Release the running attempt's slot and return the attempt."""
        attempt = self.current
        self.current = None
        self.last_version = attempt.chosen.version
        self._report.attempt_ended(attempt, ending)
        self._context.admission.attempt_ended(
            self._fingerprint_hex,
            attempt.chosen.engine,
            ending,
        )
        return attempt

    def cancel(self) -> None:
        """Cancel the running attempt, if any, and record its cost."""
        if self.current is None:
            return
        attempt = self.end(AttemptEnding.CANCELLED)
        attempt.cancel()
        self._report.spent(attempt, wasted=True)

    def exclude(self, engine: str) -> None:
        """Exclude an engine from further decisions of this step."""
        self._excluded |= {engine}

    def begin_step(self, version: str) -> None:
        """Reset the attempt count and exclusions for the next cascade step."""
        self._count_of_step = 0
        self._excluded = frozenset()
        self.last_version = version

    def check_retry(self, reason: str) -> Refusal | None:
        """Return a refusal if no further attempt is allowed."""
        preset = self._context.configuration().preset
        if self._count_of_step >= preset.max_attempts:
            return build_attempt_refusal(
                'attempts_exhausted', reason, self.run_state
            )
        if not self._context.admission.take_retry():
            return build_attempt_refusal(
                'retry_budget_exhausted',
                reason,
                self.run_state,
            )
        return self.check_poison()

    def _new_call_id(self) -> str:
        number = self._context.environment.random.getrandbits(_CALL_NUMBER_BITS)
        return f'{self._request.request_id}-{number:08x}'
