"""Start, signal and restart gateway processes."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from bamboodeck.bench.gateway_soak.record import ProcessExit
from bamboodeck.platform import protocol

KILL_TIMEOUT_S = 10.0


class GatewayProcess:
    """Manage the process of one gateway across restarts."""

    def __init__(self, host: str, settings: Path, log: Path) -> None:
        """Start the process."""
        self.host = host
        self.log = log
        self._settings = settings
        self._sent_signal = ''
        self._signal_sent_s = 0.0
        self._process = self._start()

    def restart_if_exited(self) -> ProcessExit | None:
        """Restart the process if it has exited, and return how it exited."""
        status = self._process.poll()
        if status is None:
            return None
        process_exit = ProcessExit(
            self.host,
            status,
            self._sent_signal,
            self._signal_sent_s,
            time.monotonic(),
        )
        self._sent_signal = ''
        self._process = self._start()
        return process_exit

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal, unless the process has exited."""
        if self._process.poll() is not None:
            return
        if signal_number in {signal.SIGTERM, signal.SIGKILL}:
            self._sent_signal = signal_number.name
            self._signal_sent_s = time.monotonic()
        self._process.send_signal(signal_number)

    def handles_signal(self, signal_number: signal.Signals) -> bool:
        """Return whether the process catches or ignores a signal.

        While the interpreter starts, the default action still applies.
        """
        status = Path(f'/proc/{self._process.pid}/status')
        try:
            lines = status.read_text().splitlines()
        except OSError:
            # The process has exited in the meantime.
            return False
        fields = dict(line.partition(':\t')[::2] for line in lines)
        handled = int(fields['SigIgn'], 16) | int(fields['SigCgt'], 16)
        return bool(handled >> (signal_number - 1) & 1)

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        if self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
        self._process.wait(KILL_TIMEOUT_S)

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
