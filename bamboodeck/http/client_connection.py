"""Run HTTP exchanges with a peer over one connection."""

import errno
import fcntl
import socket
import termios
from collections import deque
from typing import Protocol

from bamboodeck.http.messages import (
    Address,
    FailureKind,
    Header,
    HttpCall,
    HttpFailed,
    StreamSink,
)
from bamboodeck.http.reply_collector import ReplyTooLargeError
from bamboodeck.http.reply_parser import ReplyParser, ReplySyntaxError
from bamboodeck.loop.poller import Watch
from bamboodeck.loop.program import Loop
from bamboodeck.loop.scheduler import ScheduledCall

RECEIVE_SIZE_BYTES = 65_536
# A body up to this size is copied to be sent with its head in one packet.
MAX_JOINED_BYTES = 16_384

# A host that lost power or is partitioned doesn't respond at all. These options
# detect it in about 2 s, half of what callers wait between two events.
TCP_USER_TIMEOUT_MS = 1500
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_PERIOD_S = 1
KEEP_ALIVE_PROBES = 2


class ConnectionPool(Protocol):
    """Pool connections between exchanges."""

    loop: Loop

    def release(self, connection: 'ClientConnection') -> None:
        """Return a connection to the pool."""

    def discard(self, connection: 'ClientConnection') -> None:
        """Remove a closed connection from the pool."""


class ClientConnection:
    """Run one exchange at a time over a connection to a peer."""

    def __init__(self, pool: ConnectionPool, address: Address) -> None:
        """Start to connect."""
        self.address = address
        self.idle = False
        self._pool = pool
        self._loop = pool.loop
        self._sink: StreamSink | None = None
        self._parser = ReplyParser()
        self._echo: Header | None = None
        # Large bodies are sent from where they are held, without a copy.
        self._outgoing: deque[memoryview] = deque()
        self._sent_any = False
        self._timer: ScheduledCall | None = None
        self._timeout_s = 0.0
        self._paused = False
        self._closed = False
        self._last_activity_s = 0.0
        self.idle_since_s = 0.0
        self.calls = 0
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setblocking(False)
        _configure_socket(self._sock)
        self._connecting = True
        # Whether it is opened for the pool, without a call.
        self._opening = False
        status = self._sock.connect_ex((address.host, address.port))
        self._broken = status not in {0, errno.EINPROGRESS}
        self._watch: Watch = self._loop.poller.watch(
            self._sock.fileno(),
            self._receive,
            self._on_writable,
        )

    def is_quiet(self) -> bool:
        """Tell whether an idle connection is open and has received nothing.

        Bytes that arrive between two calls belong to neither, such as a late
        second copy of the previous answer.
        """
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def start(self, call: HttpCall, sink: StreamSink) -> None:
        """Send a call; the sink receives the response."""
        self.idle = False
        self._sink = sink
        # A second copy of the previous response may arrive late.
        previous = self._echo
        self._echo = call.echo
        self._parser = ReplyParser(None if previous == call.echo else previous)
        self._outgoing = deque(map(memoryview, build_request_parts(call)))
        self._sent_any = False
        self.calls += 1
        self._timeout_s = call.timeout_s
        self._last_activity_s = self._loop.scheduler.now_s()
        self._timer = self._loop.scheduler.call_after(
            call.timeout_s,
            self._check_timeout,
        )
        if self._connecting and call.connect_timeout_s is not None:
            self._loop.scheduler.call_after(
                call.connect_timeout_s,
                self._check_connect_timeout,
            )
        if self._broken:
            self._loop.scheduler.call_after(0, self._fail_to_connect)
            return
        if not self._connecting:
            self._send()
        self._update_interest()

    def open(self, timeout_s: float, sink: StreamSink) -> None:
        """Connect without a call; the sink is told the end or the failure."""
        self._sink = sink
        self._opening = True
        self._loop.scheduler.call_after(timeout_s, self._check_connect_timeout)
        if self._broken:
            self._loop.scheduler.call_after(0, self._fail_to_connect)
        self._update_interest()

    def pause(self) -> None:
        """Stop reading, which applies back-pressure to the peer."""
        self._paused = True
        self._update_interest()

    def resume(self) -> None:
        """Resume reading."""
        self._paused = False
        self._last_activity_s = self._loop.scheduler.now_s()
        self._update_interest()

    def cancel(self) -> None:
        """Close the connection without notifying the sink."""
        self._sink = None
        self._close()

    def _on_writable(self) -> None:
        if self._connecting:
            status = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if status:
                self._fail_to_connect()
                return
            self._connecting = False
        if self._opening:
            self._opening = False
            self._finish(reusable=True)
            return
        self._send()
        self._update_interest()

    def _send(self) -> None:
        while self._outgoing and not self._closed:
            part = self._outgoing[0]
            try:
                sent = self._sock.send(part)
            except BlockingIOError:
                return
            except OSError as error:
                self._fail(
                    f'sending failed: {error.strerror}', _classify_error(error)
                )
                return
            self._sent_any = self._sent_any or sent > 0
            if sent < len(part):
                self._outgoing[0] = part[sent:]
                return
            self._outgoing.popleft()

    def _receive(self) -> None:
        if self._connecting:
            self._on_writable()
            return
        try:
            chunk = self._sock.recv(RECEIVE_SIZE_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(
                f'receiving failed: {error.strerror}', _classify_error(error)
            )
            return
        if self.idle or not chunk:
            self._on_peer_closed()
            return
        self._last_activity_s = self._loop.scheduler.now_s()
        self._process_chunk(chunk)

    def _process_chunk(self, chunk: bytes) -> None:
        parser = self._parser
        first = parser.head is None
        try:
            body = parser.feed(chunk)
        except ReplySyntaxError as error:
            self._fail(str(error), FailureKind.MALFORMED)
            return
        if first and parser.head is not None and self._sink is not None:
            self._sink.on_head(parser.head)
        if body and self._sink is not None:
            try:
                self._sink.on_data(body)
            except ReplyTooLargeError as error:
                self._fail(str(error), FailureKind.TOO_LARGE)
        if parser.complete:
            reusable = parser.keep_alive and not parser.extra_data
            self._finish(reusable=reusable)

    def _on_peer_closed(self) -> None:
        if self._sink is None:
            self._close()
            return
        if self._parser.close_delimited:
            if self._has_unread_request():
                # A peer that closes before it has the whole request has
                # failed, so what it sent may be only a part of its answer.
                self._fail('peer closed the connection during the request')
                return
            self._finish(reusable=False)
            return
        self._fail('peer closed the connection')

    def _has_unread_request(self) -> bool:
        if self._outgoing:
            return True
        # A reset that follows the end of the answer; reading doesn't report it.
        if self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return True
        # The peer's FIN acknowledges all that its kernel has received.
        unacknowledged = fcntl.ioctl(self._sock, termios.TIOCOUTQ, bytes(4))
        return any(unacknowledged)

    def _finish(self, *, reusable: bool) -> None:
        sink = self._sink
        self._sink = None
        self._cancel_timer()
        if reusable and not self._outgoing and not self._closed:
            self._paused = False
            self.idle_since_s = self._loop.scheduler.now_s()
            self._pool.release(self)
            self._update_interest()
        else:
            self._close()
        if sink is not None:
            sink.on_end()

    def _check_timeout(self) -> None:
        now_s = self._loop.scheduler.now_s()
        silent_s = now_s - self._last_activity_s
        if self._paused or silent_s < self._timeout_s:
            waited_s = 0 if self._paused else silent_s
            self._timer = self._loop.scheduler.call_after(
                self._timeout_s - waited_s,
                self._check_timeout,
            )
            return
        self._fail(
            f'no data received for {self._timeout_s} s',
            FailureKind.SILENT,
        )

    def _check_connect_timeout(self) -> None:
        if self._connecting and not self._closed:
            self._fail('connecting timed out', FailureKind.SILENT)

    def _fail_to_connect(self) -> None:
        self._fail('connection refused', FailureKind.REFUSED)

    def _fail(
        self,
        reason: str,
        kind: FailureKind = FailureKind.BROKEN,
    ) -> None:
        sink = self._sink
        self._sink = None
        self._close()
        if sink is not None:
            sink.on_failed(HttpFailed(reason, self._sent_any, kind))

    def _close(self) -> None:
        if self._closed:
            return
        self._closed = True
        self._outgoing.clear()
        self._cancel_timer()
        self._loop.poller.unwatch(self._watch)
        self._sock.close()
        self._pool.discard(self)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _update_interest(self) -> None:
        if self._closed:
            return
        self._loop.poller.set_interest(
            self._watch,
            reading=not self._paused and not self._connecting,
            writing=self._connecting or bool(self._outgoing),
        )


def _configure_socket(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_PERIOD_S),
        (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, setting)


def _classify_error(error: OSError) -> FailureKind:
    if error.errno in {errno.ETIMEDOUT, errno.EHOSTUNREACH}:
        return FailureKind.SILENT
    return FailureKind.BROKEN


def build_request_parts(call: HttpCall) -> list[bytes]:
    """Serialize a call as an HTTP/1.1 request, with a large body apart."""
    lines = [
        f'{call.method} {call.path} HTTP/1.1',
        f'Host: {call.host or call.address}',
        f'Content-Length: {len(call.body)}',
    ]
    lines.extend(f'{header.name}: {header.text}' for header in call.headers)
    head = '\r\n'.join(lines)
    encoded = f'{head}\r\n\r\n'.encode('latin-1')
    if len(call.body) > MAX_JOINED_BYTES:
        return [encoded, call.body]
    return [encoded + call.body]
