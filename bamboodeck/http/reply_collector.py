"""Buffer a response until it is complete."""

from collections.abc import Callable

from bamboodeck.errors import BamboodeckError
from bamboodeck.http.messages import (
    HttpFailed,
    HttpOutcome,
    HttpReply,
    ReplyHead,
)

MAX_REPLY_BYTES = 4_194_304


class ReplyTooLargeError(BamboodeckError):
    """Report a response that exceeds the buffer limit."""


class ReplyCollector:
    """Buffer a response and pass it on when it is complete."""

    def __init__(self, on_outcome: Callable[[HttpOutcome], None]) -> None:
        """Start with an empty body."""
        self._on_outcome = on_outcome
        self._head = ReplyHead(0, ())
        self._body = bytearray()

    @property
    def size_bytes(self) -> int:
        """Return what it holds."""
        return len(self._body)

    def on_head(self, head: ReplyHead) -> None:
        """Store the head."""
        self._head = head

    def on_data(self, chunk: bytes) -> None:
        """Append to the body; raise `ReplyTooLargeError` past the limit."""
        self._body += chunk
        if len(self._body) > MAX_REPLY_BYTES:
            raise ReplyTooLargeError(
                f'response is larger than {MAX_REPLY_BYTES} bytes',
            )

    def on_end(self) -> None:
        """Pass on the complete response."""
        self._on_outcome(
            HttpReply(self._head.status, self._head.headers, bytes(self._body)),
        )

    def on_failed(self, failure: HttpFailed) -> None:
        """Pass on the failure."""
        self._on_outcome(failure)
