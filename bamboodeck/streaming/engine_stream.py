"""Read the stream of one attempt from an engine."""

from collections.abc import Callable
from typing import Protocol

from bamboodeck.http.messages import HttpFailed, ReplyHead
from bamboodeck.streaming.events import EventSplitter
from bamboodeck.streaming.messages import (
    DONE_MARK,
    EngineChunk,
    StreamError,
    decode_chunk,
)
from bamboodeck.streaming.splice import Splicer
from bamboodeck.streaming.template import ChunkTemplate, derive_template

_OK = 200
MAX_REFUSAL_BYTES = 16_384


class AttemptListener(Protocol):
    """Handle the progress of an attempt."""

    def on_text(self, text: str) -> None:
        """Handle the next text of the answer."""

    def on_complete(self) -> None:
        """Handle the end of a complete answer."""

    def on_refused(self, head: ReplyHead, body: bytes) -> None:
        """Handle a request that the engine refused to start."""

    def on_interrupted(self, reason: str, *, maybe_started: bool) -> None:
        """Handle a stream that ended before its answer was complete."""


class EngineStream:
    """Convert an engine's bytes to text in order, as a `StreamSink`."""

    def __init__(self, splicer: Splicer, listener: AttemptListener) -> None:
        """Continue the answer from the splicer's position."""
        self.cancel: Callable[[], None] = _ignore_cancel
        self._splicer = splicer
        self._listener = listener
        self._events = EventSplitter()
        self._head: ReplyHead | None = None
        self._refusal = b''
        self._ended = False
        self._template_tried = False
        self._template: ChunkTemplate | None = None

    def on_head(self, head: ReplyHead) -> None:
        """Store the head; a status other than 200 is a refusal."""
        self._head = head

    def on_data(self, chunk: bytes) -> None:
        """Pass on the text of all chunks that are now in order."""
        if self._ended:
            return
        if self._head is not None and self._head.status != _OK:
            self._refusal = (self._refusal + chunk)[:MAX_REFUSAL_BYTES]
            return
        try:
            text = self._read(chunk)
        except StreamError as error:
            self._ended = True
            self.cancel()
            self._listener.on_interrupted(str(error), maybe_started=True)
            return
        if text:
            self._listener.on_text(text)

    def on_end(self) -> None:
        """Report a complete answer, a refusal or an interrupted stream."""
        if self._ended:
            return
        self._ended = True
        if self._head is not None and self._head.status != _OK:
            self._listener.on_refused(self._head, self._refusal)
            return
        if self._splicer.complete:
            self._listener.on_complete()
            return
        self._listener.on_interrupted('stream ended early', maybe_started=True)

    def on_failed(self, failure: HttpFailed) -> None:
        """Report an interrupted stream unless the answer is complete."""
        if self._ended:
            return
        self._ended = True
        if self._splicer.complete:
            self._listener.on_complete()
            return
        self._listener.on_interrupted(
            failure.reason,
            maybe_started=failure.maybe_started,
        )

    def _read(self, chunk: bytes) -> str:
        text = self._read_by_template(chunk)
        if text is not None:
            return text
        text = ''
        for line in self._events.feed(chunk):
            if line == DONE_MARK:
                continue
            decoded = decode_chunk(line)
            if not self._template_tried:
                self._derive_template(line, decoded)
            text += self._splicer.accept(decoded)
        return text

    def _read_by_template(self, chunk: bytes) -> str | None:
        template, splicer = self._template, self._splicer
        if template is None or splicer.pending or splicer.complete:
            return None
        if self._events.rest:
            return None
        text = template.read(chunk, splicer.next_offset)
        if text is not None:
            splicer.advance()
        return text

    def _derive_template(self, line: bytes, chunk: EngineChunk) -> None:
        if self._splicer.matches(chunk):
            self._template_tried = True
            self._template = derive_template(line, chunk)


def _ignore_cancel() -> None:
    """Do nothing; replaced when the call is sent."""
