"""Track the limits that engines name in their answers."""

from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.engines import Engine
from bamboodeck.gateway.events import EngineLimitChanged, EngineLimitUsed
from bamboodeck.gateway.limits import NamedLimit

LOG_PERIOD_S = 4.0


class LimitTracker:
    """Record and log the limits of engines."""

    def __init__(self, context: GatewayContext) -> None:
        """Start without limits."""
        self._context = context
        self._logged_s = 0.0

    def record_head(
        self,
        engine: Engine,
        limit_per_s: float | None,
        began_s: float,
    ) -> None:
        """Record whether an answer names a limit.

        `began_s` is when its request was sent.
        """
        now_s = self._context.now_s()
        known = engine.limit
        if limit_per_s is None:
            # An answer from before the limit may arrive after it.
            if known is not None and began_s > known.named_s:
                self._change(engine, None)
            return
        if known is None:
            self._change(engine, NamedLimit(limit_per_s, now_s, now_s))
            return
        known.confirmed_s = now_s
        if known.limit_per_s != limit_per_s:
            known.limit_per_s = limit_per_s
            self._change(engine, known)

    def check(self) -> None:
        """Log in each period how the limits are used."""
        now_s = self._context.now_s()
        if now_s - self._logged_s < LOG_PERIOD_S:
            return
        self._logged_s = now_s
        for engine in self._context.engines:
            limit = engine.limit
            if limit is None:
                continue
            self._context.log.emit(
                EngineLimitUsed(
                    engine.entry.engine_id,
                    limit.limit_per_s,
                    engine.count_sent(now_s),
                    now_s - limit.confirmed_s,
                ),
            )

    def _change(self, engine: Engine, limit: NamedLimit | None) -> None:
        engine.limit = limit
        self._context.metrics.count('engine_limit_changed')
        self._context.log.emit(
            EngineLimitChanged(
                engine.entry.engine_id,
                engine.entry.service,
                -1.0 if limit is None else limit.limit_per_s,
                '',
                engine.count_sent(self._context.now_s()),
            ),
        )
