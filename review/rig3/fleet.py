"""Start gateways as deployed, beside stand-ins of the store and engines."""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from types import MappingProxyType

from bamboodeck.environment import Environment
from bamboodeck.fakes.platform.documents import (
    GatewayAddresses,
    build_settings,
)
from bamboodeck.fakes.platform.engine import EngineBehaviour, PlatformEngineFake
from bamboodeck.fakes.platform.store import PlatformStoreFake
from bamboodeck.http.client import HttpClient
from bamboodeck.http.messages import Address, HttpCall, HttpReply
from bamboodeck.loop.program import Loop
from bamboodeck.platform import protocol

ROOT = Path(__file__).parent.parent.parent
LOOPBACK = '127.0.0.1'
ZONE = 'gent-a'
REGIONS = MappingProxyType({ZONE: 'flanders'})
HEARTBEAT_S = 1.2
# The bounds of the small deployments on the users' sheets.
BOUNDS: Mapping[str, float] = MappingProxyType(
    {
        'stability_window_ms': 4000,
        'drain_ms': 2500,
        'grace_s': 8,
        'config_ms': 2500,
        'budget_ratio': 0.9,
        'budget_window_s': 10,
        'budget_slack': 52,
        'session_s': 5,
    },
)
START_LIMIT_S = 15.0
STOP_LIMIT_S = 3.0
_READY = 200


class CannotRunError(Exception):
    """Report that the case could not run."""


class Fleet:
    """Run gateway processes; the store and the engines run in this one."""

    def __init__(self, configuration: bytes, **limits: float) -> None:
        """Start the store; `limits` replace those of a host's settings."""
        self.folder = Path(tempfile.mkdtemp(prefix='review-3-'))
        self.loop = Loop(Environment())
        self.loop._running = True
        self.loop.tick(0)
        self.client = HttpClient(self.loop)
        self.store = PlatformStoreFake(self.loop, Address(LOOPBACK, 0))
        self.store.put(protocol.CONFIGURATION_KEY, configuration)
        self.engines: dict[str, PlatformEngineFake] = {}
        self.gateways: dict[str, subprocess.Popen] = {}
        self.callers: dict[str, Address] = {}
        self._ready: dict[str, Address] = {}
        self._limits = limits

    def add_engine(
        self,
        engine_id: str,
        service: str,
        behaviour: EngineBehaviour,
        kind: type[PlatformEngineFake] = PlatformEngineFake,
        **fields: object,
    ) -> PlatformEngineFake:
        """Start an engine and list it in the store."""
        address = Address(LOOPBACK, 0)
        engine = kind(self.loop, address, engine_id, behaviour)
        self.engines[engine_id] = engine
        self.list_engine(engine_id, service, **fields)
        return engine

    def list_engine(
        self, engine_id: str, service: str, **fields: object
    ) -> None:
        """Write the entry of an engine, of the same start as before."""
        engine = self.engines[engine_id]
        entry = engine.build_registry_entry(service, ZONE, **fields)
        self.store.put(f'{protocol.ENGINE_PREFIX}{engine_id}', entry)

    def configure(self, configuration: bytes) -> None:
        """Write a new manifest."""
        self.store.put(protocol.CONFIGURATION_KEY, configuration)

    def silence_idle_channels(self) -> int:
        """Let the channels to the store that rest now go silent for good."""
        connections = self.store._server.connections
        resting = {
            connection
            for connection, client in connections.items()
            if client.exchange is None
        }
        self.store._silent_connections = resting
        return len(resting)

    def add_gateway(self, name: str) -> None:
        """Start a gateway and wait until it is ready."""
        callers, ready, first, last = _find_ports(4)
        addresses = GatewayAddresses(callers, ready, first.port, last.port)
        settings = build_settings(
            name,
            ZONE,
            REGIONS,
            addresses,
            self.store.address,
            BOUNDS,
        )
        path = self.folder / f'{name}.conf'
        extra = ''.join(
            f'limits.{limit}={number}\n'
            for limit, number in self._limits.items()
        )
        beat = f'heartbeat_ms={int(HEARTBEAT_S * 1000)}\n'
        path.write_text(f'{settings}{extra}{beat}')
        self.callers[name] = callers
        self._ready[name] = ready
        with open(self.folder / f'{name}.log', 'ab') as log:
            self.gateways[name] = subprocess.Popen(
                [sys.executable, '-S', '-m', 'bamboodeck.gateway'],
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    protocol.SETTINGS_VARIABLE: str(path),
                },
                stdout=log,
                stderr=log,
            )
        self.until(lambda: self.is_ready(name), START_LIMIT_S)

    def run_for(self, duration_s: float) -> None:
        """Run the stand-ins and the callers for a time."""
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            self.loop.tick(0.005)

    def until(self, happened: Callable[[], bool], limit_s: float) -> None:
        """Run until a condition holds; raise an error after the limit."""
        end_s = time.monotonic() + limit_s
        while not happened():
            if time.monotonic() > end_s:
                raise CannotRunError('a process did not get ready')
            self.loop.tick(0.005)

    def memory_mb(self, name: str) -> float:
        """Return the resident memory of a gateway."""
        status = Path(f'/proc/{self.gateways[name].pid}/status').read_text()
        for line in status.splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) / 1024
        return 0.0

    def end(self) -> None:
        """End all processes."""
        for process in self.gateways.values():
            process.send_signal(signal.SIGKILL)
            process.wait(STOP_LIMIT_S)

    def is_ready(self, name: str) -> bool:
        """Ask a gateway whether it is ready, as the platform does."""
        outcomes: list = []
        ready = self._ready[name]
        call = HttpCall(ready, 'GET', protocol.READY_PATH, timeout_s=1.0)
        self.client.send(call, outcomes.append)
        end_s = time.monotonic() + 1.5
        while not outcomes and time.monotonic() < end_s:
            self.loop.tick(0.005)
        outcome = outcomes[0] if outcomes else None
        return isinstance(outcome, HttpReply) and outcome.status == _READY


def _find_ports(count: int) -> list[Address]:
    held = [socket.socket() for _ in range(count)]
    for sock in held:
        sock.bind((LOOPBACK, 0))
    ports = sorted(each.getsockname()[1] for each in held)
    for bound in held:
        bound.close()
    return [Address(LOOPBACK, port) for port in ports]
