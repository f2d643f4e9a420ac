"""Stand in for an engine whose bytes a test scripts."""

import socket
from collections.abc import Callable

from bamboodeck.http.connection import Connection
from bamboodeck.http.request_parser import ParsedRequest, RequestParser
from bamboodeck.loop.program import Loop
from bamboodeck.platform import protocol

MAX_BODY_BYTES = 1_000_000
CHUNK = 16_384
# Bounds what an endless script sends, far above what a gateway may hold.
MAX_ENDLESS_BYTES = 64_000_000


class Call:
    """Hold a request to the engine, and its connection."""

    def __init__(
        self,
        loop: Loop,
        connection: Connection,
        parsed: ParsedRequest,
    ) -> None:
        """Start with nothing sent."""
        self.connection = connection
        self.parsed = parsed
        self.sent_bytes = 0
        self._loop = loop

    @property
    def request_id(self) -> str:
        """Return the id of the request."""
        return dict(self.parsed.headers)[protocol.REQUEST_ID.lower()]

    def write(self, content: bytes) -> None:
        """Send bytes as they are."""
        self.connection.write(content)

    def write_head(self, *lines: str, status: str = '200 OK') -> None:
        """Send a head that belongs to this request."""
        head = (
            f'HTTP/1.1 {status}',
            f'{protocol.REQUEST_ID}: {self.request_id}',
            f'{protocol.STAMP}: stamp-raw',
            *lines,
        )
        self.write('\r\n'.join((*head, '', '')).encode())

    def write_answer(self, body: bytes) -> None:
        """Send a complete answer to this request."""
        self.write_head(f'Content-Length: {len(body)}')
        self.write(body)

    def repeat(self, content: bytes, every_s: float = 0.0) -> None:
        """Send bytes again and again until the gateway closes."""
        if self.connection.closed or self.sent_bytes > MAX_ENDLESS_BYTES:
            return
        if not self.connection.congested:
            self.sent_bytes += len(content)
            self.connection.write(content)
        self._loop.scheduler.call_after(
            every_s,
            lambda: self.repeat(content, every_s),
        )


Script = Callable[[Call], None]


class RawEngine:
    """Listen for requests and run a script for each."""

    def __init__(self, loop: Loop, script: Script, port: int = 0) -> None:
        """Listen on a port, by default a free one."""
        self.calls: list[Call] = []
        self.script = script
        self._loop = loop
        self._parsers: dict[Connection, RequestParser] = {}
        self._sock = socket.create_server(('127.0.0.1', port))
        self._sock.setblocking(False)
        self.port = self._sock.getsockname()[1]
        self._watch = loop.poller.watch(
            self._sock.fileno(),
            self._accept,
            lambda: None,
        )

    @property
    def connections(self) -> list[Connection]:
        """Return the open connections."""
        return list(self._parsers)

    def close(self) -> None:
        """Stop listening, and close the connections."""
        self._loop.poller.unwatch(self._watch)
        self._sock.close()
        for connection in self.connections:
            connection.abort()

    def _accept(self) -> None:
        try:
            sock, _ = self._sock.accept()
        except BlockingIOError:
            return
        sock.setblocking(False)
        connection = Connection(
            sock,
            self._loop.poller,
            self._on_data,
            self._parsers.pop,
        )
        self._parsers[connection] = RequestParser(MAX_BODY_BYTES)

    def _on_data(self, connection: Connection, chunk: bytes) -> None:
        for parsed in self._parsers[connection].feed(chunk):
            call = Call(self._loop, connection, parsed)
            self.calls.append(call)
            self.script(call)
