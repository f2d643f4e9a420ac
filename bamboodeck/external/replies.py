"""Turn outcomes of calls into typed replies."""

from typing import TypeVar

import msgspec

from bamboodeck.http.messages import (
    HttpFailed,
    HttpOutcome,
    HttpReply,
    find_header,
)

OK = 200
DEFAULT_RETRY_AFTER_S = 1.0

PayloadT = TypeVar('PayloadT')


class BadReplyError(Exception):
    """Report an answer that is missing or of another form."""


def read_payload(outcome: HttpOutcome, kind: type[PayloadT]) -> PayloadT:
    """Read a payload of a type; raise `BadReplyError`."""
    match outcome:
        case HttpFailed(reason=reason):
            raise BadReplyError(reason)
        case HttpReply(status=status, body=body):
            if status != OK:
                raise BadReplyError(f'status {status}')
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise BadReplyError(f'answer is of another form: {error}')


def read_retry_after_s(reply: HttpReply) -> float:
    """Return the seconds to wait, or the default where none is told."""
    told = find_header(reply.headers, 'retry-after') or ''
    if told.isascii() and told.isdigit():
        return float(told)
    return DEFAULT_RETRY_AFTER_S
