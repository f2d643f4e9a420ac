"""Define the port to the platform's key-value service.

The revision of a key is the revision of the store at its last change; a
missing key has revision 0. Revisions only increase. Any reply may be
`StoreUnavailable`; if its `maybe_applied` is true, the change may have taken
effect although no answer arrived.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

NO_LEASE = 0
MISSING_REVISION = 0


@dataclass(frozen=True, slots=True)
class Entry:
    """Represent a key and its value in the store."""

    key: str
    body: bytes
    revision: int
    created_revision: int = 0
    lease_id: int = NO_LEASE


@dataclass(frozen=True, slots=True)
class ReadKey:
    """Read one key; replies `KeyRead`."""

    key: str


@dataclass(frozen=True, slots=True)
class ReadRevision:
    """Read a key's revision without its value; replies `RevisionRead`."""

    key: str


@dataclass(frozen=True, slots=True)
class ReadPrefix:
    """Read all keys with a prefix; replies `PrefixRead`."""

    prefix: str


@dataclass(frozen=True, slots=True)
class CompareAndSwap:
    """Replace a key if unchanged; replies `Swapped` or `Conflict`.

    An `expected_revision` of 0 creates the key; a `body` of None deletes it.
    """

    key: str
    expected_revision: int
    body: bytes | None
    lease_id: int = NO_LEASE


@dataclass(frozen=True, slots=True)
class GrantLease:
    """Request a lease; replies `LeaseGranted`."""

    ttl_s: int


@dataclass(frozen=True, slots=True)
class KeepLease:
    """Renew a lease; replies `LeaseGranted` or `LeaseLost`."""

    lease_id: int


@dataclass(frozen=True, slots=True)
class RevokeLease:
    """End a lease and delete its keys; replies `LeaseLost`."""

    lease_id: int


@dataclass(frozen=True, slots=True)
class KeyRead:
    """Answer `ReadKey`; `entry` is None if the key is missing."""

    entry: Entry | None
    store_revision: int


@dataclass(frozen=True, slots=True)
class RevisionRead:
    """Answer `ReadRevision`; the revision is 0 if the key is missing."""

    revision: int
    store_revision: int


@dataclass(frozen=True, slots=True)
class PrefixRead:
    """Answer `ReadPrefix`, sorted by key."""

    entries: tuple[Entry, ...]
    store_revision: int


@dataclass(frozen=True, slots=True)
class Swapped:
    """Answer `CompareAndSwap` with the revision of the change."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Reject `CompareAndSwap`, as the key is not at the expected revision.

    `current` is None if the key is missing.
    """

    current: Entry | None
    store_revision: int


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """Answer with the lease and its time to live in seconds."""

    lease_id: int
    ttl_s: int


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """Report that a lease has ended."""

    lease_id: int


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """Report that a request failed or got no answer."""

    reason: str
    maybe_applied: bool


@dataclass(frozen=True, slots=True)
class KeyPut:
    """Report a new value to a watch."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class KeyDeleted:
    """Report the deletion of a key to a watch."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class WatchStarted:
    """Report that a watch is active and receives all later changes."""

    store_revision: int


@dataclass(frozen=True, slots=True)
class WatchBroken:
    """Report that a watch has ended and must be restarted."""

    reason: str


StoreRequest = (
    ReadKey
    | ReadRevision
    | ReadPrefix
    | CompareAndSwap
    | GrantLease
    | KeepLease
    | RevokeLease
)
StoreReply = (
    KeyRead
    | RevisionRead
    | PrefixRead
    | Swapped
    | Conflict
    | LeaseGranted
    | LeaseLost
    | StoreUnavailable
)
WatchEvent = KeyPut | KeyDeleted | WatchStarted | WatchBroken
OnReply = Callable[[StoreReply], None]
OnWatchEvent = Callable[[WatchEvent], None]


class WatchHandle(Protocol):
    """Control a running watch."""

    def cancel(self) -> None:
        """End the watch; no events follow."""


class KeyValuePort(Protocol):
    """Access the key-value service without blocking."""

    def submit(self, request: StoreRequest, on_reply: OnReply) -> None:
        """Send a request; the callback gets exactly one reply."""

    def watch(
        self,
        prefix: str,
        from_revision: int,
        on_event: OnWatchEvent,
    ) -> WatchHandle:
        """Watch a prefix from a revision on (0: from now)."""
