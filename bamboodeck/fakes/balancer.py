"""Stand-in for the platform's TCP load balancer for the entry hosts."""

import socket
from dataclasses import dataclass
from typing import Any

from bamboodeck.fakes.faults import (
    Duration,
    Fault,
    FaultOrder,
    FaultOrderError,
    InstantFault,
    Text,
)
from bamboodeck.fakes.listener import Listener
from bamboodeck.fakes.pipe import Pipe
from bamboodeck.fakes.stand_in import StandIn
from bamboodeck.http.client import HttpClient
from bamboodeck.http.messages import (
    Address,
    HttpCall,
    HttpOutcome,
    HttpReply,
)
from bamboodeck.logs import EventLog
from bamboodeck.loop.program import Loop

CHECK_PERIOD_S = 0.5
CHECK_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 3.0
_OK = 200


@dataclass(frozen=True)
class CutOff(Fault):
    """Abort the connections to an entry host and open no new ones."""

    target: Text
    for_s: Duration = 0


@dataclass(frozen=True)
class CutConnections(InstantFault):
    """Abort the current connections to an entry host."""

    target: Text


BALANCER_FAULTS: tuple[type[Fault], ...] = (CutOff, CutConnections)


@dataclass(frozen=True, slots=True)
class ReadinessChanged:
    """Log a change of the readiness of an entry host."""

    target: str
    ready: bool


class Balancer:
    """Connect callers to the ready entry hosts in round-robin order."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        control: Address,
        targets: tuple[Address, ...],
        log: EventLog,
    ) -> None:
        """Listen for callers on `address` and for orders on `control`."""
        self.stand_in = StandIn(loop, control, 'balancer', BALANCER_FAULTS, log)
        self.ready: dict[Address, bool] = dict.fromkeys(targets, False)
        self.pipes: dict[Pipe, Address] = {}
        self.refused_count = 0
        self._loop = loop
        self._scheduler = loop.scheduler
        self._log = log
        self._targets = targets
        self._next = 0
        self._client = HttpClient(loop)
        self._faults = self.stand_in.faults
        self._listener = Listener(loop.poller, address, self._accept)
        self.address = self._listener.address
        self.stand_in.check_order = self._check_order
        self.stand_in.on_order = self._handle_order
        self.stand_in.add_stats(self._describe)
        self._check_all()
        loop.scheduler.call_every(CHECK_PERIOD_S, self._check_all)

    def stop(self) -> None:
        """Stop accepting, close connections once idle and then stop."""
        self._listener.close()
        self._close_idle_pipes({})

    def _close_idle_pipes(self, bytes_before: dict[Pipe, int]) -> None:
        for pipe in tuple(self.pipes):
            if bytes_before.get(pipe) == pipe.transferred_bytes:
                pipe.abort()
        if not self.pipes:
            self.stand_in.stop()
            return
        transferred = {each: each.transferred_bytes for each in self.pipes}
        self._scheduler.call_after(
            IDLE_TIMEOUT_S,
            lambda: self._close_idle_pipes(transferred),
        )

    def _accept(self, caller: socket.socket) -> None:
        target = self._select_target()
        if target is None:
            self.refused_count += 1
            caller.close()
            return
        pipe = Pipe(self._loop, caller, target, self._remove)
        if not pipe.closed:
            self.pipes[pipe] = target

    def _select_target(self) -> Address | None:
        for _ in self._targets:
            self._next = (self._next + 1) % len(self._targets)
            target = self._targets[self._next]
            if self.ready[target] and not self._is_cut_off(target):
                return target
        return None

    def _is_cut_off(self, target: Address) -> bool:
        fault = self._faults.current(CutOff)
        return fault is not None and fault.target == str(target)

    def _check_all(self) -> None:
        for target in self._targets:
            self._check(target)

    def _check(self, target: Address) -> None:
        call = HttpCall(target, 'GET', '/ready', timeout_s=CHECK_TIMEOUT_S)
        self._client.send(
            call,
            lambda outcome: self._handle_readiness(target, outcome),
        )

    def _handle_readiness(self, target: Address, outcome: HttpOutcome) -> None:
        ready = isinstance(outcome, HttpReply) and outcome.status == _OK
        if ready == self.ready[target]:
            return
        self.ready[target] = ready
        self._log.emit(ReadinessChanged(str(target), ready))

    def _check_order(self, order: FaultOrder) -> None:
        if not isinstance(order, (CutOff, CutConnections)):
            return
        if order.target not in map(str, self._targets):
            raise FaultOrderError(f'"{order.target}" is no target')

    def _handle_order(self, order: FaultOrder) -> None:
        if isinstance(order, (CutOff, CutConnections)):
            self._abort_connections(order.target)

    def _abort_connections(self, cut: str) -> None:
        for pipe, target in tuple(self.pipes.items()):
            if str(target) == cut:
                pipe.abort()

    def _remove(self, pipe: Pipe) -> None:
        self.pipes.pop(pipe, None)

    def _describe(self) -> dict[str, Any]:
        return {
            'ready': {str(each): up for each, up in self.ready.items()},
            'connections': len(self.pipes),
            'refused': self.refused_count,
        }
