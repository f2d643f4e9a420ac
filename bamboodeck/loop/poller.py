"""Poll sockets and dispatch ready ones without a circuits event each."""

import contextlib
import select
from collections.abc import Callable

from circuits.core.pollers import EPoll

Callback = Callable[[], None]

_READABLE = select.EPOLLIN | select.EPOLLHUP | select.EPOLLERR
_BROKEN = select.EPOLLHUP | select.EPOLLERR


class Watch:
    """Store the callbacks of a watched file descriptor."""

    __slots__ = ('fd', 'mask', 'on_readable', 'on_writable')

    def __init__(self, fd: int, on_readable: Callback, on_writable: Callback):
        """Start with no events of interest."""
        self.fd = fd
        self.mask = 0
        self.on_readable = on_readable
        self.on_writable = on_writable


class CallbackPoller(EPoll):
    """Serve circuits' sockets with events and watched ones with callbacks."""

    def __init__(self) -> None:
        """Start with no watched descriptors."""
        super().__init__()
        self._watches: dict[int, Watch] = {}
        self.wakeups = 0

    def watch(
        self,
        fd: int,
        on_readable: Callback,
        on_writable: Callback,
    ) -> Watch:
        """Start watching a descriptor for reading."""
        watch = Watch(fd, on_readable, on_writable)
        watch.mask = select.EPOLLIN
        self._watches[fd] = watch
        self._poller.register(fd, watch.mask)
        return watch

    def set_interest(
        self,
        watch: Watch,
        *,
        reading: bool,
        writing: bool,
    ) -> None:
        """Set the events of interest of a watched descriptor."""
        mask = select.EPOLLIN * reading | select.EPOLLOUT * writing
        if mask == watch.mask or self._watches.get(watch.fd) is not watch:
            return
        watch.mask = mask
        self._poller.modify(watch.fd, mask)

    def unwatch(self, watch: Watch) -> None:
        """Stop watching; call this before the descriptor is closed."""
        if self._watches.get(watch.fd) is not watch:
            return
        self._watches.pop(watch.fd)
        with contextlib.suppress(OSError):
            self._poller.unregister(watch.fd)

    def _generate_events(self, event) -> None:
        ready = self._poller.poll(event.time_left)
        queue = self.root._queue
        watches = self._watches
        for fileno, mask in ready:
            watch = watches.get(fileno)
            if watch is None:
                self._process(fileno, mask)
            else:
                self._dispatch(watch, mask)
            # Events that a callback fired are handled before the rest of the
            # batch, whose descriptors stay ready. A new request needs
            # several iterations of the loop, the rest of the batch none.
            if len(queue):
                return

    def _dispatch(self, watch: Watch, event: int) -> None:
        self.wakeups += 1
        if event & select.EPOLLOUT and watch.mask & select.EPOLLOUT:
            watch.on_writable()
            if self._watches.get(watch.fd) is not watch:
                return
        # On a broken connection the callback runs even if reading is paused:
        # it sees the error or the end and closes, so the loop doesn't spin.
        wanted = watch.mask & select.EPOLLIN or event & _BROKEN
        if wanted and event & _READABLE:
            watch.on_readable()
