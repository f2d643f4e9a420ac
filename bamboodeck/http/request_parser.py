"""Parse the requests of a connection, with size limits."""

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


class RequestParser:
    """Parse the requests of one connection incrementally."""

    def __init__(
        self,
        max_body_bytes: int,
        max_header_bytes: int = MAX_HEADER_BYTES,
    ) -> None:
        """Start with an empty parser."""
        self.ready: list[ParsedRequest] = []
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

    def feed(self, chunk: bytes) -> list[ParsedRequest]:
        """Return the requests completed by a chunk; raise `BadRequestError`."""
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
        self._header_bytes += len(name) + len(text)
        if self._header_bytes > self._max_header_bytes:
            raise self._headers_too_large()
        self._headers.append(
            (name.decode('latin-1').lower(), text.decode('latin-1')),
        )

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
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Add the complete request to the parsed requests."""
        self._in_request = False
        target = self._url.decode('latin-1')
        path, _, query = target.partition('?')
        self.ready.append(
            ParsedRequest(
                method=self._parser.get_method().decode('ascii'),
                path=path,
                query=query,
                version=self._parser.get_http_version(),
                headers=tuple(self._headers),
                body=b''.join(self._body),
                keep_alive=self._parser.should_keep_alive(),
                target=target,
            ),
        )

    def _reset(self) -> None:
        self._url = b''
        self._headers: list[tuple[str, str]] = []
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_done = False
        self._head_fed_bytes = 0

    def _count_head_bytes(self, size_bytes: int) -> None:
        self._head_fed_bytes += size_bytes
        if self._head_fed_bytes > self._max_header_bytes + MAX_URL_BYTES:
            raise self._headers_too_large()

    def _check_host(self) -> None:
        hosts = sum(name == 'host' for name, _ in self._headers)
        if hosts == 1 or self._parser.get_http_version() != _NEWEST_VERSION:
            return
        raise BadRequestError(_BAD_REQUEST, 'exactly one Host header is needed')

    def _check_length(self) -> None:
        lengths = [
            text for name, text in self._headers if name == 'content-length'
        ]
        chunked = any(name == 'transfer-encoding' for name, _ in self._headers)
        if len(lengths) > 1 or (lengths and chunked):
            raise BadRequestError(_BAD_REQUEST, 'ambiguous body length')
        if lengths and int(lengths[0]) > self._max_body_bytes:
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
