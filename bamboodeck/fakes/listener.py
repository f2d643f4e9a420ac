"""TCP listener on the event loop."""

import errno
import socket
from collections.abc import Callable

from bamboodeck.http.messages import Address
from bamboodeck.loop.poller import CallbackPoller

BACKLOG = 1024


class Listener:
    """Pass each accepted socket to a callback."""

    def __init__(
        self,
        poller: CallbackPoller,
        address: Address,
        on_accepted: Callable[[socket.socket], None],
    ) -> None:
        """Listen on an address; port 0 selects a free port."""
        self._poller = poller
        self._on_accepted = on_accepted
        self._sock = _listen(address)
        self.address = Address(address.host, self._sock.getsockname()[1])
        self._watch = poller.watch(
            self._sock.fileno(),
            self._accept,
            self._accept,
        )

    def close(self) -> None:
        """Stop accepting connections."""
        self._poller.unwatch(self._watch)
        self._sock.close()

    def _accept(self) -> None:
        try:
            accepted, _ = self._sock.accept()
        except OSError:
            return
        accepted.setblocking(False)
        self._on_accepted(accepted)


def _listen(address: Address) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    try:
        sock.bind((address.host, address.port))
    except OSError as error:
        sock.close()
        raise OSError(
            error.errno or errno.EADDRINUSE,
            f'{address}: {error.strerror}',
        )
    sock.listen(BACKLOG)
    return sock
