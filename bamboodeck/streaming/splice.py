"""Order and deduplicate the chunks of an answer."""

from dataclasses import dataclass

from bamboodeck.streaming.messages import EngineChunk, StreamError, Usage

MAX_PENDING_CHUNKS = 256


@dataclass(frozen=True, slots=True)
class SpliceCounts:
    """Count dropped and reordered chunks.

    `foreign` chunks belong to another request or version.
    """

    foreign: int
    duplicate: int
    reordered: int

    @property
    def dropped(self) -> int:
        """Return the number of dropped chunks."""
        return self.foreign + self.duplicate


class Splicer:
    """Accept the chunks of a request in any order and emit them in order.

    A chunk carries the text of the tokens from its offset to the next
    offset; the last one carries the usage and the finish reason. Every
    chunk holds one token except the last, which holds none.
    """

    def __init__(self, request_id: str, version: str) -> None:
        """Start at offset 0."""
        self.next_offset = 0
        self.finish_reason: str | None = None
        self.usage: Usage | None = None
        self._request_id = request_id
        self._version = version
        self.pending: dict[int, EngineChunk] = {}
        self._foreign = 0
        self._duplicate = 0
        self._reordered = 0

    @property
    def complete(self) -> bool:
        """Return whether all tokens and the last chunk were received."""
        return self.finish_reason is not None

    @property
    def counts(self) -> SpliceCounts:
        """Return the counts so far."""
        return SpliceCounts(self._foreign, self._duplicate, self._reordered)

    def matches(self, chunk: EngineChunk) -> bool:
        """Return whether a chunk belongs to this request and version."""
        return chunk.id == self._request_id and chunk.model == self._version

    def accept(self, chunk: EngineChunk) -> str:
        """Return the text that is now in order; raise `StreamError`."""
        if not self.matches(chunk):
            self._foreign += 1
            return ''
        if self.complete or chunk.offset < self.next_offset:
            self._duplicate += 1
            return ''
        if chunk.offset > self.next_offset:
            self._buffer(chunk)
            return ''
        text = self._pass_on(chunk)
        while not self.complete and self.next_offset in self.pending:
            text += self._pass_on(self.pending.pop(self.next_offset))
        return text

    def advance(self) -> None:
        """Count the chunk at the next offset as passed on."""
        self.next_offset += 1

    def discard_pending(self) -> None:
        """Discard out-of-order chunks before a resumed stream starts."""
        self.pending.clear()

    def _buffer(self, chunk: EngineChunk) -> None:
        self._reordered += 1
        if len(self.pending) >= MAX_PENDING_CHUNKS:
            raise StreamError('too many chunks are out of order')
        self.pending[chunk.offset] = chunk

    def _pass_on(self, chunk: EngineChunk) -> str:
        if not chunk.choices:
            raise StreamError('chunk has no choice')
        choice = chunk.choices[0]
        if choice.finish_reason is None:
            self.next_offset += 1
            return choice.delta.content
        if chunk.usage is None:
            raise StreamError('last chunk has no usage')
        self.finish_reason = choice.finish_reason
        self.usage = chunk.usage
        self.pending.clear()
        return choice.delta.content
