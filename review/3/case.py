"""Send a request again and again that crashes each engine that runs it."""

import asyncio

from review.support.caller import Question
from review.support.case import Case, run_case
from review.support.engine import Call, Engine
from review.support.manifest import LOOK, PAY, SHOP

ENGINES = ('shop-a', 'shop-b', 'shop-c')
DEADLY = f'{LOOK}deadly'
# The engine is back after "some seconds".
DOWN_S = 3.0
DEADLY_PERIOD_S = 6.0
DURATION_S = 60.0
WORK_S = 0.3
PAY_PERIOD_S = 0.25
STABILITY_S = 4.0
# The rule allows three, later than the stability window after the third crash.
CRASHES = 3
ALLOWED_RETRIES = 3

restarts: set[asyncio.Task[None]] = set()
crashes_s: list[float] = []


async def restart(engine: Engine) -> None:
    """Crash, and come back as a new incarnation."""
    engine.crash()
    await asyncio.sleep(DOWN_S)
    engine.born += int(DOWN_S * 1000)
    await engine.enter()


async def behave(call: Call) -> None:
    """Answer after a while, as a sound request lets an engine do."""
    call.engine.record_run(call)
    await asyncio.sleep(WORK_S)
    await call.answer(b'{}')


async def behave_mortally(call: Call) -> None:
    """Crash on the deadly request."""
    if call.request.target != DEADLY:
        await behave(call)
        return
    call.engine.record_run(call)
    crashes_s.append(call.engine.record.now_s())
    call.engine.record.add('crashes', call.engine.engine_id, call.request_id)
    restarts.add(asyncio.create_task(restart(call.engine)))


async def pay_on(case: Case) -> int:
    """Send payments to the second machine; count those that are lost."""
    asked = []
    while case.record.now_s() < DURATION_S:
        question = Question(f'{PAY}{len(asked)}', 'POST', body=b'{}')
        asked.append(asyncio.create_task(case.ask(question, 1)))
        await asyncio.sleep(PAY_PERIOD_S)
    answers = await asyncio.gather(*asked)
    return sum(answer.status not in {200, 503} for answer in answers)


async def repeat_deadly(case: Case) -> None:
    """Send the deadly request to the first machine."""
    while case.record.now_s() < DURATION_S:
        await case.ask(Question(DEADLY))
        await asyncio.sleep(DEADLY_PERIOD_S)


async def play(case: Case) -> str:
    """Count the runs that follow long after the third crash."""
    chosen = behave_mortally if case.trouble else behave
    await case.add_engines(ENGINES, SHOP, chosen)
    await case.add_gateways('pri-a', 'gor-a')
    lost, _ = await asyncio.gather(pay_on(case), repeat_deadly(case))
    case.record.add('payments that were sent on and lost:', lost)
    if len(crashes_s) < CRASHES:
        return ''
    from_s = crashes_s[CRASHES - 1] + STABILITY_S
    late = sum(crashed_s > from_s for crashed_s in crashes_s)
    if late <= ALLOWED_RETRIES:
        return ''
    return f'{late} runs long after the third crash; {lost} payments lost'


run_case(__file__, play)
