"""Give tests addresses that nothing else takes before they listen there."""

import contextlib
import os
import socket
from collections.abc import Mapping

import xxhash

from bamboodeck.http.messages import Address

# The system takes the ports of outgoing connections from 32768 upwards.
FIRST_PORT = 20_000
PORT_COUNT = 12_000
LOOPBACK = '127.0.0.1'


class PortPool:
    """Give every port of a range at most once."""

    def __init__(self, start: int, count: int = PORT_COUNT) -> None:
        """Begin at an offset into the range and go no further than a count."""
        self._offsets = [
            (start + number) % PORT_COUNT for number in range(count)
        ]

    def take(self) -> Address:
        """Return an address that nobody listens on."""
        while True:
            port = FIRST_PORT + self._offsets.pop(0)
            with socket.socket() as probe, contextlib.suppress(OSError):
                probe.bind((LOOPBACK, port))
                return Address(LOOPBACK, port)


def build_pool(environ: Mapping[str, str], process_id: int) -> PortPool:
    """Build the pool of a test process; workers of one run share no port."""
    run = environ.get('PYTEST_XDIST_TESTRUNUID', str(process_id))
    worker = environ.get('PYTEST_XDIST_WORKER', 'gw0').removeprefix('gw')
    count = PORT_COUNT // int(environ.get('PYTEST_XDIST_WORKER_COUNT', '1'))
    # Test runs side by side begin far apart.
    start = xxhash.xxh32_intdigest(run.encode()) + int(worker) * count
    return PortPool(start % PORT_COUNT, count)


_POOL = build_pool(os.environ, os.getpid())


def find_free_address() -> Address:
    """Return an address that this test run has not given before."""
    return _POOL.take()
