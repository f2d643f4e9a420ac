"""Bidirectional TCP relay between two sockets with back pressure."""

import errno
import socket
from collections import deque
from collections.abc import Callable

from bamboodeck.http.messages import Address
from bamboodeck.loop.poller import Watch
from bamboodeck.loop.program import Loop

MAX_PENDING_BYTES = 262_144
RECEIVE_SIZE_BYTES = 65_536
_EOF = b''


class _Endpoint:
    """Own one socket and the bytes to be sent on it."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.pending = bytearray()
        self.delayed: deque[bytes] = deque()
        self.delayed_bytes = 0
        self.connecting = False
        self.eof_received = False
        self.shutdown_pending = False
        self.watch: Watch

    @property
    def reading(self) -> bool:
        return not self.eof_received and not self.connecting

    @property
    def writing(self) -> bool:
        return self.connecting or bool(self.pending)

    @property
    def has_room(self) -> bool:
        return len(self.pending) + self.delayed_bytes <= MAX_PENDING_BYTES


class Pipe:
    """Relay bytes between a caller and a target, with delays and holds."""

    def __init__(
        self,
        loop: Loop,
        caller: socket.socket,
        target: Address,
        on_closed: Callable[['Pipe'], None],
        delay_s: float = 0,
    ) -> None:
        """Start connecting to the target."""
        self.closed = False
        self.held = False
        self.answers_held = False
        self.transferred_bytes = 0
        self.delay_s = delay_s
        self._poller = loop.poller
        self._scheduler = loop.scheduler
        self._on_closed = on_closed
        self._downstream = _Endpoint(caller)
        self._upstream = _Endpoint(
            socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        )
        self._upstream.sock.setblocking(False)
        self._upstream.connecting = True
        self._watch_endpoint(self._downstream, self._upstream)
        self._watch_endpoint(self._upstream, self._downstream)
        status = self._upstream.sock.connect_ex((target.host, target.port))
        if status not in {0, errno.EINPROGRESS}:
            self.abort()
            return
        self._update_interest()

    def abort(self) -> None:
        """Close both sockets at once."""
        if self.closed:
            return
        self.closed = True
        for end in (self._downstream, self._upstream):
            self._poller.unwatch(end.watch)
            end.sock.close()
        self._on_closed(self)

    def hold(self, *, held: bool, answers_held: bool = False) -> None:
        """Hold all bytes, like a network that drops packets, or resume.

        With `answers_held` only the bytes from the target are held.
        """
        self.held = held
        self.answers_held = answers_held
        self._flush(self._downstream)
        self._flush(self._upstream)

    def _watch_endpoint(self, end: _Endpoint, other: _Endpoint) -> None:
        end.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        end.watch = self._poller.watch(
            end.sock.fileno(),
            lambda: self._read(end, other),
            lambda: self._write(end),
        )

    def _read(self, end: _Endpoint, other: _Endpoint) -> None:
        if end.connecting:
            self._write(end)
            return
        try:
            chunk = end.sock.recv(RECEIVE_SIZE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.abort()
            return
        self.transferred_bytes += len(chunk)
        end.eof_received = chunk == _EOF
        if self.delay_s or other.delayed:
            self._delay(other, chunk)
        else:
            self._forward(other, chunk)

    def _delay(self, other: _Endpoint, chunk: bytes) -> None:
        # Each timer releases the oldest chunk, so that a shorter delay does
        # not reorder chunks.
        other.delayed.append(chunk)
        other.delayed_bytes += len(chunk)
        self._scheduler.call_after(self.delay_s, lambda: self._release(other))
        self._update_interest()

    def _release(self, other: _Endpoint) -> None:
        if self.closed or not other.delayed:
            return
        chunk = other.delayed.popleft()
        other.delayed_bytes -= len(chunk)
        self._forward(other, chunk)

    def _forward(self, other: _Endpoint, chunk: bytes) -> None:
        other.pending += chunk
        if chunk == _EOF:
            other.shutdown_pending = True
        self._flush(other)

    def _write(self, end: _Endpoint) -> None:
        if end.connecting:
            if end.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self.abort()
                return
            end.connecting = False
        self._flush(end)

    def _flush(self, end: _Endpoint) -> None:
        if self.closed:
            return
        if end.pending and not end.connecting and not self._is_held(end):
            try:
                sent = end.sock.send(end.pending)
            except BlockingIOError:
                sent = 0
            except OSError:
                self.abort()
                return
            del end.pending[:sent]
        if end.shutdown_pending and not end.writing:
            self._half_close(end)
        self._update_interest()

    def _half_close(self, end: _Endpoint) -> None:
        end.shutdown_pending = False
        both_ended = (
            self._downstream.eof_received and self._upstream.eof_received
        )
        if both_ended and not self._has_unsent_bytes():
            self.abort()
            return
        try:
            end.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.abort()

    def _is_held(self, end: _Endpoint) -> bool:
        return self.held or self.answers_held and end is self._downstream

    def _has_unsent_bytes(self) -> bool:
        return any(
            end.pending or end.delayed
            for end in (self._downstream, self._upstream)
        )

    def _update_interest(self) -> None:
        if self.closed:
            return
        for end, other in (
            (self._downstream, self._upstream),
            (self._upstream, self._downstream),
        ):
            self._poller.set_interest(
                end.watch,
                reading=end.reading
                and other.has_room
                and not self._is_held(other),
                writing=end.writing
                and (end.connecting or not self._is_held(end)),
            )
