"""Heed engines that say in their answers that they leave.

Load pattern: engines leave while the store is away or slow, so the registry
tells too late. An engine tells only the hosts whose requests it answers, and
each of the others would lose requests when it stops. News are published a few
times, since messages may be lost.
"""

from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.engine_events import (
    EngineLeaves,
)
from bamboodeck.gateway.engines import Engine
from bamboodeck.gateway.peer_messages import LeavingUpdate

# How often an engine is published, in consecutive periods.
REPEATS = 4


class LeavingEngines:
    """Record the engines that leave, and tell the other hosts."""

    def __init__(self, context: GatewayContext) -> None:
        """Start without news."""
        self._context = context
        # How often each incarnation is still to be published.
        self._repeats: dict[str, int] = {}

    def record_answer(self, engine: Engine) -> None:
        """Record that an answer says that its engine leaves."""
        if self._record(engine.incarnation, ''):
            self._repeats[engine.incarnation] = REPEATS

    def build_update(self) -> LeavingUpdate | None:
        """Return what to publish now."""
        incarnations = tuple(self._repeats)
        for incarnation in incarnations:
            self._repeats[incarnation] -= 1
            if not self._repeats[incarnation]:
                self._repeats.pop(incarnation)
        return LeavingUpdate(incarnations) if incarnations else None

    def apply(self, host: str, update: LeavingUpdate) -> None:
        """Apply what engines have told another host."""
        for incarnation in update.incarnations:
            self._record(incarnation, host)

    def _record(self, incarnation: str, reported_by: str) -> bool:
        engine = self._context.engines.record_leaving(incarnation)
        if engine is None:
            return False
        self._context.client.close_idle_to(engine.entry.address)
        self._context.metrics.count('engine_leaves')
        self._context.log.emit(
            EngineLeaves(
                engine.entry.engine_id,
                engine.entry.service,
                reported_by,
            ),
        )
        return True
