"""Call the platform's store: items by key, watches and conditional changes."""

import base64
import binascii
import math
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import quote

import msgspec

from bamboodeck.http.client import HttpClient
from bamboodeck.http.messages import (
    Address,
    Header,
    HttpCall,
    HttpFailed,
    HttpOutcome,
    HttpReply,
)
from bamboodeck.platform import words

# Twenty times the store's usual answer of 4 ms, five times that when it is
# slow; an answer later than this counts as lost.
CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
# How much later than asked a watch may end before its connection is given up.
WATCH_SLACK_S = 1.0

_MILLISECONDS_PER_S = 1000
_JSON = (Header('Content-Type', 'application/json'),)
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_CONFLICT = 412
_SERVER_ERROR = 500
_UNAVAILABLE = 503


class Item(msgspec.Struct, frozen=True):
    """Hold a key of the store with its content."""

    key: str
    content: bytes
    # The revision of the last change, by which conditions are written.
    revision: int


class Removal(msgspec.Struct, frozen=True):
    """Tell that a key was removed."""

    key: str
    revision: int


Change = Item | Removal


class ItemsRead(msgspec.Struct, frozen=True):
    """Hold what lies under a prefix; `revision` is the oldest page's."""

    items: tuple[Item, ...]
    revision: int


class ChangesSeen(msgspec.Struct, frozen=True):
    """Hold the changes up to a revision."""

    changes: tuple[Change, ...]
    revision: int


class HistoryGone(msgspec.Struct, frozen=True):
    """Tell that the changes since a revision are no longer kept."""


class Committed(msgspec.Struct, frozen=True):
    """Tell that a change was made."""

    revision: int


class Conflict(msgspec.Struct, frozen=True):
    """Tell that a condition didn't hold, so nothing was changed."""


class LeaseGranted(msgspec.Struct, frozen=True):
    """Hold a lease and how long it lasts."""

    lease: int
    ttl_s: float


class LeaseGone(msgspec.Struct, frozen=True):
    """Tell that a lease has ended, so nothing was changed."""


class StoreFailed(msgspec.Struct, frozen=True):
    """Tell that no answer can be had; a change may still be made later."""

    reason: str
    maybe_done: bool = True


StoreReply = (
    ItemsRead
    | ChangesSeen
    | HistoryGone
    | Committed
    | Conflict
    | LeaseGranted
    | LeaseGone
    | StoreFailed
)
OnReply = Callable[[StoreReply], None]


class Write(msgspec.Struct, frozen=True):
    """Set a key, bound to a lease unless that is 0."""

    key: str
    content: bytes
    lease: int = 0


class Condition(msgspec.Struct, frozen=True):
    """Demand a key's revision; 0 demands that there is no such key."""

    key: str
    revision: int


class _WireItem(msgspec.Struct, frozen=True):
    key: str
    revision: int
    value: str = ''
    deleted: bool = False


class _WirePage(msgspec.Struct, frozen=True):
    entries: tuple[_WireItem, ...]
    store_revision: int
    has_more: bool = False


class _WireEvents(msgspec.Struct, frozen=True):
    events: tuple[_WireItem, ...]
    store_revision: int


class _WireCommitted(msgspec.Struct, frozen=True):
    revision: int


class _WireLease(msgspec.Struct, frozen=True):
    lease: int
    ttl_ms: float


class StoreCounters(msgspec.Struct):
    """Count the calls by kind and how many of them failed."""

    reads: int = 0
    watches: int = 0
    writes: int = 0
    lease_calls: int = 0
    failed: int = 0


class _Range(msgspec.Struct):
    prefix: str
    stale: bool
    on_reply: OnReply
    items: list[Item] = msgspec.field(default_factory=list)
    revision: float = math.inf


class PlatformStore:
    """Send single calls to the store; nothing is repeated here."""

    def __init__(self, client: HttpClient, address: Address) -> None:
        """Keep where the store listens."""
        self.counters = StoreCounters()
        self._client = client
        self._address = address

    def read_prefix(
        self,
        prefix: str,
        on_reply: OnReply,
        *,
        stale: bool = False,
    ) -> None:
        """Read all items under a prefix, page by page."""
        self._read_page(_Range(prefix, stale, on_reply), '')

    def watch(
        self,
        prefix: str,
        after_revision: int,
        wait_s: float,
        on_reply: OnReply,
    ) -> None:
        """Wait for changes under a prefix after a revision."""
        self.counters.watches += 1
        wait_ms = int(wait_s * _MILLISECONDS_PER_S)
        path = (
            f'{words.WATCH_PATH}?prefix={quote(prefix, safe="")}'
            f'&after={after_revision}&wait_ms={wait_ms}'
        )

        def answer(outcome: HttpOutcome) -> None:
            reply = _refuse_unless_ok(outcome)
            if reply is None:
                reply = _read_changes(outcome)
            elif _status_of(outcome) == _GONE:
                reply = HistoryGone()
            self._hand_over(reply, on_reply)

        self._call('GET', path, b'', answer, wait_s + WATCH_SLACK_S)

    def commit(
        self,
        conditions: Iterable[Condition],
        writes: Iterable[Write],
        on_reply: OnReply,
    ) -> None:
        """Make all changes if all conditions hold, else none."""
        self.counters.writes += 1
        body = msgspec.json.encode(
            {
                'if_revision': [
                    {'key': each.key, 'revision': each.revision}
                    for each in conditions
                ],
                'puts': [_write_entry(write) for write in writes],
                'remove': [],
            },
        )

        def answer(outcome: HttpOutcome) -> None:
            reply = _refuse_unless_ok(outcome)
            status = _status_of(outcome)
            if reply is None:
                reply = _read_committed(outcome)
            elif status == _CONFLICT:
                reply = Conflict()
            elif status == _NOT_FOUND:
                reply = LeaseGone()
            self._hand_over(reply, on_reply)

        self._call('POST', words.COMMIT_PATH, body, answer)

    def grant_lease(self, ttl_s: float, on_reply: OnReply) -> None:
        """Ask for a lease that lasts at least a second."""
        self.counters.lease_calls += 1
        ttl_ms = int(ttl_s * _MILLISECONDS_PER_S)
        body = msgspec.json.encode({'ttl_ms': ttl_ms})

        def answer(outcome: HttpOutcome) -> None:
            reply = _refuse_unless_ok(outcome) or _read_lease(outcome)
            self._hand_over(reply, on_reply)

        self._call('POST', words.GRANT_PATH, body, answer)

    def renew_lease(self, lease: LeaseGranted, on_reply: OnReply) -> None:
        """Let a lease last for its time from now."""
        self.counters.lease_calls += 1

        def answer(outcome: HttpOutcome) -> None:
            reply = _refuse_unless_ok(outcome)
            if reply is None:
                reply = lease
            elif _status_of(outcome) == _NOT_FOUND:
                reply = LeaseGone()
            self._hand_over(reply, on_reply)

        self._call('POST', f'{words.RENEW_PATH}/{lease.lease}', b'', answer)

    def _read_page(self, read: _Range, after_key: str) -> None:
        self.counters.reads += 1
        path = f'{words.RANGE_PATH}?prefix={quote(read.prefix, safe="")}'
        if after_key:
            path = f'{path}&after={quote(after_key, safe="")}'
        if read.stale:
            path = f'{path}&serializable=1'

        def answer(outcome: HttpOutcome) -> None:
            reply = _refuse_unless_ok(outcome)
            if reply is not None:
                self._hand_over(reply, read.on_reply)
                return
            page = _decode(outcome, _WirePage)
            if isinstance(page, StoreFailed):
                self._hand_over(page, read.on_reply)
                return
            self._take_page(read, page)

        self._call('GET', path, b'', answer)

    def _take_page(self, read: _Range, page: _WirePage) -> None:
        read.items.extend(
            change
            for change in _read_items(page.entries)
            if isinstance(change, Item)
        )
        # Changes between two pages are seen by a watch from the oldest one;
        # a page that may be stale may be older than the one before it.
        read.revision = min(read.revision, page.store_revision)
        if page.has_more and page.entries:
            self._read_page(read, page.entries[-1].key)
            return
        self._hand_over(
            ItemsRead(tuple(read.items), int(read.revision)),
            read.on_reply,
        )

    def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        on_outcome: Callable[[HttpOutcome], None],
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        call = HttpCall(
            self._address,
            method,
            path,
            body,
            _JSON if body else (),
            timeout_s,
            CONNECT_TIMEOUT_S,
        )
        self._client.send(call, on_outcome)

    def _hand_over(self, reply: StoreReply, on_reply: OnReply) -> None:
        if isinstance(reply, StoreFailed):
            self.counters.failed += 1
        on_reply(reply)


def _status_of(outcome: HttpOutcome) -> int:
    return outcome.status if isinstance(outcome, HttpReply) else 0


def _refuse_unless_ok(outcome: HttpOutcome) -> StoreFailed | None:
    match outcome:
        case HttpFailed(reason=reason, maybe_started=maybe_started):
            return StoreFailed(reason, maybe_started)
        case HttpReply(status=status) if status != _OK:
            unclear = status >= _SERVER_ERROR and status != _UNAVAILABLE
            return StoreFailed(f'status {status}', maybe_done=unclear)
    return None


def _decode(outcome: HttpOutcome, wire_type: type) -> Any:
    try:
        return msgspec.json.decode(outcome.body, type=wire_type)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return StoreFailed(f'unreadable answer: {error}')


def _read_changes(outcome: HttpOutcome) -> StoreReply:
    wire = _decode(outcome, _WireEvents)
    if isinstance(wire, StoreFailed):
        return wire
    return ChangesSeen(tuple(_read_items(wire.events)), wire.store_revision)


def _read_committed(outcome: HttpOutcome) -> StoreReply:
    wire = _decode(outcome, _WireCommitted)
    return wire if isinstance(wire, StoreFailed) else Committed(wire.revision)


def _read_lease(outcome: HttpOutcome) -> StoreReply:
    wire = _decode(outcome, _WireLease)
    if isinstance(wire, StoreFailed):
        return wire
    return LeaseGranted(wire.lease, wire.ttl_ms / _MILLISECONDS_PER_S)


def _read_items(entries: Iterable[_WireItem]) -> Iterable[Change]:
    for entry in entries:
        if entry.deleted:
            yield Removal(entry.key, entry.revision)
            continue
        try:
            content = base64.b64decode(entry.value, validate=True)
        except (binascii.Error, ValueError):
            # Bytes that can't be read are for the reader of the document.
            content = entry.value.encode()
        yield Item(entry.key, content, entry.revision)


def _write_entry(write: Write) -> dict[str, Any]:
    entry: dict[str, Any] = {
        'key': write.key,
        'value': base64.b64encode(write.content).decode('ascii'),
    }
    if write.lease:
        entry['lease'] = write.lease
    return entry
