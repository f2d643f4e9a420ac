"""Derive the location of an order's record from its idempotency key.

All nodes have to derive the same location: a changed constant here is safe only
after all keys issued before the change have expired.
"""

import hashlib
import uuid
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from bamboodeck.orders.messages import (
    ExpiredKeyError,
    FutureKeyError,
    MalformedKeyError,
    OrderLimits,
    OrderRequest,
)

PREFIX = '/bamboodeck/orders/'
BUCKET_S = 10
SHARDS = 8
DIGEST_BYTES = 16
FINGERPRINT_BYTES = 8
# Records are kept for this time regardless of the configuration; otherwise a
# raised time to live would accept keys whose records are deleted.
MAX_KEY_TTL_S = 86_400.0
# The clocks of two hosts may differ by half of this before one host accepts a
# key whose records another host has deleted.
RETENTION_MARGIN_S = 900.0

_UUID_VERSION = 7
_UUID_TIME_SHIFT = 80
_MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class RecordLocation:
    """Identify the stored value, the record in it and the request body."""

    store_key: str
    digest: bytes
    fingerprint: bytes


def locate_record(request: OrderRequest) -> RecordLocation:
    """Derive the location of a record; raise `MalformedKeyError`."""
    key = _parse(request.idempotency_key)
    identity = msgspec.msgpack.encode(
        (request.customer, request.service, request.method, key.bytes),
    )
    digest = _hash(identity, DIGEST_BYTES)
    bucket = int(_issued_s(key) // BUCKET_S)
    shard = int.from_bytes(digest[:4]) % SHARDS
    return RecordLocation(
        f'{bucket_prefix(bucket)}{shard}',
        digest,
        _hash(request.body, FINGERPRINT_BYTES),
    )


def check_age(idempotency_key: str, now_s: float, limits: OrderLimits) -> None:
    """Raise `OrderKeyError` if a key has expired or is from the future."""
    issued_s = _issued_s(_parse(idempotency_key))
    ttl_s = min(limits.key_ttl_s, MAX_KEY_TTL_S)
    if now_s - issued_s >= ttl_s:
        raise ExpiredKeyError(f'idempotency key is older than {ttl_s:.0f} s')
    if issued_s - now_s > limits.key_skew_s:
        raise FutureKeyError(
            f'idempotency key is issued {issued_s - now_s:.0f} s in the future',
        )


def bucket_prefix(bucket: int) -> str:
    """Return the key prefix of all values of a bucket."""
    return f'{PREFIX}{bucket:011d}/'


def last_expired_bucket(now_s: float) -> int:
    """Return the newest bucket whose keys no host accepts any more."""
    cutoff_s = now_s - MAX_KEY_TTL_S - RETENTION_MARGIN_S
    return int(cutoff_s // BUCKET_S) - 1


def expired_prefixes(now_s: float, swept_bucket: int) -> Iterator[str]:
    """Yield the expired prefixes after the last swept bucket."""
    for bucket in range(swept_bucket + 1, last_expired_bucket(now_s) + 1):
        yield bucket_prefix(bucket)


def _parse(text: str) -> uuid.UUID:
    try:
        key = uuid.UUID(text)
    except ValueError:
        raise MalformedKeyError('idempotency key is not a UUID') from None
    if key.variant != uuid.RFC_4122 or key.version != _UUID_VERSION:
        raise MalformedKeyError('idempotency key is not a UUIDv7')
    return key


def _issued_s(key: uuid.UUID) -> float:
    return (key.int >> _UUID_TIME_SHIFT) / _MS_PER_S


def _hash(content: bytes, size: int) -> bytes:
    return hashlib.blake2b(content, digest_size=size).digest()
