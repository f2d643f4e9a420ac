"""Test both parsers with any bytes, in any pieces."""

import os

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bamboodeck.http.messages import Header
from bamboodeck.http.reply_parser import (
    MAX_FRAMING_BYTES,
    ReplyParser,
    ReplySyntaxError,
)
from bamboodeck.http.request_parser import BadRequestError, RequestParser

# Raised for long runs by hand, which also draw fresh examples.
EXAMPLES = int(os.environ.get('FUZZ_EXAMPLES', '300'))
FUZZ = settings(
    max_examples=EXAMPLES,
    deadline=None,
    database=None,
    derandomize='FUZZ_EXAMPLES' not in os.environ,
    suppress_health_check=list(HealthCheck),
)
OWN = Header('X-Id', 'own')
PREVIOUS = Header('X-Id', 'previous')

FRAGMENTS = st.sampled_from(
    [
        b'HTTP/1.1 200 OK\r\n',
        b'HTTP/1.1 100 Continue\r\n\r\n',
        b'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n',
        b'HTTP/1.1 204 No Content\r\n\r\n',
        b'HTTP/1.0 200\r\n',
        b'POST /a HTTP/1.1\r\nHost: b\r\n',
        b'GET /\xff HTTP/1.1\r\n',
        b'CONNECT a:1 HTTP/1.1\r\nHost: b\r\n\r\n',
        b'Content-Length: 5\r\n',
        b'Content-Length: 99999999999999999999\r\n',
        b'Content-Length: +5\r\n',
        b'Content-Length: \r\n',
        b'Transfer-Encoding: chunked\r\n',
        b'Transfer-Encoding: gzip\r\n',
        b'Connection: close\r\n',
        b'Connection: upgrade\r\nUpgrade: websocket\r\n',
        b'Host: b\r\n',
        b'X-Id: own\r\n',
        b'X-Id: previous\r\n',
        b'X-Long: %b\r\n' % (b'y' * 9000),
        b'\r\n',
        b'5\r\nhello\r\n',
        b'0\r\n\r\n',
        b'0\r\nTrailer: z\r\n\r\n',
        b'5;%b\r\n' % (b'e' * 9000),
        b'hello',
        b'\x00\x01\xfe',
        b'HTTP/9.9 999 \r\n\r\n',
    ],
)
BYTES = st.lists(st.one_of(FRAGMENTS, st.binary(max_size=20)), max_size=30).map(
    b''.join,
)


def split(content: bytes, size: int) -> list[bytes]:
    """Split bytes into pieces of a size."""
    return [content[at : at + size] for at in range(0, len(content), size)]


def build_answer(own_id: Header, body: bytes, *, chunked: bool) -> bytes:
    """Build a complete response."""
    head = b'HTTP/1.1 200 OK\r\n%b: %b\r\n' % (
        own_id.name.encode(),
        own_id.text.encode(),
    )
    if not chunked:
        return b'%bContent-Length: %d\r\n\r\n%b' % (head, len(body), body)
    pieces = b''.join(
        b'%x\r\n%b\r\n' % (len(part), part) for part in split(body, 3)
    )
    return b'%bTransfer-Encoding: chunked\r\n\r\n%b0\r\n\r\n' % (head, pieces)


def read_answer(content: bytes, size: int) -> tuple[ReplyParser, bytes]:
    """Parse pieces until the response is complete."""
    parser = ReplyParser(PREVIOUS)
    body = b''
    for piece in split(content, size):
        body += parser.feed(piece)
        if parser.complete:
            break
    return parser, body


class TestAnswers:
    """Parse what engines send."""

    @given(BYTES, st.integers(1, 40))
    @FUZZ
    def test_any_bytes(self, content: bytes, size: int) -> None:
        """Raise only the parser's own error."""
        try:
            parser, _ = read_answer(content, size)
        except ReplySyntaxError:
            return
        assert parser.complete or not parser.extra_data

    @given(
        st.binary(max_size=60),
        st.binary(max_size=60),
        st.booleans(),
        st.integers(0, 3),
        st.integers(1, 300),
    )
    @FUZZ
    def test_own_answer(
        self,
        body: bytes,
        stray: bytes,
        chunked: bool,
        copies: int,
        size: int,
    ) -> None:
        """Return the own body alone, between copies and extra answers."""
        copy = build_answer(PREVIOUS, stray, chunked=chunked)
        own = build_answer(OWN, body, chunked=chunked)
        interim = b'HTTP/1.1 102 Processing\r\nX-Id: other\r\n\r\n'
        content = (interim + copy) * copies + own + copy
        parser, found = read_answer(content, size)
        assert (parser.complete, found) == (True, body)
        assert OWN in parser.head.headers

    @pytest.mark.parametrize('size', [1, 100, 5000, 60_000])
    @pytest.mark.parametrize(
        'begin',
        [
            b'',
            b'HTTP/1.1 200 OK\r\nX: ',
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;',
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ',
        ],
    )
    def test_endless(self, begin: bytes, size: int) -> None:
        """Reject framing without end, within a fixed number of bytes."""
        parser = ReplyParser()
        fed_bytes = 0
        with pytest.raises(ReplySyntaxError):
            parser.feed(begin)
            while fed_bytes <= MAX_FRAMING_BYTES + size:
                parser.feed(b'x' * size)
                fed_bytes += size


class TestRequests:
    """Parse what callers send."""

    @given(BYTES, st.integers(1, 40))
    @FUZZ
    def test_any_bytes(self, content: bytes, size: int) -> None:
        """Raise only the parser's own error."""
        parser = RequestParser(1000)
        try:
            for piece in split(content, size):
                parser.feed(piece)
        except BadRequestError as error:
            assert 400 <= error.status < 500

    @given(
        st.lists(st.binary(max_size=40), min_size=1, max_size=4),
        st.booleans(),
        st.integers(1, 300),
    )
    @FUZZ
    def test_pipelined(
        self,
        bodies: list[bytes],
        chunked: bool,
        size: int,
    ) -> None:
        """Return each request's own body, for any chunking."""
        content = b''
        for number, body in enumerate(bodies):
            head = b'POST /%d HTTP/1.1\r\nHost: b\r\n' % number
            if chunked:
                pieces = b''.join(
                    b'%x\r\n%b\r\n' % (len(part), part)
                    for part in split(body, 3)
                )
                content += (
                    b'%bTransfer-Encoding: chunked\r\n\r\n%b0\r\n\r\n'
                    % (
                        head,
                        pieces,
                    )
                )
            else:
                content += b'%bContent-Length: %d\r\n\r\n%b' % (
                    head,
                    len(body),
                    body,
                )
        parser = RequestParser(1000)
        parsed = [
            request
            for piece in split(content, size)
            for request in parser.feed(piece)
        ]
        assert [request.body for request in parsed] == bodies
        assert [request.target for request in parsed] == [
            f'/{number}' for number in range(len(bodies))
        ]
