"""Test that no status promises "not run" of a request that may have run."""

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
from bamboodeck.gateway.delivery import MAX_HELD_BYTES
from bamboodeck.platform import protocol
from tests.gateway.raw_bench import Bench
from tests.gateway.raw_engine import Call

BUY = '/buy/'
TALK = '/talk/'
PROMISES = (
    '408 Request Timeout',
    '429 Too Many Requests',
    '503 Service Unavailable',
)
OTHER_ERRORS = ('400 Bad Request', '409 Conflict', '500 Error', '504 Late')
NOT_RUN = f'{protocol.NOT_EXECUTED}: 1'
SIZES_BYTES = (0, 20, MAX_HELD_BYTES + 500_000)
EVENT = b'id: 1\ndata: a\n\n'

Framing = Callable[..., None]


def build_routes() -> bytes:
    """Add an unsafe route without a key, and a stream that can't resume."""
    document = msgspec.json.decode(build_configuration(2))
    chat, pay = document['routes'][:2]
    buy = {'name': 'buy', 'prefix': BUY, 'public': True, 'max_attempts': 3}
    talk = {'name': 'talk', 'prefix': TALK, 'stream_resume': False}
    document['routes'] += [{**pay, **buy}, {**chat, **talk}]
    return msgspec.json.encode(document)


@pytest.fixture
def bench() -> Iterator[Bench]:
    """Run a gateway without engines."""
    bench = Bench()
    bench.store.put(protocol.CONFIGURATION_KEY, build_routes())
    context = bench.apps[0].context
    bench.until(
        lambda: context.configuration and context.configuration.version == 2,
    )
    yield bench
    bench.close()


def with_length(call: Call, body: bytes, *lines: str, status: str) -> None:
    """Send a body with its length."""
    length = f'Content-Length: {len(body)}'
    call.write_head(length, *lines, status=status)
    call.write(body)


def in_chunks(call: Call, body: bytes, *lines: str, status: str) -> None:
    """Send a body in one chunk."""
    call.write_head('Transfer-Encoding: chunked', *lines, status=status)
    chunk = b'%x\r\n%b\r\n' % (len(body), body) if body else b''
    call.write(b'%b0\r\n\r\n' % chunk)


def until_closed(call: Call, body: bytes, *lines: str, status: str) -> None:
    """Send a body that ends with the connection."""
    call.write_head('Connection: close', *lines, status=status)
    call.write(body)
    call.connection.close()


FRAMINGS = (with_length, in_chunks, until_closed)


class TestUnconfirmedRejection:
    """Promise nothing that the engine doesn't state."""

    @pytest.mark.parametrize('size_bytes', SIZES_BYTES)
    @pytest.mark.parametrize('send', FRAMINGS)
    @pytest.mark.parametrize('status', PROMISES)
    @pytest.mark.parametrize('path', [PAY, BUY])
    def test_payment_that_ran_is_refused(
        self,
        bench: Bench,
        path: str,
        status: str,
        send: Framing,
        size_bytes: int,
    ) -> None:
        """Answer 502 without the engine's stamp, and run it once."""
        body = bytes(size_bytes)
        engine = bench.add_raw(lambda call: send(call, body, status=status))
        answer = bench.ask(path)
        assert (answer.status, answer.whole) == (502, True)
        assert answer.header(protocol.STAMP) is None
        assert answer.header(protocol.RETRY_AFTER) is None
        assert len(engine.calls) == 1

    @pytest.mark.parametrize('send', FRAMINGS)
    @pytest.mark.parametrize('status', PROMISES)
    def test_stream_that_ran_is_refused(
        self,
        bench: Bench,
        status: str,
        send: Framing,
    ) -> None:
        """Do the same for a stream that can't be resumed."""
        engine = bench.add_raw(
            lambda call: send(call, b'no', status=status),
            MODELS,
        )
        answer = bench.ask(TALK, model=SMALL)
        assert (answer.status, answer.whole) == (502, True)
        assert answer.header(protocol.STAMP) is None
        assert len(engine.calls) == 1

    def test_line(self, bench: Bench) -> None:
        """Log and count what the engine answered."""
        bench.add_raw(
            lambda call: with_length(call, b'no', status=PROMISES[-1]),
        )
        context = bench.apps[0].context
        bench.ask(PAY, request_id='pay-1')
        line = next(
            line
            for line in bench.log().splitlines()
            if 'event=attempt_failed' in line
        )
        assert 'pay-1' in line
        assert '503' in line
        assert context.metrics.events['unconfirmed_rejection'] == 1


class TestConfirmedRejection:
    """Believe an engine that states that it did not run a request."""

    @pytest.mark.parametrize('send', FRAMINGS)
    @pytest.mark.parametrize('status', PROMISES)
    def test_sent_elsewhere(
        self,
        bench: Bench,
        status: str,
        send: Framing,
    ) -> None:
        """Send the payment to the other engine."""

        def script(call: Call) -> None:
            if sum(len(engine.calls) for engine in bench.raw) == 1:
                send(call, b'full', NOT_RUN, status=status)
                return
            call.write_answer(b'paid')

        for _ in range(2):
            bench.add_raw(script)
        answer = bench.ask(BUY)
        assert (answer.status, answer.body) == (200, b'paid')

    def test_refused(self, bench: Bench) -> None:
        """Answer 503 if no other engine is left."""
        bench.add_raw(
            lambda call: with_length(
                call, b'full', NOT_RUN, status=PROMISES[-1]
            ),
        )
        answer = bench.ask(PAY)
        assert answer.status == 503
        assert answer.header(protocol.RETRY_AFTER) is not None


class TestOtherStatus:
    """Forward the engine's own status where it promises nothing."""

    @pytest.mark.parametrize('size_bytes', SIZES_BYTES)
    @pytest.mark.parametrize('send', FRAMINGS)
    @pytest.mark.parametrize('status', OTHER_ERRORS)
    def test_unchanged(
        self,
        bench: Bench,
        status: str,
        send: Framing,
        size_bytes: int,
    ) -> None:
        """Keep status, stamp and body of a failed payment."""
        body = b'x' * size_bytes
        bench.add_raw(lambda call: send(call, body, status=status))
        answer = bench.ask(PAY)
        assert answer.status == int(status[:3])
        assert answer.header(protocol.STAMP) == 'stamp-raw'
        assert answer.body == body

    @pytest.mark.parametrize('status', PROMISES)
    def test_repeatable(self, bench: Bench, status: str) -> None:
        """Keep the status of a lookup, which may run again anyway."""
        bench.add_raw(lambda call: with_length(call, b'no', status=status))
        answer = bench.ask(LOOK, method='GET')
        assert (answer.status, answer.body) == (int(status[:3]), b'no')
        assert answer.header(protocol.STAMP) == 'stamp-raw'

    def test_resumable_stream(self, bench: Bench) -> None:
        """Run a resumable stream at the other engine."""

        def script(call: Call) -> None:
            if sum(len(engine.calls) for engine in bench.raw) == 1:
                with_length(call, b'no', status=PROMISES[-1])
                return
            call.write_answer(EVENT)

        for _ in range(2):
            bench.add_raw(script, MODELS)
        answer = bench.ask(CHAT, model=SMALL)
        assert (answer.status, answer.body) == (200, EVENT)
