"""Start gateway processes, and signal those that were started, by id."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from bamboodeck.bench.gateway_soak.record import Exit
from bamboodeck.platform import protocol

KILL_WAIT_S = 10.0


class GatewayProcess:
    """Own one gateway, which is started anew whenever it has ended."""

    def __init__(self, host: str, settings: Path, log: Path) -> None:
        """Start it."""
        self.host = host
        self.log = log
        self._settings = settings
        self._signalled = ''
        self._signalled_s = 0.0
        self._process = self._start()

    def restart_if_ended(self) -> Exit | None:
        """Start it again if it has ended; tell how it did."""
        status = self._process.poll()
        if status is None:
            return None
        ended = Exit(
            self.host,
            status,
            self._signalled,
            self._signalled_s,
            time.monotonic(),
        )
        self._signalled = ''
        self._process = self._start()
        return ended

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self._process.poll() is not None:
            return
        if number in {signal.SIGTERM, signal.SIGKILL}:
            self._signalled = number.name
            self._signalled_s = time.monotonic()
        self._process.send_signal(number)

    def outlives(self, number: signal.Signals) -> bool:
        """Tell whether the program has taken a signal over from the kernel.

        Before its first line, while the interpreter starts, it can't.
        """
        status = Path(f'/proc/{self._process.pid}/status')
        try:
            lines = status.read_text().splitlines()
        except OSError:
            # It has ended just now.
            return False
        fields = dict(line.partition(':\t')[::2] for line in lines)
        taken = int(fields['SigIgn'], 16) | int(fields['SigCgt'], 16)
        return bool(taken >> (number - 1) & 1)

    def end(self) -> None:
        """Kill it and wait."""
        if self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
        self._process.wait(KILL_WAIT_S)

    def _start(self) -> subprocess.Popen:
        with self.log.open('ab') as output:
            return subprocess.Popen(
                [sys.executable, '-m', 'bamboodeck.gateway'],
                env={
                    **os.environ,
                    protocol.SETTINGS_VARIABLE: str(self._settings),
                },
                stdout=output,
                stderr=output,
            )
