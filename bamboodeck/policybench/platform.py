"""Simulate the engines and the injected faults."""

from bamboodeck.configuration.model import Configuration
from bamboodeck.policybench.engine import Attempt, FakeEngine
from bamboodeck.policybench.workload import (
    EnginesLost,
    Fault,
    RatingBias,
    RatingOut,
    Workload,
    ZoneCut,
)
from bamboodeck.routing.messages import EngineLoad

LostEngine = tuple[FakeEngine, list[Attempt]]


class Platform:
    """Track the state of engines, ratings and zone connectivity."""

    def __init__(
        self,
        workload: Workload,
        configuration: Configuration,
    ) -> None:
        """Create the engines, without active faults."""
        self.engines = {
            engine.name: FakeEngine(engine, workload.settings.cached_prefixes)
            for engine in configuration.engines
        }
        self.faults: list[Fault] = []
        self._lost: dict[Fault, list[FakeEngine]] = {}

    def begin(self, fault: Fault) -> list[LostEngine]:
        """Begin a fault; return the engines lost and their attempts."""
        self.faults.append(fault)
        match fault:
            case EnginesLost(zone, count):
                available = [
                    engine
                    for engine in self.engines.values()
                    if engine.engine.zone == zone and not engine.lost
                ]
                lost = available[:count]
                self._lost[fault] = lost
                return [(engine, engine.fail()) for engine in lost]
            case _:
                return []

    def end(self, fault: Fault) -> None:
        """End a fault."""
        self.faults.remove(fault)
        for engine in self._lost.pop(fault, []):
            engine.lost = False

    def is_rating_available(self, zone: str) -> bool:
        """Return whether a zone receives ratings now."""
        if any(isinstance(fault, RatingOut) for fault in self.faults):
            return False
        return not self.is_cut(zone)

    def rating_bias(self) -> float:
        """Return the current bias of all ratings."""
        return sum(
            fault.bias for fault in self.faults if isinstance(fault, RatingBias)
        )

    def is_cut(self, zone: str) -> bool:
        """Return whether a zone is cut off."""
        return any(
            isinstance(fault, ZoneCut) and fault.zone == zone
            for fault in self.faults
        )

    def reaches(self, zone: str, engine: FakeEngine) -> bool:
        """Return whether a node of a zone can reach an engine."""
        if engine.lost:
            return False
        other = engine.engine.zone
        if other == zone:
            return True
        return not self.is_cut(zone) and not self.is_cut(other)

    def report_loads(self, now_s: float) -> tuple[EngineLoad, ...]:
        """Return the load reports of all engines that are not lost."""
        return tuple(
            engine.report_load(now_s)
            for engine in self.engines.values()
            if not engine.lost
        )
