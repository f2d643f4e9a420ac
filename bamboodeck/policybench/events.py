"""Define the events of a run and the virtual clock."""

import heapq
import itertools
from dataclasses import dataclass

from bamboodeck.cascade.messages import RatingOutcome
from bamboodeck.policybench.engine import Attempt, FakeEngine
from bamboodeck.policybench.scenario import Request
from bamboodeck.policybench.workload import Fault
from bamboodeck.quality.messages import Rating
from bamboodeck.routing.messages import CacheEvent, EngineLoad


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """Signal that a request has arrived from a caller."""

    request: Request


@dataclass(frozen=True, slots=True)
class AnswerGenerated:
    """Signal that an engine has generated an answer."""

    engine: FakeEngine
    attempt: Attempt


@dataclass(frozen=True, slots=True)
class StepRated:
    """Deliver the rating outcome of a held answer."""

    attempt: Attempt
    outcome: RatingOutcome


@dataclass(frozen=True, slots=True)
class AnswerRated:
    """Deliver the rating of an answer that was sent."""

    node: int
    rating: Rating


@dataclass(frozen=True, slots=True)
class LoadsDue:
    """Trigger the load measurement of the engines."""


@dataclass(frozen=True, slots=True)
class LoadsReported:
    """Deliver delayed load reports to the nodes."""

    loads: tuple[EngineLoad, ...]


@dataclass(frozen=True, slots=True)
class CacheChanged:
    """Deliver a prefix cache event to the nodes."""

    event: CacheEvent


@dataclass(frozen=True, slots=True)
class RelayDue:
    """Trigger the relay of ratings between nodes."""


@dataclass(frozen=True, slots=True)
class ControlDue:
    """Trigger a tick of the fleet controller."""


@dataclass(frozen=True, slots=True)
class FaultChanged:
    """Signal that a fault begins or ends."""

    fault: Fault
    begins: bool


PlatformEvent = (
    LoadsDue
    | LoadsReported
    | CacheChanged
    | RelayDue
    | ControlDue
    | FaultChanged
)
Event = (
    RequestArrived | AnswerGenerated | StepRated | AnswerRated | PlatformEvent
)


class VirtualClock:
    """Order events by time; those at equal times stay in FIFO order."""

    def __init__(self) -> None:
        """Start at 0 s without events."""
        self.now_s = 0.0
        self._heap: list[tuple[float, int, Event]] = []
        self._order = itertools.count()

    def at(self, time_s: float, event: Event) -> None:
        """Schedule an event at a time in seconds."""
        heapq.heappush(self._heap, (time_s, next(self._order), event))

    def after(self, delay_s: float, event: Event) -> None:
        """Schedule an event after a delay in seconds."""
        self.at(self.now_s + delay_s, event)

    def next_event(self) -> Event:
        """Remove and return the next event and advance the clock to it."""
        time_s, _, event = heapq.heappop(self._heap)
        self.now_s = time_s
        return event
