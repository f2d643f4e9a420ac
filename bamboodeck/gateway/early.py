"""Open the listening sockets, and handle signals, before the main import.

Load pattern: all processes of a zone are killed at once. Importing the program
takes far longer than listening. A refused connection costs a caller one of its
few attempts, while a connection waiting in the backlog is served.
"""

import contextlib
import signal
import socket
from collections.abc import Iterable, Mapping

from bamboodeck.http.listening import open_listener

Listeners = Mapping[tuple[str, int], socket.socket]


def ignore_early_sighup() -> None:
    """Ignore a SIGHUP received before the settings are read."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def listen_early(addresses: Iterable[tuple[str, int]]) -> Listeners:
    """Listen on the addresses that can be bound.

    Others are left to the server that needs them, which reports the error.
    """
    listeners = {}
    for host, port in addresses:
        with contextlib.suppress(OSError, OverflowError):
            listeners[host, port] = open_listener(host, port)
    return listeners
