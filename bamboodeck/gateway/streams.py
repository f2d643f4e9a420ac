"""Split an engine's event stream into complete events."""

import re

import msgspec

MAX_EVENT_BYTES = 1_048_576
_SEPARATOR = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_ID_LINE = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


class EventTooLargeError(Exception):
    """Report an event that exceeds the size limit before its end."""


class StreamEvent(msgspec.Struct, frozen=True):
    """Hold the bytes of one event with its separator, and its id, if any."""

    content: bytes
    event_id: str | None

    @property
    def is_comment(self) -> bool:
        """Tell whether it holds comment lines only, such as a keep-alive."""
        return all(
            line.startswith(b':') for line in self.content.splitlines() if line
        )


class EventSplitter:
    """Buffer bytes until an event is complete."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._rest = b''

    @property
    def rest(self) -> bytes:
        """Return the buffered bytes of an incomplete event."""
        return self._rest

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the completed events; raise `EventTooLargeError`."""
        pending = self._rest + chunk
        events = []
        begin = 0
        for separator in _SEPARATOR.finditer(pending):
            content = pending[begin : separator.end()]
            begin = separator.end()
            found = _ID_LINE.search(content)
            event_id = found.group(1).decode('latin-1') if found else None
            events.append(StreamEvent(content, event_id))
        self._rest = pending[begin:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventTooLargeError
        return events
