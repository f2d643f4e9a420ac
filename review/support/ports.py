"""Find free ports on loopback addresses."""

import random
import socket

LOOPBACK = '127.0.0.1'
# Below the ephemeral ports, which the kernel assigns from 32768 upwards.
FIRST_PORT = 12_000
LAST_PORT = 32_000
MAX_TRIES = 1000

_given: set[int] = set()


def find_free_port() -> int:
    """Return a port that no one uses for TCP or UDP."""
    for _ in range(MAX_TRIES):
        port = random.randint(FIRST_PORT, LAST_PORT)  # noqa: S311
        if port not in _given and _is_free(port):
            _given.add(port)
            return port
    raise OSError('no free port was found')


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((LOOPBACK, port))
            except OSError:
                return False
    return True
