"""Define the messages of the HTTP client and server."""

import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import Protocol

import msgspec

from bamboodeck.errors import InputError

JSON_TYPE = 'application/json'
EVENT_STREAM_TYPE = 'text/event-stream'

_MAX_PORT = 65535
_MAX_SHOWN_CHARS = 100


class AddressError(InputError):
    """Report text that isn't an IPv4 address with a port."""


class Address(msgspec.Struct, frozen=True, order=True):
    """Identify a peer by IPv4 address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Format as `IP:PORT`."""
        return f'{self.host}:{self.port}'


def parse_address(text: str) -> Address:
    """Parse `IP:PORT`; raise `AddressError` if it is malformed."""
    host, colon, port = text.strip().rpartition(':')
    parts = host.split('.')
    numeric = len(parts) == 4 and all(
        _is_number(part, 3) and int(part) < 256 for part in parts
    )
    if not (colon and numeric and _is_number(port, 5)):
        shown = text[:_MAX_SHOWN_CHARS]
        raise AddressError(f'address "{shown}" is not of the form IP:PORT')
    if not 0 < int(port) <= _MAX_PORT:
        raise AddressError(f'port {port} is not from 1 to {_MAX_PORT}')
    return Address(host, int(port))


def _is_number(text: str, max_digits: int) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= max_digits


class Header(msgspec.Struct, frozen=True):
    """Represent a header field."""

    name: str
    text: str


class HttpCall(msgspec.Struct, frozen=True):
    """Represent a request to a peer."""

    address: Address
    method: str
    path: str
    body: bytes = b''
    headers: tuple[Header, ...] = ()
    timeout_s: float = 5.0
    connect_timeout_s: float | None = None
    # The Host header; the address if empty.
    host: str = ''
    # Header by which the peer's response names this call.
    echo: Header | None = None


class HttpReply(msgspec.Struct, frozen=True):
    """Represent a complete response."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


@enum.unique
class FailureKind(enum.Enum):
    """Classify why a call has no complete response."""

    REFUSED = 'refused'
    SILENT = 'silent'
    BROKEN = 'broken'
    MALFORMED = 'malformed'
    LATE = 'late'
    TOO_LARGE = 'too-large'


class HttpFailed(msgspec.Struct, frozen=True):
    """Report a call without a complete response.

    `maybe_started` tells whether the peer may have started on the request; it
    is false only if no byte of the request was sent.
    """

    reason: str
    maybe_started: bool
    kind: FailureKind = FailureKind.BROKEN


HttpOutcome = HttpReply | HttpFailed


_FRAMING_HEADERS = frozenset(('content-length', 'transfer-encoding'))


class ReplyHead(msgspec.Struct, frozen=True):
    """Represent the status and the headers of a response."""

    status: int
    headers: tuple[Header, ...]

    @property
    def close_delimited(self) -> bool:
        """Tell whether the body ends only when the connection closes."""
        return not any(
            header.name.lower() in _FRAMING_HEADERS for header in self.headers
        )


class StreamSink(Protocol):
    """Receive a response as it arrives."""

    def on_head(self, head: ReplyHead) -> None:
        """Handle the head of the response."""

    def on_data(self, chunk: bytes) -> None:
        """Handle the next bytes of the body."""

    def on_end(self) -> None:
        """Handle the end of a complete body."""

    def on_failed(self, failure: HttpFailed) -> None:
        """Handle a call that failed before the end of the body."""


def find_header(headers: tuple[Header, ...], name: str) -> str | None:
    """Return the first header of a name, matched case-insensitively."""
    wanted = name.lower()
    for header in headers:
        if header.name.lower() == wanted:
            return header.text
    return None


class ApiRequest(msgspec.Struct, frozen=True):
    """Represent a caller's complete request; header names are lower case."""

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    peer_ip: str
    received_s: float


class ApiResponse(msgspec.Struct, frozen=True):
    """Represent a complete response to a caller."""

    status: int
    body: bytes = b''
    content_type: str = JSON_TYPE
    headers: Mapping[str, str] = msgspec.field(
        default_factory=lambda: MappingProxyType({}),
    )
