"""Have an engine send bytes that are no answer of its own, with a 200."""

import asyncio

from review.support.caller import Question
from review.support.case import Case, run_case
from review.support.engine import REQUEST_ID, STAMP, Call
from review.support.manifest import LOOK, PAY, SHOP
from review.support.messages import Answer, build_head

ENGINES = ('shop-a', 'shop-b', 'shop-c')
FAULTY = ENGINES[0]
# Of the answers of the faulty engine, one in this many is none.
ANSWERS_PER_FAULT = 50
REQUESTS = 360
CALLERS = 4
# What follows the head before the engine closes the connection.
JUNK_BYTES = 1_500_000
BODY = b'{"stock": 12}'


async def behave(call: Call) -> None:
    """Answer with a proof."""
    call.engine.record_run(call)
    await asyncio.sleep(0.02)
    await call.answer(BODY)


async def misbehave(call: Call) -> None:
    """Answer some requests with a head without a proof and other bytes."""
    if (len(call.engine.runs) + 1) % ANSWERS_PER_FAULT:
        await behave(call)
        return
    call.engine.record_run(call)
    call.engine.record.add('junk', call.engine.engine_id, call.request_id)
    head = build_head('HTTP/1.1 200 OK', ((REQUEST_ID, call.request_id),))
    await call.write(head + bytes(JUNK_BYTES))
    call.writer.close()


async def call_on(case: Case, caller: int) -> int:
    """Send a part of the requests; count 200s without a proof."""
    wrong = 0
    asked = caller
    while asked < REQUESTS:
        question = Question(f'{LOOK}{asked}')
        if asked % 3:
            question = Question(f'{PAY}{asked}', 'POST', body=b'{}')
        answer = await case.ask(question)
        asked += CALLERS
        if _is_unproved(answer):
            wrong += 1
            case.record.add('complete 200 without a proof', question.path)
    return wrong


def _is_unproved(answer: Answer) -> bool:
    is_success = answer.status == 200 and answer.whole
    return is_success and STAMP.lower() not in answer.headers


async def play(case: Case) -> str:
    """Look for a complete 200 without a proof."""
    faulty = misbehave if case.trouble else behave
    await case.add_engine(FAULTY, SHOP, faulty)
    await case.add_engines(ENGINES[1:], SHOP, behave)
    await case.add_gateway()
    counts = await asyncio.gather(
        *(call_on(case, caller) for caller in range(CALLERS)),
    )
    if not any(counts):
        return ''
    return f'{sum(counts)} of {REQUESTS} answers are 200s without a proof'


run_case(__file__, play)
