"""Fault injection: fault orders and the registry of active faults."""

from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass, fields
from typing import Annotated, Any, TypeVar

import msgspec

from bamboodeck.errors import InputError
from bamboodeck.logs import event_name

Count = Annotated[int, msgspec.Meta(ge=0)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1)]
Duration = Annotated[float, msgspec.Meta(ge=0)]
Ratio = Annotated[float, msgspec.Meta(ge=0, le=1)]
ErrorStatus = Annotated[int, msgspec.Meta(ge=400, le=599)]
Text = Annotated[str, msgspec.Meta(min_length=1)]

CLEAR_ALL = 'all'
_CLEAR = 'clear'
_FAULT = 'fault'


class FaultOrderError(InputError):
    """Report an invalid fault order."""


@dataclass(frozen=True)
class Fault:
    """Define a fault that stays active until it is cleared.

    A fault with `times` ends after that number of uses, one with `for_s`
    after that number of seconds; 0 means no limit.
    """


@dataclass(frozen=True)
class InstantFault(Fault):
    """Define a fault that takes effect once, when ordered."""


@dataclass(frozen=True)
class Freeze(Fault):
    """Suspend every request and every stream."""

    for_s: Duration = 0


@dataclass(frozen=True)
class Refuse(Fault):
    """Respond with an error status and do nothing."""

    status: ErrorStatus = 503
    times: Count = 0
    for_s: Duration = 0


@dataclass(frozen=True)
class HangUp(Fault):
    """Close each connection without a response and do nothing."""

    times: Count = 0
    for_s: Duration = 0


@dataclass(frozen=True)
class Slow(Fault):
    """Delay the start of each request."""

    delay_ms: Duration
    times: Count = 0
    for_s: Duration = 0


@dataclass(frozen=True)
class ClearFaults:
    """Clear the fault of a name, or all faults."""

    name: str


FaultOrder = Fault | ClearFaults
COMMON_FAULTS: tuple[type[Fault], ...] = (Freeze, Refuse, HangUp, Slow)
FaultT = TypeVar('FaultT', bound=Fault)


@dataclass(slots=True)
class _InForce:
    """Track one active fault."""

    fault: Any
    uses_left: int
    ends_s: float


class FaultRegistry:
    """Parse fault orders and track the active faults."""

    def __init__(
        self,
        kinds: tuple[type[Fault], ...],
        clock_s: Callable[[], float],
    ) -> None:
        """Start with no fault; accept `kinds` besides the common faults."""
        self.used: Counter[str] = Counter()
        self._kinds = {
            event_name(kind): kind for kind in (*COMMON_FAULTS, *kinds)
        }
        self._clock_s = clock_s
        self._in_force: dict[type[Fault], _InForce] = {}

    @property
    def empty(self) -> bool:
        """Return whether no fault is active."""
        return not self._in_force

    def parse(self, body: bytes) -> FaultOrder:
        """Parse an order; raise `FaultOrderError` if it is invalid."""
        try:
            order = msgspec.json.decode(body, type=dict[str, Any])
        except msgspec.DecodeError as error:
            raise FaultOrderError(f'order is not a JSON object: {error}')
        if _CLEAR in order:
            return self._parse_clear(order)
        return self._parse_fault(order)

    def apply(self, order: FaultOrder) -> None:
        """Activate or clear faults."""
        match order:
            case ClearFaults(name=name) if name == CLEAR_ALL:
                self.clear_all()
            case ClearFaults(name=name):
                self._in_force.pop(self._kinds[name], None)
            case InstantFault():
                return
            case Fault():
                self._activate(order)

    def current(self, kind: type[FaultT]) -> FaultT | None:
        """Return the active fault of a kind, if any."""
        kept = self._in_force.get(kind)
        if kept is None:
            return None
        if kept.ends_s and self._clock_s() >= kept.ends_s:
            self._in_force.pop(kind)
            return None
        return kept.fault

    def consume(self, kind: type[FaultT]) -> FaultT | None:
        """Return the active fault of a kind, if any, and count one use."""
        fault = self.current(kind)
        if fault is None:
            return None
        self.used[event_name(kind)] += 1
        kept = self._in_force[kind]
        if kept.uses_left:
            kept.uses_left -= 1
            if not kept.uses_left:
                self._in_force.pop(kind)
        return fault

    def clear_all(self) -> None:
        """Clear every fault."""
        self._in_force.clear()

    def describe(self) -> list[dict[str, Any]]:
        """List the active faults in the format of orders."""
        listed = []
        for kind in tuple(self._in_force):
            fault = self.current(kind)
            if fault is None:
                continue
            listed.append({_FAULT: event_name(kind), **asdict(fault)})
        return listed

    def _parse_fault(self, order: dict[str, Any]) -> Fault:
        name = order.pop(_FAULT, None)
        kind = self._kinds.get(name) if isinstance(name, str) else None
        if kind is None:
            known = ', '.join(sorted(self._kinds))
            raise FaultOrderError(f'unknown fault "{name}"; known: {known}')
        allowed = {spec.name for spec in fields(kind)}
        extra = ', '.join(sorted(order.keys() - allowed))
        if extra:
            raise FaultOrderError(f'fault "{name}" has no field "{extra}"')
        try:
            return msgspec.convert(order, kind)
        except msgspec.ValidationError as error:
            raise FaultOrderError(f'fault "{name}": {error}')

    def _activate(self, fault: Fault) -> None:
        for_s = getattr(fault, 'for_s', 0)
        self._in_force[type(fault)] = _InForce(
            fault,
            getattr(fault, 'times', 0),
            self._clock_s() + for_s if for_s else 0,
        )

    def _parse_clear(self, order: dict[str, Any]) -> ClearFaults:
        name = order[_CLEAR]
        if len(order) > 1:
            raise FaultOrderError('a clearing takes no other field')
        known = isinstance(name, str) and (
            name == CLEAR_ALL or name in self._kinds
        )
        if not known:
            raise FaultOrderError(f'unknown fault "{name}"')
        return ClearFaults(name)
