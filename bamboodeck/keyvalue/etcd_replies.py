"""Convert answers of the etcd JSON gateway to key-value port replies."""

import base64
from dataclasses import dataclass
from typing import Any

import msgspec

from bamboodeck.http.messages import HttpReply
from bamboodeck.keyvalue.etcd_requests import is_write
from bamboodeck.keyvalue.port import (
    CompareAndSwap,
    Conflict,
    Entry,
    GrantLease,
    KeepLease,
    KeyDeleted,
    KeyPut,
    KeyRead,
    LeaseGranted,
    LeaseLost,
    MISSING_REVISION,
    PrefixRead,
    ReadKey,
    ReadPrefix,
    ReadRevision,
    RevisionRead,
    RevokeLease,
    StoreReply,
    StoreRequest,
    StoreUnavailable,
    Swapped,
)

_OK = 200
_NOT_FOUND = 404
_MIN_SERVER_ERROR = 500
_MAX_REASON_CHARACTERS = 200
_DECODE_ERRORS = (AttributeError, LookupError, TypeError, ValueError)


@dataclass(frozen=True, slots=True)
class WatchMessage:
    """Represent one line of a watch stream."""

    store_revision: int
    created: bool
    broken_reason: str
    changes: tuple[KeyPut | KeyDeleted, ...]


def read_reply(request: StoreRequest, reply: HttpReply) -> StoreReply:
    """Convert the answer to a request."""
    if reply.status == _NOT_FOUND:
        lease_id = _get_lease_id(request)
        if lease_id:
            return LeaseLost(lease_id)
    if reply.status != _OK:
        maybe_applied = reply.status >= _MIN_SERVER_ERROR and is_write(request)
        return StoreUnavailable(_read_reason(reply), maybe_applied)
    try:
        return _read_success(request, msgspec.json.decode(reply.body))
    except _DECODE_ERRORS:
        return StoreUnavailable(
            'malformed answer from the etcd gateway',
            is_write(request),
        )


def read_watch_line(line: bytes) -> WatchMessage:
    """Decode a line of a watch; raise `ValueError` if it is malformed."""
    try:
        return _read_watch_fields(msgspec.json.decode(line))
    except _DECODE_ERRORS as error:
        raise ValueError(
            'malformed watch line from the etcd gateway'
        ) from error


def _read_entry(fields: dict[str, Any]) -> Entry:
    return Entry(
        key=base64.b64decode(fields['key']).decode(),
        body=base64.b64decode(fields.get('value', '')),
        revision=int(fields['mod_revision']),
        created_revision=int(fields.get('create_revision', 0)),
        lease_id=int(fields.get('lease', 0)),
    )


def _read_success(request: StoreRequest, fields: dict[str, Any]) -> StoreReply:
    match request:
        case ReadKey():
            entries = _read_entries(fields)
            entry = entries[0] if entries else None
            return KeyRead(entry, _read_revision(fields))
        case ReadRevision():
            entries = _read_entries(fields)
            revision = entries[0].revision if entries else MISSING_REVISION
            return RevisionRead(revision, _read_revision(fields))
        case ReadPrefix():
            return PrefixRead(_read_entries(fields), _read_revision(fields))
        case CompareAndSwap():
            return _read_swap(fields)
        case GrantLease():
            return LeaseGranted(int(fields['ID']), int(fields['TTL']))
        case KeepLease(lease_id=lease_id):
            ttl_s = int(fields['result'].get('TTL', 0))
            if ttl_s > 0:
                return LeaseGranted(lease_id, ttl_s)
            return LeaseLost(lease_id)
        case RevokeLease(lease_id=lease_id):
            return LeaseLost(lease_id)


def _read_swap(fields: dict[str, Any]) -> StoreReply:
    revision = _read_revision(fields)
    if fields.get('succeeded', False):
        return Swapped(revision)
    entries = _read_entries(fields['responses'][0]['response_range'])
    return Conflict(entries[0] if entries else None, revision)


def _read_entries(fields: dict[str, Any]) -> tuple[Entry, ...]:
    return tuple(_read_entry(item) for item in fields.get('kvs', ()))


def _read_revision(fields: dict[str, Any]) -> int:
    return int(fields['header']['revision'])


def _get_lease_id(request: StoreRequest) -> int:
    match request:
        case CompareAndSwap(lease_id=lease_id):
            return lease_id
        case KeepLease(lease_id=lease_id) | RevokeLease(lease_id=lease_id):
            return lease_id
    return 0


def _read_reason(reply: HttpReply) -> str:
    text = reply.body[:_MAX_REASON_CHARACTERS].decode(errors='replace')
    try:
        text = msgspec.json.decode(reply.body)['message']
    except (msgspec.DecodeError, LookupError, TypeError):
        return f'status {reply.status}: {text}'
    return f'status {reply.status}: {text}'


def _read_watch_fields(fields: dict[str, Any]) -> WatchMessage:
    failure = fields.get('error')
    if failure:
        return WatchMessage(0, False, f'refused: {failure}', ())
    result = fields['result']
    reason = ''
    if result.get('canceled', False):
        reason = result.get('cancel_reason', '') or 'cancelled by the service'
    compacted = result.get('compact_revision')
    if compacted:
        reason = f'compacted up to revision {compacted}'
    return WatchMessage(
        store_revision=_read_revision(result),
        created=bool(result.get('created', False)),
        broken_reason=reason,
        changes=tuple(_read_event(item) for item in result.get('events', ())),
    )


def _read_event(event: dict[str, Any]) -> KeyPut | KeyDeleted:
    if event.get('type', 'PUT') == 'DELETE':
        key = base64.b64decode(event['kv']['key']).decode()
        return KeyDeleted(key, int(event['kv']['mod_revision']))
    return KeyPut(_read_entry(event['kv']))
