"""Choose engines for one chat request and run its attempts, one at a time."""

from collections.abc import Callable

from bamboodeck.chat.attempt import Attempt
from bamboodeck.chat.context import AttemptEnding, ChatContext
from bamboodeck.chat.refusing import build_failed
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
    """Own the running attempt of a request and what earlier ones left."""

    def __init__(
        self,
        context: ChatContext,
        request: ChatRequest,
        parties: ChatParties,
        report: ExchangeReport,
    ) -> None:
        """Start before the first attempt."""
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
        """Tell whether the request may have run."""
        return RunState.UNKNOWN if self.count else RunState.NOT_RUN

    @property
    def output_bound(self) -> int:
        """Return the largest number of tokens that is asked for."""
        return (
            self._request.max_tokens
            or self._parties.request_class.expected_output_tokens
        )

    def decide(self, version: str | None, deadline_s: float) -> RouteDecision:
        """Ask the router for an engine; the deadline counts from now."""
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
            | self._context.gatekeeper.engines_to_avoid(self._fingerprint_hex),
            opens_session=self._request.wants_session
            and self._parties.session_version is None,
        )
        return self._context.router.decide(
            route_request,
            self._context.scheduler.now_s(),
        )

    def reserve(self, engine: str, on_change: Callable[[], None]) -> bool:
        """Tell whether the request may run now, or say later to route anew."""
        gatekeeper = self._context.gatekeeper
        return gatekeeper.reserve(self._fingerprint_hex, engine, on_change)

    def wait(self, on_change: Callable[[], None]) -> bool:
        """Tell whether the request, without an engine, waits for its turn."""
        return self._context.gatekeeper.wait(self._fingerprint_hex, on_change)

    def check_poison(self) -> Refusal | None:
        """Say why the request must not be tried again, if it must not."""
        return self._context.gatekeeper.check_poison(self._fingerprint_hex)

    def open(self, chosen: RouteChosen, resume: Attempt | None) -> Attempt:
        """Begin an attempt, or go on where another one broke."""
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
        """Send an attempt's call to its engine."""
        engine = attempt.chosen.engine
        self._context.router.on_dispatched(
            engine,
            attempt.call_id,
            attempt.started_s,
        )
        self._context.gatekeeper.attempt_started(self._fingerprint_hex, engine)
        attempt.start(
            self._context.client,
            self._request,
            self.output_bound,
            listener,
        )

    def end(self, ending: AttemptEnding) -> Attempt:
        """Free the place of the running attempt and return it."""
        attempt = self.current
        self.current = None
        self.last_version = attempt.chosen.version
        self._report.attempt_ended(attempt, ending)
        self._context.gatekeeper.attempt_ended(
            self._fingerprint_hex,
            attempt.chosen.engine,
            ending,
        )
        return attempt

    def cancel(self) -> None:
        """Stop the running attempt, if any, and account for it."""
        if self.current is None:
            return
        attempt = self.end(AttemptEnding.CANCELLED)
        attempt.cancel()
        self._report.spent(attempt, wasted=True)

    def exclude(self, engine: str) -> None:
        """Leave an engine out of the next decisions of this step."""
        self._excluded |= {engine}

    def begin_step(self, version: str) -> None:
        """Start anew with the next version of a cascade."""
        self._count_of_step = 0
        self._excluded = frozenset()
        self.last_version = version

    def find_obstacle(self, reason: str) -> Refusal | None:
        """Say why there must be no further attempt, if there mustn't."""
        preset = self._context.configuration().preset
        if self._count_of_step >= preset.max_attempts:
            return build_failed('attempts_exhausted', reason, self.run_state)
        if not self._context.gatekeeper.may_retry():
            return build_failed(
                'retry_budget_exhausted',
                reason,
                self.run_state,
            )
        return self.check_poison()

    def _new_call_id(self) -> str:
        number = self._context.environment.random.getrandbits(_CALL_NUMBER_BITS)
        return f'{self._request.request_id}-{number:08x}'
