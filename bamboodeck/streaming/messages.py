"""Define the chunks of an engine's stream and its errors."""

import msgspec

from bamboodeck.errors import BamboodeckError

DONE_MARK = b'[DONE]'


class StreamError(BamboodeckError):
    """Report an invalid stream of an engine."""


class Delta(msgspec.Struct, frozen=True):
    """Represent the text that a chunk adds."""

    content: str = ''


class ChunkChoice(msgspec.Struct, frozen=True):
    """Represent the only choice of a chunk."""

    delta: Delta
    finish_reason: str | None = None


class Usage(msgspec.Struct, frozen=True):
    """Count the tokens of a request and its answer."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class EngineChunk(msgspec.Struct, frozen=True):
    """Represent a chunk; `offset` counts the tokens before it."""

    id: str
    model: str
    offset: int
    choices: tuple[ChunkChoice, ...]
    usage: Usage | None = None


_decoder = msgspec.json.Decoder(EngineChunk)


def decode_chunk(line: bytes) -> EngineChunk:
    """Decode a chunk; raise `StreamError` if it is malformed."""
    try:
        return _decoder.decode(line)
    except msgspec.DecodeError as error:
        raise StreamError(f'malformed chunk: {error}')
