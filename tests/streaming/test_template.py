"""Test that templates read plain chunks as the decoder does."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bamboodeck.http.messages import ReplyHead
from bamboodeck.streaming.engine_stream import EngineStream
from bamboodeck.streaming.messages import (
    ChunkChoice,
    Delta,
    EngineChunk,
    decode_chunk,
)
from bamboodeck.streaming.splice import Splicer
from bamboodeck.streaming.template import derive_template
from tests.streaming.test_splice import (
    REQUEST_ID,
    VERSION,
    RecordingListener,
    build_chunk,
    build_last,
)


def encode_chunk(offset: int, text: str, request_id: str = REQUEST_ID) -> bytes:
    """Encode a chunk as the data of an event."""
    return msgspec.json.encode(
        EngineChunk(request_id, VERSION, offset, (ChunkChoice(Delta(text)),)),
    )


def encode_event(line: bytes) -> bytes:
    """Encode an event."""
    return b'data: %b\n\n' % line


def derive(line: bytes):
    """Derive a template from a line."""
    return derive_template(line, decode_chunk(line))


class TestTemplate:
    """Compare templates with full decoding."""

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.integers(0, 20), st.integers(0, 20), st.text(max_size=8))
    def test_reads_what_decoding_reads(self, offset, wanted, text) -> None:
        """Read plain text at the wanted offset; leave the rest to decoding."""
        template = derive(encode_chunk(3, 'tin '))
        found = template.read(encode_event(encode_chunk(offset, text)), wanted)
        plain = text.isprintable() and not set(text) & {'"', '\\'}
        expected = text if plain and offset == wanted else None
        assert found == expected

    @pytest.mark.parametrize(
        'line',
        [
            encode_chunk(4, 'tin ', 'another'),
            msgspec.json.encode(build_last(4)),
            encode_chunk(4, 'a"},"finish_reason":"stop'),
            encode_chunk(4, 'tin ') + b'\n\ndata: ' + encode_chunk(5, 'tin '),
            encode_chunk(4, 'tin ').replace(b'tin ', b'tin \x01'),
            encode_chunk(4, 'tin ').replace(b'tin ', b'tin \xff'),
        ],
    )
    def test_leaves_the_rest_to_decoding(self, line) -> None:
        """Match no chunk that differs in more than offset and text."""
        template = derive(encode_chunk(3, 'tin '))
        assert template.read(encode_event(line), 4) is None

    @pytest.mark.parametrize(
        'line',
        [
            encode_chunk(3, 'tin ').replace(
                b'"offset":3',
                b'"meta":{"offset":3},"offset": 3',
            ),
            msgspec.json.encode(build_last(3)),
        ],
    )
    def test_learns_nothing_from_other_chunks(self, line) -> None:
        """Reject bytes that only look like the offset, and last chunks."""
        assert derive(line) is None


class TestPlainStream:
    """Splice streams that deliver one chunk per receive."""

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.lists(st.integers(0, 9), max_size=40))
    def test_duplicate_late_and_foreign_chunks(self, order) -> None:
        """Emit and count the same as with full decoding."""
        fast, slow = (Splicer(REQUEST_ID, VERSION) for _ in range(2))
        listener = RecordingListener()
        stream = EngineStream(fast, listener)
        stream.on_head(ReplyHead(200, ()))
        text = ''
        for number, offset in enumerate(order):
            foreign = number % 5 == 4
            chunk = build_chunk(offset, 'r2' if foreign else REQUEST_ID)
            stream.on_data(encode_event(msgspec.json.encode(chunk)))
            text += slow.accept(chunk)
        assert listener.text == text
        assert (fast.next_offset, fast.counts) == (
            slow.next_offset,
            slow.counts,
        )
