"""Call the platform's key-value store: reads, watches, commits, leases."""

import base64
import binascii
import math
import re
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import quote

import msgspec

from bamboodeck.http.client import HttpClient
from bamboodeck.http.messages import (
    Address,
    FailureKind,
    Header,
    HttpCall,
    HttpFailed,
    HttpOutcome,
    HttpReply,
    find_header,
)
from bamboodeck.platform import protocol

# Allows for 20 times the store's usual response time of 4 ms, and for 5 times
# that when it is slow. A later response is treated as lost.
CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
# How long a watch may exceed its requested duration before it times out.
WATCH_SLACK_S = 1.0

_MILLISECONDS_PER_S = 1000
# Stores that can't be restored state no era.
_ERA = re.compile('[0-9]{1,15}')
_JSON = (Header('Content-Type', 'application/json'),)
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_CONFLICT = 412
_SERVER_ERROR = 500
_UNAVAILABLE = 503


class Item(msgspec.Struct, frozen=True):
    """Represent a key with its content."""

    key: str
    content: bytes
    # The revision of the last change, for use in a `Condition`.
    revision: int


class Removal(msgspec.Struct, frozen=True):
    """Represent the removal of a key."""

    key: str
    revision: int


Change = Item | Removal


class ItemsRead(msgspec.Struct, frozen=True):
    """Report the items under a prefix and the revision of the oldest page."""

    items: tuple[Item, ...]
    revision: int
    era: int = 0


class ChangesRead(msgspec.Struct, frozen=True):
    """Report the changes up to a revision."""

    changes: tuple[Change, ...]
    revision: int
    # Counts how often the store was restored from a copy.
    era: int = 0


class HistoryCompacted(msgspec.Struct, frozen=True):
    """Report that the store doesn't have the changes since a revision."""

    era: int = 0


class ChangesTooLarge(msgspec.Struct, frozen=True):
    """Report that the changes since a revision exceed an answer's limit."""


class Committed(msgspec.Struct, frozen=True):
    """Report that a commit was applied."""

    revision: int
    era: int = 0


class Conflict(msgspec.Struct, frozen=True):
    """Report that a condition didn't hold, so nothing was changed."""


class LeaseGranted(msgspec.Struct, frozen=True):
    """Report a lease and its time to live."""

    lease: int
    ttl_s: float


class LeaseExpired(msgspec.Struct, frozen=True):
    """Report that a lease has expired, so nothing was changed."""


class StoreFailed(msgspec.Struct, frozen=True):
    """Report a failed call; with `maybe_applied` it may still take effect."""

    reason: str
    maybe_applied: bool = True


StoreReply = (
    ItemsRead
    | ChangesRead
    | HistoryCompacted
    | ChangesTooLarge
    | Committed
    | Conflict
    | LeaseGranted
    | LeaseExpired
    | StoreFailed
)
OnReply = Callable[[StoreReply], None]


class Write(msgspec.Struct, frozen=True):
    """Set a key, attached to a lease unless `lease` is 0."""

    key: str
    content: bytes
    lease: int = 0


class Condition(msgspec.Struct, frozen=True):
    """Require a key's revision; 0 requires that the key doesn't exist."""

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
    """Count calls by kind, and failures."""

    reads: int = 0
    watches: int = 0
    writes: int = 0
    lease_calls: int = 0
    failed: int = 0


class _RangeRead(msgspec.Struct):
    prefix: str
    stale: bool
    on_reply: OnReply
    items: list[Item] = msgspec.field(default_factory=list)
    revision: float = math.inf
    era: int | None = None


class PlatformStore:
    """Send calls to the store, without retries."""

    def __init__(self, client: HttpClient, address: Address) -> None:
        """Use the store at an address."""
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
        self._read_page(_RangeRead(prefix, stale, on_reply), '')

    def watch(
        self,
        prefix: str,
        after_revision: int,
        wait_s: float,
        on_reply: OnReply,
    ) -> None:
        """Wait up to `wait_s` for changes under a prefix after a revision."""
        self.counters.watches += 1
        wait_ms = int(wait_s * _MILLISECONDS_PER_S)
        path = (
            f'{protocol.WATCH_PATH}?prefix={quote(prefix, safe="")}'
            f'&after={after_revision}&wait_ms={wait_ms}'
        )

        def on_outcome(outcome: HttpOutcome) -> None:
            reply = _check_status(outcome)
            if reply is None:
                reply = _decode_changes(outcome)
            elif _status_of(outcome) == _GONE:
                reply = HistoryCompacted(_read_era(outcome))
            elif _is_too_large(outcome):
                reply = ChangesTooLarge()
            self._deliver(reply, on_reply)

        self._call('GET', path, b'', on_outcome, wait_s + WATCH_SLACK_S)

    def commit(
        self,
        conditions: Iterable[Condition],
        writes: Iterable[Write],
        on_reply: OnReply,
    ) -> None:
        """Apply all writes if all conditions hold, otherwise none."""
        self.counters.writes += 1
        body = msgspec.json.encode(
            {
                'if_revision': [
                    {'key': each.key, 'revision': each.revision}
                    for each in conditions
                ],
                'puts': [_encode_write(write) for write in writes],
                'remove': [],
            },
        )

        def on_outcome(outcome: HttpOutcome) -> None:
            reply = _check_status(outcome)
            status = _status_of(outcome)
            if reply is None:
                reply = _decode_committed(outcome)
            elif status == _CONFLICT:
                reply = Conflict()
            elif status == _NOT_FOUND:
                reply = LeaseExpired()
            self._deliver(reply, on_reply)

        self._call('POST', protocol.COMMIT_PATH, body, on_outcome)

    def grant_lease(self, ttl_s: float, on_reply: OnReply) -> None:
        """Request a lease with a time to live of at least one second."""
        self.counters.lease_calls += 1
        ttl_ms = int(ttl_s * _MILLISECONDS_PER_S)
        body = msgspec.json.encode({'ttl_ms': ttl_ms})

        def on_outcome(outcome: HttpOutcome) -> None:
            reply = _check_status(outcome) or _decode_lease(outcome)
            self._deliver(reply, on_reply)

        self._call('POST', protocol.GRANT_PATH, body, on_outcome)

    def renew_lease(self, lease: LeaseGranted, on_reply: OnReply) -> None:
        """Restart the time to live of a lease."""
        self.counters.lease_calls += 1

        def on_outcome(outcome: HttpOutcome) -> None:
            reply = _check_status(outcome)
            if reply is None:
                reply = lease
            elif _status_of(outcome) == _NOT_FOUND:
                reply = LeaseExpired()
            self._deliver(reply, on_reply)

        self._call(
            'POST', f'{protocol.RENEW_PATH}/{lease.lease}', b'', on_outcome
        )

    def _read_page(self, read: _RangeRead, after_key: str) -> None:
        self.counters.reads += 1
        path = f'{protocol.RANGE_PATH}?prefix={quote(read.prefix, safe="")}'
        if after_key:
            path = f'{path}&after={quote(after_key, safe="")}'
        if read.stale:
            path = f'{path}&serializable=1'

        def on_outcome(outcome: HttpOutcome) -> None:
            reply = _check_status(outcome)
            if reply is not None:
                self._deliver(reply, read.on_reply)
                return
            page = _decode(outcome, _WirePage)
            if isinstance(page, StoreFailed):
                self._deliver(page, read.on_reply)
                return
            era = _read_era(outcome)
            if read.era not in {None, era}:
                reply = StoreFailed('restored between two pages')
                self._deliver(reply, read.on_reply)
                return
            read.era = era
            self._append_page(read, page)

        self._call('GET', path, b'', on_outcome)

    def _append_page(self, read: _RangeRead, page: _WirePage) -> None:
        read.items.extend(
            change
            for change in _decode_items(page.entries)
            if isinstance(change, Item)
        )
        # A watch from the oldest page's revision also sees changes made
        # between pages. A stale page may be older than the one before it.
        read.revision = min(read.revision, page.store_revision)
        if page.has_more and page.entries:
            self._read_page(read, page.entries[-1].key)
            return
        self._deliver(
            ItemsRead(tuple(read.items), int(read.revision), read.era),
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

        def on_checked(outcome: HttpOutcome) -> None:
            if isinstance(outcome, HttpFailed):
                # Other connections of the same age may be silent too.
                self._client.close_idle_to(self._address)
            on_outcome(outcome)

        self._client.send(call, on_checked)

    def _deliver(self, reply: StoreReply, on_reply: OnReply) -> None:
        if isinstance(reply, StoreFailed):
            self.counters.failed += 1
        on_reply(reply)


def _status_of(outcome: HttpOutcome) -> int:
    return outcome.status if isinstance(outcome, HttpReply) else 0


def _is_too_large(outcome: HttpOutcome) -> bool:
    if not isinstance(outcome, HttpFailed):
        return False
    return outcome.kind is FailureKind.TOO_LARGE


def _read_era(reply: HttpReply) -> int:
    text = find_header(reply.headers, protocol.STORE_ERA) or ''
    return int(text) if _ERA.fullmatch(text) else 0


def _check_status(outcome: HttpOutcome) -> StoreFailed | None:
    match outcome:
        case HttpFailed(reason=reason, maybe_started=maybe_started):
            return StoreFailed(reason, maybe_started)
        case HttpReply(status=status) if status != _OK:
            unclear = status >= _SERVER_ERROR and status != _UNAVAILABLE
            return StoreFailed(f'status {status}', maybe_applied=unclear)
    return None


def _decode(outcome: HttpOutcome, wire_type: type) -> Any:
    try:
        return msgspec.json.decode(outcome.body, type=wire_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return StoreFailed(f'malformed response: {error}')


def _decode_changes(outcome: HttpOutcome) -> StoreReply:
    wire = _decode(outcome, _WireEvents)
    if isinstance(wire, StoreFailed):
        return wire
    return ChangesRead(
        tuple(_decode_items(wire.events)),
        wire.store_revision,
        _read_era(outcome),
    )


def _decode_committed(outcome: HttpOutcome) -> StoreReply:
    wire = _decode(outcome, _WireCommitted)
    if isinstance(wire, StoreFailed):
        return wire
    return Committed(wire.revision, _read_era(outcome))


def _decode_lease(outcome: HttpOutcome) -> StoreReply:
    wire = _decode(outcome, _WireLease)
    if isinstance(wire, StoreFailed):
        return wire
    return LeaseGranted(wire.lease, wire.ttl_ms / _MILLISECONDS_PER_S)


def _decode_items(entries: Iterable[_WireItem]) -> Iterable[Change]:
    for entry in entries:
        if entry.deleted:
            yield Removal(entry.key, entry.revision)
            continue
        try:
            content = base64.b64decode(entry.value, validate=True)
        except (binascii.Error, ValueError):
            # The document decoder reports content that isn't valid base64.
            content = entry.value.encode()
        yield Item(entry.key, content, entry.revision)


def _encode_write(write: Write) -> dict[str, Any]:
    entry: dict[str, Any] = {
        'key': write.key,
        'value': base64.b64encode(write.content).decode('ascii'),
    }
    if write.lease:
        entry['lease'] = write.lease
    return entry
