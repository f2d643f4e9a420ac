"""Find free ports on a loopback address."""

import socket
from random import SystemRandom

# Below the ephemeral ports, which the kernel assigns from 32768 upwards.
PORT_RANGE = range(10_000, 32_000)


def find_free_ports(address: str, count: int) -> list[int]:
    """Return ports that are free for TCP and UDP, in rising order."""
    found: set[int] = set()
    while len(found) < count:
        port = SystemRandom().choice(PORT_RANGE)
        if _is_free(address, port):
            found.add(port)
    return sorted(found)


def _is_free(address: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((address, port))
            except OSError:
                return False
    return True
