"""Stand-in for the network between zones: TCP relays with faults."""

import enum
import socket
from dataclasses import dataclass, replace
from typing import Any

from bamboodeck.fakes.faults import (
    ClearFaults,
    Duration,
    Fault,
    FaultOrder,
    FaultOrderError,
    InstantFault,
    Text,
)
from bamboodeck.fakes.listener import Listener
from bamboodeck.fakes.pipe import Pipe
from bamboodeck.fakes.stand_in import MS_PER_S, StandIn
from bamboodeck.http.messages import Address
from bamboodeck.logs import EventLog
from bamboodeck.loop.program import Loop


@enum.unique
class LinkState(enum.Enum):
    """Select how a link treats its connections."""

    UP = 'up'
    CUT = 'cut'
    HELD = 'held'
    # Bytes to the target pass; bytes from the target are held.
    ANSWERS_HELD = 'answers-held'


@dataclass(frozen=True)
class SetLink(InstantFault):
    """Set the state and the delay of all routes of a name.

    CUT closes connections. HELD keeps them open and passes no bytes,
    ANSWERS_HELD passes none from the target.
    """

    name: Text
    state: LinkState = LinkState.UP
    delay_ms: Duration = 0


LINK_FAULTS: tuple[type[Fault], ...] = (SetLink,)


@dataclass(frozen=True, slots=True)
class Route:
    """Define a relay to a target; several routes may share a name."""

    name: str
    listen: Address
    target: Address


class Relay:
    """Run one route."""

    def __init__(self, loop: Loop, route: Route) -> None:
        """Listen for the route's callers."""
        self.route = route
        self.order = SetLink(route.name)
        self.pipes: set[Pipe] = set()
        self._loop = loop
        self.listener = Listener(loop.poller, route.listen, self._accept)

    def apply(self, order: SetLink) -> None:
        """Apply a state and a delay to the route."""
        self.order = order
        for pipe in tuple(self.pipes):
            if order.state is LinkState.CUT:
                pipe.abort()
                continue
            pipe.delay_s = order.delay_ms / MS_PER_S
            _hold(pipe, order.state)

    def stop(self) -> None:
        """Stop listening and close every connection."""
        self.listener.close()
        for pipe in tuple(self.pipes):
            pipe.abort()

    def _accept(self, caller: socket.socket) -> None:
        if self.order.state is LinkState.CUT:
            caller.close()
            return
        pipe = Pipe(
            self._loop,
            caller,
            self.route.target,
            self.pipes.discard,
            self.order.delay_ms / MS_PER_S,
        )
        if not pipe.closed:
            self.pipes.add(pipe)
            _hold(pipe, self.order.state)


def _hold(pipe: Pipe, state: LinkState) -> None:
    pipe.hold(
        held=state is LinkState.HELD,
        answers_held=state is LinkState.ANSWERS_HELD,
    )


class Links:
    """Run the relays of several named links."""

    def __init__(
        self,
        loop: Loop,
        control: Address,
        routes: tuple[Route, ...],
        log: EventLog,
    ) -> None:
        """Listen for each route, and for orders on the control address."""
        self.stand_in = StandIn(loop, control, 'links', LINK_FAULTS, log)
        self.relays = [Relay(loop, route) for route in routes]
        self.stand_in.check_order = self._check_order
        self.stand_in.on_order = self._handle_order
        self.stand_in.add_stats(self._describe)

    def stop(self) -> None:
        """Close every connection and end the loop."""
        for relay in self.relays:
            relay.stop()
        self.stand_in.stop()

    def _check_order(self, order: FaultOrder) -> None:
        if not isinstance(order, SetLink):
            return
        if order.name not in {relay.route.name for relay in self.relays}:
            raise FaultOrderError(f'no link is named "{order.name}"')

    def _handle_order(self, order: FaultOrder) -> None:
        for relay in self.relays:
            match order:
                case ClearFaults():
                    relay.apply(SetLink(relay.route.name))
                case SetLink(name=name) if name == relay.route.name:
                    relay.apply(order)

    def _describe(self) -> dict[str, Any]:
        return {
            'links': [
                replace(relay.order, name=relay.route.name)
                for relay in self.relays
            ],
            'connections': sum(len(relay.pipes) for relay in self.relays),
        }
