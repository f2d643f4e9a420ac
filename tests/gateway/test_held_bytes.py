"""Test what unfinished answers of many callers hold together."""

from collections.abc import Iterator

import pytest

from bamboodeck.fakes.platform.documents import CHAT, LOOK, MODELS, PAY, SMALL
from bamboodeck.gateway.delivery import MAX_HELD_BYTES
from bamboodeck.gateway.held_bytes import (
    FREE_HELD_BYTES,
    HELD_MEMORY_FRACTION,
    HeldAnswer,
    HeldBytes,
)
from tests.gateway.harness import CallerAnswer
from tests.gateway.raw_bench import Bench
from tests.gateway.raw_engine import CHUNK, Call

CALLERS = 48
MEMORY_MB = 64
BYTES_PER_MB = 1_048_576
BEGUN_BYTES = MAX_HELD_BYTES - CHUNK
EVENT_STREAM = 'Content-Type: text/event-stream'
# One read of each connection, and what a list of bytes takes beyond its size.
MAX_HELD = 1.125 * (
    HELD_MEMORY_FRACTION * MEMORY_MB * BYTES_PER_MB
    + CALLERS * (FREE_HELD_BYTES + 65_536)
)


@pytest.fixture
def bench() -> Iterator[Bench]:
    """Run a gateway of little memory in front of many places."""
    bench = Bench()
    bench.apps[0].context.held.limit_bytes = HeldBytes(MEMORY_MB).limit_bytes
    yield bench
    bench.close()


def measure_held(bench: Bench) -> int:
    """Return the bytes of unfinished answers in memory."""
    held = 0
    for exchange in bench.apps[0].traffic.running:
        delivery = exchange.delivery
        failure = getattr(delivery, '_failure', delivery)
        held += len(failure._body)
        if failure is not delivery:
            held += len(delivery._splitter.rest)
    return held


def run_all(bench: Bench, answers: list[CallerAnswer]) -> int:
    """Run until all answers have ended; return the most that was held."""
    most = 0

    def ended() -> bool:
        nonlocal most
        most = max(most, measure_held(bench))
        return all(answer.ended for answer in answers)

    bench.until(ended)
    return most


class TestManyUnfinished:
    """Bound their sum, and serve what is sound."""

    def test_memory_exhausted_by_bodies(self, bench: Bench) -> None:
        """Forward proved answers early, so that they still end whole."""

        def script(call: Call) -> None:
            call.write_head('Transfer-Encoding: chunked')
            call.write(b'%x\r\n%b\r\n' % (BEGUN_BYTES, bytes(BEGUN_BYTES)))
            bench.loop.scheduler.call_after(
                0.6, lambda: call.write(b'3\r\nend\r\n0\r\n\r\n')
            )

        for _ in range(8):
            bench.add_raw(script)
        answers = [bench.send(PAY) for _ in range(CALLERS)]
        assert run_all(bench, answers) < MAX_HELD
        answered = [answer for answer in answers if answer.status == 200]
        assert len(answered) > CALLERS / 2
        assert all(answer.whole for answer in answered)
        assert all(len(each.body) == BEGUN_BYTES + 3 for each in answered)
        assert bench.apps[0].context.held.held_bytes == 0

    def test_memory_exhausted_by_events(self, bench: Bench) -> None:
        """Fail streams whose events are large and never end."""

        def script(call: Call) -> None:
            call.write_head(EVENT_STREAM, 'Connection: close')
            call.write(b'id: 1\ndata: ' + bytes(BEGUN_BYTES))

        for _ in range(8):
            bench.add_raw(script, MODELS)
        answers = [
            bench.send(CHAT, model=SMALL, deadline_ms=2000)
            for _ in range(CALLERS)
        ]
        assert run_all(bench, answers) < MAX_HELD
        assert not any(
            answer.whole and answer.body
            for answer in answers
            if answer.status == 200
        )
        assert bench.apps[0].context.held.held_bytes == 0

    def test_small_answers_beside(self, bench: Bench) -> None:
        """Hold small answers as ever, so that broken ones are retried."""
        bench.apps[0].context.held.held_bytes = MEMORY_MB * BYTES_PER_MB

        def script(call: Call) -> None:
            if sum(len(engine.calls) for engine in bench.raw) > 1:
                call.write_answer(b'{}')
                return
            call.write_head('Content-Length: 800')
            call.write(b'begun')
            call.connection.close()

        for _ in range(2):
            bench.add_raw(script)
        answer = bench.ask(LOOK, method='GET')
        assert (answer.status, answer.body) == (200, b'{}')


class TestHeldBytes:
    """Count what answers hold."""

    def test_pressure(self) -> None:
        """Allow an answer its own limit until the sum is reached."""
        total = HeldBytes(8)
        answers = [HeldAnswer(total, 1000 * 1000) for _ in range(3)]
        assert answers[0].resize(900_000)
        assert answers[1].resize(FREE_HELD_BYTES)
        assert not answers[1].resize(900_000)
        assert answers[2].resize(FREE_HELD_BYTES)
        assert not answers[2].resize(FREE_HELD_BYTES + 1)
        answers[0].resize(0)
        assert answers[2].resize(FREE_HELD_BYTES + 1)
