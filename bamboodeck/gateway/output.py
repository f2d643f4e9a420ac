"""Write log lines without blocking, with bounded rate and memory."""

import io
import os
from collections import deque

# Further lines are dropped and counted until the reader catches up.
MAX_PENDING_BYTES = 262_144
# Well above three lines for each request of a busy host.
MAX_LINES_PER_S = 600


class BoundedOutput(io.TextIOBase):
    """Buffer lines for a descriptor; drop and count those beyond the bounds."""

    def __init__(self, descriptor: int) -> None:
        """Make the descriptor non-blocking."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._lines_left = MAX_LINES_PER_S

    def write(self, text: str) -> int:
        """Buffer a line until the next `drain`."""
        line = text.encode('utf-8', 'replace')
        full = self._pending_bytes + len(line) > MAX_PENDING_BYTES
        if self._lines_left <= 0 or full:
            self.dropped += 1
            return len(text)
        self._lines_left -= 1
        self._pending.append(line)
        self._pending_bytes += len(line)
        return len(text)

    def start_second(self) -> int:
        """Reset the rate limit; return the number of lines dropped before."""
        self._lines_left = MAX_LINES_PER_S
        dropped = self.dropped
        self.dropped = 0
        return dropped

    def drain(self) -> None:
        """Write as much as the descriptor accepts now."""
        if not self._pending:
            return
        pending = b''.join(self._pending)
        self._pending.clear()
        try:
            sent = os.write(self._descriptor, pending)
        except BlockingIOError:
            sent = 0
        except OSError:
            # The reader has closed, so the lines are dropped.
            self.dropped += pending.count(b'\n')
            sent = len(pending)
        self._pending_bytes = len(pending) - sent
        if self._pending_bytes:
            self._pending.append(pending[sent:])
