"""Parse the requests of a connection, with size limits.

Load pattern: callers send many small chunks or header lines, whose objects take
many times the memory of the bytes received, and stop before the end. What is
received is therefore kept in few large blocks.
"""

from array import array
from collections.abc import Iterator

import httptools
import msgspec

from bamboodeck.errors import InputError

MAX_HEADER_BYTES = 16_384
MAX_URL_BYTES = 8_192
DEFAULT_MAX_BODY_BYTES = 1_048_576
MAX_PIPELINED_BYTES = 65_536

_BAD_REQUEST = 400
_TOO_LARGE = 413
_URI_TOO_LONG = 414
_HEADERS_TOO_LARGE = 431
_NEWEST_VERSION = '1.1'
# What the shortest header line has beside its name and text: a colon and the
# end of the line.
_LINE_BYTES = 3
_LENGTH_BYTES = 4
# Smaller parts of a body are joined.
_BLOCK_BYTES = 16_384
# Memory of a header beside its characters, measured: two strings, a pair, and
# the structures by which it is forwarded.
DECODED_HEADER_BYTES = 400
# Memory of a request without headers and body: objects of the exchange.
DECODED_REQUEST_BYTES = 2_048


class BadRequestError(InputError):
    """Report a malformed or too large HTTP request."""

    def __init__(self, status: int, message: str) -> None:
        """Store the status code of the response."""
        super().__init__(message)
        self.status = status


class ParsedRequest(msgspec.Struct, frozen=True):
    """Represent a complete request as received."""

    method: str
    path: str
    query: str
    version: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    keep_alive: bool
    target: str = ''


class ReceivedRequest:
    """Hold a complete request compactly until it is decoded."""

    __slots__ = ('_head', '_lengths', '_request')

    def __init__(
        self,
        request: ParsedRequest,
        head: bytes,
        lengths: array,
    ) -> None:
        """Take a request without headers, and its headers as received."""
        self._request = request
        self._head = head
        self._lengths = lengths

    @property
    def held_bytes(self) -> int:
        """Return the memory that the request takes as it is."""
        compact = len(self._head) + len(self._lengths) * _LENGTH_BYTES
        return compact + DECODED_REQUEST_BYTES + len(self._request.body)

    @property
    def decoded_bytes(self) -> int:
        """Return the memory that the decoded request takes until its end."""
        decoded_bytes = _count_decoded_bytes(self._head, self._lengths)
        return self.held_bytes + decoded_bytes

    def decode(self) -> ParsedRequest:
        """Return the request with its headers."""
        return msgspec.structs.replace(
            self._request,
            headers=tuple(_split_headers(self._head, self._lengths)),
        )


class RequestParser:
    """Parse the requests of one connection incrementally."""

    def __init__(
        self,
        max_body_bytes: int,
        max_header_bytes: int = MAX_HEADER_BYTES,
    ) -> None:
        """Start with an empty parser."""
        self.ready: list[ReceivedRequest] = []
        self._max_body_bytes = max_body_bytes
        self._max_header_bytes = max_header_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._in_request = False
        self._reset()

    @property
    def in_request(self) -> bool:
        """Return whether a request is partially received."""
        return self._in_request

    @property
    def in_headers(self) -> bool:
        """Return whether the headers of a request are partially received."""
        return self._in_request and not self._head_done

    @property
    def held_bytes(self) -> int:
        """Return the memory that the partially received request takes."""
        lengths = len(self._lengths) * _LENGTH_BYTES
        return len(self._url) + len(self._head) + lengths + self._body_bytes

    @property
    def missing_bytes(self) -> int:
        """Return how much of the body is expected to follow.

        A body of unknown length is expected to double.
        """
        if self._length is not None:
            return max(self._length - self._body_bytes, 0)
        if self._in_request and self._head_done:
            return min(self._body_bytes, self._max_body_bytes)
        return 0

    @property
    def growth_bytes(self) -> int:
        """Return how much more memory the request takes until it is served."""
        if not (self._in_request and self._head_done):
            return 0
        decoded_bytes = _count_decoded_bytes(self._head, self._lengths)
        return self.missing_bytes + DECODED_REQUEST_BYTES + decoded_bytes

    def feed(self, chunk: bytes) -> list[ParsedRequest]:
        """Return the requests completed by a chunk; raise `BadRequestError`."""
        return [received.decode() for received in self.receive(chunk)]

    def receive(self, chunk: bytes | memoryview) -> list[ReceivedRequest]:
        """Like `feed`, but leave the headers of the requests compact."""
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserUpgrade:
            raise BadRequestError(_BAD_REQUEST, 'upgrades are not offered')
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, BadRequestError):
                raise cause
            raise
        except httptools.HttpParserError as error:
            raise BadRequestError(_BAD_REQUEST, f'not valid HTTP: {error}')
        if self._in_request and not self._head_done:
            self._count_head_bytes(len(chunk))
        ready = self.ready
        self.ready = []
        return ready

    def release(self) -> None:
        """Drop what was received, as nothing more is parsed.

        The parser is part of a reference cycle, so its memory would otherwise
        be held until the next collection.
        """
        self._reset()
        self._in_request = False

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._reset()
        self._in_request = True

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        self._url += url
        if len(self._url) > MAX_URL_BYTES:
            raise BadRequestError(
                _URI_TOO_LONG,
                f'request target is longer than {MAX_URL_BYTES} bytes',
            )

    def on_header(self, name: bytes, text: bytes) -> None:
        """Append a header."""
        self._header_bytes += len(name) + len(text) + _LINE_BYTES
        if self._header_bytes > self._max_header_bytes:
            raise self._headers_too_large()
        self._head += name
        self._head += text
        self._lengths.append(len(name))
        self._lengths.append(len(text))
        match name.lower():
            case b'host':
                self._hosts += 1
            case b'content-length':
                self._stated_lengths.append(text)
            case b'transfer-encoding':
                self._chunked = True

    def on_headers_complete(self) -> None:
        """Validate the host and the body length."""
        self._head_done = True
        self._check_host()
        self._check_length()

    def on_body(self, body: bytes) -> None:
        """Append to the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._max_body_bytes:
            raise self._too_large()
        if len(body) >= _BLOCK_BYTES and not self._tail:
            self._blocks.append(body)
            return
        self._tail += body
        if len(self._tail) >= _BLOCK_BYTES:
            self._blocks.append(bytes(self._tail))
            self._tail.clear()

    def on_message_complete(self) -> None:
        """Add the complete request to the parsed requests."""
        self._in_request = False
        target = self._url.decode('latin-1')
        path, _, query = target.partition('?')
        request = ParsedRequest(
            method=self._parser.get_method().decode('ascii'),
            path=path,
            query=query,
            version=self._parser.get_http_version(),
            headers=(),
            body=self._join_body(),
            keep_alive=self._parser.should_keep_alive(),
            target=target,
        )
        self.ready.append(
            ReceivedRequest(request, bytes(self._head), self._lengths),
        )
        self._reset()

    def _reset(self) -> None:
        self._url = b''
        # Names and texts of the headers in turn, and their lengths.
        self._head = bytearray()
        self._lengths = array('I')
        self._header_bytes = 0
        self._hosts = 0
        self._length: int | None = None
        self._stated_lengths: list[bytes] = []
        self._chunked = False
        self._blocks: list[bytes] = []
        self._tail = bytearray()
        self._body_bytes = 0
        self._head_done = False
        self._head_fed_bytes = 0

    def _join_body(self) -> bytes:
        if self._tail:
            self._blocks.append(bytes(self._tail))
            self._tail.clear()
        return b''.join(self._blocks)

    def _count_head_bytes(self, size_bytes: int) -> None:
        self._head_fed_bytes += size_bytes
        if self._head_fed_bytes > self._max_header_bytes + MAX_URL_BYTES:
            raise self._headers_too_large()

    def _check_host(self) -> None:
        version = self._parser.get_http_version()
        if self._hosts == 1 or version != _NEWEST_VERSION:
            return
        raise BadRequestError(_BAD_REQUEST, 'exactly one Host header is needed')

    def _check_length(self) -> None:
        stated = self._stated_lengths
        if len(stated) > 1 or (stated and self._chunked):
            raise BadRequestError(_BAD_REQUEST, 'ambiguous body length')
        if not stated:
            return
        self._length = int(stated[0])
        if self._length > self._max_body_bytes:
            raise self._too_large()

    def _headers_too_large(self) -> BadRequestError:
        return BadRequestError(
            _HEADERS_TOO_LARGE,
            f'headers are larger than {self._max_header_bytes} bytes',
        )

    def _too_large(self) -> BadRequestError:
        return BadRequestError(
            _TOO_LARGE,
            f'body is larger than {self._max_body_bytes} bytes',
        )


def _count_decoded_bytes(head: bytes | bytearray, lengths: array) -> int:
    # The head is held once more, as the bytes of the call to an engine.
    return len(lengths) // 2 * DECODED_HEADER_BYTES + 2 * len(head)


def _split_headers(head: bytes, lengths: array) -> Iterator[tuple[str, str]]:
    start = 0
    sizes = iter(lengths)
    for name_bytes, text_bytes in zip(sizes, sizes, strict=True):
        middle = start + name_bytes
        end = middle + text_bytes
        yield (
            head[start:middle].decode('latin-1').lower(),
            head[middle:end].decode('latin-1'),
        )
        start = end
