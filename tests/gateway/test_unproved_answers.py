"""Test that a success without the engine's proof never reaches a caller."""

from collections.abc import Callable, Iterator

import pytest

from bamboodeck.fakes.platform.documents import (
    CHAT,
    LOOK,
    MODELS,
    PAY,
    SMALL,
)
from bamboodeck.gateway.delivery import MAX_HELD_BYTES
from bamboodeck.platform import protocol
from tests.gateway.raw_bench import Bench
from tests.gateway.raw_engine import CHUNK, Call

SMALL_BYTES = 20
LARGE_BYTES = MAX_HELD_BYTES + 500_000
STATUSES = ('200 OK', '201 Created', '206 Partial Content')
# What the kernel may buffer between two sockets, and one chunk for each write.
MAX_IN_FLIGHT_BYTES = 16_000_000
# Headers that prove nothing.
NO_STAMP = 'X-Filler: 1'
NO_PROOF = (NO_STAMP, f'{protocol.STAMP}:', f'{protocol.STAMP}: \t')

Framing = Callable[[Call, bytes], None]


@pytest.fixture
def bench() -> Iterator[Bench]:
    """Run a gateway without engines."""
    bench = Bench()
    yield bench
    bench.close()


def write_unproved(
    call: Call,
    *lines: str,
    status: str = '200 OK',
    proof: str = NO_STAMP,
) -> None:
    """Send the head of an answer that bears no proof."""
    head = (
        f'HTTP/1.1 {status}',
        f'{protocol.REQUEST_ID}: {call.request_id}',
        proof,
        *lines,
    )
    call.write('\r\n'.join((*head, '', '')).encode())


def until_closed(call: Call, body: bytes, **head: str) -> None:
    """Send a body that ends with the connection."""
    write_unproved(call, 'Connection: close', **head)
    call.write(body)
    call.connection.close()


def with_length(call: Call, body: bytes, **head: str) -> None:
    """Send a body with its length."""
    write_unproved(call, f'Content-Length: {len(body)}', **head)
    call.write(body)


def in_chunks(call: Call, body: bytes, **head: str) -> None:
    """Send a body in one chunk."""
    write_unproved(call, 'Transfer-Encoding: chunked', **head)
    call.write(b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body))


def proved_in_trailers(call: Call, body: bytes, **head: str) -> None:
    """Send a proof behind the body, where no caller reads it."""
    write_unproved(call, 'Transfer-Encoding: chunked', **head)
    stamp = f'{protocol.STAMP}: late\r\n'.encode()
    call.write(b'%x\r\n%b\r\n0\r\n%b\r\n' % (len(body), body, stamp))


FRAMINGS = (until_closed, with_length, in_chunks, proved_in_trailers)


class TestUnprovedAnswer:
    """Forward no success without a proof, however large it is."""

    @pytest.mark.parametrize('size_bytes', [0, SMALL_BYTES, LARGE_BYTES])
    @pytest.mark.parametrize('send', FRAMINGS)
    def test_unproved_payment(
        self,
        bench: Bench,
        send: Framing,
        size_bytes: int,
    ) -> None:
        """Answer a payment with 502, and judge its engine."""
        engine = bench.add_raw(lambda call: send(call, bytes(size_bytes)))
        answer = bench.ask(PAY)
        assert (answer.status, answer.whole) == (502, True)
        assert answer.header(protocol.STAMP) is None
        assert len(engine.calls) == 1
        assert bench.failure_rate() > 0

    @pytest.mark.parametrize('status', STATUSES)
    @pytest.mark.parametrize('proof', NO_PROOF)
    def test_unproved_head(
        self,
        bench: Bench,
        status: str,
        proof: str,
    ) -> None:
        """Take an empty proof, or a success other than 200, for none."""
        body = bytes(LARGE_BYTES)
        bench.add_raw(
            lambda call: with_length(call, body, status=status, proof=proof),
        )
        answer = bench.ask(PAY)
        assert (answer.status, answer.whole) == (502, True)

    @pytest.mark.parametrize('status', STATUSES)
    def test_unproved_stream(self, bench: Bench, status: str) -> None:
        """Run a stream again whose engine proves nothing."""

        def script(call: Call) -> None:
            if len(engine.calls) == 1:
                until_closed(call, bytes(LARGE_BYTES), status=status)
                return
            call.write_answer(b'id: 1\ndata: a\n\n')

        engine = bench.add_raw(script, MODELS)
        answer = bench.ask(CHAT, model=SMALL)
        assert answer.whole
        assert (answer.status, answer.body) == (200, b'id: 1\ndata: a\n\n')

    def test_unproved_retry(self, bench: Bench) -> None:
        """Run a safe request again at another engine."""
        body = bytes(LARGE_BYTES)
        bench.add_raw(lambda call: until_closed(call, body))
        bench.add_raw(lambda call: call.write_answer(b'proved'))
        answers = [bench.ask(LOOK, method='GET') for _ in range(4)]
        assert [answer.body for answer in answers] == [b'proved'] * 4

    def test_endless_unproved_body(self, bench: Bench) -> None:
        """Close the connection of an endless body without a proof."""

        def script(call: Call) -> None:
            write_unproved(call, 'Connection: close')
            call.repeat(bytes(CHUNK))

        engine = bench.add_raw(script)
        answer = bench.ask(PAY)
        assert (answer.status, answer.whole) == (502, True)
        bench.until(lambda: not engine.connections)
        assert engine.calls[0].sent_bytes < MAX_IN_FLIGHT_BYTES


class TestProvedAnswer:
    """Forward a large proved answer as it comes, in bounded memory."""

    @pytest.mark.parametrize('chunked', [True, False])
    def test_large_answer_delayed(
        self,
        bench: Bench,
        *,
        chunked: bool,
    ) -> None:
        """Begin before its end, and hold no more than allowed."""

        def script(call: Call) -> None:
            framing = f'Content-Length: {2 * LARGE_BYTES}'
            if chunked:
                framing = 'Transfer-Encoding: chunked'
            call.write_head(framing)
            write(call, bytes(LARGE_BYTES))

        def write(call: Call, content: bytes) -> None:
            if chunked:
                content = b'%x\r\n%b\r\n' % (len(content), content)
            call.write(content)

        engine = bench.add_raw(script)
        answer = bench.send(PAY)
        bench.until(lambda: len(answer.body) == LARGE_BYTES)
        assert not answer.ended
        write(engine.calls[0], b'x' * LARGE_BYTES)
        if chunked:
            engine.calls[0].write(b'0\r\n\r\n')
        bench.until(lambda: answer.ended)
        assert answer.whole
        assert answer.header(protocol.STAMP) == 'stamp-raw'
        assert answer.body == bytes(LARGE_BYTES) + b'x' * LARGE_BYTES

    def test_unproved_error(self, bench: Bench) -> None:
        """Forward an engine's own error, which needs no proof."""
        bench.add_raw(
            lambda call: with_length(
                call, b'no such order', status='404 Not Found'
            ),
        )
        answer = bench.ask(PAY)
        assert (answer.status, answer.body) == (404, b'no such order')
