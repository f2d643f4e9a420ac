"""Let the channels to the store go silent, then let an engine leave."""

import asyncio

from review.support.caller import Question
from review.support.case import Case, run_case
from review.support.engine import Call
from review.support.manifest import PAY, SHOP

ENGINES = tuple(f'shop-{letter}' for letter in 'abcdefgh')
CALLERS = 16
WORK_S = 0.2
CALM_S = 3.0
# The entry of the first engine is removed this long after the silence began.
LEAVES_AFTER_S = 0.5
DRAIN_S = 2.5
# It serves for `drain_ms` and some time longer, at times many seconds.
SERVES_ON_S = 5.0
STABILITY_S = 4.0
DURATION_S = 14.0
MARGIN_S = 0.1
POLL_S = 0.005


async def behave(call: Call) -> None:
    """Answer after a while."""
    call.engine.record_run(call)
    await asyncio.sleep(WORK_S)
    await call.answer(b'{}')


async def pay_on(case: Case) -> int:
    """Send one payment after the other; count those that are lost."""
    lost = 0
    while case.record.now_s() < DURATION_S:
        answer = await case.ask(Question(PAY, 'POST', body=b'{}'))
        lost += answer.status not in {200, 503}
    return lost


async def silence(case: Case) -> float:
    """Silence the channels to the store while a watch waits; return when."""
    await asyncio.sleep(CALM_S)
    door = case.gateways[0].door
    watches = door.watches
    while door.watches == watches:
        await asyncio.sleep(POLL_S)
    if case.trouble:
        door.silence()
        case.record.add('the channels to the store go silent')
    return case.record.now_s()


async def leave(case: Case, runs_s: list[float]) -> int:
    """Let an engine leave; count its runs that come too late."""
    silent_s = await silence(case)
    await asyncio.sleep(LEAVES_AFTER_S)
    engine = case.engines[0]
    engine.unlist()
    left_s = case.record.now_s()
    case.record.add('leaves', engine.engine_id)
    await asyncio.sleep(SERVES_ON_S)
    case.record.add('stops', engine.engine_id)
    engine.crash()
    # From then on the machine is in touch, and the engine has left for longer
    # than `drain_ms`.
    bound_s = max(silent_s + STABILITY_S, left_s + DRAIN_S) + MARGIN_S
    return sum(run_s > bound_s for run_s in runs_s)


async def play(case: Case) -> str:
    """Look for runs on an engine that has left for longer than allowed."""
    runs_s: list[float] = []

    async def behave_last(call: Call) -> None:
        runs_s.append(case.record.now_s())
        await behave(call)

    await case.add_engine(ENGINES[0], SHOP, behave_last)
    await case.add_engines(ENGINES[1:], SHOP, behave)
    await case.add_gateway()
    late, *lost = await asyncio.gather(
        leave(case, runs_s),
        *(pay_on(case) for _ in range(CALLERS)),
    )
    case.record.add('payments that were lost:', sum(lost))
    if not late:
        return ''
    return f'{late} runs long after the engine left; {sum(lost)} payments lost'


run_case(__file__, play)
