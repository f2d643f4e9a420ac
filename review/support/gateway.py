"""Run gateways as the deploy file says, on loopback addresses."""

import asyncio
import os
import signal
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from review.support.ports import LOOPBACK, find_free_port
from review.support.store import Door

ROOT = Path(__file__).resolve().parent.parent.parent
KEPT_VARIABLES = ('PATH', 'HOME', 'LANG')

# As in the example of the users' page on settings.
SETTINGS = """
machine_class=front
role=gateway
serves=front
region=flanders
zones.gent-a=flanders
zones.namur-a=wallonia
zones.brux-a=brussels
bootstrap=false
in_tolerance=false
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb=300
limits.max_fds=1024
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stability_window_ms=4000
bounds.ack_ms=5000
bounds.catch_up_s=4
bounds.drain_ms=2500
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_ms=2500
bounds.rollback_slack_ms=250
bounds.stretch_max_ms=6000
bounds.budget_ratio=0.9
bounds.budget_window_s=10
bounds.budget_slack=52
bounds.expose_share=0.15
bounds.expose_slack=30
bounds.rollback_ms=5000
bounds.recovery_s=12
bounds.pass_ms=300
bounds.reuse_window_s=7.7
bounds.session_s=5
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
"""


@dataclass
class Gateway:
    """Start, signal and kill one gateway process."""

    name: str
    folder: Path
    door: Door
    zone: str = 'gent-a'
    callers_port: int = field(default_factory=find_free_port)
    ready_port: int = field(default_factory=find_free_port)
    process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start it with the command of the deploy file."""
        role = _read_role()
        settings = self.folder / f'{self.name}.conf'
        settings.write_text(self._build_settings(), encoding='utf-8')
        environment = {
            name: os.environ[name]
            for name in KEPT_VARIABLES
            if name in os.environ
        }
        environment.update(role.get('env', {}))
        environment['BAMBOODECK_SETTINGS'] = str(settings)
        environment['BAMBOODECK_METRICS_PORT'] = str(find_free_port())
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *role['run'].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def read_log(self) -> str:
        """Return what it has logged."""
        path = self.folder / f'{self.name}.log'
        return path.read_text(encoding='utf-8', errors='replace')

    def _build_settings(self) -> str:
        first_port = find_free_port()
        own = {
            'node_name': self.name,
            'ip': LOOPBACK,
            'zone': self.zone,
            'listen.front': f'{LOOPBACK}:{self.callers_port}',
            'listen.ready': f'{LOOPBACK}:{self.ready_port}',
            'internal_ports': f'{first_port},{first_port + 1}',
            'platform.address': f'{LOOPBACK}:{self.door.port}',
        }
        lines = (f'{key}={text}\n' for key, text in own.items())
        return SETTINGS + ''.join(lines)


def _read_role() -> Mapping[str, object]:
    text = (ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
    return tomllib.loads(text)['roles']['gateway']
