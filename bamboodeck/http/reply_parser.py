"""Parse the answers that come on one connection."""

import httptools

from bamboodeck.errors import BamboodeckError
from bamboodeck.http.messages import Header, ReplyHead

_BOUNDING_HEADERS = frozenset(('content-length', 'transfer-encoding'))


class ReplySyntaxError(BamboodeckError):
    """Report bytes that are no HTTP answer."""


class ReplyParser:
    """Parse one answer; the bodies of its chunks are joined by receive."""

    def __init__(self) -> None:
        """Expect the head."""
        self.head: ReplyHead | None = None
        self.whole = False
        self.keep_alive = False
        # Bytes after a whole answer belong to no request.
        self.surplus = False
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._parts: list[bytes] = []

    @property
    def ends_with_connection(self) -> bool:
        """Tell whether only the end of the connection ends the body."""
        return self.head is not None and not any(
            each.name.lower() in _BOUNDING_HEADERS for each in self.head.headers
        )

    def feed(self, chunk: bytes) -> bytes:
        """Return the body in a chunk; raise `ReplySyntaxError`."""
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserError as error:
            if self.whole:
                self.surplus = True
                return self._take_parts()
            raise ReplySyntaxError(f'answer is not valid HTTP: {error}')
        return self._take_parts()

    def on_message_begin(self) -> None:
        """Notice a second answer."""
        self.surplus = self.whole

    def on_header(self, name: bytes, text: bytes) -> None:
        """Collect a header."""
        if self.surplus:
            return
        self._headers.append(
            Header(name.decode('latin-1'), text.decode('latin-1')),
        )

    def on_headers_complete(self) -> None:
        """Build the head."""
        if self.surplus:
            return
        self.head = ReplyHead(
            self._parser.get_status_code(),
            tuple(self._headers),
        )

    def on_body(self, body: bytes) -> None:
        """Collect the next part of the body."""
        if not self.surplus:
            self._parts.append(body)

    def on_message_complete(self) -> None:
        """Learn that the answer is whole."""
        if self.surplus:
            return
        self.whole = True
        self.keep_alive = self._parser.should_keep_alive()

    def _take_parts(self) -> bytes:
        parts = self._parts
        if len(parts) == 1:
            return parts.pop()
        body = b''.join(parts)
        parts.clear()
        return body
