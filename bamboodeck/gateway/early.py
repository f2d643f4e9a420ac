"""Listen, and heed signals, before the program is loaded.

Load pattern: all processes of a zone are killed at once. Loading the program
takes far longer than listening, and a caller who is refused meanwhile has used
up one of its few tries; one whose connection waits is served.
"""

import contextlib
import signal
import socket
from collections.abc import Iterable, Mapping

from bamboodeck.http.listening import open_listener

Listeners = Mapping[tuple[str, int], socket.socket]


def outlive_early_reload() -> None:
    """Let a SIGHUP pass that comes before the settings are read."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def listen_early(addresses: Iterable[tuple[str, int]]) -> Listeners:
    """Listen where it is possible already.

    An address that can't be bound is left to the server that needs it, which
    reports the fault.
    """
    listeners = {}
    for host, port in addresses:
        with contextlib.suppress(OSError, OverflowError):
            listeners[host, port] = open_listener(host, port)
    return listeners
