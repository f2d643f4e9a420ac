"""Stand in for the platform's store, as its page describes it."""

import asyncio
import base64
import contextlib
import itertools
import json
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from review.support.messages import (
    LINE_LIMIT_BYTES,
    Request,
    build_answer,
    read_request,
)
from review.support.ports import LOOPBACK, find_free_port

HISTORY_S = 20.0
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
EXPIRY_PERIOD_S = 0.1

_JSON = (('Content-Type', 'application/json'),)
_RESERVED = ('op/', 'servers/')
_MS = 1000
_SERVED = 200
_MISSING = 404
_GONE = 410
_CONFLICT = 412
_REFUSED = 503


@dataclass(frozen=True)
class Item:
    """Hold a key's content and revisions."""

    key: str
    content: bytes
    revision: int
    created: int
    lease: int

    def describe(self) -> dict[str, Any]:
        """Return the item as it is sent."""
        return {
            'key': self.key,
            'value': base64.b64encode(self.content).decode(),
            'revision': self.revision,
            'created': self.created,
            'lease': self.lease,
        }


@dataclass(frozen=True)
class Change:
    """Hold a change and when it was made."""

    made_s: float
    revision: int
    key: str
    event: dict[str, Any]


@dataclass
class Lease:
    """Hold a lease and when it ends."""

    ttl_s: float
    ends_s: float


@dataclass
class Door:
    """Hold one machine's way to the store."""

    port: int
    # Whether calls of this machine get 503.
    refuses: bool = False
    # How many watches have arrived.
    watches: int = 0
    connections: set[asyncio.StreamWriter] = field(default_factory=set)
    # Those that get no answer any more, and stay open.
    silent: set[asyncio.StreamWriter] = field(default_factory=set)

    def silence(self) -> None:
        """Let the open connections go silent, while new ones work."""
        self.silent |= self.connections


Reply = tuple[int, dict[str, Any]]


@dataclass
class Store:
    """Serve keys, watches, leases and conditional writes from memory."""

    revision: int = 1
    items: dict[str, Item] = field(default_factory=dict)
    leases: dict[int, Lease] = field(default_factory=dict)
    history: deque[Change] = field(default_factory=deque)
    # The revision up to which the history is gone.
    forgotten: int = 0
    _lease_ids: Any = field(default_factory=lambda: itertools.count(1))
    _servers: list[asyncio.Server] = field(default_factory=list)
    _doors: list[Door] = field(default_factory=list)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def open_door(self) -> Door:
        """Listen on a port of its own for one machine."""
        door = Door(find_free_port())

        async def serve(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            door.connections.add(writer)
            with contextlib.suppress(OSError):
                await self._serve(door, reader, writer)
            door.connections.discard(writer)
            writer.close()

        self._doors.append(door)

        self._servers.append(
            await asyncio.start_server(
                serve,
                LOOPBACK,
                door.port,
                limit=LINE_LIMIT_BYTES,
            ),
        )
        return door

    def put(self, key: str, document: Any, lease: int = 0) -> int:
        """Write a document as JSON; return its revision."""
        return self._put(key, json.dumps(document).encode(), lease)

    def remove(self, key: str) -> None:
        """Remove a key, if it exists."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        event = {'key': key, 'revision': self.revision, 'deleted': True}
        self._record(key, event)

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()
        for door in self._doors:
            for writer in tuple(door.connections):
                writer.transport.abort()

    async def expire(self) -> None:
        """End leases that were not renewed, and forget old history."""
        closed = False
        while not closed:
            self._expire()
            await asyncio.sleep(EXPIRY_PERIOD_S)
            closed = not self._servers

    def _put(self, key: str, content: bytes, lease: int) -> int:
        self.revision += 1
        known = self.items.get(key)
        created = self.revision if known is None else known.created
        entry = Item(key, content, self.revision, created, lease)
        self.items[key] = entry
        self._record(key, entry.describe())
        return self.revision

    def _record(self, key: str, event: dict[str, Any]) -> None:
        self.history.append(
            Change(time.monotonic(), self.revision, key, event),
        )
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        now_s = time.monotonic()
        ended = {
            number
            for number, lease in self.leases.items()
            if lease.ends_s <= now_s
        }
        for number in ended:
            self._end_lease(number)
        while self.history and self.history[0].made_s < now_s - HISTORY_S:
            self.forgotten = self.history.popleft().revision

    def _end_lease(self, number: int) -> None:
        self.leases.pop(number, None)
        keys = [
            entry.key for entry in self.items.values() if entry.lease == number
        ]
        for key in keys:
            self.remove(key)

    async def _serve(
        self,
        door: Door,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        request = await read_request(reader)
        while request is not None:
            if door.refuses:
                writer.write(build_answer(_REFUSED, ()))
            else:
                status, document = await self._answer(door, request)
                body = json.dumps(document).encode()
                if writer in door.silent:
                    return await _wait_for_end(reader)
                writer.write(build_answer(status, _JSON, body))
            await writer.drain()
            request = await read_request(reader)

    async def _answer(self, door: Door, request: Request) -> Reply:
        parts = urlsplit(request.target)
        query = {
            name: texts[0] for name, texts in parse_qs(parts.query).items()
        }
        call = f'{request.method} {parts.path}'
        if call == 'GET /api/kv-watch':
            return await self._watch(door, query)
        answers: dict[str, Callable[[], Reply]] = {
            'GET /api/kv-key': lambda: self._read_key(query),
            'GET /api/kv-range': lambda: self._read_range(query),
            'POST /api/kv-txn': lambda: self._commit(json.loads(request.body)),
            'POST /api/kv-lease': lambda: self._grant(json.loads(request.body)),
        }
        answer = answers.get(call)
        if answer is not None:
            return answer()
        number = int(parts.path.rpartition('/')[2])
        if call.startswith('POST /api/kv-keep/'):
            return self._renew(number)
        self._end_lease(number)
        return (_SERVED, {})

    def _read_key(self, query: dict[str, str]) -> Reply:
        entry = self.items.get(query['key'])
        if entry is None:
            return (_MISSING, {'store_revision': self.revision})
        described = entry.describe()
        return (_SERVED, {**described, 'store_revision': self.revision})

    def _read_range(self, query: dict[str, str]) -> Reply:
        after = query.get('after', '')
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query.get('prefix', '')) and key > after
        )
        entries: list[dict[str, Any]] = []
        size = 0
        for key in keys[:PAGE_ITEMS]:
            if entries and size > PAGE_BYTES:
                break
            entries.append(self.items[key].describe())
            size += len(entries[-1]['value'])
        page = {
            'entries': entries,
            'has_more': len(entries) < len(keys),
            'store_revision': self.revision,
        }
        return (_SERVED, page)

    async def _watch(self, door: Door, query: dict[str, str]) -> Reply:
        door.watches += 1
        after = int(query['after'])
        ends_s = time.monotonic() + int(query['wait_ms']) / _MS
        left_s = ends_s - time.monotonic()
        while left_s > 0 and not self._list_events(query, after):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
            left_s = ends_s - time.monotonic()
            if door.refuses:
                return (_REFUSED, {})
        if not self.forgotten <= after <= self.revision:
            return (_GONE, {})
        page = {
            'events': self._list_events(query, after),
            'store_revision': self.revision,
        }
        return (_SERVED, page)

    def _list_events(
        self,
        query: dict[str, str],
        after: int,
    ) -> list[dict[str, Any]]:
        return [
            change.event
            for change in self.history
            if change.revision > after
            and change.key.startswith(query.get('prefix', ''))
        ]

    def _commit(self, change: dict[str, Any]) -> Reply:
        for condition in change['if_revision']:
            known = self.items.get(condition['key'])
            revision = 0 if known is None else known.revision
            if revision != condition['revision']:
                return (_CONFLICT, {'entries': []})
        leases = {write.get('lease', 0) for write in change['puts']}
        if not leases <= {0, *self.leases}:
            return (_MISSING, {})
        for write in change['puts']:
            content = base64.b64decode(write['value'])
            self._put(write['key'], content, write.get('lease', 0))
        for key in change['remove']:
            self.remove(key)
        return (_SERVED, {'revision': self.revision})

    def _grant(self, asked: dict[str, Any]) -> Reply:
        number = next(self._lease_ids)
        ttl_s = asked['ttl_ms'] / _MS
        self.leases[number] = Lease(ttl_s, time.monotonic() + ttl_s)
        return (_SERVED, {'lease': number, 'ttl_ms': asked['ttl_ms']})

    def _renew(self, number: int) -> Reply:
        lease = self.leases.get(number)
        if lease is None:
            return (_MISSING, {})
        lease.ends_s = time.monotonic() + lease.ttl_s
        return (_SERVED, {'ttl_ms': lease.ttl_s * _MS})


async def _wait_for_end(reader: asyncio.StreamReader) -> None:
    chunk = await reader.read(LINE_LIMIT_BYTES)
    while chunk:
        chunk = await reader.read(LINE_LIMIT_BYTES)
