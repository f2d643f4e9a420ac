"""Convert requests of the key-value port to calls of the etcd gateway."""

import base64
from dataclasses import dataclass
from typing import Any

import msgspec

from bamboodeck.keyvalue.port import (
    CompareAndSwap,
    GrantLease,
    KeepLease,
    ReadKey,
    ReadPrefix,
    ReadRevision,
    RevokeLease,
    StoreRequest,
)

RANGE_PATH = '/v3/kv/range'
TRANSACTION_PATH = '/v3/kv/txn'
GRANT_PATH = '/v3/lease/grant'
KEEP_PATH = '/v3/lease/keepalive'
REVOKE_PATH = '/v3/lease/revoke'
WATCH_PATH = '/v3/watch'

_LAST_BYTE = 0xFF
_END_OF_KEYSPACE = b'\0'


@dataclass(frozen=True, slots=True)
class GatewayCall:
    """Represent a call of the etcd JSON gateway."""

    path: str
    body: bytes


def build_call(request: StoreRequest) -> GatewayCall:
    """Convert a request to a call of the gateway."""
    match request:
        case ReadKey(key=key):
            return _build(RANGE_PATH, {'key': encode_base64(key)})
        case ReadRevision(key=key):
            return _build(
                RANGE_PATH, {'key': encode_base64(key), 'keys_only': True}
            )
        case ReadPrefix(prefix=prefix):
            return _build(RANGE_PATH, build_range(prefix))
        case CompareAndSwap():
            return _build(TRANSACTION_PATH, _build_transaction(request))
        case GrantLease(ttl_s=ttl_s):
            return _build(GRANT_PATH, {'TTL': str(ttl_s), 'ID': '0'})
        case KeepLease(lease_id=lease_id):
            return _build(KEEP_PATH, {'ID': str(lease_id)})
        case RevokeLease(lease_id=lease_id):
            return _build(REVOKE_PATH, {'ID': str(lease_id)})


def build_watch_call(prefix: str, from_revision: int) -> GatewayCall:
    """Build the call that starts a watch."""
    create: dict[str, Any] = {**build_range(prefix), 'progress_notify': True}
    if from_revision:
        create['start_revision'] = str(from_revision)
    return _build(WATCH_PATH, {'create_request': create})


def build_range(prefix: str) -> dict[str, Any]:
    """Build the range of all keys with a prefix."""
    start = prefix.encode()
    end = base64.b64encode(find_prefix_end(start)).decode('ascii')
    return {
        'key': encode_base64(prefix) if start else encode_base64('\0'),
        'range_end': end,
    }


def find_prefix_end(prefix: bytes) -> bytes:
    """Return the exclusive upper bound of the keys with a prefix."""
    stripped = prefix.rstrip(bytes((_LAST_BYTE,)))
    if not stripped:
        return _END_OF_KEYSPACE
    return stripped[:-1] + bytes((stripped[-1] + 1,))


def encode_base64(text: str) -> str:
    """Encode text as base64."""
    return base64.b64encode(text.encode()).decode('ascii')


def is_write(request: StoreRequest) -> bool:
    """Return whether a request may change the store."""
    return not isinstance(request, (ReadKey, ReadRevision, ReadPrefix))


def _build(path: str, fields: dict[str, Any]) -> GatewayCall:
    return GatewayCall(path, msgspec.json.encode(fields))


def _build_transaction(request: CompareAndSwap) -> dict[str, Any]:
    key = encode_base64(request.key)
    operation: dict[str, Any]
    if request.body is None:
        operation = {'request_delete_range': {'key': key}}
    else:
        put = {'key': key, 'value': base64.b64encode(request.body).decode()}
        if request.lease_id:
            put['lease'] = str(request.lease_id)
        operation = {'request_put': put}
    return {
        'compare': [
            {
                'key': key,
                'target': 'MOD',
                'result': 'EQUAL',
                'mod_revision': str(request.expected_revision),
            },
        ],
        'success': [operation],
        'failure': [{'request_range': {'key': key}}],
    }
