"""Test the poller with watched sockets."""

import functools
import socket

from circuits import Event, handler

from bamboodeck.loop.program import Loop
from tests.http.looping import build_loop, run_until


class WorkRequested(Event):
    """Request work that takes another loop iteration."""


class SocketPairs:
    """Open pairs of connected sockets, all of them readable."""

    def __init__(self, loop: Loop, count: int) -> None:
        """Watch one end of each pair; each read fires an event."""
        self.order: list[str] = []
        self._ends = [socket.socketpair() for _ in range(count)]
        for near, far in self._ends:
            far.send(b'x')
            loop.poller.watch(
                near.fileno(),
                functools.partial(self._read, loop, near),
                functools.partial(self.order.append, 'written'),
            )

    def close(self) -> None:
        """Close every socket."""
        for pair in self._ends:
            for end in pair:
                end.close()

    def _read(self, loop: Loop, near: socket.socket) -> None:
        near.recv(1)
        self.order.append('read')
        loop.fire(WorkRequested(), 'loop')


class TestBatch:
    """Serve sockets that become ready together."""

    def test_event_is_handled_before_the_rest_of_the_batch(self) -> None:
        """Handle the event that a read fires before the next socket is read."""
        loop = build_loop()
        pairs = SocketPairs(loop, 3)

        @handler('WorkRequested', channel='loop')
        def note(self) -> None:
            pairs.order.append('handled')

        loop.addHandler(note)
        run_until(loop, lambda: pairs.order.count('handled') == 3)
        pairs.close()
        assert pairs.order[::2] == ['read', 'read', 'read']
        assert pairs.order[1::2] == ['handled', 'handled', 'handled']
