"""Parse a response received over a connection."""

import httptools

from bamboodeck.errors import BamboodeckError
from bamboodeck.http.messages import Header, ReplyHead, find_header

# Limits the bytes outside a body: a head with the skipped responses before it,
# chunk extensions, and trailers.
MAX_FRAMING_BYTES = 65_536

_FIRST_FINAL_STATUS = 200
# RFC 9110, section 15: all valid status codes are within this range.
_VALID_STATUSES = range(100, 600)


class ReplySyntaxError(BamboodeckError):
    """Report a malformed HTTP response."""


class ReplyParser:
    """Parse one response incrementally."""

    def __init__(self, skipped: Header | None = None) -> None:
        """Start before the head; skip responses with the `skipped` header."""
        self.head: ReplyHead | None = None
        self.complete = False
        self.keep_alive = False
        # Data after the complete response belongs to no request.
        self.extra_data = False
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._parts: list[bytes] = []
        self._skipped = skipped
        self._skipping = False
        self._invalid_status: int | None = None
        # Bytes received since the last byte of the body.
        self._framing_bytes = 0

    @property
    def close_delimited(self) -> bool:
        """Return whether the body ends only when the connection closes."""
        return self.head is not None and self.head.close_delimited

    def feed(self, chunk: bytes) -> bytes:
        """Return the body bytes of received data; raise `ReplySyntaxError`."""
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserError as error:
            if self.complete:
                self.extra_data = True
                return self._pop_body()
            raise ReplySyntaxError(f'response is not valid HTTP: {error}')
        except httptools.HttpParserUpgrade:
            raise ReplySyntaxError('response switches protocols')
        if self._invalid_status is not None:
            raise ReplySyntaxError(
                f'response has the invalid status {self._invalid_status:03}',
            )
        body = self._pop_body()
        self._count_framing(0 if body else len(chunk))
        return body

    def on_message_begin(self) -> None:
        """Detect a second response."""
        self.extra_data = self.complete

    def on_header(self, name: bytes, text: bytes) -> None:
        """Append a header."""
        if self.extra_data or self.head is not None:
            return
        self._headers.append(
            Header(name.decode('latin-1'), text.decode('latin-1')),
        )

    def on_headers_complete(self) -> None:
        """Build the head, unless the response is to be skipped."""
        if self.extra_data or self.head is not None:
            return
        status = self._parser.get_status_code()
        if status not in _VALID_STATUSES:
            # An exception in a callback would reach `feed` as another one.
            self._invalid_status = status
            return
        self._skipping = self._is_skipped()
        if self._skipping:
            self._headers.clear()
            return
        self.head = ReplyHead(status, tuple(self._headers))

    def on_body(self, body: bytes) -> None:
        """Append to the body."""
        if not (self.extra_data or self._skipping):
            self._parts.append(body)

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        if self.extra_data or self._skipping:
            return
        self.complete = True
        self.keep_alive = self._parser.should_keep_alive()

    def _is_skipped(self) -> bool:
        if self._parser.get_status_code() < _FIRST_FINAL_STATUS:
            return True
        if self._skipped is None:
            return False
        found = find_header(tuple(self._headers), self._skipped.name)
        return found == self._skipped.text

    def _count_framing(self, size_bytes: int) -> None:
        if size_bytes == 0:
            self._framing_bytes = 0
        self._framing_bytes += size_bytes
        if self._framing_bytes > MAX_FRAMING_BYTES and not self.complete:
            raise ReplySyntaxError(
                f'response has over {MAX_FRAMING_BYTES} bytes of framing',
            )

    def _pop_body(self) -> bytes:
        parts = self._parts
        if len(parts) == 1:
            return parts.pop()
        body = b''.join(parts)
        parts.clear()
        return body
