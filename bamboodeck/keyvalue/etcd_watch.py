"""Parse the line stream of an etcd JSON gateway watch."""

from bamboodeck.http.client import HttpClient
from bamboodeck.http.client_connection import ClientConnection
from bamboodeck.http.messages import HttpCall, HttpFailed, ReplyHead
from bamboodeck.keyvalue.etcd_replies import read_watch_line
from bamboodeck.keyvalue.port import OnWatchEvent, WatchBroken, WatchStarted

MAX_LINE_BYTES = 16_777_216
_OK = 200


class EtcdWatch:
    """Convert the lines of a watch to events until it breaks."""

    def __init__(self, on_event: OnWatchEvent) -> None:
        """Keep the callback that receives the events."""
        self._on_event: OnWatchEvent | None = on_event
        self._connection: ClientConnection | None = None
        self._buffer = bytearray()

    def start(self, client: HttpClient, call: HttpCall) -> None:
        """Open the watch on a dedicated connection."""
        self._connection = client.stream(call, self, fresh_connection=True)

    def cancel(self) -> None:
        """End the watch; no events follow."""
        self._on_event = None
        if self._connection is not None:
            self._connection.cancel()

    def on_head(self, head: ReplyHead) -> None:
        """Break the watch unless the status is 200."""
        if head.status != _OK:
            self._break(f'status {head.status}')

    def on_data(self, chunk: bytes) -> None:
        """Buffer the chunk and emit the events of each complete line."""
        if self._on_event is None:
            return
        self._buffer += chunk
        if b'\n' not in chunk:
            if len(self._buffer) > MAX_LINE_BYTES:
                self._break(f'line is longer than {MAX_LINE_BYTES} bytes')
            return
        *lines, rest = self._buffer.split(b'\n')
        self._buffer = rest
        for line in lines:
            self._process_line(bytes(line))

    def on_end(self) -> None:
        """Report that the service ended the watch."""
        self._break('ended by the service')

    def on_failed(self, failure: HttpFailed) -> None:
        """Report that the connection failed."""
        self._break(failure.reason)

    def _process_line(self, line: bytes) -> None:
        if not line.strip():
            return
        try:
            message = read_watch_line(line)
        except ValueError as error:
            self._break(str(error))
            return
        if message.broken_reason:
            self._break(message.broken_reason)
            return
        if message.created and self._on_event is not None:
            self._on_event(WatchStarted(message.store_revision))
        for change in message.changes:
            # The receiver may cancel the watch on any event.
            if self._on_event is None:
                return
            self._on_event(change)

    def _break(self, reason: str) -> None:
        on_event = self._on_event
        self.cancel()
        if on_event is not None:
            on_event(WatchBroken(reason))
