"""In-memory store with the revisions and leases of etcd."""

import bisect
import itertools
from collections import deque
from dataclasses import dataclass, replace

from bamboodeck.errors import BamboodeckError

MAX_EVENTS = 20_000
KEY_END = b'\0'


class LeaseNotFoundError(BamboodeckError):
    """Report a lease that is unknown or has expired."""


class TooLargeError(BamboodeckError):
    """Report a value over the size limit."""


@dataclass(frozen=True, slots=True)
class KeyValue:
    """Represent an entry with the metadata that etcd returns."""

    key: bytes
    body: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int = 0


@dataclass(frozen=True, slots=True)
class StoreEvent:
    """Represent one change; a deletion has a version of 0."""

    change: KeyValue

    @property
    def deletion(self) -> bool:
        """Return whether the key was deleted."""
        return self.change.version == 0


@dataclass(frozen=True, slots=True)
class KeyRange:
    """Select one key (no end), a range or all keys from start (`KEY_END`)."""

    start: bytes
    end: bytes = b''

    def contains(self, key: bytes) -> bool:
        """Return whether a key is in the range."""
        if not self.end:
            return key == self.start
        return key >= self.start and (self.end == KEY_END or key < self.end)


@dataclass(frozen=True, slots=True)
class Lease:
    """Represent a lease and its expiry time."""

    lease_id: int
    ttl_s: int
    expires_s: float


class RevisionedStore:
    """Store entries and record each change at its revision."""

    def __init__(self, max_value_bytes: int) -> None:
        """Create an empty store at revision 1, as etcd does."""
        self.revision = 1
        self.leases: dict[int, Lease] = {}
        self.events: deque[StoreEvent] = deque(maxlen=MAX_EVENTS)
        self.compacted_revision = 0
        self._max_value_bytes = max_value_bytes
        self._entries: dict[bytes, KeyValue] = {}
        self._keys: list[bytes] = []
        self._previous: dict[bytes, KeyValue | None] = {}
        self._lease_keys: dict[int, set[bytes]] = {}
        self._last_lease_id = 0

    def read(self, key_range: KeyRange) -> list[KeyValue]:
        """Return the entries of a range in the order of their keys."""
        if not key_range.end:
            entry = self._entries.get(key_range.start)
            return [] if entry is None else [entry]
        start = bisect.bisect_left(self._keys, key_range.start)
        keys = itertools.takewhile(
            key_range.contains,
            itertools.islice(self._keys, start, None),
        )
        return [self._entries[key] for key in keys]

    def read_previous(self, key_range: KeyRange) -> list[KeyValue]:
        """Return the entries before the last change of each key."""
        found = [key for key in self._previous if key_range.contains(key)]
        entries = [self._previous[key] for key in sorted(found)]
        return [entry for entry in entries if entry is not None]

    def check_put(self, body: bytes, lease_id: int) -> None:
        """Raise `TooLargeError` or `LeaseNotFoundError` as `put` would."""
        if len(body) > self._max_value_bytes:
            raise TooLargeError(
                f'value of {len(body)} bytes is over {self._max_value_bytes}',
            )
        if lease_id and lease_id not in self.leases:
            raise LeaseNotFoundError(f'lease {lease_id} is not found')

    def put(self, key: bytes, body: bytes, lease_id: int) -> None:
        """Put a key at the current revision."""
        self.check_put(body, lease_id)
        old = self._entries.get(key)
        entry = KeyValue(
            key,
            body,
            old.create_revision if old else self.revision,
            self.revision,
            old.version + 1 if old else 1,
            lease_id,
        )
        self._detach_from_lease(old)
        self._previous[key] = old
        self._entries[key] = entry
        if old is None:
            bisect.insort(self._keys, key)
        if lease_id:
            self._lease_keys[lease_id].add(key)
        self._append_event(entry)

    def delete(self, key_range: KeyRange) -> int:
        """Delete a range at the current revision; return the number of keys."""
        deleted = self.read(key_range)
        for entry in deleted:
            self._detach_from_lease(entry)
            self._entries.pop(entry.key)
            self._keys.pop(bisect.bisect_left(self._keys, entry.key))
            self._previous[entry.key] = entry
            tombstone = KeyValue(entry.key, b'', 0, self.revision, 0)
            self._append_event(tombstone)
        return len(deleted)

    def next_revision(self) -> None:
        """Advance to the revision of the next change."""
        self.revision += 1

    def grant(self, lease_id: int, ttl_s: int, now_s: float) -> Lease:
        """Create a lease; an id of 0 lets the store choose one."""
        if not lease_id:
            self._last_lease_id += 1
            lease_id = (self.revision << 24) + self._last_lease_id
        lease = Lease(lease_id, ttl_s, now_s + ttl_s)
        self.leases[lease_id] = lease
        self._lease_keys[lease_id] = set()
        return lease

    def renew(self, lease_id: int, now_s: float) -> Lease | None:
        """Renew a lease; return None if it is missing or expired."""
        lease = self.leases.get(lease_id)
        if lease is None or lease.expires_s <= now_s:
            return None
        renewed = replace(lease, expires_s=now_s + lease.ttl_s)
        self.leases[lease_id] = renewed
        return renewed

    def revoke(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys; raise `LeaseNotFoundError`."""
        if lease_id not in self.leases:
            raise LeaseNotFoundError(f'lease {lease_id} is not found')
        keys = sorted(self._lease_keys[lease_id])
        if keys:
            self.next_revision()
        for key in keys:
            self.delete(KeyRange(key))
        self.leases.pop(lease_id)
        self._lease_keys.pop(lease_id)

    def expire(self, now_s: float) -> list[int]:
        """Revoke the expired leases; return their ids."""
        expired = [
            lease.lease_id
            for lease in self.leases.values()
            if lease.expires_s <= now_s
        ]
        for lease_id in expired:
            self.revoke(lease_id)
        return expired

    def _detach_from_lease(self, entry: KeyValue | None) -> None:
        if entry is not None and entry.lease_id:
            self._lease_keys[entry.lease_id].discard(entry.key)

    def _append_event(self, change: KeyValue) -> None:
        if len(self.events) == MAX_EVENTS:
            self.compacted_revision = self.events[0].change.mod_revision
        self.events.append(StoreEvent(change))
