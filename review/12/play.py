"""Move sessions to a new version while their last answer has just ended."""

from pathlib import Path

import msgspec

from bamboodeck.fakes.platform.documents import (
    CHAT,
    MODELS,
    SMALL,
    build_configuration,
)
from bamboodeck.fakes.platform.engine import EngineBehaviour
from bamboodeck.http.messages import Header
from bamboodeck.platform import protocol
from review.rig3.callers import Asked, Callers
from review.rig3.case import Record, run_case
from review.rig3.fleet import Fleet

GATEWAYS = 2
ENGINES = 3
SLOTS = 64
OLD = 'v1'
NEW = 'v2'
SESSIONS = 240
# A stream of 6.5 s, well within a budget of 25 s; pauses are within 800 ms.
STEP_S = 0.5
EVENTS = 13
BUDGET_MS = 25_000
# The next request of a session comes this soon after the end of the last.
PAUSE_S = 0.5
# `session_s` of the settings.
SESSION_S = 5.0
BEFORE_S = 10.0
DURATION_S = 40.0
START_S = 1.0
ALLOWED = 3


class Session:
    """Ask again and again in one session, one request at a time."""

    def __init__(self, fleet: Fleet, callers: Callers, name: str) -> None:
        """Start with the first request."""
        self.asked: list[Asked] = []
        self._fleet = fleet
        self._callers = callers
        self._headers = (
            Header(protocol.MODEL, SMALL),
            Header(protocol.TOKEN_COUNTS, '100,50'),
            Header(protocol.SESSION, name),
        )
        self._ask()

    def _ask(self) -> None:
        asked = self._callers.send(CHAT, self._headers, budget_ms=BUDGET_MS)
        asked.on_ended = self._ask_later
        self.asked.append(asked)

    def _ask_later(self) -> None:
        self._fleet.loop.scheduler.call_after(PAUSE_S, self._ask)


def play(fleet: Fleet, record: Record, trouble: bool) -> bool:
    """Roll a good version out under sessions with long answers."""
    for number in range(ENGINES):
        fleet.add_engine(
            f'old-{number}',
            MODELS,
            EngineBehaviour(step_s=STEP_S, events=EVENTS),
            version=OLD,
            slots=SLOTS,
        )
    for number in range(GATEWAYS):
        fleet.add_gateway(f'front-{number}')
    callers = Callers(fleet.client, fleet.callers)
    sessions = []
    for number in range(SESSIONS):
        sessions.append(Session(fleet, callers, f's{number}'))
        fleet.run_for(BEFORE_S / SESSIONS)
    ordered_s = fleet.loop.scheduler.now_s()
    if trouble:
        order = {'service': MODELS, 'target': NEW, 'duration_s': DURATION_S}
        key = f'{protocol.ROLLOUT_PREFIX}{MODELS}'
        fleet.store.put(key, msgspec.json.encode(order))
    # The platform starts the engines of the new version after the order.
    fleet.run_for(START_S)
    if trouble:
        for number in range(ENGINES):
            fleet.add_engine(
                f'new-{number}',
                MODELS,
                EngineBehaviour(step_s=STEP_S, events=EVENTS),
                version=NEW,
                slots=SLOTS,
            )
    fleet.run_for(DURATION_S / 2 - START_S)
    return _judge(fleet, record, sessions, ordered_s)


def _judge(
    fleet: Fleet,
    record: Record,
    sessions: list[Session],
    ordered_s: float,
) -> bool:
    """Count the requests that left their version in the first half."""
    versions = {
        run.request_id: NEW if engine_id.startswith('new') else OLD
        for engine_id, engine in fleet.engines.items()
        for run in engine.runs
    }
    moved = 0
    for number, session in enumerate(sessions):
        for before, after in zip(session.asked, session.asked[1:]):
            was = versions.get(before.request_id, '')
            now = versions.get(after.request_id, '')
            rested_s = after.sent_s - (before.ended_s or after.sent_s)
            left = rested_s < SESSION_S and (was, now) == (OLD, NEW)
            moved += left
            record.add(
                f'session=s{number} rested_s={rested_s:.3f} version={now} '
                f'before={was} left_its_version={left} '
                f'{after.describe(ordered_s)}',
            )
    record.tell(
        f'sessions={len(sessions)} requests={len(versions)} '
        f'on_the_new_version={list(versions.values()).count(NEW)} '
        f'left_their_version_in_the_first_half={moved} allowed={ALLOWED}',
    )
    return moved > ALLOWED


if __name__ == '__main__':
    run_case(Path(__file__).parent, Fleet(build_configuration()), play)
