"""Fake the key-value store, deciding one request at a time."""

import enum
from dataclasses import dataclass

from bamboodeck.configuration.records import CURRENT_KEY, revision_of
from bamboodeck.keyvalue.port import (
    CompareAndSwap,
    Conflict,
    Entry,
    KeyRead,
    OnReply,
    ReadKey,
    StoreReply,
    StoreRequest,
    StoreUnavailable,
    Swapped,
)


@enum.unique
class Fate(enum.Enum):
    """Name what can happen to a request."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    LOST_BEFORE = 'lost before the effect'
    LOST_AFTER = 'lost after the effect'
    LATE = 'takes effect long after its answer is lost'
    OLD_VALUE = 'answered by an old value'


@dataclass(frozen=True)
class Pending:
    """Pair a waiting request with its callback."""

    request: StoreRequest
    on_reply: OnReply


class NaiveStore:
    """Store entries in memory and log each current configuration."""

    def __init__(self) -> None:
        """Start empty."""
        self.entries: dict[str, Entry] = {}
        self.revision = 0
        self.log: list[Entry] = []
        self.pending: list[Pending] = []
        self.late: list[StoreRequest] = []

    def submit(self, request: StoreRequest, on_reply: OnReply) -> None:
        """Queue a request."""
        self.pending.append(Pending(request, on_reply))

    def step(self, index: int, fate: Fate) -> None:
        """Answer one waiting request according to its fate."""
        pending = self.pending.pop(index % len(self.pending))
        pending.on_reply(self._decide(pending.request, fate))

    def run_late(self) -> None:
        """Apply the oldest late request."""
        self._apply(self.late.pop(0))

    def answer_all(self) -> None:
        """Answer requests until none is waiting."""
        while self.pending:
            self.step(0, Fate.ANSWERED)

    def _decide(self, request: StoreRequest, fate: Fate) -> StoreReply:
        swap = isinstance(request, CompareAndSwap)
        match fate:
            case Fate.REFUSED:
                return StoreUnavailable('refused', maybe_applied=False)
            case Fate.LOST_BEFORE:
                return StoreUnavailable('lost', maybe_applied=swap)
            case Fate.LOST_AFTER:
                self._apply(request)
                return StoreUnavailable('lost', maybe_applied=swap)
            case Fate.LATE:
                self.late.append(request)
                return StoreUnavailable('lost', maybe_applied=swap)
            case Fate.OLD_VALUE:
                return self._age(self._apply(request))
        return self._apply(request)

    def _apply(self, request: StoreRequest) -> StoreReply:
        if isinstance(request, ReadKey):
            return KeyRead(self.entries.get(request.key), self.revision)
        assert isinstance(request, CompareAndSwap)
        entry = self.entries.get(request.key)
        if request.expected_revision != revision_of(entry):
            return Conflict(entry, self.revision)
        self.revision += 1
        if request.body is None:
            self.entries.pop(request.key)
            return Swapped(self.revision)
        new = Entry(request.key, request.body, self.revision)
        self.entries[request.key] = new
        if request.key == CURRENT_KEY:
            self.log.append(new)
        return Swapped(self.revision)

    def _age(self, reply: StoreReply) -> StoreReply:
        older = self.log[-3] if len(self.log) > 2 else None
        match reply:
            case KeyRead(Entry(key)) if key == CURRENT_KEY:
                return KeyRead(older, self.revision)
            case Conflict(Entry(key)) if key == CURRENT_KEY:
                return Conflict(older, self.revision)
        return reply
