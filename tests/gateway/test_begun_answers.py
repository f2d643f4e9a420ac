"""Test that a caller never gets parts of two answers as one."""

import socket
from collections.abc import Callable, Iterator

import pytest

from bamboodeck.fakes.platform.documents import (
    CHAT,
    HOST,
    KEY,
    LOOK,
    MODELS,
    SMALL,
)
from bamboodeck.gateway.delivery import MAX_HELD_BYTES
from bamboodeck.platform import protocol
from tests.gateway.raw_bench import Bench
from tests.gateway.raw_engine import Call

BEGUN_BYTES = MAX_HELD_BYTES + 500_000
CHUNKED = 'Transfer-Encoding: chunked'
LENGTH = f'Content-Length: {2 * BEGUN_BYTES}'
# Longer than the route's target, shorter than its timeout.
PAUSE_S = 0.5

Break = Callable[[Call], None]


@pytest.fixture
def bench() -> Iterator[Bench]:
    """Run a gateway without engines."""
    bench = Bench()
    yield bench
    bench.close()


def write_part(call: Call, framing: str, content: bytes) -> None:
    """Send a part of a body."""
    if framing is CHUNKED:
        content = b'%x\r\n%b\r\n' % (len(content), content)
    call.write(content)


def begin(call: Call, framing: str, status: str = '200 OK') -> None:
    """Send the first half of a proved answer."""
    call.write_head(framing, status=status)
    write_part(call, framing, b'a' * BEGUN_BYTES)


def end(call: Call, framing: str) -> None:
    """Send the second half."""
    write_part(call, framing, b'a' * BEGUN_BYTES)
    if framing is CHUNKED:
        call.write(b'0\r\n\r\n')


def reset(call: Call) -> None:
    """Reset the connection."""
    call.connection.abort()


def close(call: Call) -> None:
    """Close the connection after what was sent."""
    call.connection.close()


def send_garbage(call: Call) -> None:
    """Send what fits no framing."""
    call.write(b'\r\nno chunk\r\n')


class TestBegunAnswer:
    """Break an answer off that its engine broke off."""

    @pytest.mark.parametrize(
        ('framing', 'break_off'),
        [
            (LENGTH, reset),
            (LENGTH, close),
            (CHUNKED, reset),
            (CHUNKED, close),
            (CHUNKED, send_garbage),
        ],
    )
    def test_two_runs_joined(
        self,
        bench: Bench,
        framing: str,
        break_off: Break,
    ) -> None:
        """Don't append the answer of another engine."""

        def script(call: Call) -> None:
            begin(call, framing)
            bench.loop.scheduler.call_after(0.1, lambda: break_off(call))

        first = bench.add_raw(script)
        answer = bench.send(LOOK, method='GET')
        bench.until(lambda: len(answer.body) == BEGUN_BYTES)
        second = bench.add_raw(lambda call: call.write_answer(b'b' * 4000))
        bench.until(lambda: answer.ended)
        assert not answer.whole
        assert set(answer.body) == set(b'a')
        assert (len(first.calls), len(second.calls)) == (1, 0)

    @pytest.mark.parametrize('status', ['206 Partial Content', '201 Created'])
    def test_two_runs_joined_on_stream(self, bench: Bench, status: str) -> None:
        """Don't append events to an answer without events."""

        def script(call: Call) -> None:
            if len(engine.calls) > 1:
                call.write_answer(b'id: 1\ndata: b\n\n')
                return
            begin(call, CHUNKED, status)
            bench.loop.scheduler.call_after(0.1, call.connection.abort)

        engine = bench.add_raw(script, MODELS)
        answer = bench.ask(CHAT, model=SMALL)
        assert not answer.whole
        assert set(answer.body) == set(b'a')
        assert len(engine.calls) == 1

    @pytest.mark.parametrize(
        'status',
        ['206 Partial Content', '500 Internal Server Error', '404 Not Found'],
    )
    def test_rest_dropped_on_stream(self, bench: Bench, status: str) -> None:
        """Forward all of a large answer without events."""

        def script(call: Call) -> None:
            begin(call, CHUNKED, status)
            bench.loop.scheduler.call_after(0.1, lambda: end(call, CHUNKED))

        bench.add_raw(script, MODELS)
        answer = bench.ask(CHAT, model=SMALL)
        assert answer.whole
        assert answer.body == b'a' * 2 * BEGUN_BYTES

    def test_paused_answers_broken_off(self, bench: Bench) -> None:
        """Let an engine pause that can't be replaced any more."""

        def script(call: Call) -> None:
            begin(call, CHUNKED)
            bench.loop.scheduler.call_after(PAUSE_S, lambda: end(call, CHUNKED))

        bench.add_raw(script)
        answers = [bench.send(LOOK, method='GET') for _ in range(4)]
        bench.until(lambda: all(answer.ended for answer in answers))
        assert all(answer.whole for answer in answers), bench.log()
        assert all(answer.body == b'a' * 2 * BEGUN_BYTES for answer in answers)

    def test_large_answers_not_counted(self, bench: Bench) -> None:
        """Count a large answer for its engine, as a small one."""

        def script(call: Call) -> None:
            begin(call, CHUNKED)
            end(call, CHUNKED)

        bench.add_raw(script)
        engine = bench.apps[0].context.engines.find('raw-1')
        engine.failure_rate = 0.5
        assert bench.ask(LOOK, method='GET').whole
        assert bench.failure_rate() < 0.5


class TestOldCaller:
    """Show a caller without chunks that an answer was broken off."""

    def test_cut_answer_looks_whole(self, bench: Bench) -> None:
        """Reset a connection whose close would end the body."""

        def script(call: Call) -> None:
            begin(call, CHUNKED)
            bench.loop.scheduler.call_after(0.2, call.connection.abort)

        bench.add_raw(script)
        caller = socket.create_connection(
            ('127.0.0.1', bench.apps[0].callers.address.port),
        )
        lines = (
            f'GET {LOOK} HTTP/1.0',
            f'Host: {HOST}',
            f'{protocol.REQUEST_ID}: old',
            f'{protocol.API_KEY}: {KEY}',
        )
        caller.sendall('\r\n'.join((*lines, '', '')).encode())
        caller.setblocking(False)
        received = []

        def is_reset() -> bool:
            try:
                received.append(caller.recv(65_536))
            except BlockingIOError:
                return False
            except ConnectionResetError:
                return True
            assert received[-1], 'closed as complete'
            return False

        bench.until(is_reset)
        caller.close()
