"""Accept connections and parse their data into circuits.web requests."""

from collections import deque
from collections.abc import Iterator
from io import BytesIO
from socket import socket

from circuits import BaseComponent, handler
from circuits.net.events import connect
from circuits.net.sockets import TCPServer
from circuits.web.events import request as request_event
from circuits.web.headers import Headers
from circuits.web.http import HTTP
from circuits.web.wrappers import Request, Response

from bamboodeck.http.connection import Connection
from bamboodeck.http.request_parser import (
    MAX_PIPELINED_BYTES,
    BadRequestError,
    ParsedRequest,
    RequestParser,
)
from bamboodeck.http.responder import Responder
from bamboodeck.loop.program import Loop

HEAD_TIMEOUT_S = 10.0


class ClientConnection:
    """Store the parser and the queued requests of a connection."""

    __slots__ = ('connection', 'exchange', 'intake', 'queue', 'since_s')

    def __init__(self, max_body_bytes: int, now_s: float) -> None:
        """Start with no request."""
        self.connection: Connection
        self.exchange: Responder | None = None
        self.intake = RequestParser(max_body_bytes)
        self.queue: deque[ParsedRequest] = deque()
        self.since_s = now_s


class CallbackServer(TCPServer):
    """Accept connections through circuits and read them by callbacks."""

    def __init__(self, bind: tuple[str, int], http: 'BoundedHttp') -> None:
        """Listen on an address on behalf of the HTTP component."""
        super().__init__(bind, channel='web')
        self._http = http

    def stop_accepting(self) -> None:
        """Close the listening socket but keep open connections."""
        if self._sock is None:
            return
        self._poller.discard(self._sock)
        self._sock.close()
        self._sock = None

    @handler('write', override=True)
    def write(self, sock: socket, chunk: bytes) -> None:
        """Write through the connection that owns the socket."""
        connection = self._http.find_connection(sock)
        if connection is not None:
            connection.write(chunk)

    @handler('close', override=True)
    def close(self, sock: socket | None = None) -> None:
        """Close the connection that owns the socket, or stop accepting."""
        if sock is None:
            self.stop_accepting()
            return
        connection = self._http.find_connection(sock)
        if connection is not None:
            connection.close()

    def _accept(self) -> Iterator[None]:
        # The socket may be closed between its event and this task.
        if self._sock is not None:
            yield from super()._accept()

    def _on_accept_done(self, sock: socket, fire_connect_event=True) -> None:
        try:
            peer = sock.getpeername()
        except OSError:
            # The caller reset the connection before it was accepted.
            sock.close()
            return
        sock.setblocking(False)
        self._http.add_connection(sock)
        self.fire(connect(sock, *peer))


class BoundedHttp(HTTP):
    """Read requests with a size-limited parser instead of circuits.web's."""

    def __init__(self, server: BaseComponent, loop: Loop) -> None:
        """Start with no connections."""
        super().__init__(server, channel='web')
        self.stopping = False
        self.connections: dict[Connection, ClientConnection] = {}
        self._loop = loop

    def add_connection(self, sock: socket) -> None:
        """Serve an accepted socket."""
        if len(self.connections) >= self._server.max_connections:
            sock.close()
            return
        client = ClientConnection(
            self._server.max_body_bytes,
            self._loop.scheduler.now_s(),
        )
        client.connection = Connection(
            sock,
            self._loop.poller,
            self._on_chunk,
            self._on_connection_closed,
        )
        self.connections[client.connection] = client

    def find_connection(self, sock: socket) -> Connection | None:
        """Return the open connection of a socket, if any."""
        for connection in self.connections:
            if connection.sock is sock:
                return connection
        return None

    def finish_exchange(self, client: ClientConnection, *, close: bool) -> None:
        """Serve the next request of the connection, or close it."""
        client.exchange = None
        client.since_s = self._loop.scheduler.now_s()
        if close:
            client.connection.close()
            return
        client.connection.set_reading(reading=True)
        self._serve_next(client)

    # circuits.web would send a second response here, possibly on a closed
    # socket.
    @handler('request_failure', override=True)
    def _on_request_failure(self, erequest, error) -> None:
        """Leave the response to the responder."""

    @handler('exception', override=True)
    def _on_exception(self, *args, **kwargs) -> None:
        """Leave the response to the responder."""

    def sweep(self) -> None:
        """Close connections whose request is incomplete after the timeout."""
        oldest_s = self._loop.scheduler.now_s() - HEAD_TIMEOUT_S
        for client in list(self.connections.values()):
            if client.exchange is not None or client.since_s > oldest_s:
                continue
            if client.intake.in_request or self.stopping:
                client.connection.abort()

    def close_idle(self) -> None:
        """Close connections without an active request."""
        for client in list(self.connections.values()):
            if client.exchange is None and not client.queue:
                client.connection.close()

    def _on_chunk(self, connection: Connection, chunk: bytes) -> None:
        client = self.connections[connection]
        if not client.intake.in_request:
            client.since_s = self._loop.scheduler.now_s()
        try:
            client.queue.extend(client.intake.feed(chunk))
        except BadRequestError as error:
            self._refuse(client, error)
            return
        queued_bytes = sum(len(each.body) for each in client.queue)
        if client.exchange is not None and queued_bytes > MAX_PIPELINED_BYTES:
            connection.set_reading(reading=False)
        self._serve_next(client)

    def _serve_next(self, client: ClientConnection) -> None:
        if client.exchange is not None or not client.queue:
            return
        parsed = client.queue.popleft()
        request = Request(
            client.connection.sock,
            parsed.method,
            'http',
            parsed.path,
            (1, 1) if parsed.version == '1.1' else (1, 0),
            parsed.query,
            headers=_build_headers(parsed),
            server=self._server,
        )
        request.body = BytesIO(parsed.body)
        response = Response(request)
        response.protocol = f'HTTP/{parsed.version}'
        response.close = not parsed.keep_alive
        client.exchange = Responder(self, client, response)
        request.parsed = parsed
        request.responder = client.exchange
        self.fire(request_event(request, response))

    def _refuse(self, client: ClientConnection, error: BadRequestError) -> None:
        if client.exchange is None:
            body = self._server.render_error(error)
            client.connection.write(
                b'HTTP/1.1 %d Refused\r\nContent-Type: application/json\r\n'
                b'Content-Length: %d\r\nConnection: close\r\n\r\n%b'
                % (error.status, len(body), body),
            )
            client.connection.close()
            return
        client.connection.abort()

    @handler('response_failure', override=True)
    def _on_response_failure(self, response_event, error) -> None:
        """Leave the response to the responder."""

    def _on_connection_closed(self, connection: Connection) -> None:
        client = self.connections.pop(connection)
        client.queue.clear()
        if client.exchange is not None:
            client.exchange.handle_closed()


def _build_headers(parsed: ParsedRequest) -> Headers:
    return Headers(list(parsed.headers))
