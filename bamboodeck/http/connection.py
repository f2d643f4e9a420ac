"""Read and write a caller's socket with a bounded send buffer.

Data is passed by callbacks, which avoids a circuits event for each write.
"""

import contextlib
import struct
from collections import deque
from collections.abc import Callable
from socket import SHUT_WR, SO_LINGER, SOL_SOCKET, socket

from bamboodeck.loop.poller import CallbackPoller, Watch

Callback = Callable[[], None]

RECEIVE_SIZE_BYTES = 65_536
# Bounds what a connection can add between two decisions to go on reading.
FIRST_RECEIVE_SIZE_BYTES = 16_384
HIGH_WATER_BYTES = 262_144
LOW_WATER_BYTES = 65_536
MAX_PENDING_BYTES = 8_388_608

# A close with a linger time of zero resets the connection.
_NO_LINGER = struct.pack('ii', 1, 0)


class Connection:
    """Own a connected socket and its send buffer."""

    def __init__(
        self,
        sock: socket,
        poller: CallbackPoller,
        on_data: Callable[['Connection', bytes], None],
        on_closed: Callable[['Connection'], None],
    ) -> None:
        """Start watching the socket for data."""
        self.sock = sock
        self.closed = False
        self.pending_bytes = 0
        self.receive_size_bytes = RECEIVE_SIZE_BYTES
        self.on_drained: Callback | None = None
        self.low_water_bytes = LOW_WATER_BYTES
        # Receives the size of the send buffer as it changes.
        self.on_pending: Callable[[int], None] | None = None
        self._poller = poller
        self._on_data = on_data
        self._on_closed = on_closed
        self._chunks: deque[bytes | memoryview] = deque()
        self._closing = False
        self._reading = True
        self._watch: Watch = poller.watch(
            sock.fileno(),
            self._receive,
            self._flush,
        )

    @property
    def congested(self) -> bool:
        """Return whether the producer should pause."""
        return self.pending_bytes > HIGH_WATER_BYTES

    @property
    def closing(self) -> bool:
        """Return whether nothing more can be written."""
        return self.closed or self._closing

    def write(self, chunk: bytes) -> None:
        """Send what fits and buffer the rest; abort if the buffer overflows."""
        if self.closed or self._closing:
            return
        if self._chunks:
            self._enqueue(chunk)
            return
        try:
            sent = self.sock.send(chunk)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.abort()
            return
        if sent < len(chunk):
            self._enqueue(memoryview(chunk)[sent:])

    def close(self) -> None:
        """Close after the buffered data is sent."""
        self._closing = True
        if not self._chunks:
            self.abort()

    def close_writing(self) -> None:
        """End what is sent, and let the caller read it.

        Closing with unread bytes would reset the connection, and the caller
        might lose what was sent. The owner closes it later.
        """
        if self._chunks:
            self.close()
            return
        self._closing = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(SHUT_WR)

    def abort(self) -> None:
        """Close immediately and discard the buffered data."""
        if self.closed:
            return
        self.closed = True
        self._chunks.clear()
        self.pending_bytes = 0
        self._poller.unwatch(self._watch)
        self.sock.close()
        self._on_closed(self)

    def reset(self) -> None:
        """Reset the connection, so that the peer sees it as broken off."""
        if not self.closed:
            self.sock.setsockopt(SOL_SOCKET, SO_LINGER, _NO_LINGER)
        self.abort()

    def receive_pending(self) -> None:
        """Receive what the kernel holds now, if anything."""
        if not self.closed and self._reading:
            self._receive()

    def set_reading(self, *, reading: bool) -> None:
        """Pause or resume receiving."""
        self._reading = reading
        self._update_interest()

    def _enqueue(self, chunk: bytes | memoryview) -> None:
        self._chunks.append(chunk)
        self.pending_bytes += len(chunk)
        if self.pending_bytes > MAX_PENDING_BYTES:
            self.abort()
            return
        self._update_interest()
        self._report_pending()

    def _report_pending(self) -> None:
        if self.on_pending is not None:
            self.on_pending(self.pending_bytes)

    def _update_interest(self) -> None:
        if not self.closed:
            self._poller.set_interest(
                self._watch,
                reading=self._reading,
                writing=bool(self._chunks),
            )

    def _receive(self) -> None:
        try:
            chunk = self.sock.recv(self.receive_size_bytes)
        except BlockingIOError:
            return
        except OSError:
            self.abort()
            return
        if chunk:
            self._on_data(self, chunk)
            return
        self.abort()

    def _flush(self) -> None:
        while self._chunks:
            chunk = self._chunks[0]
            try:
                sent = self.sock.send(chunk)
            except BlockingIOError:
                break
            except OSError:
                self.abort()
                return
            self.pending_bytes -= sent
            if sent < len(chunk):
                self._chunks[0] = memoryview(chunk)[sent:]
                break
            self._chunks.popleft()
        self._after_flush()

    def _after_flush(self) -> None:
        if self._closing and not self._chunks:
            self.abort()
            return
        self._update_interest()
        self._report_pending()
        drained = self.pending_bytes <= self.low_water_bytes
        if drained and self.on_drained is not None:
            self.on_drained()
