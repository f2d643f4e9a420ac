"""Identify requests by scope and content."""

import hashlib

FINGERPRINT_BYTES = 16


def compute_fingerprint(scope: str, body: bytes) -> bytes:
    """Return the digest of a request's scope and its body."""
    return hashlib.blake2b(
        scope.encode() + body,
        digest_size=FINGERPRINT_BYTES,
    ).digest()
