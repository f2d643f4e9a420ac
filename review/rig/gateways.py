"""Run gateways as processes, with the command of the deploy file."""

import os
import signal
import subprocess
import tomllib
from collections.abc import Mapping
from pathlib import Path

from bamboodeck.fakes.platform.documents import (
    GatewayAddresses,
    build_settings,
)
from bamboodeck.http.messages import Address
from bamboodeck.platform import protocol
from review.rig.ports import find_free_ports

ROOT = Path(__file__).parent.parent.parent
# As in the sheets of the small deployments.
BOUNDS = {  # noqa: WPS407
    'drain_ms': 2500,
    'config_ms': 2500,
    'grace_s': 8,
    'stability_window_ms': 4000,
    'budget_ratio': 0.9,
    'budget_window_s': 10,
    'budget_slack': 52,
    'expose_share': 0.15,
    'expose_slack': 30,
    'rollback_ms': 5000,
    'reuse_window_s': 7.7,
    'session_s': 5,
}
MAX_FDS = 4100
KILL_WAIT_S = 10.0


class Gateway:
    """Manage the process of one entry host."""

    def __init__(
        self,
        name: str,
        zone: str,
        address: str,
        store: Address,
        folder: Path,
        regions: Mapping[str, str],
    ) -> None:
        """Write the settings and start the process."""
        self.name = name
        ports = find_free_ports(address, 4)
        self.callers = Address(address, ports[0])
        self.ready = Address(address, ports[1])
        self.settings = folder / f'{name}.conf'
        self._log = folder / f'{name}.log'
        addresses = GatewayAddresses(
            self.callers,
            self.ready,
            ports[2],
            ports[3],
        )
        text = build_settings(name, zone, regions, addresses, store, BOUNDS)
        # As in the sheets too; a later line goes before an earlier one.
        self.settings.write_text(f'{text}limits.max_fds={MAX_FDS}\n')
        self.process = self.start()

    @property
    def log(self) -> str:
        """Return what the process has logged."""
        return self._log.read_text(errors='replace')

    @property
    def metrics(self) -> Address:
        """Return where it exposes its metrics."""
        fields = dict(
            line.partition('=')[::2]
            for line in self.settings.read_text().splitlines()
        )
        last = int(fields['internal_ports'].rpartition(',')[2])
        return Address(self.callers.host, last)

    def start(self) -> subprocess.Popen:
        """Start the process as the deploy file says."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['gateway']
        environ = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', ''),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            protocol.SETTINGS_VARIABLE: str(self.settings),
        }
        with self._log.open('ab') as output:
            self.process = subprocess.Popen(
                role['run'].split(),
                cwd=ROOT,
                env=environ,
                stdout=output,
                stderr=output,
            )
        return self.process

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has exited."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its exit."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self.process.wait(KILL_WAIT_S)
