"""Stand-in for an engine of the platform, with fault injection."""

import enum
from collections import deque
from http import HTTPStatus
from types import MappingProxyType

import msgspec

from bamboodeck.http.messages import Address, Header
from bamboodeck.http.relay_server import RelayExchange, RelayServer
from bamboodeck.http.request_parser import ParsedRequest
from bamboodeck.loop.program import Loop
from bamboodeck.platform import protocol

DEFAULT_EVENTS = 5

_EXTRA_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra'


@enum.unique
class EngineFault(enum.Enum):
    """Select the fault that the engine injects into one request."""

    ERROR = 'error'
    SHED = 'shed'
    # The connection closes after two events or without a response.
    CUT = 'cut'
    HANG = 'hang'
    # The stream stops after two events and stays open.
    STALL = 'stall'
    WRONG_ID = 'wrong-id'
    NO_STAMP = 'no-stamp'
    # A second response follows the first one.
    EXTRA = 'extra'
    # The request runs and gets a 503 that doesn't say whether it ran.
    UNCONFIRMED = 'unconfirmed'


_FAILURES = MappingProxyType(
    {
        EngineFault.ERROR: HTTPStatus.INTERNAL_SERVER_ERROR,
        EngineFault.UNCONFIRMED: HTTPStatus.SERVICE_UNAVAILABLE,
    },
)


class EngineRun(msgspec.Struct):
    """Record a request that reached the engine, with its outcome."""

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    # On the clock of the engine's loop.
    began_s: float = 0.0
    outcome: str = ''


class EngineBehaviour(msgspec.Struct):
    """Configure the pace and the content of the responses.

    `confidences` are percentages by model, 100 where the model is missing.
    """

    step_s: float = 0.0
    events: int = DEFAULT_EVENTS
    confidences: dict[str, int] = {}
    # The engine crashes when it begins to answer a request with this part.
    deadly_part: str | None = None
    # Named in all answers: the requests a second that the engine takes.
    limit_per_s: float | None = None
    # Named when it rejects a request.
    retry_after_s: float | None = None
    # Says in all answers that it leaves.
    leaving: bool = False


class PlatformEngineFake:
    """Serve plain calls and streams, and record the requests."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        engine_id: str,
        behaviour: EngineBehaviour | None = None,
    ) -> None:
        """Listen on an address; port 0 selects a free port."""
        self.engine_id = engine_id
        self.behaviour = behaviour or EngineBehaviour()
        self.faults: deque[EngineFault] = deque()
        self.runs: list[EngineRun] = []
        # When requests arrived, rejected ones too, by the clock of its loop.
        self.arrivals_s: list[float] = []
        # Sent in all answers.
        self.extra_headers: tuple[Header, ...] = ()
        self._loop = loop
        self._server = RelayServer(
            loop,
            address,
            self._handle,
            max_connections=1000,
        )
        self.address = self._server.address

    def build_registry_entry(
        self, service: str, zone: str, **fields: object
    ) -> bytes:
        """Build the engine's registry entry, as JSON."""
        return msgspec.json.encode(
            {
                'service': service,
                'address': str(self.address),
                'zone': zone,
                'version': 'v1',
                'slots': 8,
                'state': 'ready',
                'cold_remaining_ms': 0,
                'sequence': 1,
                'born': 1,
                **fields,
            },
        )

    def stop(self) -> None:
        """Close every connection, as a crash does."""
        self._server.stop_accepting()
        for connection in list(self._server.connections):
            connection.abort()

    def _handle(self, parsed: ParsedRequest, responder: RelayExchange) -> None:
        headers = dict(parsed.headers)
        request_id = headers.get(protocol.REQUEST_ID.lower(), '')
        own_id = Header(protocol.REQUEST_ID, request_id)
        if headers.get(protocol.EXPECT_INSTANCE.lower()) != self.engine_id:
            responder.respond(HTTPStatus.MISDIRECTED_REQUEST, (own_id,))
            return
        self.arrivals_s.append(self._loop.scheduler.now_s())
        stated = self._list_stated_headers()
        fault = self.faults.popleft() if self.faults else None
        if fault is EngineFault.SHED:
            not_run = Header(protocol.NOT_EXECUTED, '1')
            busy = HTTPStatus.SERVICE_UNAVAILABLE
            if self.behaviour.retry_after_s is not None:
                pause = f'{self.behaviour.retry_after_s:g}'
                stated = (*stated, Header(protocol.RETRY_AFTER, pause))
            responder.respond(busy, (own_id, not_run, *stated))
            return
        run = EngineRun(
            request_id,
            parsed.method,
            parsed.target,
            headers,
            parsed.body,
            self._loop.scheduler.now_s(),
        )
        self.runs.append(run)
        responder.on_aborted = lambda: _record_outcome(run, 'cancelled')
        answer_id = 'other' if fault is EngineFault.WRONG_ID else request_id
        head = [Header(protocol.REQUEST_ID, answer_id), *stated]
        if fault is not EngineFault.NO_STAMP:
            head.append(Header(protocol.STAMP, f'stamp-{self.engine_id}'))
        if protocol.MODEL.lower() in headers:
            self._stream(run, responder, head, fault)
        else:
            self._answer(run, responder, head, fault)

    def _list_stated_headers(self) -> tuple[Header, ...]:
        stated = list(self.extra_headers)
        if self.behaviour.limit_per_s is not None:
            limit = f'{self.behaviour.limit_per_s:g}'
            stated.append(Header(protocol.SERVER_LIMIT, limit))
        if self.behaviour.leaving:
            stated.append(Header(protocol.SERVER_LEAVING, '1'))
        return tuple(stated)

    def _answer(
        self,
        run: EngineRun,
        responder: RelayExchange,
        head: list[Header],
        fault: EngineFault | None,
    ) -> None:
        if fault in {EngineFault.HANG, EngineFault.STALL}:
            return
        body = b'%b ran %b' % (self.engine_id.encode(), run.request_id.encode())

        def finish() -> None:
            if responder.done:
                return
            match fault:
                case EngineFault.CUT:
                    _record_outcome(run, 'cut')
                    responder.abort()
                case EngineFault.ERROR | EngineFault.UNCONFIRMED:
                    _record_outcome(run, 'error')
                    responder.respond(_FAILURES[fault], head, b'failed')
                case _:
                    _record_outcome(run, 'whole')
                    responder.respond(HTTPStatus.OK, head, body)

        self._loop.scheduler.call_after(self.behaviour.step_s, finish)

    def _stream(
        self,
        run: EngineRun,
        responder: RelayExchange,
        head: list[Header],
        fault: EngineFault | None,
    ) -> None:
        if fault is EngineFault.HANG:
            return
        failure = None if fault is None else _FAILURES.get(fault)
        if failure is not None:
            _record_outcome(run, 'error')
            responder.respond(failure, head, b'failed')
            return
        model = run.headers[protocol.MODEL.lower()]
        confidence = self.behaviour.confidences.get(model, 100)
        head.append(Header('Content-Type', 'text/event-stream'))
        head.append(Header(protocol.CONFIDENCE, str(confidence)))
        first = int(run.headers.get(protocol.LAST_EVENT_ID.lower(), '0')) + 1
        responder.start(HTTPStatus.OK, tuple(head))
        prompt = run.headers.get(protocol.PROMPT_PREFIX.lower(), '')
        listed = [part.partition(':')[0] for part in prompt.split(',')]
        if self.behaviour.deadly_part in listed:
            _record_outcome(run, 'crashed')
            self.stop()
            return
        self._send_events(run, responder, first, fault)

    def _send_events(
        self,
        run: EngineRun,
        responder: RelayExchange,
        number: int,
        fault: EngineFault | None,
    ) -> None:
        if responder.done:
            return
        if number > self.behaviour.events:
            _record_outcome(run, 'whole')
            responder.end()
            if fault is EngineFault.EXTRA:
                self._send_extra_response()
            return
        if number > 2 and fault is EngineFault.CUT:
            _record_outcome(run, 'cut')
            # A failing engine may stop in the middle of an event.
            responder.send(b'id: %d\nda' % number)
            responder.abort()
            return
        if number > 2 and fault is EngineFault.STALL:
            return
        responder.send(b'id: %d\ndata: piece %d\n\n' % (number, number))
        self._loop.scheduler.call_after(
            self.behaviour.step_s,
            lambda: self._send_events(run, responder, number + 1, fault),
        )

    def _send_extra_response(self) -> None:
        for connection, client in self._server.connections.items():
            if client.exchange is None:
                connection.write(_EXTRA_RESPONSE)


def _record_outcome(run: EngineRun, how: str) -> None:
    if not run.outcome:
        run.outcome = how
