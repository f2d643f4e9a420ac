"""Read plain chunks without decoding their JSON.

The plain chunks of a stream differ only in offset and text. Once one is
decoded, the bytes around these two fields are matched in later chunks.
"""

from dataclasses import dataclass

import msgspec

from bamboodeck.streaming.messages import (
    ChunkChoice,
    Delta,
    EngineChunk,
    StreamError,
    decode_chunk,
)

_EVENT_START = b'data: '
_EVENT_END = b'\n\n'
_PROBE_TEXT = 'x'


@dataclass(frozen=True, slots=True)
class ChunkTemplate:
    """Match and build events that differ in offset and text."""

    before_offset: bytes
    before_text: bytes
    after_text: bytes

    def read(self, event: bytes, offset: int) -> str | None:
        """Return the text of the plain chunk at an offset, otherwise None."""
        start = b'%b%d%b' % (self.before_offset, offset, self.before_text)
        if not event.startswith(start) or not event.endswith(self.after_text):
            return None
        raw = event[len(start) : -len(self.after_text)]
        if b'"' in raw or b'\\' in raw:
            return None
        try:
            text = raw.decode()
        except UnicodeDecodeError:
            return None
        # Control characters aren't valid in JSON; decoding reports them.
        return text if text.isprintable() else None

    def write(self, offset: int, text: str) -> bytes:
        """Build the event of a text at an offset."""
        return b'%b%d%b%b%b' % (
            self.before_offset,
            offset,
            self.before_text,
            text.encode(),
            self.after_text,
        )


def derive_template(line: bytes, chunk: EngineChunk) -> ChunkTemplate | None:
    """Derive the template of a decoded chunk; None if it isn't plain.

    A probe with another offset and text is decoded to verify that the
    matched bytes are the offset and the text and don't just look like them.
    """
    plain = _build_plain(chunk, chunk.offset, _find_text(chunk))
    if chunk != plain:
        return None
    start, offset_mark, rest = line.partition(b'"offset":%d' % chunk.offset)
    text = _find_text(chunk)
    middle, text_mark, end = rest.partition(
        b'"content":%b' % msgspec.json.encode(text),
    )
    if not (offset_mark and text_mark):
        return None
    template = ChunkTemplate(
        b'%b%b"offset":' % (_EVENT_START, start),
        b'%b"content":"' % middle,
        b'"%b%b' % (end, _EVENT_END),
    )
    return template if _verify_template(template, chunk) else None


def _verify_template(template: ChunkTemplate, chunk: EngineChunk) -> bool:
    offset = chunk.offset + 1
    event = template.write(offset, _PROBE_TEXT)
    line = event[len(_EVENT_START) : -len(_EVENT_END)]
    try:
        probe = decode_chunk(line)
    except StreamError:
        return False
    return probe == _build_plain(chunk, offset, _PROBE_TEXT)


def _build_plain(chunk: EngineChunk, offset: int, text: str) -> EngineChunk:
    return EngineChunk(
        chunk.id,
        chunk.model,
        offset,
        (ChunkChoice(Delta(text)),),
    )


def _find_text(chunk: EngineChunk) -> str:
    return chunk.choices[0].delta.content if chunk.choices else ''
