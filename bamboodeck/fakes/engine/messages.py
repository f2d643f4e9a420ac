"""Settings and messages of the model engine stand-in."""

from dataclasses import dataclass, field
from typing import Annotated, Literal

import msgspec

from bamboodeck.fakes.faults import Count, Text

MAX_PRIORITY = 1_000_000
DEFAULT_MAX_TOKENS = 256

PositiveCount = Annotated[int, msgspec.Meta(ge=1)]


@dataclass(frozen=True)
class EngineSettings:
    """Configure the capacity, speed and reporting of one engine."""

    name: str
    versions: tuple[str, ...]
    first_token_s: float = 0.05
    token_s: float = 0.02
    capacity: int = 64
    queue_limit: int = 128
    answer_tokens: int = 64
    load_lag_s: float = 0.5
    load_version_s: float = 0.5
    cache_prefixes: int = 1000
    cache_lag_s: float = 0.5
    cache_gap_ratio: float = 0.05
    checks_fencing: bool = True
    seed: int = 0


@dataclass(frozen=True, slots=True)
class Message:
    """Represent one message of a conversation."""

    role: str
    content: str


@dataclass(frozen=True, slots=True)
class ChatRequest:
    """Request a completion, starting at the token offset `resume_from`."""

    model: Text
    messages: tuple[Message, ...]
    request_id: Text
    stream: bool = False
    max_tokens: PositiveCount = DEFAULT_MAX_TOKENS
    priority: int = 0
    resume_from: Count = 0

    @property
    def prompt(self) -> str:
        """Return the messages as one text, a line for each."""
        return '\n'.join(
            f'{each.role}: {each.content}' for each in self.messages
        )


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Request the cancellation of a completion."""

    request_id: Text


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """Order the engine to load or unload a version or to change its role."""

    action: Literal['load', 'unload', 'role']
    fencing_number: Count
    version: str = ''
    role: str = ''


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Report the load of the engine.

    `reported_s` is in seconds on the monotonic clock of the engine.
    """

    engine: str
    running: int
    queued: int
    capacity: int
    tokens_per_s: float
    versions: tuple[str, ...]
    leaving: bool
    reported_s: float


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Report that a prompt prefix was stored or evicted."""

    number: int
    kind: Literal['stored', 'evicted']
    version: str
    prefix: str


@dataclass(slots=True)
class Attempt:
    """Record one attempt to answer a request.

    `taken_s` is the time of acceptance in seconds since 1970.
    """

    version: str
    resume_from: int
    tokens: int = 0
    outcome: str = 'queued'
    taken_s: float = 0.0


@dataclass(slots=True)
class RequestRecord:
    """Group the attempts of one request id."""

    attempts: list[Attempt] = field(default_factory=list)
