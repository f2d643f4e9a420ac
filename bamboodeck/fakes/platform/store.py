"""Stand-in for the platform's store: keys, watches, leases, conditions."""

import base64
import copy
import enum
from collections.abc import Callable
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs

import msgspec

from bamboodeck.fakes.key_value.store import (
    KEY_END,
    KeyRange,
    KeyValue,
    LeaseNotFoundError,
    RevisionedStore,
    StoreEvent,
)
from bamboodeck.http.connection import Connection
from bamboodeck.http.messages import Address, Header
from bamboodeck.http.relay_server import RelayExchange, RelayServer
from bamboodeck.http.request_parser import ParsedRequest
from bamboodeck.loop.program import Loop
from bamboodeck.platform import protocol

MAX_VALUE_BYTES = 1_048_576
PAGE_ITEMS = 50
EXPIRY_PERIOD_S = 0.1
MILLISECONDS_PER_S = 1000
SLOW_ANSWER_S = 0.24

_JSON = (Header('Content-Type', 'application/json'),)


@enum.unique
class StoreMode(enum.Enum):
    """Select how the store responds to its callers."""

    SERVES = 'serves'
    # Requests are accepted and never answered, even after a return to SERVES.
    SILENT = 'silent'
    REFUSES = 'refuses'
    # Changes are applied, but the connection closes without a response.
    LOSES_ANSWERS = 'loses-answers'
    # Answers take sixty times as long as usual.
    SLOW = 'slow'


class _PendingWatch(msgspec.Struct):
    prefix: str
    after: int
    responder: Any
    done: bool = False


class PlatformStoreFake:
    """Serve the platform's store protocol from memory."""

    def __init__(self, loop: Loop, address: Address) -> None:
        """Listen on an address; port 0 selects a free port."""
        self.mode = StoreMode.SERVES
        self.calls: dict[str, int] = {}
        self.era = 1
        self._loop = loop
        self._store = RevisionedStore(MAX_VALUE_BYTES)
        self._pending_watches: list[_PendingWatch] = []
        self._compacted_revision = 0
        self._stale_snapshot: tuple[list[KeyValue], int] | None = None
        self._silent_connections: set[Connection] = set()
        self._server = RelayServer(
            loop,
            address,
            self._handle,
            max_connections=1000,
        )
        self.address = self._server.address
        loop.scheduler.call_every(EXPIRY_PERIOD_S, self._expire_leases)

    @property
    def revision(self) -> int:
        """Return the current revision of the store."""
        return self._store.revision

    def put(self, key: str, content: bytes) -> None:
        """Write a key at a new revision."""
        self._store.next_revision()
        self._store.put(key.encode(), content, 0)
        self._notify_watches()

    def remove(self, key: str) -> None:
        """Remove a key at a new revision."""
        self._store.next_revision()
        self._store.delete(KeyRange(key.encode()))
        self._notify_watches()

    def read(self, key: str) -> bytes | None:
        """Return the value of a key, None if it is missing."""
        found = self._store.read(KeyRange(key.encode()))
        return found[0].body if found else None

    def freeze_stale_reads(self) -> None:
        """Serve all later serializable reads from a snapshot taken now."""
        self._stale_snapshot = (
            list(self._store.read(_range_of(''))),
            self.revision,
        )

    def compact_history(self) -> None:
        """Compact all revisions until now and abort the pending watches."""
        self._compacted_revision = self._store.revision
        for pending in self._pending_watches:
            pending.responder.abort()
        self._pending_watches.clear()

    def take_copy(self) -> RevisionedStore:
        """Return a copy to restore the store from."""
        return copy.deepcopy(self._store)

    def restore(self, saved: RevisionedStore) -> None:
        """Replace all by a copy, which begins a new era."""
        self._store = copy.deepcopy(saved)
        self.era += 1
        now_s = self._loop.scheduler.now_s()
        for lease_id in tuple(self._store.leases):
            self._store.renew(lease_id, now_s)
        for pending in self._pending_watches:
            pending.done = True
            pending.responder.abort()
        self._pending_watches.clear()

    def silence_connections(self) -> None:
        """Answer nothing on the open connections any more."""
        self._silent_connections = set(self._server.connections)

    def _handle(self, parsed: ParsedRequest, responder: RelayExchange) -> None:
        if responder.connection in self._silent_connections:
            return
        self.calls[parsed.path] = self.calls.get(parsed.path, 0) + 1
        match self.mode:
            case StoreMode.SILENT:
                return
            case StoreMode.REFUSES:
                self._refuse(responder, HTTPStatus.SERVICE_UNAVAILABLE)
                return
        query = {
            name: texts[0] for name, texts in parse_qs(parsed.query).items()
        }
        answers: dict[str, Callable[[], None]] = {
            protocol.RANGE_PATH: lambda: self._read_range(query, responder),
            protocol.WATCH_PATH: lambda: self._watch(query, responder),
            protocol.COMMIT_PATH: lambda: self._commit(parsed.body, responder),
            protocol.GRANT_PATH: lambda: self._grant_lease(
                parsed.body, responder
            ),
        }
        if parsed.path.startswith(f'{protocol.RENEW_PATH}/'):
            self._renew_lease(int(parsed.path.rpartition('/')[2]), responder)
            return
        answer = answers.get(parsed.path)
        if answer is None:
            self._refuse(responder, HTTPStatus.NOT_FOUND)
            return
        answer()

    def _read_range(
        self,
        query: dict[str, str],
        responder: RelayExchange,
    ) -> None:
        after = query.get('after', '').encode()
        listed = self._store.read(_range_of(query.get('prefix', '')))
        revision = self._store.revision
        if (
            self._stale_snapshot is not None
            and query.get('serializable') == '1'
        ):
            listed, revision = self._stale_snapshot
            prefix = query.get('prefix', '').encode()
            listed = [each for each in listed if each.key.startswith(prefix)]
        found = [entry for entry in listed if entry.key > after or not after]
        self._respond(
            responder,
            {
                'entries': [_describe(entry) for entry in found[:PAGE_ITEMS]],
                'has_more': len(found) > PAGE_ITEMS,
                'store_revision': revision,
            },
        )

    def _watch(self, query: dict[str, str], responder: RelayExchange) -> None:
        after = int(query['after'])
        if not self._compacted_revision <= after <= self.revision:
            self._refuse(responder, HTTPStatus.GONE)
            return
        pending = _PendingWatch(query.get('prefix', ''), after, responder)
        self._pending_watches.append(pending)
        wait_s = int(query['wait_ms']) / MILLISECONDS_PER_S
        self._loop.scheduler.call_after(
            wait_s,
            lambda: self._answer_watch(pending, ()),
        )
        self._notify_watches()

    def _commit(self, body: bytes, responder: RelayExchange) -> None:
        change = msgspec.json.decode(body)
        if not self._conditions_hold(change['if_revision']):
            status = HTTPStatus.PRECONDITION_FAILED
            self._respond(responder, {'entries': []}, status)
            return
        leases = {put.get('lease', 0) for put in change['puts']}
        if not leases <= {0, *self._store.leases}:
            self._refuse(responder, HTTPStatus.NOT_FOUND)
            return
        self._store.next_revision()
        for put in change['puts']:
            self._store.put(
                put['key'].encode(),
                base64.b64decode(put['value']),
                put.get('lease', 0),
            )
        for key in change['remove']:
            self._store.delete(KeyRange(key.encode()))
        self._notify_watches()
        self._respond(responder, {'revision': self._store.revision})

    def _conditions_hold(self, conditions: list[dict[str, Any]]) -> bool:
        for condition in conditions:
            found = self._store.read(KeyRange(condition['key'].encode()))
            revision = found[0].mod_revision if found else 0
            if revision != condition['revision']:
                return False
        return True

    def _grant_lease(self, body: bytes, responder: RelayExchange) -> None:
        ttl_ms = msgspec.json.decode(body)['ttl_ms']
        lease = self._store.grant(
            0,
            ttl_ms / MILLISECONDS_PER_S,
            self._loop.scheduler.now_s(),
        )
        answer = {'lease': lease.lease_id, 'ttl_ms': ttl_ms}
        self._respond(responder, answer)

    def _renew_lease(self, lease_id: int, responder: RelayExchange) -> None:
        now_s = self._loop.scheduler.now_s()
        lease = self._store.renew(lease_id, now_s)
        if lease is None:
            self._refuse(responder, HTTPStatus.NOT_FOUND)
            return
        ttl_ms = int(lease.ttl_s * MILLISECONDS_PER_S)
        self._respond(responder, {'ttl_ms': ttl_ms})

    def end_lease(self, lease_id: int) -> None:
        """Revoke a lease, if it exists, and remove its keys."""
        try:
            self._store.revoke(lease_id)
        except LeaseNotFoundError:
            return
        self._notify_watches()

    def _expire_leases(self) -> None:
        if self._store.expire(self._loop.scheduler.now_s()):
            self._notify_watches()

    def _notify_watches(self) -> None:
        for pending in tuple(self._pending_watches):
            events = [
                _describe_event(event)
                for event in self._store.events
                if event.change.mod_revision > pending.after
                and event.change.key.startswith(pending.prefix.encode())
            ]
            if events:
                self._answer_watch(pending, events)

    def _answer_watch(self, pending: _PendingWatch, events) -> None:
        if pending.done:
            return
        pending.done = True
        if pending in self._pending_watches:
            self._pending_watches.remove(pending)
        if self.mode is StoreMode.SILENT:
            return
        self._respond(
            pending.responder,
            {'events': list(events), 'store_revision': self._store.revision},
        )

    def _respond(
        self,
        responder: RelayExchange,
        answer: dict[str, Any],
        status: int = HTTPStatus.OK,
    ) -> None:
        if self.mode is StoreMode.LOSES_ANSWERS:
            responder.abort()
            return
        headers = (*_JSON, self._era_header())
        body = msgspec.json.encode(answer)
        if self.mode is not StoreMode.SLOW:
            responder.respond(status, headers, body)
            return
        self._loop.scheduler.call_after(
            SLOW_ANSWER_S,
            lambda: responder.respond(status, headers, body),
        )

    def _refuse(self, responder: RelayExchange, status: int) -> None:
        responder.respond(status, (self._era_header(),))

    def _era_header(self) -> Header:
        return Header(protocol.STORE_ERA, str(self.era))


def _range_of(prefix: str) -> KeyRange:
    start = prefix.encode()
    if not start:
        return KeyRange(b'', KEY_END)
    after = start[-1] + 1
    return KeyRange(start, start[:-1] + bytes((after,)))


def _describe(entry: KeyValue) -> dict[str, Any]:
    return {
        'key': entry.key.decode(),
        'value': base64.b64encode(entry.body).decode(),
        'revision': entry.mod_revision,
        'created': entry.create_revision,
        'lease': entry.lease_id,
    }


def _describe_event(event: StoreEvent) -> dict[str, Any]:
    if event.deletion:
        return {
            'key': event.change.key.decode(),
            'revision': event.change.mod_revision,
            'deleted': True,
        }
    return _describe(event.change)
