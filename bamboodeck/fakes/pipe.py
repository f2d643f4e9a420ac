"""Copy bytes both ways between two sockets with back pressure."""

import errno
import socket
from collections import deque
from collections.abc import Callable

from bamboodeck.http.messages import Address
from bamboodeck.loop.poller import Watch
from bamboodeck.loop.program import Loop

MAX_PENDING_BYTES = 262_144
RECEIVE_SIZE_BYTES = 65_536
_END = b''


class _End:
    """Own one socket and what is still to be sent on it."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.pending = bytearray()
        self.delayed: deque[bytes] = deque()
        self.delayed_bytes = 0
        self.connecting = False
        self.got_end = False
        self.ends_after_pending = False
        self.watch: Watch

    @property
    def reading(self) -> bool:
        return not self.got_end and not self.connecting

    @property
    def writing(self) -> bool:
        return self.connecting or bool(self.pending)

    @property
    def has_room(self) -> bool:
        return len(self.pending) + self.delayed_bytes <= MAX_PENDING_BYTES


class Pipe:
    """Join a caller with a target; bytes may be delayed or held."""

    def __init__(
        self,
        loop: Loop,
        caller: socket.socket,
        target: Address,
        on_closed: Callable[['Pipe'], None],
        delay_s: float = 0,
    ) -> None:
        """Begin to connect to the target."""
        self.closed = False
        self.held = False
        self.answers_held = False
        self.moved_bytes = 0
        self.delay_s = delay_s
        self._poller = loop.poller
        self._scheduler = loop.scheduler
        self._on_closed = on_closed
        self._near = _End(caller)
        self._far = _End(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        self._far.sock.setblocking(False)
        self._far.connecting = True
        self._watch_end(self._near, self._far)
        self._watch_end(self._far, self._near)
        status = self._far.sock.connect_ex((target.host, target.port))
        if status not in {0, errno.EINPROGRESS}:
            self.abort()
            return
        self._update_interest()

    def abort(self) -> None:
        """Close both sockets at once."""
        if self.closed:
            return
        self.closed = True
        for end in (self._near, self._far):
            self._poller.unwatch(end.watch)
            end.sock.close()
        self._on_closed(self)

    def hold(self, *, held: bool, answers_held: bool = False) -> None:
        """Hold all bytes, as a network that drops packets, or go on.

        With `answers_held` only those of the target are held.
        """
        self.held = held
        self.answers_held = answers_held
        self._flush(self._near)
        self._flush(self._far)

    def _watch_end(self, end: _End, other: _End) -> None:
        end.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        end.watch = self._poller.watch(
            end.sock.fileno(),
            lambda: self._read(end, other),
            lambda: self._write(end),
        )

    def _read(self, end: _End, other: _End) -> None:
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
        self.moved_bytes += len(chunk)
        end.got_end = chunk == _END
        if self.delay_s or other.delayed:
            self._delay(other, chunk)
        else:
            self._pass_on(other, chunk)

    def _delay(self, other: _End, chunk: bytes) -> None:
        # Chunks leave in the order of their arrival, also if the delay
        # becomes shorter in between.
        other.delayed.append(chunk)
        other.delayed_bytes += len(chunk)
        self._scheduler.call_after(self.delay_s, lambda: self._release(other))
        self._update_interest()

    def _release(self, other: _End) -> None:
        if self.closed or not other.delayed:
            return
        chunk = other.delayed.popleft()
        other.delayed_bytes -= len(chunk)
        self._pass_on(other, chunk)

    def _pass_on(self, other: _End, chunk: bytes) -> None:
        other.pending += chunk
        if chunk == _END:
            other.ends_after_pending = True
        self._flush(other)

    def _write(self, end: _End) -> None:
        if end.connecting:
            if end.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self.abort()
                return
            end.connecting = False
        self._flush(end)

    def _flush(self, end: _End) -> None:
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
        if end.ends_after_pending and not end.writing:
            self._end_half(end)
        self._update_interest()

    def _end_half(self, end: _End) -> None:
        end.ends_after_pending = False
        both_ended = self._near.got_end and self._far.got_end
        if both_ended and not self._is_sending():
            self.abort()
            return
        try:
            end.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.abort()

    def _is_held(self, end: _End) -> bool:
        return self.held or self.answers_held and end is self._near

    def _is_sending(self) -> bool:
        return any(
            end.pending or end.delayed for end in (self._near, self._far)
        )

    def _update_interest(self) -> None:
        if self.closed:
            return
        for end, other in ((self._near, self._far), (self._far, self._near)):
            self._poller.set_interest(
                end.watch,
                reading=end.reading
                and other.has_room
                and not self._is_held(other),
                writing=end.writing
                and (end.connecting or not self._is_held(end)),
            )
