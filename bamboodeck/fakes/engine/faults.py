"""Faults that can be injected into a model engine."""

from dataclasses import dataclass

from bamboodeck.fakes.faults import (
    Count,
    Duration,
    Fault,
    PositiveCount,
    Text,
)


@dataclass(frozen=True)
class CrashOnMarker(Fault):
    """Exit the process at once on a prompt that contains the marker."""

    marker: Text


@dataclass(frozen=True)
class BreakStream(Fault):
    """Abort the connection of a stream after `after_tokens` tokens."""

    after_tokens: Count
    times: Count = 1


@dataclass(frozen=True)
class DuplicateChunks(Fault):
    """Send one chunk in `every` twice."""

    every: PositiveCount = 1


@dataclass(frozen=True)
class ReorderChunks(Fault):
    """Send one chunk in `every` after its successor."""

    every: PositiveCount = 2


@dataclass(frozen=True)
class DelayChunks(Fault):
    """Delay one chunk in `every` by `delay_ms`."""

    delay_ms: Duration
    every: PositiveCount = 1


@dataclass(frozen=True)
class WrongRequestId(Fault):
    """Insert a chunk of another request at the offset `at_token`."""

    at_token: Count
    times: Count = 1


@dataclass(frozen=True)
class DieInLastChunk(Fault):
    """Send half of the last chunk, then abort the connection.

    With `exits` the process exits as well. With `whole_chunk` the chunk is
    sent in full and only the final `[DONE]` event is missing.
    """

    exits: bool = False
    whole_chunk: bool = False
    times: Count = 1


@dataclass(frozen=True)
class Leaving(Fault):
    """Reject new requests and finish the accepted ones."""


@dataclass(frozen=True)
class IgnoreFencing(Fault):
    """Execute orders with outdated fencing numbers."""


@dataclass(frozen=True)
class BadQuality(Fault):
    """Put `BAD_MARKER` into the completions of a version."""

    version: Text


ENGINE_FAULTS: tuple[type[Fault], ...] = (
    CrashOnMarker,
    BreakStream,
    DuplicateChunks,
    ReorderChunks,
    DelayChunks,
    WrongRequestId,
    DieInLastChunk,
    Leaving,
    IgnoreFencing,
    BadQuality,
)
