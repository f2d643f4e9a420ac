"""Decode the outcomes of HTTP calls."""

from typing import TypeVar

import msgspec

from bamboodeck.http.messages import (
    HttpFailed,
    HttpOutcome,
    HttpReply,
    find_header,
)

STATUS_OK = 200
DEFAULT_RETRY_AFTER_S = 1.0

PayloadT = TypeVar('PayloadT')


class BadReplyError(Exception):
    """Report an answer that is missing, an error or malformed."""


def read_payload(
    outcome: HttpOutcome, payload_type: type[PayloadT]
) -> PayloadT:
    """Decode the payload as a type; raise `BadReplyError`."""
    match outcome:
        case HttpFailed(reason=reason):
            raise BadReplyError(reason)
        case HttpReply(status=status, body=body):
            if status != STATUS_OK:
                raise BadReplyError(f'status {status}')
    try:
        return msgspec.json.decode(body, type=payload_type)
    except msgspec.DecodeError as error:
        raise BadReplyError(f'malformed answer: {error}')


def read_retry_after_s(reply: HttpReply) -> float:
    """Return the Retry-After delay in seconds, or the default."""
    value = find_header(reply.headers, 'retry-after') or ''
    if value.isascii() and value.isdigit():
        return float(value)
    return DEFAULT_RETRY_AFTER_S
