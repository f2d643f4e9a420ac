"""Refuse proper requests on kept channels by the limits of an old manifest."""

import socket
from pathlib import Path

from bamboodeck.fakes.platform.documents import (
    HOST,
    KEY,
    PAY,
    SHOP,
    build_configuration,
)
from bamboodeck.fakes.platform.engine import EngineBehaviour
from bamboodeck.platform import protocol
from review.rig3.case import Record, run_case
from review.rig3.fleet import Fleet

CHANNELS = 20
OLD_BODY_BYTES = 1_000_000
NEW_BODY_BYTES = 4_194_304
# Allowed by the new manifest only.
SENT_BYTES = 1_500_000
# `config_ms` is 2.5 s.
IN_FORCE_S = 5.0
ANSWER_S = 1.0
# The rule allows 5 and one in 500.
ALLOWED = 5
FIRST_LINE = 0
_ORDINARY_BYTES = 10


class Channel:
    """Send requests on one kept channel."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        """Open the channel."""
        address = fleet.callers['front-1']
        self.closed = False
        self._fleet = fleet
        self._number = number
        self._sock = socket.create_connection((address.host, address.port))
        self._sock.setblocking(False)
        self._received = b''

    def ask(self, size_bytes: int) -> str:
        """Send a payment and return the first line of its answer."""
        head = (
            f'POST {PAY} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'{protocol.API_KEY}: {KEY}\r\n{protocol.DEADLINE_MS}: 2500\r\n'
            f'{protocol.REQUEST_ID}: c{self._number}-{size_bytes}\r\n'
            f'Content-Length: {size_bytes}\r\n\r\n'
        )
        pending = memoryview(head.encode() + bytes(size_bytes))
        self._received = b''
        end_s = self._fleet.loop.scheduler.now_s() + ANSWER_S
        while self._fleet.loop.scheduler.now_s() < end_s:
            pending = self._exchange(pending)
            if self._received or self.closed:
                break
            self._fleet.loop.tick(0.001)
        return self._received.partition(b'\r\n')[FIRST_LINE].decode('latin-1')

    def _exchange(self, pending: memoryview) -> memoryview:
        try:
            pending = pending[self._sock.send(pending) :]
        except BlockingIOError:
            pass
        except OSError:
            self.closed = True
        try:
            self._received += self._sock.recv(65_536)
        except OSError:
            return pending
        return pending


def play(fleet: Fleet, record: Record, trouble: bool) -> bool:
    """Raise the limit of bodies, and use it on channels opened before."""
    fleet.add_engine('shop-0', SHOP, EngineBehaviour(step_s=0.01))
    fleet.add_gateway('front-1')
    channels = [Channel(fleet, number) for number in range(CHANNELS)]
    for kept in channels:
        record.add(f'before: {kept.ask(_ORDINARY_BYTES)!r}')
    fleet.store.put(
        protocol.CONFIGURATION_KEY,
        build_configuration(2, limits=_build_limits(NEW_BODY_BYTES)),
    )
    fleet.run_for(IN_FORCE_S)
    if not trouble:
        channels = [Channel(fleet, number) for number in range(CHANNELS)]
    lines = [channel.ask(SENT_BYTES) for channel in channels]
    record.add(f'after: {lines}')
    denied = sum(line.startswith('HTTP/1.1 4') for line in lines)
    record.tell(f'asked={len(lines)} denied={denied} first={lines[0]!r}')
    return denied > ALLOWED + 2 * CHANNELS / 500


def _build_limits(max_body_bytes: int) -> dict[str, int]:
    return {
        'max_header_bytes': 16_384,
        'max_body_bytes': max_body_bytes,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15_000,
    }


if __name__ == '__main__':
    first = build_configuration(limits=_build_limits(OLD_BODY_BYTES))
    run_case(Path(__file__).parent, Fleet(first), play)
