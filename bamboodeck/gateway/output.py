"""Write log lines without blocking and with a bound."""

import io
import os
from collections import deque

# Lines that wait for a reader; what comes beyond them is counted and dropped.
MAX_PENDING_BYTES = 262_144
# Well above three lines for each request of a busy host.
MAX_LINES_PER_S = 600


class BoundedOutput(io.TextIOBase):
    """Collect lines for a descriptor; drop what is too much, count it."""

    def __init__(self, descriptor: int) -> None:
        """Let writes to the descriptor fail rather than wait."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self.left_out = 0
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._lines_left = MAX_LINES_PER_S

    def write(self, text: str) -> int:
        """Keep a line until the next `drain`."""
        line = text.encode('utf-8', 'replace')
        full = self._pending_bytes + len(line) > MAX_PENDING_BYTES
        if self._lines_left <= 0 or full:
            self.left_out += 1
            return len(text)
        self._lines_left -= 1
        self._pending.append(line)
        self._pending_bytes += len(line)
        return len(text)

    def start_second(self) -> int:
        """Allow new lines; return how many were left out before."""
        self._lines_left = MAX_LINES_PER_S
        left_out = self.left_out
        self.left_out = 0
        return left_out

    def drain(self) -> None:
        """Write what the descriptor takes now."""
        if not self._pending:
            return
        pending = b''.join(self._pending)
        self._pending.clear()
        try:
            sent = os.write(self._descriptor, pending)
        except BlockingIOError:
            sent = 0
        except OSError:
            # Nobody reads any more, so the lines can't be kept for anyone.
            self.left_out += pending.count(b'\n')
            sent = len(pending)
        self._pending_bytes = len(pending) - sent
        if self._pending_bytes:
            self._pending.append(pending[sent:])
