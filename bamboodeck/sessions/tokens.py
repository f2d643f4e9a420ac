"""Sign and verify session tokens.

A token carries its claims, so that any node can verify it without a store.
"""

import base64
import binascii
import hashlib
import hmac
import math

import msgspec

from bamboodeck.configuration.model import SigningKey
from bamboodeck.sessions.messages import (
    ExpiredTokenError,
    InvalidSignatureError,
    MalformedTokenError,
    SessionClaims,
    SigningKeyError,
    UnknownKeyError,
    WrongCustomerError,
)

MAX_TOKEN_BYTES = 1024
MIN_SECRET_BYTES = 16

_CONTEXT = 'bamboodeck-session-1'
_URL_SAFE = b'-_'
_PADDING_GROUP = 4


class _SignedClaims(msgspec.Struct, frozen=True, array_like=True):
    key_id: str
    claims: bytes
    signature: bytes


def issue_token(keys: tuple[SigningKey, ...], claims: SessionClaims) -> str:
    """Return a token signed with the first key.

    Raise `SigningKeyError` without a valid key and `MalformedTokenError` if the
    token would be too long or never expire.
    """
    if not keys:
        raise SigningKeyError('no signing key is configured')
    if not math.isfinite(claims.expires_s):
        raise MalformedTokenError('session token has no finite expiry time')
    body = msgspec.msgpack.encode(claims)
    signed = _SignedClaims(keys[0].key_id, body, _sign(keys[0], body))
    text = base64.urlsafe_b64encode(msgspec.msgpack.encode(signed))
    token = text.rstrip(b'=').decode('ascii')
    if len(token) > MAX_TOKEN_BYTES:
        raise MalformedTokenError(
            f'session token of {len(token)} bytes exceeds the limit of '
            f'{MAX_TOKEN_BYTES} bytes',
        )
    return token


def read_token(
    keys: tuple[SigningKey, ...],
    text: str,
    customer: str,
    now_s: float,
) -> SessionClaims:
    """Return a customer's claims; raise `SessionError` if invalid."""
    signed = _decode(text)
    _verify(keys, signed)
    claims = _decode_claims(signed.claims)
    if claims.customer != customer:
        raise WrongCustomerError('session token belongs to another customer')
    if now_s >= claims.expires_s:
        raise ExpiredTokenError(
            f'session "{claims.session_id}" expired at Unix time '
            f'{claims.expires_s:.0f}',
        )
    return claims


def _verify(keys: tuple[SigningKey, ...], signed: _SignedClaims) -> None:
    known = False
    for key in keys:
        if key.key_id != signed.key_id:
            continue
        known = True
        if hmac.compare_digest(_sign(key, signed.claims), signed.signature):
            return
    if known:
        raise InvalidSignatureError('signature of the session token is invalid')
    raise UnknownKeyError('session token is signed with an unknown key')


def _sign(key: SigningKey, body: bytes) -> bytes:
    try:
        secret = bytes.fromhex(key.secret_hex)
    except ValueError:
        raise SigningKeyError(
            f'secret of signing key "{key.key_id}" is not hexadecimal',
        ) from None
    if len(secret) < MIN_SECRET_BYTES:
        raise SigningKeyError(
            f'secret of signing key "{key.key_id}" has fewer than '
            f'{MIN_SECRET_BYTES} bytes',
        )
    signed = msgspec.msgpack.encode((_CONTEXT, key.key_id, body))
    return hmac.digest(secret, signed, hashlib.sha256)


def _decode(text: str) -> _SignedClaims:
    if len(text) > MAX_TOKEN_BYTES:
        raise MalformedTokenError(
            f'session token exceeds the limit of {MAX_TOKEN_BYTES} bytes',
        )
    padding = '=' * (-len(text) % _PADDING_GROUP)
    try:
        packed = base64.b64decode(text + padding, _URL_SAFE, validate=True)
        return msgspec.msgpack.decode(packed, type=_SignedClaims)
    except (ValueError, binascii.Error, msgspec.DecodeError):
        raise MalformedTokenError('session token is malformed') from None


def _decode_claims(body: bytes) -> SessionClaims:
    try:
        return msgspec.msgpack.decode(body, type=SessionClaims)
    except msgspec.DecodeError:
        raise MalformedTokenError(
            'claims of the session token are malformed'
        ) from None
