"""Split a stream of server-sent events into data lines."""

from bamboodeck.streaming.messages import StreamError

MAX_EVENT_BYTES = 262_144

_PREFIX = b'data:'


class EventSplitter:
    """Buffer bytes until events are complete."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.rest = b''

    def feed(self, chunk: bytes) -> list[bytes]:
        """Return the data of each complete event; raise `StreamError`."""
        if self.rest:
            chunk = self.rest + chunk
        events = chunk.split(b'\n\n')
        self.rest = events.pop()
        if len(self.rest) > MAX_EVENT_BYTES:
            raise StreamError(f'event is larger than {MAX_EVENT_BYTES} bytes')
        lines = []
        for event in events:
            if event.startswith(_PREFIX):
                lines.append(event[len(_PREFIX) :].strip())
        return lines
