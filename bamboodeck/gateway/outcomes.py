"""Update the state of engines, versions and crashes by request outcomes."""

from collections.abc import Callable

from bamboodeck.gateway.attempt import Attempt
from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.engine_events import (
    EngineDeclines,
    HeadersUnreadable,
)
from bamboodeck.gateway.engines import Engine
from bamboodeck.gateway.events import (
    EngineBack,
    EnginePaused,
)
from bamboodeck.gateway.exchange import STREAMING_EVENTS, Exchange
from bamboodeck.gateway.fingerprints import CrashTracker
from bamboodeck.gateway.leaving_engines import LeavingEngines
from bamboodeck.gateway.limit_tracker import LimitTracker
from bamboodeck.gateway.overload.work import RouteTimes
from bamboodeck.gateway.part_tracker import PartTracker
from bamboodeck.gateway.rollout_coordinator import RolloutCoordinator
from bamboodeck.gateway.rollout_state import TrialAnswer
from bamboodeck.gateway.suspect_parts import EngineCrash
from bamboodeck.http.messages import FailureKind, HttpFailed

_FIRST_FAILURE = 300
_SERVER_ERROR = 500
_GATEWAY_TIMEOUT = 504
_MILLISECONDS_PER_S = 1000
# The engine may have ended, and start again before its entry is replaced.
_MAYBE_RESTARTED = (
    FailureKind.REFUSED,
    FailureKind.SILENT,
    FailureKind.BROKEN,
)


class OutcomeTracker:
    """Record the outcomes of attempts."""

    def __init__(
        self,
        context: GatewayContext,
        rollouts: RolloutCoordinator,
        limits: LimitTracker,
        leaving: LeavingEngines,
        share_crash: Callable[[EngineCrash], None],
    ) -> None:
        """Start without recorded outcomes."""
        self._limits = limits
        self._leaving = leaving
        self.crashes = CrashTracker(context)
        self.parts = PartTracker(context, share_crash)
        self._context = context
        self._rollouts = rollouts

    def on_head(self, exchange: Exchange, attempt: Attempt) -> None:
        """Record what the head of an answer says of its engine."""
        head = attempt.head
        if head.misdirected:
            # Another engine answers.
            return
        self._limits.cold.record_answer(attempt.engine, attempt.began_s)
        if head.leaving:
            self._leaving.record_answer(attempt.engine)
        if head.retry_after_s is not None:
            self._decline(attempt.engine, head.retry_after_s)
        if head.unreadable:
            self._context.log.warn(
                HeadersUnreadable(
                    exchange.request.request_id,
                    attempt.engine.entry.engine_id,
                    ','.join(head.unreadable),
                ),
            )
        if not head.limit_unreadable:
            self._limits.record_head(
                attempt.engine,
                head.limit_per_s,
                attempt.began_s,
            )

    def on_answered(self, exchange: Exchange, attempt: Attempt) -> None:
        """Record a complete answer, which may be a server error."""
        now_s = self._context.now_s()
        engine = attempt.engine
        bad = attempt.head.status >= _SERVER_ERROR
        if engine.pauses and not bad:
            self._context.log.emit(EngineBack(engine.entry.engine_id))
        if bad:
            self._context.metrics.count('engine_error')
            engine.record_failure()
        else:
            engine.record_success(now_s)
        # Running out of time tells of slowness, which is counted by itself.
        failed = bad and attempt.head.status != _GATEWAY_TIMEOUT
        self.record_latency(exchange, attempt, failed=failed)
        self.crashes.record_answered(exchange.fingerprint, engine)
        if attempt.head.status < _FIRST_FAILURE:
            self.parts.record_answered(exchange)
            self._record_run(exchange, attempt)

    def on_streaming(self, exchange: Exchange, attempt: Attempt) -> None:
        """Record that an engine goes on with an answer that it began."""
        self.parts.record_answered(exchange)

    def on_unanswered(
        self,
        exchange: Exchange,
        attempt: Attempt,
        failure: HttpFailed,
    ) -> None:
        """Record an attempt without a complete answer."""
        engine = attempt.engine
        if failure.kind is FailureKind.MALFORMED:
            self._context.metrics.count('malformed_answer')
        if failure.kind is FailureKind.LATE:
            self.record_latency(exchange, attempt, failed=False)
        unreachable = failure.kind is FailureKind.SILENT
        if not failure.maybe_started or failure.kind in _MAYBE_RESTARTED:
            self._limits.cold.record_failure(
                engine,
                refused=failure.kind is FailureKind.REFUSED,
            )
        if not failure.maybe_started or unreachable:
            self._pause(engine, failure.reason)
            self._context.client.close_idle_to(engine.entry.address)
        else:
            engine.record_failure()
        if failure.kind is FailureKind.REFUSED:
            self.crashes.record_refused(engine)
            return
        if not failure.maybe_started or failure.kind is FailureKind.MALFORMED:
            # It reached no engine, or one that runs on.
            return
        if failure.kind is not FailureKind.BROKEN:
            self._record_unanswered(exchange, attempt)
            return
        if attempt.events < STREAMING_EVENTS:
            # A request that crashes engines does so as they begin to run it.
            self.crashes.record_broken(exchange.fingerprint, engine)
        self.parts.record_broken(exchange, attempt)

    def on_rejected(self, exchange: Exchange, attempt: Attempt) -> None:
        """Record that an engine rejected a request without running it."""
        engine = attempt.engine
        self._context.metrics.count('engine_rejected')
        if not attempt.head.misdirected:
            engine.record_failure()
            return
        # Another engine has the address; the registry will follow.
        self.crashes.record_misdirected(engine)
        self._pause(engine, 'another engine answers at this address')

    def on_overdue(self, exchange: Exchange, attempt: Attempt) -> None:
        """Record an attempt that is incomplete at the deadline.

        A request that can't be retried shows only so that its engine hangs.
        """
        took_s = self._context.now_s() - attempt.began_s
        if took_s > exchange.route.target_latency_s:
            attempt.engine.record_failure()
        if attempt.engine.last_progress_s < attempt.began_s:
            self._record_unanswered(exchange, attempt)

    def record_latency(
        self,
        exchange: Exchange,
        attempt: Attempt,
        *,
        failed: bool,
    ) -> None:
        """Record the ratio of an answer's observed to its predicted time."""
        first_s = attempt.first_s or self._context.now_s()
        observed_ms = (first_s - attempt.began_s) * _MILLISECONDS_PER_S
        ratio = observed_ms / max(attempt.estimate.first_token_ms, 1.0)
        self._rollouts.record_answer(
            TrialAnswer(
                attempt.engine,
                exchange.route.name,
                attempt.estimate.running,
                ratio,
                failed,
                has_session=exchange.request.session is not None,
                repeated=bool(exchange.failed_versions),
            ),
        )

    def _record_run(self, exchange: Exchange, attempt: Attempt) -> None:
        now_s = self._context.now_s()
        first_s = attempt.first_s or now_s
        run_ms = (now_s - attempt.began_s) * _MILLISECONDS_PER_S
        generation = exchange.request.generation
        work_ms = run_ms
        if generation is not None and exchange.started is not None:
            work_ms = exchange.started.work_ms
        work_times = self._context.work_times
        work_times.record_run(
            exchange.service,
            exchange.route.name,
            RouteTimes(
                work_ms,
                (first_s - attempt.began_s) * _MILLISECONDS_PER_S,
                run_ms,
            ),
        )
        if generation is None or attempt.model is None or now_s <= first_s:
            return
        work_times.record_output(
            attempt.model,
            (now_s - first_s)
            * _MILLISECONDS_PER_S
            / max(generation.output_tokens, 1),
        )

    def _record_unanswered(self, exchange: Exchange, attempt: Attempt) -> None:
        # Its connection is open, so a check would tell nothing new.
        if attempt.events < STREAMING_EVENTS:
            self.crashes.record_unanswered(
                exchange.fingerprint,
                attempt.engine,
            )

    def _decline(self, engine: Engine, duration_s: float) -> None:
        declined_s = engine.decline(duration_s, self._context.now_s())
        self._context.metrics.count('engine_declines')
        self._context.log.emit(
            EngineDeclines(
                engine.entry.engine_id,
                engine.entry.service,
                duration_s,
                declined_s,
            ),
        )

    def _pause(self, engine: Engine, reason: str) -> None:
        pause_s = engine.pause(self._context.now_s())
        self._context.log.emit(
            EnginePaused(
                engine.entry.engine_id,
                reason,
                pause_s,
                engine.requests,
            ),
        )
