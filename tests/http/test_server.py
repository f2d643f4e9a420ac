"""Test the HTTP server against raw sockets and the client."""

import contextlib
import io
import socket
import struct

import pytest

from bamboodeck.environment import Environment
from bamboodeck.http.client import HttpClient
from bamboodeck.http.messages import (
    Address,
    AddressError,
    ApiRequest,
    ApiResponse,
    Header,
    HttpCall,
    HttpFailed,
    HttpReply,
    parse_address,
)
from bamboodeck.http.responder import Responder
from bamboodeck.http.server import HttpServer
from bamboodeck.loop.program import Loop
from tests.http.looping import build_loop, run_until

ANY_PORT = Address('127.0.0.1', 0)


def echo(request: ApiRequest, responder: Responder) -> None:
    """Respond with the path and the body of the request."""
    responder.respond(ApiResponse(200, request.path.encode() + request.body))


def run_iterations(loop: Loop, count: int) -> None:
    """Run some iterations of a loop."""
    for _ in range(count):
        loop.tick(0)


@contextlib.contextmanager
def serve_echo():
    """Run a server on its own loop; yield loop, server and error stream."""
    errors = io.StringIO()
    loop = Loop(Environment(stderr=errors))
    loop._running = True
    server = HttpServer(loop, ANY_PORT, echo)
    run_iterations(loop, 5)
    yield loop, server, errors
    server.stop_accepting()


def exchange_raw(raw: bytes, **limits) -> bytes:
    """Send bytes and return all data received until the peer closes."""
    loop = build_loop()
    server = HttpServer(loop, ANY_PORT, echo, **limits)
    peer = socket.create_connection((server.address.host, server.address.port))
    peer.settimeout(0.001)
    received = bytearray()
    ended = []

    def receive() -> bool:
        try:
            chunk = peer.recv(65536)
        except TimeoutError:
            return False
        except ConnectionError:
            chunk = b''
        received.extend(chunk)
        if not chunk:
            ended.append(True)
        return bool(ended)

    peer.sendall(raw)
    run_until(loop, receive)
    peer.close()
    return bytes(received)


class TestHttpServer:
    """Serve complete and streamed responses and reject bad requests."""

    def test_whole_answer_through_client(self) -> None:
        """Serve two requests over one persistent connection."""
        loop = build_loop()
        server = HttpServer(loop, ANY_PORT, echo)
        client = HttpClient(loop)
        outcomes: list = []
        first = HttpCall(server.address, 'POST', '/say', b'one')
        client.send(first, outcomes.append)
        run_until(loop, lambda: len(outcomes) == 1)
        kept = set(server.http.connections)
        second = HttpCall(server.address, 'POST', '/say', b'two')
        client.send(second, outcomes.append)
        run_until(loop, lambda: len(outcomes) == 2)
        assert [each.body for each in outcomes] == [b'/sayone', b'/saytwo']
        assert set(server.http.connections) == kept
        assert len(kept) == 1

    def test_streamed_answer(self) -> None:
        """Stream chunks that are received as one body."""
        loop = build_loop()

        def stream(request: ApiRequest, responder: Responder) -> None:
            responder.start_stream(200, 'text/plain')
            responder.send(b'first ')
            responder.send(b'second')
            responder.end()

        server = HttpServer(loop, ANY_PORT, stream)
        outcomes: list = []
        HttpClient(loop).send(
            HttpCall(server.address, 'GET', '/'),
            outcomes.append,
        )
        run_until(loop, lambda: bool(outcomes))
        assert outcomes[0].body == b'first second'

    def test_aborted_stream_is_a_failure(self) -> None:
        """Report an aborted stream as a failed call."""
        loop = build_loop()

        def stream(request: ApiRequest, responder: Responder) -> None:
            responder.start_stream(200, 'text/plain')
            responder.send(b'half')
            responder.abort()

        server = HttpServer(loop, ANY_PORT, stream)
        outcomes: list = []
        HttpClient(loop).send(
            HttpCall(server.address, 'GET', '/'),
            outcomes.append,
        )
        run_until(loop, lambda: bool(outcomes))
        assert isinstance(outcomes[0], HttpFailed)
        assert outcomes[0].maybe_started

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        """Serve both requests of one packet, in order."""
        raw = (
            b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n'
            b'GET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
        )
        answer = exchange_raw(raw)
        assert answer.count(b'HTTP/1.1 200') == 2
        assert answer.index(b'/a') < answer.index(b'/b')

    @pytest.mark.parametrize(
        ('raw', 'status'),
        [
            (b'nonsense\r\n\r\n', 400),
            (b'GET / HTTP/1.1\r\n\r\n', 400),
            (b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n', 400),
            (b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\n', 413),
            (b'GET /' + b'a' * 9000 + b' HTTP/1.1\r\nHost: x\r\n\r\n', 414),
            (
                b'GET / HTTP/1.1\r\nHost: x\r\nA: '
                + b'b' * 20000
                + b'\r\n\r\n',
                431,
            ),
            (
                b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
                400,
            ),
        ],
    )
    def test_bad_requests_get_a_clear_answer(self, raw, status) -> None:
        """Respond with the matching status and close."""
        answer = exchange_raw(raw, max_body_bytes=50)
        assert answer.startswith(b'HTTP/1.1 %d ' % status)

    def test_failing_handler_is_answered_and_does_not_spin(self) -> None:
        """Respond with 500 and leave the loop idle afterwards."""
        loop = build_loop()

        def fail(request: ApiRequest, responder: Responder) -> None:
            raise ZeroDivisionError

        server = HttpServer(loop, ANY_PORT, fail)
        outcomes: list = []
        HttpClient(loop).send(
            HttpCall(server.address, 'GET', '/'),
            outcomes.append,
        )
        run_until(loop, lambda: bool(outcomes))
        assert outcomes[0].status == 500
        wakeups = loop.poller.wakeups
        for _ in range(20):
            loop.tick(0.001)
        assert loop.poller.wakeups <= wakeups + 2


class TestHttpClient:
    """Report whether a failed call may have started."""

    def test_refused_connection_did_not_start(self) -> None:
        """Report that no byte was sent."""
        loop = build_loop()
        free = socket.socket()
        free.bind(('127.0.0.1', 0))
        address = Address('127.0.0.1', free.getsockname()[1])
        outcomes: list = []
        HttpClient(loop).send(HttpCall(address, 'GET', '/'), outcomes.append)
        run_until(loop, lambda: bool(outcomes))
        free.close()
        assert isinstance(outcomes[0], HttpFailed)
        assert not outcomes[0].maybe_started

    def test_silence_ends_in_a_timeout(self) -> None:
        """Fail after the timeout without a response."""
        loop = build_loop()
        server = HttpServer(loop, ANY_PORT, lambda request, responder: None)
        outcomes: list = []
        HttpClient(loop).send(
            HttpCall(server.address, 'GET', '/', timeout_s=0.05),
            outcomes.append,
        )
        run_until(loop, lambda: bool(outcomes))
        assert outcomes[0].maybe_started

    def test_headers_reach_the_peer(self) -> None:
        """Send a header and read it back in lower case."""
        loop = build_loop()

        def show(request: ApiRequest, responder: Responder) -> None:
            responder.respond(ApiResponse(200, request.headers['x-a'].encode()))

        server = HttpServer(loop, ANY_PORT, show)
        outcomes: list = []
        HttpClient(loop).send(
            HttpCall(server.address, 'GET', '/', headers=(Header('X-A', 'b'),)),
            outcomes.append,
        )
        run_until(loop, lambda: bool(outcomes))
        assert isinstance(outcomes[0], HttpReply)
        assert outcomes[0].body == b'b'

    def test_answer_that_is_too_large_fails(self) -> None:
        """Fail a call whose response exceeds the buffer limit."""
        loop = build_loop()

        def flood(request: ApiRequest, responder: Responder) -> None:
            responder.start_stream(200, 'text/plain')
            for _ in range(6):
                responder.send(b'x' * 1_000_000)

        server = HttpServer(loop, ANY_PORT, flood)
        outcomes: list = []
        HttpClient(loop).send(
            HttpCall(server.address, 'GET', '/'),
            outcomes.append,
        )
        run_until(loop, lambda: bool(outcomes))
        assert 'larger than' in outcomes[0].reason


class TestAddress:
    """Accept only IPv4 addresses with a port."""

    @pytest.mark.parametrize('text', ['host:80', '1.2.3.4', '1.2.3.4:0', ''])
    def test_bad_addresses(self, text) -> None:
        """Reject text that isn't an IPv4 address with a port."""
        with pytest.raises(AddressError):
            parse_address(text)


class TestFailingHandler:
    """Respond exactly once when a handler raises."""

    def serve_failing_handler(
        self, respond_first: bool, abort_connection: bool
    ) -> str:
        """Serve a request with a failing handler; return the logged text."""
        errors = io.StringIO()
        loop = Loop(Environment(stderr=errors))
        loop._running = True

        def fail(request: ApiRequest, responder: Responder) -> None:
            if respond_first:
                responder.respond(ApiResponse(200, b'whole'))
            if abort_connection:
                responder._client.connection.abort()
            raise RuntimeError('of this test')

        server = HttpServer(loop, ANY_PORT, fail)
        address = (server.address.host, server.address.port)
        with socket.create_connection(address) as peer:
            peer.sendall(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
            run_until(loop, lambda: 'of this test' in errors.getvalue())
            for _ in range(20):
                loop.tick(0)
            peer.settimeout(0.01)
            received = bytearray()
            with contextlib.suppress(TimeoutError, ConnectionError):
                received.extend(peer.recv(65536))
        assert received.count(b'HTTP/1.1') == (
            respond_first or not abort_connection
        )
        return errors.getvalue()

    @pytest.mark.parametrize('respond_first', [False, True])
    @pytest.mark.parametrize('abort_connection', [False, True])
    def test_one_failure_is_logged(
        self, respond_first, abort_connection
    ) -> None:
        """Log one failure; circuits.web adds no second response."""
        logged = self.serve_failing_handler(respond_first, abort_connection)
        assert logged.count('handler_failed') == 1, logged

    def test_caller_comes_as_the_server_stops(self) -> None:
        """Log no error for a caller that connects just before the stop.

        The poller sees the connection in one loop iteration; its event and
        its task run in later ones.
        """
        for turns in range(6):
            with serve_echo() as (loop, server, errors):
                address = (server.address.host, server.address.port)
                with socket.create_connection(address):
                    run_iterations(loop, turns)
                    server.stop_accepting()
                    run_iterations(loop, 6)
            assert not errors.getvalue(), turns

    def test_caller_resets_before_it_is_accepted(self) -> None:
        """Log no error and keep no connection for a caller that reset it."""
        with serve_echo() as (loop, server, errors):
            address = (server.address.host, server.address.port)
            caller = socket.create_connection(address)
            reset_at_close = struct.pack('ii', 1, 0)
            caller.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                reset_at_close,
            )
            caller.close()
            run_iterations(loop, 10)
            assert not server.http.connections
        assert not errors.getvalue()
