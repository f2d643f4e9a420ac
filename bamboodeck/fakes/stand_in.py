"""HTTP server shared by the stand-ins, with fault control."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

import msgspec

from bamboodeck.fakes.faults import (
    Fault,
    FaultRegistry,
    FaultOrder,
    FaultOrderError,
    Freeze,
    HangUp,
    Refuse,
    Slow,
)
from bamboodeck.http.messages import Address, ApiRequest, ApiResponse
from bamboodeck.http.responder import Responder
from bamboodeck.http.server import HttpServer
from bamboodeck.logs import EventLog
from bamboodeck.loop.program import Loop

RouteHandler = Callable[[ApiRequest, Responder], None]
OrderHandler = Callable[[FaultOrder], None]

FREEZE_POLL_S = 0.02
STOP_POLL_S = 0.02
STOP_GRACE_S = 30.0
MAX_BODY_BYTES = 2_097_152
MS_PER_S = 1000
_CONTROL_PATH = '/control'
_NO_HEADERS: Mapping[str, str] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class FaultOrdered:
    """Log an accepted fault order."""

    stand_in: str
    order: str


@dataclass(frozen=True, slots=True)
class StandInStarted:
    """Log the start of a stand-in."""

    stand_in: str
    address: str


def respond_json(
    responder: Responder,
    status: int,
    payload: Any,
    headers: Mapping[str, str] = _NO_HEADERS,
) -> None:
    """Respond with a payload as JSON."""
    body = msgspec.json.encode(payload)
    responder.respond(ApiResponse(status, body, headers=headers))


def respond_error(
    responder: Responder,
    status: int,
    code: str,
    message: str,
    headers: Mapping[str, str] = _NO_HEADERS,
) -> None:
    """Respond with an error in the OpenAI format."""
    payload = {'error': {'message': message, 'type': code, 'code': code}}
    respond_json(responder, status, payload, headers)


class StandIn:
    """Route the requests of one stand-in and apply fault orders."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        name: str,
        kinds: tuple[type[Fault], ...],
        log: EventLog,
    ) -> None:
        """Listen on an address; accept `kinds` besides the common faults."""
        self.loop = loop
        self.log = log
        self.name = name
        self.calls: Counter[str] = Counter()
        self.faults = FaultRegistry(kinds, loop.scheduler.now_s)
        self.check_order: OrderHandler = _ignore_order
        self.on_order: OrderHandler = _ignore_order
        self.fallback: RouteHandler = _respond_missing
        self._routes: dict[tuple[str, str], RouteHandler] = {
            ('GET', _CONTROL_PATH): self._show_control,
            ('POST', _CONTROL_PATH): self._handle_order,
            ('GET', '/stats'): self._show_stats,
            ('GET', '/ready'): self._show_ready,
        }
        self._stats: Callable[[], dict[str, Any]] = dict
        self.server = HttpServer(
            loop,
            address,
            self._serve,
            max_body_bytes=MAX_BODY_BYTES,
        )
        log.emit(StandInStarted(name, str(self.server.address)))

    @property
    def address(self) -> Address:
        """Return the address that the stand-in listens on."""
        return self.server.address

    def add_route(self, method: str, path: str, route: RouteHandler) -> None:
        """Register the handler of a method and path."""
        self._routes[(method, path)] = route

    def add_stats(self, describe: Callable[[], dict[str, Any]]) -> None:
        """Set the function that adds statistics to `/stats`."""
        self._stats = describe

    def stop(self) -> None:
        """Finish the requests in progress and end the loop."""
        # Under a freeze the requests in progress could not finish.
        self.faults.clear_all()
        self.server.stop_accepting()
        self.loop.scheduler.call_after(STOP_GRACE_S, self.loop.finish)
        self._finish_when_idle()

    def _finish_when_idle(self) -> None:
        if self.server.active_count:
            self.loop.scheduler.call_after(STOP_POLL_S, self._finish_when_idle)
            return
        self.loop.finish()

    def _serve(self, request: ApiRequest, responder: Responder) -> None:
        if request.path == _CONTROL_PATH or self.faults.empty:
            self._dispatch(request, responder)
            return
        if responder.done:
            return
        if self.faults.current(Freeze):
            self.loop.scheduler.call_after(
                FREEZE_POLL_S,
                lambda: self._serve(request, responder),
            )
            return
        if self.faults.consume(HangUp):
            responder.abort()
            return
        refusal = self.faults.consume(Refuse)
        if refusal is not None:
            message = f'{self.name} refuses by order'
            respond_error(responder, refusal.status, 'unavailable', message)
            return
        self._serve_slowly(request, responder)

    def _serve_slowly(self, request: ApiRequest, responder: Responder) -> None:
        slow = self.faults.consume(Slow)
        if slow is None:
            self._dispatch(request, responder)
            return
        self.loop.scheduler.call_after(
            slow.delay_ms / MS_PER_S,
            lambda: self._dispatch(request, responder),
        )

    def _dispatch(self, request: ApiRequest, responder: Responder) -> None:
        route = self._routes.get((request.method, request.path))
        if route is None:
            self.calls['other'] += 1
            self.fallback(request, responder)
            return
        self.calls[f'{request.method} {request.path}'] += 1
        route(request, responder)

    def _show_control(self, request: ApiRequest, responder: Responder) -> None:
        respond_json(
            responder,
            200,
            {'faults': self.faults.describe(), 'used': dict(self.faults.used)},
        )

    def _handle_order(self, request: ApiRequest, responder: Responder) -> None:
        try:
            order = self.faults.parse(request.body)
            self.check_order(order)
        except FaultOrderError as error:
            respond_error(responder, 400, 'bad_fault_order', str(error))
            return
        self.log.emit(
            FaultOrdered(self.name, request.body.decode(errors='replace')),
        )
        self.faults.apply(order)
        self.on_order(order)
        self._show_control(request, responder)

    def _show_ready(self, request: ApiRequest, responder: Responder) -> None:
        respond_json(responder, 200, {'ready': True})

    def _show_stats(self, request: ApiRequest, responder: Responder) -> None:
        shown = {'calls': dict(self.calls), 'faults': dict(self.faults.used)}
        respond_json(responder, 200, {**shown, **self._stats()})


def _ignore_order(order: FaultOrder) -> None:
    """Accept any order without an action."""


def _respond_missing(request: ApiRequest, responder: Responder) -> None:
    message = f'no route for {request.method} {request.path}'
    respond_error(responder, 404, 'not_found', message)
