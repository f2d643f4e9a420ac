"""Test that a head that an engine breaks off within is no answer."""

from collections.abc import Iterator

import pytest

from bamboodeck.fakes.platform.documents import (
    CHAT,
    LOOK,
    MODELS,
    PAY,
    SHOP,
)
from bamboodeck.http.reply_parser import ReplyParser
from bamboodeck.platform import protocol
from tests.gateway.harness import GatewayHarness
from tests.gateway.raw_engine import Call, RawEngine

HEAD = (
    b'HTTP/1.1 200 OK\r\n%b: %b\r\n%b: stamp-raw\r\n'
    b'Content-Type: text/event-stream\r\n'
)
FRAMINGS = (b'', b'Content-Length: 120\r\n', b'Transfer-Encoding: chunked\r\n')
EARLY_HINTS = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
PREFIXES = (b'', EARLY_HINTS)
EVENTS = b'id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n'


def build_head(request_id: str, framing: bytes) -> bytes:
    """Build the head of an answer, without the empty line at its end."""
    return framing.join(
        (
            HEAD
            % (
                protocol.REQUEST_ID.encode(),
                request_id.encode(),
                protocol.STAMP.encode(),
            ),
            b'',
        ),
    )


@pytest.fixture
def harness() -> Iterator[GatewayHarness]:
    """Run one gateway."""
    harness = GatewayHarness()
    yield harness
    harness.close()


def list_raw(harness: GatewayHarness, service: str, cut: Call) -> RawEngine:
    """List an engine that runs a script for each request."""
    engine = RawEngine(harness.loop, cut)
    harness.add_engine('raw', service)
    harness.relist(
        'raw', service, address=f'127.0.0.1:{engine.port}', sequence=2
    )
    harness.until(
        lambda: any(
            each.entry.address.port == engine.port
            for each in harness.apps[0].context.engines
        ),
    )
    return engine


class TestCutHead:
    """Take no part of a head for an answer."""

    @pytest.mark.parametrize('prefix', PREFIXES, ids=['plain', 'hints'])
    @pytest.mark.parametrize('framing', FRAMINGS)
    def test_every_byte(self, prefix: bytes, framing: bytes) -> None:
        """Know no head before its last byte."""
        whole = b'%b%b\r\n' % (prefix, build_head('a', framing))
        cut = whole
        while cut:
            cut = cut[:-1]
            parser = ReplyParser()
            parser.feed(cut)
            assert parser.head is None
            assert not (parser.complete or parser.close_delimited)

    @pytest.mark.parametrize('prefix', PREFIXES, ids=['plain', 'hints'])
    @pytest.mark.parametrize('framing', FRAMINGS)
    @pytest.mark.parametrize('kept', [20, -30, -1, None])
    @pytest.mark.parametrize('reset', [False, True])
    @pytest.mark.parametrize(
        ('path', 'service', 'model'),
        [(PAY, SHOP, None), (LOOK, SHOP, None), (CHAT, MODELS, '*')],
        ids=['unsafe', 'safe', 'stream'],
    )
    def test_cut_head_is_an_answer(
        self,
        harness: GatewayHarness,
        path: str,
        service: str,
        model: str | None,
        reset: bool,
        kept: int | None,
        framing: bytes,
        prefix: bytes,
    ) -> None:
        """Tell the caller of a failure."""

        def cut(call: Call) -> None:
            head = build_head(call.request_id, framing)
            call.write(prefix + head[:kept])
            if reset:
                call.connection.abort()
            else:
                call.connection.close()

        engine = list_raw(harness, service, cut)
        answer = harness.ask(path, model=model)
        engine.close()
        assert answer.status == 502
        assert answer.header(protocol.STAMP) is None

    @pytest.mark.parametrize('kept', [20, -1, None])
    def test_cut_head_ends_resumed_stream(
        self, harness: GatewayHarness, kept: int | None
    ) -> None:
        """Break a stream off when the engine that resumes it stops so."""
        engine = list_raw(harness, MODELS, lambda call: cut_resumed(call, kept))
        answer = harness.ask(CHAT, model='*')
        engine.close()
        assert len(engine.calls) > 1
        assert answer.failure is not None
        assert answer.body == EVENTS


def cut_resumed(call: Call, kept: int | None) -> None:
    """Break a stream off, and stop within the head when it is resumed."""
    headers = dict(call.parsed.headers)
    head = build_head(call.request_id, b'')
    if protocol.LAST_EVENT_ID.lower() in headers:
        call.write(head[:kept])
    else:
        call.write(head + b'Transfer-Encoding: chunked\r\n\r\n')
        call.write(b'%x\r\n%b\r\n' % (len(EVENTS), EVENTS))
    call.connection.close()
