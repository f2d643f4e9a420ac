"""Outgrow a host's memory with long session headers of legal size."""

from pathlib import Path

from bamboodeck.fakes.platform.documents import (
    LOOK,
    SHOP,
    build_configuration,
)
from bamboodeck.fakes.platform.engine import EngineBehaviour
from bamboodeck.http.messages import Header
from bamboodeck.platform import protocol
from review.rig3.callers import Callers
from review.rig3.case import Record, run_case
from review.rig3.fleet import Fleet

# As the smallest hosts of the users' grown deployments have.
MEMORY_MB = 200
MAX_FDS = 4100
ENGINES = 3
WORK_S = 0.01
# Four requests at a time, fifty times a second.
PER_TURN = 4
TURNS_PER_S = 50
LOAD_S = 75
REPORT_S = 5
# A head may have 16,384 bytes.
LONG_CHARS = 15_000
SHORT_CHARS = 16


class Sender:
    """Send lookups, each in a session of its own."""

    def __init__(self, callers: Callers, chars: int) -> None:
        """Make the names of sessions this long."""
        self.sent = 0
        self._callers = callers
        self._chars = chars

    def send(self) -> None:
        """Send the requests of one turn."""
        for _ in range(PER_TURN):
            self.sent += 1
            name = f'{self.sent:016x}'.ljust(self._chars, 's')
            session = Header(protocol.SESSION, name)
            self._callers.send(LOOK, (session,), method='GET')


def play(fleet: Fleet, record: Record, trouble: bool) -> bool:
    """Send short requests with long heads, which are all answered."""
    for number in range(ENGINES):
        behaviour = EngineBehaviour(step_s=WORK_S)
        fleet.add_engine(f'shop-{number}', SHOP, behaviour)
    fleet.add_gateway('front-1')
    callers = Callers(fleet.client, fleet.callers)
    sender = Sender(callers, LONG_CHARS if trouble else SHORT_CHARS)
    timer = fleet.loop.scheduler.call_every(1 / TURNS_PER_S, sender.send)
    most_mb = 0.0
    for _ in range(LOAD_S // REPORT_S):
        fleet.run_for(REPORT_S)
        memory_mb = fleet.memory_mb('front-1')
        most_mb = max(most_mb, memory_mb)
        served = sum(asked.status == 200 for asked in callers.asked)
        record.tell(
            f'sent={sender.sent} served={served} '
            f'resident_mb={memory_mb:.1f} of={MEMORY_MB}',
        )
        # The stand-ins keep the heads of all requests otherwise.
        for engine in fleet.engines.values():
            engine.runs.clear()
    timer.cancel()
    return most_mb > MEMORY_MB


if __name__ == '__main__':
    run_case(
        Path(__file__).parent,
        Fleet(build_configuration(), memory_mb=MEMORY_MB, max_fds=MAX_FDS),
        play,
    )
