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


class AddressError(InputError):
    """Report text that is no IP number with a port."""


class Address(msgspec.Struct, frozen=True, order=True):
    """Name a peer by IP number and port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Join both with a colon."""
        return f'{self.host}:{self.port}'


def parse_address(text: str) -> Address:
    """Read `IP:PORT`; raise `AddressError` if it is something else."""
    host, colon, port = text.strip().rpartition(':')
    parts = host.split('.')
    numeric = len(parts) == 4 and all(
        part.isascii() and part.isdigit() and int(part) < 256 for part in parts
    )
    if not (colon and numeric and port.isascii() and port.isdigit()):
        raise AddressError(f'address "{text}" is not of the form IP:PORT')
    if not 0 < int(port) <= _MAX_PORT:
        raise AddressError(f'port {port} is not from 1 to {_MAX_PORT}')
    return Address(host, int(port))


class Header(msgspec.Struct, frozen=True):
    """Hold one header field."""

    name: str
    text: str


class HttpCall(msgspec.Struct, frozen=True):
    """Ask a peer for something."""

    address: Address
    method: str
    path: str
    body: bytes = b''
    headers: tuple[Header, ...] = ()
    timeout_s: float = 5.0
    connect_timeout_s: float | None = None
    # What the peer is called in the request; its address, if empty.
    host: str = ''


class HttpReply(msgspec.Struct, frozen=True):
    """Hold a whole answer."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


@enum.unique
class FailureKind(enum.Enum):
    """Tell how a call ended without a whole answer."""

    REFUSED = 'refused'
    SILENT = 'silent'
    BROKEN = 'broken'
    MALFORMED = 'malformed'
    LATE = 'late'


class HttpFailed(msgspec.Struct, frozen=True):
    """Tell that no whole answer came, and whether the peer may have started.

    `maybe_started` is false only if no byte of the request was sent.
    """

    reason: str
    maybe_started: bool
    kind: FailureKind = FailureKind.BROKEN


HttpOutcome = HttpReply | HttpFailed


class ReplyHead(msgspec.Struct, frozen=True):
    """Hold the status and the headers of an answer that is to follow."""

    status: int
    headers: tuple[Header, ...]


class StreamSink(Protocol):
    """Receive an answer piece by piece."""

    def on_head(self, head: ReplyHead) -> None:
        """Take the head of the answer."""

    def on_data(self, chunk: bytes) -> None:
        """Take the next bytes of the body."""

    def on_end(self) -> None:
        """Learn that the body is whole."""

    def on_failed(self, failure: HttpFailed) -> None:
        """Learn that the rest of the body won't come."""


def find_header(headers: tuple[Header, ...], name: str) -> str | None:
    """Return the text of the first header of a name in any case."""
    wanted = name.lower()
    for header in headers:
        if header.name.lower() == wanted:
            return header.text
    return None


class ApiRequest(msgspec.Struct, frozen=True):
    """Hold a whole request of a caller; header names are in lower case."""

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    peer_ip: str
    received_s: float


class ApiResponse(msgspec.Struct, frozen=True):
    """Hold a whole answer to a caller."""

    status: int
    body: bytes = b''
    content_type: str = JSON_TYPE
    headers: Mapping[str, str] = msgspec.field(
        default_factory=lambda: MappingProxyType({}),
    )
