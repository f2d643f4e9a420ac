"""Learn from how requests fare: engines, versions and crashing requests."""

from bamboodeck.gateway.attempt import Attempt
from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.engines import Engine
from bamboodeck.gateway.events import EngineBack, EnginePaused
from bamboodeck.gateway.exchange import Exchange
from bamboodeck.gateway.fingerprints import CrashWatch
from bamboodeck.gateway.rollout_guide import RolloutGuide
from bamboodeck.http.messages import FailureKind, HttpFailed

_SERVER_ERROR = 500
_MILLISECONDS_PER_S = 1000


class Experience:
    """Turn the ends of attempts into what is believed of engines."""

    def __init__(self, context: GatewayContext, guide: RolloutGuide) -> None:
        """Start without experience."""
        self.crashes = CrashWatch(context)
        self._context = context
        self._guide = guide

    def on_answered(self, exchange: Exchange, attempt: Attempt) -> None:
        """Learn that an engine gave a whole answer."""
        now_s = self._context.now_s()
        engine = attempt.engine
        bad = attempt.head.status >= _SERVER_ERROR
        if engine.pauses and not bad:
            self._context.log.emit(EngineBack(engine.entry.engine_id))
        if bad:
            self._context.metrics.count('engine_error')
            engine.note_failure()
        else:
            engine.note_success(now_s)
        self.learn_time(exchange, attempt, failed=bad)
        self.crashes.note_answered(exchange.fingerprint, engine)

    def on_unanswered(
        self,
        exchange: Exchange,
        attempt: Attempt,
        failure: HttpFailed,
    ) -> None:
        """Learn that an engine gave no whole answer."""
        engine = attempt.engine
        if failure.kind is FailureKind.LATE:
            self.learn_time(exchange, attempt, failed=False)
        unreachable = failure.kind is FailureKind.SILENT
        if not failure.maybe_started or unreachable:
            self._pause(engine, failure.reason)
            self._context.client.close_idle_to(engine.entry.address)
        else:
            engine.note_failure()
        if failure.kind is FailureKind.REFUSED:
            self.crashes.note_crash(engine)
        elif failure.kind is FailureKind.BROKEN and failure.maybe_started:
            self.crashes.note_broken(exchange.fingerprint, engine)

    def on_rejected(self, exchange: Exchange, attempt: Attempt) -> None:
        """Learn that an engine has not run a request."""
        engine = attempt.engine
        self._context.metrics.count('engine_rejected')
        if not attempt.head.misdirected:
            engine.note_failure()
            return
        # Another engine has the address; the registry will say so.
        self._pause(engine, 'another engine answers')

    def learn_time(
        self,
        exchange: Exchange,
        attempt: Attempt,
        *,
        failed: bool,
    ) -> None:
        """Hold an answer's time against the predicted one."""
        first_s = attempt.first_s or self._context.now_s()
        observed_ms = (first_s - attempt.began_s) * _MILLISECONDS_PER_S
        ratio = observed_ms / max(attempt.offer.first_token_ms, 1.0)
        self._guide.note_answer(attempt.engine, ratio, failed=failed)

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
