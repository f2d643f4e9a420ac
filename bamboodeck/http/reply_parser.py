"""Parse a response received over a connection."""

import httptools

from bamboodeck.errors import BamboodeckError
from bamboodeck.http.messages import Header, ReplyHead

_FRAMING_HEADERS = frozenset(('content-length', 'transfer-encoding'))


class ReplySyntaxError(BamboodeckError):
    """Report a malformed HTTP response."""


class ReplyParser:
    """Parse one response incrementally."""

    def __init__(self) -> None:
        """Start before the head."""
        self.head: ReplyHead | None = None
        self.complete = False
        self.keep_alive = False
        # Data after the complete response belongs to no request.
        self.extra_data = False
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._parts: list[bytes] = []

    @property
    def close_delimited(self) -> bool:
        """Return whether the body ends only when the connection closes."""
        return self.head is not None and not any(
            each.name.lower() in _FRAMING_HEADERS for each in self.head.headers
        )

    def feed(self, chunk: bytes) -> bytes:
        """Return the body bytes of received data; raise `ReplySyntaxError`."""
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserError as error:
            if self.complete:
                self.extra_data = True
                return self._pop_body()
            raise ReplySyntaxError(f'response is not valid HTTP: {error}')
        return self._pop_body()

    def on_message_begin(self) -> None:
        """Detect a second response."""
        self.extra_data = self.complete

    def on_header(self, name: bytes, text: bytes) -> None:
        """Append a header."""
        if self.extra_data:
            return
        self._headers.append(
            Header(name.decode('latin-1'), text.decode('latin-1')),
        )

    def on_headers_complete(self) -> None:
        """Build the head."""
        if self.extra_data:
            return
        self.head = ReplyHead(
            self._parser.get_status_code(),
            tuple(self._headers),
        )

    def on_body(self, body: bytes) -> None:
        """Append to the body."""
        if not self.extra_data:
            self._parts.append(body)

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        if self.extra_data:
            return
        self.complete = True
        self.keep_alive = self._parser.should_keep_alive()

    def _pop_body(self) -> bytes:
        parts = self._parts
        if len(parts) == 1:
            return parts.pop()
        body = b''.join(parts)
        parts.clear()
        return body
