"""Test that answers are spliced from chunks in any order."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bamboodeck.http.messages import HttpFailed, ReplyHead
from bamboodeck.streaming.engine_stream import EngineStream
from bamboodeck.streaming.messages import (
    ChunkChoice,
    Delta,
    EngineChunk,
    StreamError,
    Usage,
)
from bamboodeck.streaming.splice import Splicer

REQUEST_ID = 'r1'
VERSION = 'small@1'


def build_chunk(offset: int, request_id: str = REQUEST_ID) -> EngineChunk:
    """Build the chunk of one token."""
    return EngineChunk(
        request_id,
        VERSION,
        offset,
        (ChunkChoice(Delta(f'<{offset}>')),),
    )


def build_last(offset: int) -> EngineChunk:
    """Build the chunk that ends an answer."""
    return EngineChunk(
        REQUEST_ID,
        VERSION,
        offset,
        (ChunkChoice(Delta(), 'stop'),),
        Usage(1, offset, offset + 1),
    )


def build_answer(tokens: int) -> list[EngineChunk]:
    """Build all chunks of an answer."""
    return [build_chunk(offset) for offset in range(tokens)] + [
        build_last(tokens),
    ]


class RecordingListener:
    """Record the progress of an attempt."""

    def __init__(self) -> None:
        """Start with nothing recorded."""
        self.text = ''
        self.ends: list[str] = []

    def on_text(self, text: str) -> None:
        """Collect text."""
        self.text += text

    def on_complete(self) -> None:
        """Record a complete answer."""
        self.ends.append('complete')

    def on_refused(self, head: ReplyHead, body: bytes) -> None:
        """Record a refusal."""
        self.ends.append(f'refused {head.status}')

    def on_interrupted(self, reason: str, *, maybe_started: bool) -> None:
        """Record an interrupted stream."""
        self.ends.append(f'interrupted {maybe_started}')


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    tokens=st.integers(0, 40),
    duplicates=st.lists(st.integers(0, 40), max_size=20),
    order=st.randoms(use_true_random=False),
)
def check_any_order_with_duplicate_and_foreign(tokens, duplicates, order):
    """Emit each token once despite duplicate and foreign chunks."""
    chunks = build_answer(tokens)
    chunks += [chunks[each % len(chunks)] for each in duplicates]
    chunks += [build_chunk(each, 'other') for each in duplicates]
    order.shuffle(chunks)
    splicer = Splicer(REQUEST_ID, VERSION)
    text = ''.join(splicer.accept(chunk) for chunk in chunks)
    assert text == ''.join(f'<{each}>' for each in range(tokens))
    assert splicer.complete
    assert splicer.usage == Usage(1, tokens, tokens + 1)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(tokens=st.integers(1, 30), cut=st.integers(0, 30))
def check_resumed_stream_has_no_gap_and_no_duplicate(tokens, cut):
    """Continue at the next offset, even if the resumed stream overlaps."""
    splicer = Splicer(REQUEST_ID, VERSION)
    chunks = build_answer(tokens)
    text = ''.join(splicer.accept(each) for each in chunks[:cut])
    splicer.discard_pending()
    overlap = max(splicer.next_offset - 2, 0)
    text += ''.join(splicer.accept(each) for each in chunks[overlap:])
    assert text == ''.join(f'<{each}>' for each in range(tokens))
    assert splicer.complete


class TestSplicer:
    """Compare with the reference: all tokens in order."""

    def test_any_order_with_duplicate_and_foreign(self) -> None:
        """Emit each token once despite duplicate and foreign chunks."""
        check_any_order_with_duplicate_and_foreign()

    def test_resumed_stream_has_no_gap_and_no_duplicate(self) -> None:
        """Continue at the next offset, even if the resumed stream overlaps."""
        check_resumed_stream_has_no_gap_and_no_duplicate()

    def test_gap_is_never_complete(self) -> None:
        """Treat an answer with a missing token as incomplete."""
        splicer = Splicer(REQUEST_ID, VERSION)
        splicer.accept(build_chunk(0))
        splicer.accept(build_last(2))
        assert not splicer.complete

    def test_out_of_order_chunks_are_limited(self) -> None:
        """Fail when too many chunks are out of order."""
        splicer = Splicer(REQUEST_ID, VERSION)
        with pytest.raises(StreamError):
            for offset in range(1, 300):
                splicer.accept(build_chunk(offset))


class TestEngineStream:
    """Read an engine's bytes, split at any position."""

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(size=st.integers(1, 400))
    def test_any_receive_size(self, size) -> None:
        """Emit the same text for any receive size."""
        lines = [
            b'data: %b\n\n' % msgspec.json.encode(chunk)
            for chunk in build_answer(5)
        ]
        raw = b''.join([*lines, b'data: [DONE]\n\n'])
        listener = RecordingListener()
        stream = EngineStream(Splicer(REQUEST_ID, VERSION), listener)
        stream.on_head(ReplyHead(200, ()))
        for start in range(0, len(raw), size):
            stream.on_data(raw[start : start + size])
        stream.on_end()
        assert listener.text == '<0><1><2><3><4>'
        assert listener.ends == ['complete']

    def test_end_before_the_last_chunk_is_an_interruption(self) -> None:
        """Report a truncated answer as interrupted."""
        listener = RecordingListener()
        stream = EngineStream(Splicer(REQUEST_ID, VERSION), listener)
        stream.on_head(ReplyHead(200, ()))
        stream.on_data(
            b'data: %b\n\n' % msgspec.json.encode(build_chunk(0)),
        )
        stream.on_end()
        assert listener.ends == ['interrupted True']

    def test_failure_after_the_last_chunk_is_complete(self) -> None:
        """Accept an answer if the engine fails after its last chunk."""
        listener = RecordingListener()
        stream = EngineStream(Splicer(REQUEST_ID, VERSION), listener)
        stream.on_head(ReplyHead(200, ()))
        for chunk in build_answer(1):
            stream.on_data(b'data: %b\n\n' % msgspec.json.encode(chunk))
        stream.on_failed(HttpFailed('reset', maybe_started=True))
        assert listener.ends == ['complete']

    def test_malformed_chunk_is_an_interruption(self) -> None:
        """Report a malformed stream as interrupted."""
        listener = RecordingListener()
        stream = EngineStream(Splicer(REQUEST_ID, VERSION), listener)
        stream.on_head(ReplyHead(200, ()))
        stream.on_data(b'data: {"id": 3}\n\n')
        assert listener.ends == ['interrupted True']

    def test_refusal(self) -> None:
        """Distinguish a refusal from an interrupted stream."""
        listener = RecordingListener()
        stream = EngineStream(Splicer(REQUEST_ID, VERSION), listener)
        stream.on_head(ReplyHead(503, ()))
        stream.on_data(b'full')
        stream.on_end()
        assert listener.ends == ['refused 503']
