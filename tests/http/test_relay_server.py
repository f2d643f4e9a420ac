"""Test the server of opaque exchanges over real sockets."""

import socket
from collections.abc import Callable, Iterator

import pytest

from bamboodeck.http.intake import ParsedRequest
from bamboodeck.http.messages import Header
from bamboodeck.http.relay_server import (
    CallerLimits,
    RelayExchange,
    RelayServer,
)
from bamboodeck.loop.program import Loop
from tests.http.looping import build_loop, turn_until
from tests.ports import find_free_address

REQUEST = b'POST /a?b=%20 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi'


class Desk:
    """Run a server whose requests a test answers itself."""

    def __init__(self, *, accepting: bool = True) -> None:
        """Listen."""
        self.loop: Loop = build_loop()
        self.exchanges: list[tuple[ParsedRequest, RelayExchange]] = []
        self.server = RelayServer(
            self.loop,
            find_free_address(),
            lambda parsed, exchange: self.exchanges.append((parsed, exchange)),
            max_connections=10,
            accepting=accepting,
        )

    def connect(self) -> socket.socket:
        """Open a connection."""
        address = self.server.address
        caller = socket.create_connection((address.host, address.port))
        caller.setblocking(False)
        return caller

    def until(self, happened: Callable[[], bool]) -> None:
        """Turn until a condition holds."""
        turn_until(self.loop, happened)

    def take(self) -> tuple[ParsedRequest, RelayExchange]:
        """Wait for a request."""
        self.until(lambda: bool(self.exchanges))
        return self.exchanges.pop(0)

    def read(self, caller: socket.socket, end: bytes) -> bytes:
        """Read until some bytes have come."""
        read = bytearray()

        def has_end() -> bool:
            try:
                read.extend(caller.recv(65_536))
            except BlockingIOError:
                return False
            return read.endswith(end)

        self.until(has_end)
        return bytes(read)

    def is_closed(self, caller: socket.socket) -> bool:
        """Tell whether the server has closed a connection."""
        try:
            return caller.recv(65_536) == b''
        except BlockingIOError:
            return False
        except ConnectionResetError:
            return True


@pytest.fixture
def desk() -> Iterator[Desk]:
    """Run a server."""
    desk = Desk()
    yield desk
    desk.server.stop_accepting()


class TestExchanges:
    """Leave requests and answers as they are."""

    def test_whole(self, desk: Desk) -> None:
        """Keep the raw target, and answer on a kept connection."""
        caller = desk.connect()
        for _ in range(2):
            caller.sendall(REQUEST)
            parsed, exchange = desk.take()
            assert (parsed.target, parsed.body) == ('/a?b=%20', b'hi')
            exchange.respond(201, (Header('X-Own', '1'),), b'done')
            read = desk.read(caller, b'done')
            assert read.startswith(b'HTTP/1.1 201 Created\r\nX-Own: 1\r\n')
            assert b'Content-Length: 4' in read

    def test_chunks(self, desk: Desk) -> None:
        """Push a body piece by piece."""
        caller = desk.connect()
        caller.sendall(REQUEST)
        _, exchange = desk.take()
        exchange.start(200, ())
        exchange.send(b'one')
        exchange.send(b'two')
        exchange.end()
        read = desk.read(caller, b'0\r\n\r\n')
        assert b'3\r\none\r\n3\r\ntwo\r\n' in read

    def test_broken_off(self, desk: Desk) -> None:
        """Close a connection whose answer isn't whole, without its end."""
        caller = desk.connect()
        caller.sendall(REQUEST)
        _, exchange = desk.take()
        exchange.start(200, ())
        exchange.send(b'one')
        desk.read(caller, b'one\r\n')
        exchange.abort()
        desk.until(lambda: desk.is_closed(caller))

    def test_caller_gone(self, desk: Desk) -> None:
        """Tell when a caller has left."""
        caller = desk.connect()
        caller.sendall(REQUEST)
        _, exchange = desk.take()
        gone = []
        exchange.on_aborted = lambda: gone.append(True)
        caller.close()
        desk.until(lambda: bool(gone))
        assert exchange.done


class TestLimits:
    """Bound what callers send, and how slowly."""

    @pytest.mark.parametrize(
        ('raw', 'status'),
        [
            (b'GET / HTTP/1.1\r\nHost: x\r\nA: ' + b'y' * 300, b'431'),
            (
                b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\n',
                b'413',
            ),
            (
                b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n',
                b'400',
            ),
            (b'GET / HTTP/1.1\r\n\r\n', b'400'),
            (b'nonsense\r\n\r\n', b'400'),
        ],
    )
    def test_refused(self, desk: Desk, raw: bytes, status: bytes) -> None:
        """Answer with the fitting status and close."""
        desk.server.limits = CallerLimits(200, 50)
        caller = desk.connect()
        caller.sendall(raw + b'\r\n\r\n' * (status == b'431'))
        read = bytearray()

        def closed() -> bool:
            try:
                part = caller.recv(65_536)
            except BlockingIOError:
                return False
            except ConnectionResetError:
                return True
            read.extend(part)
            return not part

        desk.until(closed)
        assert read[9:12] == status
        assert not desk.exchanges

    def test_slow_head(self, desk: Desk) -> None:
        """Answer 408 to a head that doesn't come."""
        desk.server.limits = CallerLimits(header_timeout_s=0.1)
        caller = desk.connect()
        caller.sendall(b'GET / HT')
        assert desk.read(caller, b'too slow').startswith(b'HTTP/1.1 408')

    def test_idle(self, desk: Desk) -> None:
        """Close a connection that is idle for too long."""
        desk.server.limits = CallerLimits(idle_timeout_s=0.1)
        caller = desk.connect()
        desk.until(lambda: bool(desk.server.connections))
        desk.until(lambda: desk.is_closed(caller))


class TestStopping:
    """Finish what runs, and keep no connection."""

    def test_answer_that_began_before(self, desk: Desk) -> None:
        """Close a connection after an answer whose head kept it open."""
        caller = desk.connect()
        caller.sendall(REQUEST)
        _, exchange = desk.take()
        exchange.start(200, ())
        desk.server.stop_accepting()
        exchange.send(b'rest')
        exchange.end()
        desk.read(caller, b'0\r\n\r\n')
        desk.until(lambda: desk.is_closed(caller))

    def test_idle_connection(self, desk: Desk) -> None:
        """Close idle connections at once."""
        caller = desk.connect()
        desk.until(lambda: bool(desk.server.connections))
        desk.server.stop_accepting()
        desk.until(lambda: desk.is_closed(caller))

    def test_says_so(self, desk: Desk) -> None:
        """Announce the end of the connection in later answers."""
        caller = desk.connect()
        caller.sendall(REQUEST)
        _, exchange = desk.take()
        desk.server.stopping = True
        exchange.respond(200, (), b'bye')
        assert b'Connection: close' in desk.read(caller, b'bye')


class TestAccepting:
    """Let connections wait until the server is ready."""

    def test_waiting(self) -> None:
        """Answer who came before."""
        desk = Desk(accepting=False)
        caller = desk.connect()
        caller.sendall(REQUEST)
        for _ in range(20):
            desk.loop.tick(0.001)
        assert not desk.server.connections
        desk.server.start_accepting()
        _, exchange = desk.take()
        exchange.respond(200, (), b'hello')
        desk.read(caller, b'hello')
        desk.server.stop_accepting()
