"""Run one caller's request over one or more attempts."""

from typing import Protocol

import msgspec

from bamboodeck.gateway.attempt import Attempt
from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.delivery import Delivery, build_delivery
from bamboodeck.gateway.engines import Engine
from bamboodeck.gateway.events import (
    AttemptFailed,
    RefusalWithheld,
    RequestEnded,
    RequestPlaced,
)
from bamboodeck.gateway.model import (
    CallerRequest,
    Customer,
    EngineCall,
    EngineHead,
    Route,
)
from bamboodeck.gateway.overload.progress import StartedWork
from bamboodeck.gateway.placement import CostEstimate
from bamboodeck.gateway.ports import ExchangeCodec
from bamboodeck.gateway.retrying import (
    FailedAttempt,
    FailureCause,
    GiveUp,
    Retry,
    decide_retry,
)
from bamboodeck.gateway.routes import Resolved
from bamboodeck.http.messages import FailureKind, HttpFailed, ReplyHead
from bamboodeck.http.relay_server import RelayExchange

# A new connection takes a round trip and the engine's handshake: 45 ms between
# regions, and the same again for a lost packet.
CONNECT_TIMEOUT_S = 0.4
# Final answers are sent this long before the caller's or route's deadline.
ANSWER_MARGIN_S = 0.03
# A request that can't be retried would be lost on a connection that the engine
# is closing, so it uses only recently active connections.
UNSAFE_MAX_IDLE_S = 0.5
# Shorter than the usual idle timeout of engines.
MAX_IDLE_S = 4.0

# An engine that crashes on a request may still have sent the first event.
STREAMING_EVENTS = 2

_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_GATEWAY_TIMEOUT = 504
_MILLISECONDS_PER_S = 1000
_MOST_URGENT = 1
_LEAST_URGENT = 9


class OutcomeListener(Protocol):
    """Receive the outcomes of attempts."""

    def on_head(self, exchange: 'Exchange', attempt: Attempt) -> None:
        """Record what the head of an answer says of its engine."""

    def on_answered(self, exchange: 'Exchange', attempt: Attempt) -> None:
        """Record a complete answer, which may be a server error."""

    def on_unanswered(
        self,
        exchange: 'Exchange',
        attempt: Attempt,
        failure: HttpFailed,
    ) -> None:
        """Record an attempt without a complete answer."""

    def on_rejected(self, exchange: 'Exchange', attempt: Attempt) -> None:
        """Record that an engine rejected a request without running it."""

    def on_streaming(self, exchange: 'Exchange', attempt: Attempt) -> None:
        """Record that an engine goes on with an answer that it began."""

    def on_overdue(self, exchange: 'Exchange', attempt: Attempt) -> None:
        """Record an attempt that is incomplete at the deadline."""


class ExchangeOwner(Protocol):
    """Place exchanges on engines and record their outcomes."""

    context: GatewayContext
    codec: ExchangeCodec
    outcomes: 'OutcomeListener'

    def place(self, exchange: 'Exchange') -> None:
        """Send the exchange to an engine, queue it, or refuse it."""

    def check_confidence(
        self,
        exchange: 'Exchange',
        attempt: Attempt,
        head: EngineHead,
    ) -> None:
        """Accept an answer before any of it is sent, or escalate it."""

    def on_ended(self, exchange: 'Exchange') -> None:
        """Release the capacity of an ended exchange."""


class Exchange:
    """Track one request, its attempts and the answer sent to its caller."""

    def __init__(
        self,
        owner: ExchangeOwner,
        request: CallerRequest,
        route: Route,
        customer: Customer | None,
        responder: RelayExchange,
    ) -> None:
        """Start the deadline timer of the request."""
        self.request = request
        self.route = route
        self.customer = customer
        self.responder = responder
        # As of the configuration of a version.
        self.allowed_regions = Resolved(route, customer).allowed_regions
        self.regions_version = owner.context.routes.version
        self.service = ''
        self.model: str | None = None
        self.version_key = request.session or request.request_id
        self.fingerprint = ''
        # Its work in progress, from when it was sent until it ends or waits.
        self.started: StartedWork | None = None
        self.attempt: Attempt | None = None
        self.attempts = 0
        self.tried: set[str] = set()
        self.failed_versions: set[str] = set()
        self.may_have_run = False
        self.dispatched = False
        self.ended = False
        self.last_event_id: str | None = None
        self.context = owner.context
        self._owner = owner
        self._unreachable_engines = 0
        self._first_s: float | None = None
        self._last_forward_s: float | None = None
        self._longest_gap_s = 0.0
        self.sent_bytes = 0
        timeout_s = route.timeout_s
        if request.caller_timeout_s is not None:
            timeout_s = min(timeout_s, request.caller_timeout_s)
        self.deadline_s = request.received_s + timeout_s
        self.delivery: Delivery = build_delivery(self)
        responder.on_aborted = self._on_caller_aborted
        self._timer = self.context.loop.scheduler.call_after(
            max(self.deadline_s - ANSWER_MARGIN_S - self.context.now_s(), 0),
            self._on_deadline,
        )

    @property
    def customer_name(self) -> str:
        """Return the customer's name, empty on public routes."""
        return '' if self.customer is None else self.customer.name

    @property
    def rank(self) -> int:
        """Return the request's priority; 0 is the most urgent."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @property
    def attempts_left(self) -> int:
        """Return the number of attempts that are left."""
        return self.route.max_attempts - self.attempts

    def left_s(self) -> float:
        """Return the time to the deadline in seconds."""
        return self.deadline_s - self.context.now_s()

    @property
    def target_s(self) -> float:
        """Return when the latency target expires, by the monotonic clock."""
        return self.request.received_s + self.route.target_latency_s

    def target_left_ms(self) -> float:
        """Return the time to the latency target in milliseconds."""
        return (self.target_s - self.context.now_s()) * _MILLISECONDS_PER_S

    def may_use(self, engine: Engine) -> bool:
        """Tell whether the request was not yet tried on an engine."""
        return engine.entry.engine_id not in self.tried

    def send(self, estimate: CostEstimate, candidates: int) -> None:
        """Send the request to an engine."""
        now_s = self.context.now_s()
        self._log_placed(estimate, candidates, now_s)
        attempt = Attempt(self, estimate, self.model, now_s)
        self.attempt = attempt
        self.attempts += 1
        self.dispatched = True
        self.delivery.start_attempt()
        resume_at = self.last_event_id
        call = self._owner.codec.build_engine_call(
            EngineCall(
                engine=estimate.engine.entry,
                request=self.request,
                customer=self.customer_name or None,
                time_left_s=max(self.left_s() - ANSWER_MARGIN_S, 0.001),
                engine_priority=_rank_at_engine(self.request, self.rank),
                model=self.model,
                last_event_id=resume_at,
            ),
            CONNECT_TIMEOUT_S,
        )
        retryable = self.route.retryable
        attempt.connection = self.context.client.stream(
            call,
            attempt,
            # On a connection that it used before, a late copy of the earlier
            # answer has the same request id.
            fresh_connection=estimate.engine.entry.engine_id in self.tried,
            max_idle_s=MAX_IDLE_S if retryable else UNSAFE_MAX_IDLE_S,
        )

    def rerun(self, model: str) -> None:
        """Discard the current answer and run the request on another model."""
        attempt = self.attempt
        if attempt is not None:
            attempt.cancel()
            self.may_have_run = True
        self.model = model
        self.attempt = None
        self.context.metrics.count('run_again')
        self._owner.place(self)

    def refuse(self, status: int, reason: str, retry_after_s: float) -> None:
        """End a request that has not run."""
        if self.attempt is not None or self.may_have_run:
            # A refusal promises that the request never runs.
            self.context.metrics.count('refusal_withheld')
            self.context.log.warn(
                RefusalWithheld(self.request.request_id, status, reason),
            )
            self.fail(_BAD_GATEWAY, reason)
            return
        headers = self._owner.codec.build_refusal_headers(
            self.request.request_id,
            retry_after_s,
        )
        self.finish(status, 'refused', reason)
        self.responder.respond(status, headers, _render(reason))

    def fail(self, status: int, reason: str) -> None:
        """End a request that may have run without a complete answer."""
        if self.responder.started:
            self.finish(status, 'broken-off', reason)
            self.responder.abort()
            return
        headers = self._owner.codec.build_refusal_headers(
            self.request.request_id,
            None,
        )
        self.finish(status, 'failed', reason)
        self.responder.respond(status, headers, _render(reason))

    def finish(self, status: int, outcome: str, reason: str = '') -> None:
        """Record the end of the exchange, just before its answer is sent."""
        if self.ended:
            return
        self.ended = True
        self._timer.cancel()
        if self.attempt is not None:
            self.attempt.cancel()
        self.delivery.close()
        now_s = self.context.now_s()
        began_s = self.request.received_s
        first_s = (self._first_s or now_s) - began_s
        self.context.metrics.count_answer(self.route.name, outcome)
        self.context.metrics.time_answer(first_s, now_s - began_s)
        self.context.log.emit(
            RequestEnded(
                self.request.request_id,
                self.route.name,
                status,
                outcome,
                reason,
                self.attempts,
                first_s * _MILLISECONDS_PER_S,
                (now_s - began_s) * _MILLISECONDS_PER_S,
                self._longest_gap_s * _MILLISECONDS_PER_S,
                self.sent_bytes,
            ),
        )
        # The exchange is part of reference cycles, and would hold the body
        # until the next collection.
        self.request = msgspec.structs.replace(
            self.request,
            body=b'',
            headers=(),
        )
        self._owner.on_ended(self)

    def check_confidence(self, attempt: Attempt, head: EngineHead) -> None:
        """Decide on an answer by its head, before any of it is sent."""
        self._owner.check_confidence(self, attempt, head)

    def record_first_token(self, attempt: Attempt) -> None:
        """Record the first token, which ends the prefill."""
        now_s = self.context.now_s()
        observed_ms = (now_s - attempt.began_s) * _MILLISECONDS_PER_S
        if self.model is not None:
            self.context.prefill.correct(
                self.model,
                attempt.estimate.first_token_ms,
                observed_ms,
            )
        attempt.record_first_token(now_s)

    def record_events(self, attempt: Attempt, events: int) -> None:
        """Count the events of a stream."""
        was_streaming = attempt.events >= STREAMING_EVENTS
        attempt.events += events
        if attempt.events >= STREAMING_EVENTS and not was_streaming:
            self._owner.outcomes.on_streaming(self, attempt)

    def record_answered(self, attempt: Attempt) -> None:
        """Record a complete answer, which may be a server error."""
        self._owner.outcomes.on_answered(self, attempt)

    def record_first_byte(self) -> None:
        """Record when the answer to the caller starts."""
        if self._first_s is None:
            self._first_s = self.context.now_s()

    def forward(self, content: bytes) -> None:
        """Forward a part of the answer to the caller."""
        now_s = self.context.now_s()
        if self._last_forward_s is not None:
            gap_s = now_s - self._last_forward_s
            self._longest_gap_s = max(self._longest_gap_s, gap_s)
        self._last_forward_s = now_s
        self.sent_bytes += len(content)
        self.responder.send(content)

    def read_head(self, head: ReplyHead) -> EngineHead:
        """Decode the head of an engine's answer."""
        return self._owner.codec.decode_engine_head(head)

    def on_attempt_head(self, attempt: Attempt) -> None:
        """Check the head of an answer."""
        head = attempt.head
        attempt.engine.last_progress_s = self.context.now_s()
        if not _is_own_answer(attempt, self.request.request_id):
            # Nothing that it says holds for this request.
            attempt.head = None
            attempt.fail(
                'answer has the id of another request',
                FailureKind.MALFORMED,
            )
            return
        self._owner.outcomes.on_head(self, attempt)
        if not head.not_run:
            self.may_have_run = True
        if head.unproved:
            # Checked here, as large answers are forwarded before their end.
            attempt.fail('answer has no stamp', FailureKind.MALFORMED)
            return
        self.delivery.on_head(attempt, head)

    def on_attempt_data(self, attempt: Attempt, chunk: bytes) -> None:
        """Forward or buffer the next bytes of the answer."""
        self.delivery.on_data(attempt, chunk)

    def on_attempt_end(self, attempt: Attempt) -> None:
        """Handle the end of a complete answer."""
        head = attempt.head
        if head.not_run:
            self._owner.outcomes.on_rejected(self, attempt)
            self.handle_failure(
                attempt,
                FailureCause.NOT_RUN,
                'rejected by engine',
            )
            return
        self.delivery.on_end(attempt, head)

    def on_attempt_failed(self, attempt: Attempt, failure: HttpFailed) -> None:
        """Retry a failed attempt or end the request."""
        self._owner.outcomes.on_unanswered(self, attempt, failure)
        head = attempt.head
        if head is not None and head.not_run:
            self.handle_failure(attempt, FailureCause.NOT_RUN, failure.reason)
        elif failure.maybe_started:
            self.handle_failure(attempt, FailureCause.BROKEN, failure.reason)
        else:
            self.handle_failure(attempt, FailureCause.NOT_SENT, failure.reason)

    def handle_failure(
        self,
        attempt: Attempt,
        cause: FailureCause,
        reason: str,
    ) -> None:
        """Retry after a failed attempt, or give up."""
        may_have_run_before = self.may_have_run
        if cause is FailureCause.NOT_SENT:
            self.attempts -= 1
            self._unreachable_engines += 1
        elif cause is not FailureCause.NOT_RUN:
            self.may_have_run = True
        self.tried.add(attempt.engine.entry.engine_id)
        self.failed_versions.add(attempt.engine.entry.version)
        now_s = self.context.now_s()
        decision = decide_retry(
            FailedAttempt(
                cause=cause,
                retryable=self.route.retryable,
                answer_begun=self.delivery.begun,
                may_have_run_before=may_have_run_before,
                attempts=self.attempts,
                max_attempts=self.route.max_attempts,
                unreachable_engines=self._unreachable_engines,
                left_s=self.left_s(),
                budget_allows=self.context.budget.allows(self.service, now_s),
            ),
        )
        self._log_failed(attempt, cause, reason, decision)
        self.attempt = None
        match decision:
            case Retry():
                self._owner.place(self)
            case GiveUp(not_run=not_run, reason=why):
                self._give_up(attempt, why, not_run=not_run)

    def fail_unplaced(self, reason: str, retry_after_s: float) -> None:
        """End a request that found no engine in time."""
        if self.may_have_run:
            self.fail(_BAD_GATEWAY, reason)
        else:
            self.refuse(_UNAVAILABLE, reason, retry_after_s)

    def _give_up(self, attempt: Attempt, reason: str, *, not_run: bool) -> None:
        if self.delivery.forward_failure(attempt):
            return
        if not_run:
            self.refuse(_UNAVAILABLE, reason, self.retry_after_s())
        else:
            self.fail(_BAD_GATEWAY, reason)

    def retry_after_s(self) -> float:
        """Return the delay for a refused caller's retry in seconds."""
        # Callers honour at most a third of their time; jitter spreads retries.
        random = self.context.environment.random.random()
        return max(self.left_s(), 0.2) / 3 * (0.3 + 0.6 * random)

    def _on_deadline(self) -> None:
        if self.ended:
            return
        if self.attempt is not None:
            self._owner.outcomes.on_overdue(self, self.attempt)
        if (
            self.responder.started
            or self.may_have_run
            or self.attempt is not None
        ):
            self.fail(_GATEWAY_TIMEOUT, 'deadline')
            return
        self.refuse(_UNAVAILABLE, 'deadline exceeded while queued', 0.0)

    def _on_caller_aborted(self) -> None:
        self.finish(0, 'caller-gone')

    def _log_placed(
        self,
        estimate: CostEstimate,
        candidates: int,
        now_s: float,
    ) -> None:
        entry = estimate.engine.entry
        configuration = self.context.configuration
        self.context.log.emit(
            RequestPlaced(
                request_id=self.request.request_id,
                route=self.route.name,
                customer=self.customer_name,
                session=self.request.session or '',
                service=self.service,
                engine=entry.engine_id,
                zone=entry.zone,
                version=entry.version,
                model=self.model or '',
                attempt=self.attempts + 1,
                predicted_ms=estimate.first_token_ms,
                cost_ms=estimate.cost_ms,
                candidates=candidates,
                engine_requests=estimate.engine.requests,
                engine_work_ms=estimate.engine.prefill_ms,
                left_ms=self.left_s() * _MILLISECONDS_PER_S,
                waited_ms=(now_s - self.request.received_s)
                * _MILLISECONDS_PER_S,
                configuration=configuration.version if configuration else 0,
                registry_age_s=now_s - self.context.registry_confirmed_s,
            ),
        )

    def _log_failed(
        self,
        attempt: Attempt,
        cause: FailureCause,
        reason: str,
        decision: Retry | GiveUp,
    ) -> None:
        self.context.metrics.count(f'attempt_{cause.value}')
        now_s = self.context.now_s()
        self.context.log.emit(
            AttemptFailed(
                self.request.request_id,
                attempt.engine.entry.engine_id,
                cause.value,
                reason,
                0 if attempt.head is None else attempt.head.status,
                (now_s - attempt.began_s) * _MILLISECONDS_PER_S,
                self.attempts,
                'try-again' if isinstance(decision, Retry) else decision.reason,
                _list_parts(self.request)
                if cause is FailureCause.BROKEN
                else '',
            ),
        )


def _rank_at_engine(request: CallerRequest, rank: int) -> int | None:
    if request.generation is None:
        return None
    return min(_MOST_URGENT + rank, _LEAST_URGENT)


def _list_parts(request: CallerRequest) -> str:
    if request.generation is None:
        return ''
    return ','.join(part.part_id for part in request.generation.parts)


def _is_own_answer(attempt: Attempt, request_id: str) -> bool:
    if attempt.head.request_id is None:
        # On a reused connection it may answer an earlier request.
        return attempt.connection.calls == 1
    return attempt.head.request_id == request_id


def _render(reason: str) -> bytes:
    return b'{"error": "%b"}' % reason.encode()
