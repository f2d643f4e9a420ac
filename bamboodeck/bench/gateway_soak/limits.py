"""Have engines name limits during a run."""

from random import Random

from bamboodeck.bench.gateway_soak.record import NamedLimit, RunRecord
from bamboodeck.bench.gateway_soak.system import SoakSystem

ENGINE_LIMITS_PER_S = (0.5, 2.0, 5.0)
# Longer than the window in which hosts may still exceed a limit.
LIMIT_DURATION_S = 12.0


class EngineLimits:
    """Let engines name limits, and record them."""

    def __init__(
        self,
        system: SoakSystem,
        record: RunRecord,
        random: Random,
    ) -> None:
        """Start without limits."""
        self._system = system
        self._record = record
        self._random = random

    def limit(self, engine_id: str) -> None:
        """Have an engine name a limit for some time, unless it does."""
        behaviour = self._system.engines[engine_id].behaviour
        if behaviour.limit_per_s is not None:
            return
        limit_per_s = self._random.choice(ENGINE_LIMITS_PER_S)
        behaviour.limit_per_s = limit_per_s
        scheduler = self._system.loop.scheduler
        now_s = scheduler.now_s()
        until_s = now_s + LIMIT_DURATION_S
        self._record.limits.append(
            NamedLimit(engine_id, limit_per_s, now_s, until_s),
        )
        self._record.record_fault('engine-limit', engine_id, now_s)

        def end() -> None:
            behaviour.limit_per_s = None

        scheduler.call_after(LIMIT_DURATION_S, end)
