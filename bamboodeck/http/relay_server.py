"""Serve HTTP exchanges unmodified: any method, raw target, streamed body.

Unlike `HttpServer`, which passes circuits.web requests to the chat and the
administration interface, this server leaves heads and bodies as received.

Load pattern: many callers send large or odd requests and stop before their end.
Connections report what they hold to an account, and wait while it refuses.
"""

import socket
from collections import deque
from collections.abc import Callable, Iterable
from functools import partial
from http import HTTPStatus

import msgspec

from bamboodeck.http.connection import (
    FIRST_RECEIVE_SIZE_BYTES,
    HIGH_WATER_BYTES,
    LOW_WATER_BYTES,
    RECEIVE_SIZE_BYTES,
    Connection,
)
from bamboodeck.http.listening import LISTEN_BACKLOG, open_listener
from bamboodeck.http.memory_use import (
    CONNECTION_BYTES,
    CloseReason,
    MemoryAccount,
    Reservation,
    UnboundedAccount,
)
from bamboodeck.http.messages import Address, Header
from bamboodeck.http.request_parser import (
    BadRequestError,
    ParsedRequest,
    ReceivedRequest,
    RequestParser,
)
from bamboodeck.loop.poller import Watch
from bamboodeck.loop.program import Loop

# Limits the length of a loop iteration while many callers connect.
MAX_ACCEPTS_PER_TURN = 64
# A caller whose connection was accepted just before the server stops sends its
# request within this time.
FIRST_REQUEST_S = 0.5
# A quarter of the shortest timeout that a configuration may sensibly set.
SWEEP_PERIOD_S = 0.25
# Bounds how many pipelined requests are parsed before the first is answered.
PARSED_AT_ONCE_BYTES = 4_096
# Reading pauses while so much has arrived behind a request in progress.
MAX_PIPELINED_BYTES = 16_384
# Callers that were refused for lack of memory return after a random time up to
# this one, so that a crowd doesn't return at once.
MAX_MEMORY_RETRY_S = 1.0
# What such a caller still sends is discarded for this long, as it may read its
# answer only after it has sent all.
DISCARD_S = 0.5

_BODILESS_STATUSES = frozenset((204, 304))


class CallerLimits(msgspec.Struct, frozen=True):
    """Limit the size and the duration of callers' requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class RelayExchange:
    """Respond to a request, at once or as a stream."""

    def __init__(self, client: '_Client', request: ParsedRequest) -> None:
        """Start with nothing sent."""
        self.on_aborted: Callable[[], None] | None = None
        self.close_after = not request.keep_alive
        self.started = False
        self.done = False
        self._client = client
        self._chunked = False
        self._ends_by_close = False
        self._omit_body = request.method == 'HEAD'
        self._supports_chunked = request.version == '1.1'

    @property
    def connection(self) -> Connection:
        """Return the caller's connection."""
        return self._client.connection

    @property
    def congested(self) -> bool:
        """Return whether the send buffer is above its high-water mark."""
        return self._client.connection.congested

    def respond(
        self,
        status: int,
        headers: Iterable[Header] = (),
        body: bytes = b'',
    ) -> None:
        """Send a complete response."""
        if self.done:
            return
        self.started = True
        length = Header('Content-Length', str(len(body)))
        if status in _BODILESS_STATUSES:
            self._write_head(status, headers)
        else:
            self._write_head(status, (*headers, length))
            if not self._omit_body:
                self._client.connection.write(body)
        self._finish()

    def start(self, status: int, headers: Iterable[Header]) -> None:
        """Send the head of a response whose body is streamed with `send`."""
        if self.done:
            return
        self.started = True
        self._chunked = self._supports_chunked
        self._ends_by_close = not self._chunked
        if self._chunked:
            headers = (*headers, Header('Transfer-Encoding', 'chunked'))
        else:
            self.close_after = True
        self._write_head(status, headers)

    def send(self, chunk: bytes) -> None:
        """Send the next bytes of the body."""
        if self.done or not chunk:
            return
        if self._chunked:
            chunk = b'%x\r\n%b\r\n' % (len(chunk), chunk)
        self._client.connection.write(chunk)

    def end(self) -> None:
        """Finish a streamed body."""
        if self.done:
            return
        if self._chunked:
            self._client.connection.write(b'0\r\n\r\n')
        self._finish()

    def abort(self) -> None:
        """Close the connection so that the response is seen as incomplete."""
        if self.done:
            return
        self.done = True
        self.on_aborted = None
        if self._ends_by_close:
            # A plain close would look like the end of the body.
            self._client.connection.reset()
        else:
            self._client.connection.abort()

    def on_drained(self, callback: Callable[[], None] | None) -> None:
        """Set the callback to run each time the send buffer has drained.

        A buffer that is larger has drained once as much as between the usual
        marks was sent, so that the producer never pauses for longer.
        """
        connection = self._client.connection
        connection.low_water_bytes = max(
            LOW_WATER_BYTES,
            connection.pending_bytes - HIGH_WATER_BYTES + LOW_WATER_BYTES,
        )
        connection.on_drained = callback

    def handle_closed(self) -> None:
        """Handle a connection that the caller has closed."""
        if self.done:
            return
        self.done = True
        if self.on_aborted is not None:
            self.on_aborted()

    def _write_head(self, status: int, headers: Iterable[Header]) -> None:
        if self._client.server.stopping:
            self.close_after = True
        lines = [f'HTTP/1.1 {status} {_reason_phrase(status)}']
        lines.extend(f'{header.name}: {header.text}' for header in headers)
        if self.close_after:
            lines.append('Connection: close')
        head = '\r\n'.join(lines)
        self._client.connection.write(f'{head}\r\n\r\n'.encode('latin-1'))

    def _finish(self) -> None:
        self.done = True
        self._client.connection.on_drained = None
        server = self._client.server
        # The head may have been sent without `Connection: close` before the
        # server began to stop.
        close = self.close_after or server.stopping
        server.finish_exchange(self._client, close=close)


class _Client:
    __slots__ = (
        'advancing',
        'closes_s',
        'connection',
        'exchange',
        'intake',
        'queue',
        'reservation',
        'running_bytes',
        'served',
        'server',
        'heard_s',
        'unparsed',
        'waiting',
    )

    def __init__(self, server: 'RelayServer', now_s: float) -> None:
        self.connection: Connection
        self.server = server
        self.exchange: RelayExchange | None = None
        self.intake = RequestParser(
            server.limits.max_body_bytes,
            server.limits.max_header_bytes,
        )
        self.queue: deque[ReceivedRequest] = deque()
        # Received data that is parsed once the queue is empty.
        self.unparsed = memoryview(b'')
        self.heard_s = now_s
        # Whether a request of the connection was handled.
        self.served = False
        self.running_bytes = 0
        # Whether it waits until the account allows it to hold more.
        self.waiting = False
        self.advancing = False
        # When a connection is closed whose caller was refused.
        self.closes_s: float | None = None
        self.reservation: Reservation = server.account.open(self)

    @property
    def is_idle(self) -> bool:
        busy = self.exchange is not None or self.queue or self.unparsed
        return not busy and not self.intake.in_request

    @property
    def receiving(self) -> bool:
        return self.exchange is None

    def may_hold(self, more_bytes: int = 0) -> bool:
        held_bytes = (
            CONNECTION_BYTES
            + self.intake.held_bytes
            + len(self.unparsed)
            + sum(request.held_bytes for request in self.queue)
            + self.running_bytes
        )
        needed_bytes = held_bytes + self.intake.growth_bytes + more_bytes
        return self.reservation.resize(held_bytes, needed_bytes)

    def release(self) -> None:
        """Release the memory, as nothing more is received."""
        self.queue.clear()
        self.unparsed = memoryview(b'')
        self.intake.release()
        self.reservation.close()

    def resume(self) -> None:
        self.server.resume(self)

    def evict(self, reason: CloseReason) -> None:
        self.server.evict(self, reason)


RelayHandler = Callable[[ParsedRequest, RelayExchange], None]


class RelayServer:
    """Listen on an address and pass complete requests to a handler."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        on_request: RelayHandler,
        *,
        max_connections: int,
        accepting: bool = True,
        listener: socket.socket | None = None,
        account: MemoryAccount | None = None,
    ) -> None:
        """Listen; port 0 takes a free port.

        Without `accepting`, connections queue until `start_accepting`. A
        `listener` is a socket that already listens on the address.
        """
        self.limits = CallerLimits()
        self.account = account or UnboundedAccount()
        self.stopping = False
        self.connections: dict[Connection, _Client] = {}
        self._loop = loop
        self._on_request = on_request
        self._max_connections = max_connections
        self._sock = listener or open_listener(address.host, address.port)
        self.address = Address(address.host, self._sock.getsockname()[1])
        self._watch: Watch | None = None
        self._listening = True
        if accepting:
            self.start_accepting()
        loop.scheduler.call_every(SWEEP_PERIOD_S, self._sweep)

    @property
    def active_count(self) -> int:
        """Return the number of requests in progress."""
        return sum(
            client.exchange is not None for client in self.connections.values()
        )

    def start_accepting(self) -> None:
        """Accept queued and new connections."""
        if self._watch is None and self._listening:
            self._watch = self._loop.poller.watch(
                self._sock.fileno(),
                self._accept,
                _ignore,
            )

    def stop_accepting(self) -> None:
        """Stop accepting; close each connection after its current response."""
        self.stopping = True
        if self._listening:
            # Callers in the backlog are connected already.
            self._accept(LISTEN_BACKLOG)
            self._listening = False
            if self._watch is not None:
                self._loop.poller.unwatch(self._watch)
            self._sock.close()
        for client in list(self.connections.values()):
            # Closing with unread bytes would reset a request on its way.
            client.connection.receive_pending()
            if client.is_idle and client.served:
                client.connection.close()

    def finish_exchange(self, client: _Client, *, close: bool) -> None:
        """Serve the next request of the connection, or close it."""
        client.exchange = None
        client.running_bytes = 0
        client.heard_s = self._loop.scheduler.now_s()
        if close:
            client.connection.close()
        if client.connection.closed:
            return
        client.waiting = not client.may_hold()
        self._advance(client)

    def resume(self, client: _Client) -> None:
        """Go on with a connection that waited for memory."""
        client.waiting = False
        client.heard_s = self._loop.scheduler.now_s()
        self._advance(client)

    def evict(self, client: _Client, reason: CloseReason) -> None:
        """Close a connection to free its memory."""
        if client.receiving and reason is not CloseReason.UNREAD:
            unavailable = HTTPStatus.SERVICE_UNAVAILABLE
            error = BadRequestError(unavailable, 'the host is short of memory')
            random = self._loop.environment.random.random()
            retry_s = MAX_MEMORY_RETRY_S * (1 + random) / 2
            self._write_refusal(
                client,
                error,
                f'Retry-After: {retry_s:.2f}\r\n',
            )
            client.release()
            client.connection.close_writing()
            client.connection.set_reading(reading=True)
            client.closes_s = self._loop.scheduler.now_s() + DISCARD_S
            return
        # A plain close could look like the end of an answer.
        client.connection.reset()

    def _accept(self, limit: int = MAX_ACCEPTS_PER_TURN) -> None:
        for _ in range(limit):
            try:
                sock, _ = self._sock.accept()
            except OSError:
                # No connection is queued, or the caller has reset it.
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._add_connection(sock)

    def _add_connection(self, sock: socket.socket) -> None:
        if len(self.connections) >= self._max_connections:
            sock.close()
            return
        client = _Client(self, self._loop.scheduler.now_s())
        client.connection = Connection(
            sock,
            self._loop.poller,
            self._on_chunk,
            self._on_connection_closed,
        )
        client.connection.receive_size_bytes = FIRST_RECEIVE_SIZE_BYTES
        client.connection.on_pending = client.reservation.resize_unread
        self.connections[client.connection] = client

    def _on_chunk(self, connection: Connection, chunk: bytes) -> None:
        client = self.connections[connection]
        if connection.closing:
            return
        if not client.intake.in_headers:
            client.heard_s = self._loop.scheduler.now_s()
        if client.unparsed:
            chunk = b''.join((client.unparsed, chunk))
        client.unparsed = memoryview(chunk)
        self._advance(client)

    def _advance(self, client: _Client) -> None:
        """Parse and serve what has arrived, as far as the account allows."""
        # An answer that is sent at once comes back to here.
        if client.advancing:
            return
        client.advancing = True
        try:
            self._serve_queued(client)
            while self._may_parse(client):
                self._parse_next(client)
                self._serve_queued(client)
        except BadRequestError as error:
            self._refuse(client, error)
        finally:
            client.advancing = False
            self._pause_or_read(client)

    def _pause_or_read(self, client: _Client) -> None:
        if client.connection.closing:
            return
        reading = len(client.unparsed) < MAX_PIPELINED_BYTES
        client.connection.set_reading(reading=reading and not client.waiting)
        # What may come was granted, so it can be received in large parts.
        client.connection.receive_size_bytes = (
            RECEIVE_SIZE_BYTES
            if client.intake.missing_bytes > FIRST_RECEIVE_SIZE_BYTES
            else FIRST_RECEIVE_SIZE_BYTES
        )

    def _may_parse(self, client: _Client) -> bool:
        if client.connection.closing or client.waiting:
            return False
        return bool(client.unparsed) and not client.queue

    def _parse_next(self, client: _Client) -> None:
        size_bytes = max(client.intake.missing_bytes, PARSED_AT_ONCE_BYTES)
        piece = client.unparsed[:size_bytes]
        client.unparsed = client.unparsed[size_bytes:]
        if not client.unparsed:
            # Releases the received bytes.
            client.unparsed = memoryview(b'')
        client.queue.extend(client.intake.receive(piece))
        client.waiting = not client.may_hold()

    def _serve_queued(self, client: _Client) -> None:
        while client.exchange is None and client.queue:
            if client.connection.closing or client.waiting:
                return
            received = client.queue[0]
            grows_bytes = received.decoded_bytes - received.held_bytes
            if not client.may_hold(grows_bytes):
                client.waiting = True
                return
            client.queue.popleft()
            client.running_bytes = received.decoded_bytes
            self._serve(client, received.decode())

    def _serve(self, client: _Client, request: ParsedRequest) -> None:
        exchange = RelayExchange(client, request)
        client.exchange = exchange
        client.served = True
        try:
            self._on_request(request, exchange)
        except Exception:
            # The caller gets a response; the loop logs the exception.
            self._fail(exchange)
            advance = partial(self._advance, client)
            self._loop.scheduler.call_after(0, advance)
            raise

    def _fail(self, exchange: RelayExchange) -> None:
        if exchange.started:
            exchange.abort()
        else:
            exchange.respond(HTTPStatus.INTERNAL_SERVER_ERROR)

    def _refuse(self, client: _Client, error: BadRequestError) -> None:
        if client.exchange is not None:
            client.connection.abort()
            return
        self._write_refusal(client, error)
        client.connection.close()

    def _write_refusal(
        self,
        client: _Client,
        error: BadRequestError,
        header_lines: str = '',
    ) -> None:
        body = str(error).encode()
        client.connection.write(
            b'HTTP/1.1 %d %b\r\nContent-Length: %d\r\nConnection: close\r\n'
            b'%b\r\n%b'
            % (
                error.status,
                _reason_phrase(error.status).encode(),
                len(body),
                header_lines.encode(),
                body,
            ),
        )

    def _sweep(self) -> None:
        now_s = self._loop.scheduler.now_s()
        for client in list(self.connections.values()):
            if client.closes_s is not None:
                if now_s > client.closes_s:
                    client.connection.abort()
            elif client.exchange is None and not client.waiting:
                self._check_silence(client, now_s - client.heard_s)

    def _check_silence(self, client: _Client, quiet_s: float) -> None:
        if client.intake.in_headers:
            if quiet_s > self.limits.header_timeout_s:
                timeout = HTTPStatus.REQUEST_TIMEOUT
                self._refuse(client, BadRequestError(timeout, 'too slow'))
        elif quiet_s > self._idle_limit_s(client):
            client.connection.close()

    def _idle_limit_s(self, client: _Client) -> float:
        if self._listening or not client.is_idle:
            return self.limits.idle_timeout_s
        return FIRST_REQUEST_S

    def _on_connection_closed(self, connection: Connection) -> None:
        client = self.connections.pop(connection)
        client.release()
        if client.exchange is not None:
            client.exchange.handle_closed()


def _reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'


def _ignore() -> None:
    """Ignore writability, which a listening socket never signals."""
