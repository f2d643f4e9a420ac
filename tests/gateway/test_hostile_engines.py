"""Test answers of engines that no request expects."""

import time
from collections.abc import Callable, Iterator

import msgspec
import pytest

from bamboodeck.fakes.platform.documents import (
    CHAT,
    LOOK,
    MODELS,
    PAY,
    SMALL,
    build_configuration,
)
from bamboodeck.http.client import HttpClient
from bamboodeck.http.messages import Address, FailureKind, Header, HttpCall
from bamboodeck.platform import protocol
from tests.gateway.raw_bench import Bench
from tests.gateway.raw_engine import CHUNK, Call, RawEngine
from tests.http.looping import build_loop, run_until

CHUNKED = 'Transfer-Encoding: chunked'
EVENT_STREAM = 'Content-Type: text/event-stream'
# What the kernel may buffer between two sockets, and one chunk for each write.
MAX_IN_FLIGHT_BYTES = 16_000_000
MAX_CLOCK_STEP_S = 0.02


def answer_at_once(call: Call) -> None:
    """Answer with the request's id as the body."""
    call.write_answer(call.request_id.encode())


class SteadyClock:
    """Read the time as if the process never paused for long."""

    def __init__(self) -> None:
        """Start at the time of the system."""
        self._real_s = time.monotonic()
        self._now_s = self._real_s

    def read_s(self) -> float:
        """Return the time in seconds."""
        real_s = time.monotonic()
        self._now_s += min(real_s - self._real_s, MAX_CLOCK_STEP_S)
        self._real_s = real_s
        return self._now_s


@pytest.fixture
def bench() -> Iterator[Bench]:
    """Run a gateway without engines."""
    bench = Bench()
    yield bench
    bench.close()


@pytest.fixture
def steady_bench() -> Iterator[Bench]:
    """Run a gateway whose process, which runs the engines too, never pauses."""
    bench = Bench(SteadyClock().read_s)
    yield bench
    bench.close()


class TestStrayAnswers:
    """Never take an answer for that of another request."""

    def test_late_copy(self, bench: Bench) -> None:
        """Skip a copy of the previous answer, and deliver the own one."""

        def script(call: Call) -> None:
            for earlier in engine.calls[:-1]:
                copied = Call(bench.loop, call.connection, earlier.parsed)
                answer_at_once(copied)
            answer_at_once(call)

        engine = bench.add_raw(script)
        answers = [bench.ask(PAY) for _ in range(2)]
        assert [answer.status for answer in answers] == [200, 200]
        assert [answer.body for answer in answers] == [
            b'request-1',
            b'request-2',
        ]

    def test_copy_while_idle(self, bench: Bench) -> None:
        """Close a connection that receives an answer between two requests."""
        engine = bench.add_raw(answer_at_once)
        bench.ask(PAY)
        answer_at_once(engine.calls[0])
        bench.until(lambda: not engine.connections)
        answer = bench.ask(PAY)
        assert (answer.status, answer.body) == (200, b'request-2')

    def test_copy_just_before_reuse(self) -> None:
        """Send nothing on a connection with unread bytes."""
        loop = build_loop()
        client = HttpClient(loop)
        engine = RawEngine(loop, answer_at_once)
        bodies = []

        def send(number: int) -> None:
            headers = (Header(protocol.REQUEST_ID, f'request-{number}'),)
            address = Address('127.0.0.1', engine.port)
            call = HttpCall(address, 'POST', '/', b'', headers)
            client.send(call, lambda reply: bodies.append(reply.body))

        send(1)
        run_until(loop, lambda: len(bodies) == 1)
        answer_at_once(engine.calls[0])
        # The loop doesn't run between the copy's arrival and the next call.
        send(2)
        run_until(loop, lambda: len(bodies) == 2)
        client.close()
        engine.close()
        assert bodies == [b'request-1', b'request-2']

    @pytest.mark.parametrize('of_previous', [True, False])
    def test_refusal_of_another(
        self,
        bench: Bench,
        *,
        of_previous: bool,
    ) -> None:
        """Never report a payment as not run by a refusal of another."""
        refused_id = 'request-1' if of_previous else 'stranger'

        def script(call: Call) -> None:
            if len(engine.calls) == 1:
                answer_at_once(call)
                return
            lines = (
                'HTTP/1.1 503 Service Unavailable',
                f'{protocol.REQUEST_ID}: {refused_id}',
                f'{protocol.NOT_EXECUTED}: 1',
                'Content-Length: 0',
            )
            call.write('\r\n'.join((*lines, '', '')).encode())

        engine = bench.add_raw(script)
        bench.ask(PAY)
        answer = bench.ask(PAY)
        assert answer.status in {502, 504}
        assert len(engine.calls) == 2

    def test_answer_without_id(self, bench: Bench) -> None:
        """Take an answer without an id on a new connection only."""

        def script(call: Call) -> None:
            lines = (
                'HTTP/1.1 200 OK',
                f'{protocol.STAMP}: stamp-raw',
                'Content-Length: 4',
            )
            call.write('\r\n'.join((*lines, '', 'body')).encode())

        bench.add_raw(script)
        assert [bench.ask(PAY).status for _ in range(2)] == [200, 502]


class TestRepeatedRefusals:
    """Never take an earlier refusal of a request for that of a later try."""

    def test_refusal_repeated_while_running(self, bench: Bench) -> None:
        """Don't run a payment twice, nor report it as not run."""
        bench.store.put(
            protocol.CONFIGURATION_KEY,
            allow_attempts('pay', 3),
        )
        context = bench.apps[0].context
        bench.until(
            lambda: (
                context.configuration is not None
                and context.configuration.version == 2
            ),
        )
        running = []

        def script(call: Call) -> None:
            if len(engine.calls) == 1:
                refuse(call)
                return
            if call.connection is engine.calls[0].connection:
                refuse(call)
            running.append(call)
            bench.loop.scheduler.call_after(0.2, lambda: answer_at_once(call))

        engine = bench.add_raw(script)
        answer = bench.ask(PAY)
        assert answer.status == 200
        assert len(running) == 1


def refuse(call: Call) -> None:
    """Say that the request has not run, and keep the connection."""
    call.write_head(
        f'{protocol.NOT_EXECUTED}: 1',
        'Content-Length: 0',
        status='503 Service Unavailable',
    )


def allow_attempts(route: str, attempts: int) -> bytes:
    """Build a configuration that allows a route more attempts."""
    document = msgspec.json.decode(build_configuration(2))
    for each in document['routes']:
        if each['name'] == route:
            each['max_attempts'] = attempts
    return msgspec.json.encode(document)


class TestBegunStreams:
    """Keep a stream that has begun free of other answers."""

    @pytest.mark.parametrize(
        'status',
        ['404 Not Found', '400 Bad Request', '429 Too Many', '206 Partial'],
    )
    @pytest.mark.parametrize('size', [20, 2_000_000])
    def test_error_text_in_stream(
        self,
        bench: Bench,
        status: str,
        size: int,
    ) -> None:
        """End it as incomplete if the next engine answers with an error."""
        engine = bench.add_raw(
            lambda call: break_then_fail(bench, call, status, size),
            MODELS,
        )
        answer = bench.ask(CHAT, model=SMALL)
        assert len(engine.calls) > 1
        assert (answer.status, answer.body) == (200, b'id: 1\ndata: a\n\n')
        # Neither whole nor followed by bytes that are no part of it.
        assert answer.failure.kind is FailureKind.BROKEN

    def test_resumed_after_error(self, bench: Bench) -> None:
        """Resume it at a third engine."""

        def script(call: Call) -> None:
            if len(engine.calls) < 3:
                break_then_fail(bench, call, '404 Not Found', 20)
                return
            call.write_head(EVENT_STREAM, 'Connection: close')
            call.write(b'id: 2\ndata: b\n\n')
            call.connection.close()

        engine = bench.add_raw(script, MODELS)
        answer = bench.ask(CHAT, model=SMALL)
        assert answer.whole
        assert answer.body == b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'

    def test_closed_inside_event(self, bench: Bench) -> None:
        """Resume a stream without a length that ends inside an event."""

        def script(call: Call) -> None:
            call.write_head(EVENT_STREAM, 'Connection: close')
            if len(engine.calls) == 1:
                call.write(b'id: 1\ndata: a\n\nid: 2\ndat')
            else:
                call.write(b'id: 2\ndata: b\n\n')
            call.connection.close()

        engine = bench.add_raw(script, MODELS)
        answer = bench.ask(CHAT, model=SMALL)
        assert answer.whole
        assert answer.body == b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'

    @pytest.mark.parametrize('begun', [b'', b': waiting\n\n', b'id: 1\nda'])
    def test_closed_before_first_event(
        self,
        bench: Bench,
        begun: bytes,
    ) -> None:
        """Retry a stream without a length that ends without an event."""

        def script(call: Call) -> None:
            call.write_head(EVENT_STREAM, 'Connection: close')
            call.write(begun if len(engine.calls) == 1 else b'data: a\n\n')
            call.connection.close()

        engine = bench.add_raw(script, MODELS)
        answer = bench.ask(CHAT, model=SMALL)
        assert answer.whole
        assert answer.body.endswith(b'data: a\n\n')
        assert len(engine.calls) == 2

    @pytest.mark.parametrize('begun', [b'', b'id: 1\nda'])
    def test_closed_stream_not_suspected(
        self,
        bench: Bench,
        begun: bytes,
    ) -> None:
        """Suspect the prompt parts of a stream that ends without an event."""

        def script(call: Call) -> None:
            call.write_head(EVENT_STREAM, 'Connection: close')
            call.write(begun)
            call.connection.close()

        bench.add_raw(script, MODELS)
        assert bench.ask(CHAT, model=SMALL).status == 502
        suspects = bench.apps[0].context.suspect_parts
        assert list(suspects.crashes) == ['raw-1/1']
        assert bench.failure_rate() > 0

    def test_empty_stream_with_length(self, bench: Bench) -> None:
        """Forward an empty stream if its engine marks the end."""

        def script(call: Call) -> None:
            call.write_head(EVENT_STREAM, 'Content-Length: 0')

        engine = bench.add_raw(script, MODELS)
        answer = bench.ask(CHAT, model=SMALL)
        assert answer.whole
        assert (answer.status, answer.body) == (200, b'')
        assert len(engine.calls) == 1


def break_then_fail(bench: Bench, call: Call, status: str, size: int) -> None:
    """Break the first stream off, and answer later calls with an error."""
    if len(bench.raw[0].calls) == 1:
        call.write_head(EVENT_STREAM, CHUNKED)
        event = b'id: 1\ndata: a\n\n'
        call.write(b'%x\r\n%b\r\n' % (len(event), event))
        bench.loop.scheduler.call_after(0.05, call.connection.abort)
        return
    call.write_head(f'Content-Length: {size}', status=status)
    call.write(b'x' * size)


def endless_header(call: Call) -> None:
    """Send headers without end."""
    call.write(b'HTTP/1.1 200 OK\r\n')
    call.repeat(b'X-Filler: %b\r\n' % (b'x' * CHUNK))


def endless_header_value(call: Call) -> None:
    """Send a header without end."""
    call.write(b'HTTP/1.1 200 OK\r\nX-Filler: ')
    call.repeat(b'x' * CHUNK)


def endless_reason(call: Call) -> None:
    """Send a status line without end."""
    call.write(b'HTTP/1.1 200 ')
    call.repeat(b'x' * CHUNK)


def endless_informational(call: Call) -> None:
    """Send informational responses without end."""
    call.repeat(b'HTTP/1.1 102 Processing\r\n\r\n' * 500)


def endless_chunk_extension(call: Call) -> None:
    """Send a chunk extension without end."""
    call.write_head(CHUNKED)
    call.write(b'5;')
    call.repeat(b'x' * CHUNK)


def endless_trailers(call: Call) -> None:
    """Send trailers without end."""
    call.write_head(CHUNKED)
    call.write(b'2\r\nok\r\n0\r\n')
    call.repeat(b'X-Filler: %b\r\n' % (b'x' * CHUNK))


def no_protocol(call: Call) -> None:
    """Send bytes that are no HTTP, without end."""
    call.repeat(b'\x00\xff' * CHUNK)


class TestEndlessBytes:
    """Bound what an engine may send that is no answer."""

    @pytest.mark.parametrize(
        'script',
        [
            endless_header,
            endless_header_value,
            endless_reason,
            endless_informational,
            endless_chunk_extension,
            endless_trailers,
            no_protocol,
        ],
    )
    def test_framing(self, bench: Bench, script: Callable) -> None:
        """Fail the attempt, close the connection and judge the engine."""
        engine = bench.add_raw(script)
        answer = bench.ask(PAY)
        assert answer.status == 502
        bench.until(lambda: not engine.connections)
        assert engine.calls[0].sent_bytes < MAX_IN_FLIGHT_BYTES
        assert bench.failure_rate() > 0

    def test_slow_head(self, bench: Bench) -> None:
        """End a head that never ends when its route's time is over."""

        def script(call: Call) -> None:
            call.write(b'HTTP/1.1 200 OK\r\n')
            call.repeat(b'X: y\r\n', every_s=0.05)

        engine = bench.add_raw(script)
        answer = bench.ask(PAY)
        assert answer.status == 504
        bench.until(lambda: not engine.connections)
        assert bench.failure_rate() > 0

    def test_rejection(self, bench: Bench) -> None:
        """Don't hold the endless body of a rejection."""

        def script(call: Call) -> None:
            call.write_head(
                f'{protocol.NOT_EXECUTED}: 1',
                CHUNKED,
                status='503 Service Unavailable',
            )
            call.repeat(b'%x\r\n%b\r\n' % (CHUNK, b'x' * CHUNK))

        engine = bench.add_raw(script)
        answer = bench.ask(PAY)
        assert answer.status == 503
        bench.until(lambda: not engine.connections)
        assert engine.calls[0].sent_bytes < MAX_IN_FLIGHT_BYTES

    def test_body(self, bench: Bench) -> None:
        """Abort an endless body at the route's time, as incomplete."""

        def script(call: Call) -> None:
            call.write_head(CHUNKED)
            call.repeat(b'%x\r\n%b\r\n' % (CHUNK, b'x' * CHUNK), every_s=0.01)

        engine = bench.add_raw(script)
        answer = bench.ask(PAY)
        assert not answer.whole
        bench.until(lambda: not engine.connections)
        assert bench.failure_rate() > 0

    def test_event(self, bench: Bench) -> None:
        """Fail a stream whose event never ends."""

        def script(call: Call) -> None:
            call.write_head(EVENT_STREAM, 'Connection: close')
            call.write(b'id: 1\ndata: ')
            call.repeat(b'x' * CHUNK)

        engine = bench.add_raw(script, MODELS)
        answer = bench.ask(CHAT, model=SMALL)
        assert answer.status == 502
        bench.until(lambda: not engine.connections)
        assert bench.failure_rate() > 0


class TestSlowStreams:
    """Tell slow streams from stalled ones by the route's allowed pause."""

    def test_sound(self, steady_bench: Bench) -> None:
        """Keep streams that an engine's long prefill holds up."""

        def script(call: Call) -> None:
            call.write_head(EVENT_STREAM, 'Connection: close')
            call.write(b'id: 1\ndata: a\n\n')

            def finish() -> None:
                call.write(b'id: 2\ndata: b\n\n')
                call.connection.close()

            # The route allows 0.8 s.
            steady_bench.loop.scheduler.call_after(0.6, finish)

        engine = steady_bench.add_raw(script, MODELS)
        answers = [steady_bench.send(CHAT, model=SMALL) for _ in range(4)]
        steady_bench.until(lambda: all(answer.ended for answer in answers))
        assert all(answer.whole for answer in answers)
        assert len(engine.calls) == 4

    @pytest.mark.parametrize(
        'trickle',
        [b':', b': keep-alive\n\n', b'data', b'id: 1\ndata: a\n\n'],
    )
    def test_trickle(self, bench: Bench, trickle: bytes) -> None:
        """Resume a stream elsewhere that sends bytes but no new events."""

        def script(call: Call) -> None:
            call.write_head(EVENT_STREAM, 'Connection: close')
            call.write(b'id: 1\ndata: a\n\n')
            if len(bench.raw[0].calls) == 1:
                call.repeat(trickle, every_s=0.1)
                return
            call.write(b'id: 2\ndata: b\n\n')
            call.connection.close()

        engine = bench.add_raw(script, MODELS)
        answer = bench.ask(CHAT, model=SMALL)
        assert answer.whole
        assert answer.body.startswith(b'id: 1\ndata: a\n\n')
        assert answer.body.endswith(b'id: 2\ndata: b\n\n')
        assert len(engine.calls) == 2

    def test_look_again(self, bench: Bench) -> None:
        """Retry a safe call elsewhere after an endless head."""
        bench.add_raw(endless_header)
        bench.add_raw(answer_at_once)
        answers = [bench.ask(LOOK, method='GET') for _ in range(4)]
        assert [answer.status for answer in answers] == [200] * 4
