"""Test gateways, the platform's store and engines as real processes."""

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from bamboodeck.exit_status import ExitStatus
from bamboodeck.fakes.platform.documents import (
    CHAT,
    HOST,
    KEY,
    LOOK,
    MODELS,
    PAY,
    SHOP,
    SMALL,
    GatewayAddresses,
    build_configuration,
    build_settings,
)
from bamboodeck.http.client import HttpClient
from bamboodeck.http.messages import (
    Address,
    Header,
    HttpCall,
    HttpReply,
)
from bamboodeck.platform import protocol
from tests.gateway.test_path import EVENTS
from tests.gateway.harness import TIMEOUT_S, CallerAnswer
from tests.http.looping import build_loop
from tests.ports import find_free_address

ROOT = Path(__file__).parent.parent.parent
ZONE = 'gent'

BOUNDS = {'grace_s': 4, 'stability_window_ms': 2000}


class Processes:
    """Start and stop subprocesses."""

    def __init__(self, folder: Path) -> None:
        """Write logs to a folder."""
        self.folder = folder
        self.running: dict[str, subprocess.Popen] = {}

    def start(self, name: str, *words_of: str, **environ: str) -> None:
        """Start a module of the project."""
        with open(self.folder / f'{name}.log', 'ab') as log:
            self.running[name] = subprocess.Popen(
                [sys.executable, '-m', *words_of],
                cwd=ROOT,
                env={**os.environ, **environ},
                stdout=log,
                stderr=log,
            )

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.running[name].send_signal(number)

    def log(self, name: str) -> str:
        """Return the log of a process."""
        return (self.folder / f'{name}.log').read_text()

    def end(self) -> None:
        """Kill the running processes."""
        for process in self.running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


class Deployment:
    """Run two gateways, three engines and a store."""

    def __init__(self, folder: Path) -> None:
        """Start everything and wait until the gateways are ready."""
        self.processes = Processes(folder)
        self.loop = build_loop()
        self.client = HttpClient(self.loop)
        self.store = find_free_address()
        self.callers = {name: find_free_address() for name in GATEWAYS}
        self.ready = {name: find_free_address() for name in GATEWAYS}
        self.peers = {
            name: (find_free_address(), find_free_address())
            for name in GATEWAYS
        }
        self._number = 0
        configuration = folder / 'configuration.json'
        configuration.write_bytes(build_configuration())
        self.start_store()
        for engine_id, service in ENGINES.items():
            self.processes.start(
                engine_id,
                'bamboodeck.fakes',
                'platform-engine',
                f'--listen={find_free_address()}',
                f'--store={self.store}',
                f'--id={engine_id}',
                f'--service={service}',
                f'--zone={ZONE}',
                '--step-ms=100',
            )
        for name in GATEWAYS:
            self.start_gateway(name)
        for name in GATEWAYS:
            self.until_serving(name)

    def start_store(self) -> None:
        """Start the platform's store."""
        self.processes.start(
            'store',
            'bamboodeck.fakes',
            'platform-store',
            f'--listen={self.store}',
            f'--configuration={self.folder / "configuration.json"}',
        )

    @property
    def folder(self) -> Path:
        """Return the folder of logs and settings."""
        return self.processes.folder

    def start_gateway(self, name: str) -> None:
        """Start a gateway with settings in the platform's format."""
        first, last = sorted(self.peers[name], key=lambda each: each.port)
        settings = self.folder / f'{name}.conf'
        addresses = GatewayAddresses(
            self.callers[name],
            self.ready[name],
            first.port,
            last.port,
        )
        settings.write_text(
            build_settings(
                name,
                ZONE,
                {ZONE: 'flanders'},
                addresses,
                self.store,
                BOUNDS,
            ),
        )
        self.processes.start(
            name,
            'bamboodeck.gateway',
            BAMBOODECK_SETTINGS=str(settings),
        )

    def until(self, happened: Callable[[], bool]) -> None:
        """Run the caller's loop until a condition holds."""
        give_up_s = time.monotonic() + TIMEOUT_S
        while not happened():
            assert time.monotonic() < give_up_s, self.logs()
            self.loop.tick(0.005)

    def logs(self) -> str:
        """Return all logs."""
        return '\n'.join(map(self.processes.log, self.processes.running))

    def call(self, address: Address, path: str) -> int:
        """Return the status of a GET request, 0 if there is no answer."""
        outcomes = []
        call = HttpCall(address, 'GET', path, timeout_s=1.0)
        self.client.send(call, outcomes.append)
        self.until(lambda: bool(outcomes))
        outcome = outcomes[0]
        return outcome.status if isinstance(outcome, HttpReply) else 0

    def is_ready(self, name: str) -> bool:
        """Probe a gateway as the load balancer does."""
        return self.call(self.ready[name], protocol.READY_PATH) == 200

    def until_serving(self, name: str) -> None:
        """Wait until a gateway reaches every kind of engine."""
        self.until(lambda: self.is_ready(name))
        self.until(lambda: self.ask(name, PAY).status == 200)
        self.until(lambda: self.ask(name, CHAT, SMALL).status == 200)

    def send(
        self, name: str, path: str, model: str | None = None
    ) -> CallerAnswer:
        """Send a request on a new connection."""
        self._number += 1
        headers = [
            Header(protocol.REQUEST_ID, f'request-{self._number}'),
            Header(protocol.DEADLINE_MS, '8000'),
            Header(protocol.API_KEY, KEY),
        ]
        if model is not None:
            headers.append(Header(protocol.MODEL, model))
            headers.append(Header(protocol.TOKEN_COUNTS, '100,20'))
        asked = CallerAnswer()
        call = HttpCall(
            self.callers[name],
            'POST',
            path,
            b'',
            tuple(headers),
            timeout_s=TIMEOUT_S,
            host=HOST,
        )
        self.client.stream(call, asked, fresh_connection=True)
        return asked

    def ask(
        self, name: str, path: str, model: str | None = None
    ) -> CallerAnswer:
        """Send a request and wait for the end of its answer."""
        asked = self.send(name, path, model)
        self.until(lambda: asked.ended)
        return asked


GATEWAYS = ('gateway-1', 'gateway-2')
ENGINES = {'model-1': MODELS, 'model-2': MODELS, 'shop-1': SHOP}


@pytest.fixture(scope='module')
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Deployment]:
    """Share one deployment among the tests."""
    built = Deployment(tmp_path_factory.mktemp('platform'))
    yield built
    built.processes.end()


class TestPath:
    """Serve a request of each kind."""

    @pytest.mark.parametrize('name', GATEWAYS)
    def test_each_kind(self, deployment: Deployment, name: str) -> None:
        """Answer safe, unsafe and streaming requests."""
        assert deployment.ask(name, LOOK).body.startswith(b'shop-1 ran')
        assert deployment.ask(name, PAY).body.startswith(b'shop-1 ran')
        assert deployment.ask(name, CHAT, SMALL).body == EVENTS

    def test_metrics(self, deployment: Deployment) -> None:
        """Serve metrics on the last internal port."""
        last = max(deployment.peers[GATEWAYS[0]], key=lambda each: each.port)
        assert deployment.call(last, '/metrics') == 200


class TestSignals:
    """Keep serving through signals and failures."""

    def test_store_frozen(self, deployment: Deployment) -> None:
        """Keep serving while the store does not respond."""
        deployment.processes.send('store', signal.SIGSTOP)
        name = GATEWAYS[0]
        deployment.until(
            lambda: 'event=store_lost' in deployment.processes.log(name),
        )
        assert deployment.ask(name, PAY).status == 200
        deployment.processes.send('store', signal.SIGCONT)
        deployment.until(
            lambda: 'event=store_regained' in deployment.processes.log(name),
        )

    def test_reload(self, deployment: Deployment) -> None:
        """Reload the settings on SIGHUP and keep serving."""
        name = GATEWAYS[1]
        deployment.processes.send(name, signal.SIGHUP)
        deployment.until(
            lambda: 'cause=signal' in deployment.processes.log(name),
        )
        assert deployment.ask(name, PAY).status == 200

    def test_killed(self, deployment: Deployment) -> None:
        """Serve again after a kill, without any stored state."""
        name = GATEWAYS[1]
        deployment.processes.send(name, signal.SIGKILL)
        deployment.processes.running[name].wait()
        deployment.start_gateway(name)
        deployment.until_serving(name)
        assert deployment.ask(name, CHAT, SMALL).body == EVENTS

    def test_graceful_stop(self, deployment: Deployment) -> None:
        """Finish running and late requests, then exit with success."""
        name = GATEWAYS[1]
        running = deployment.send(name, CHAT, SMALL)
        deployment.until(lambda: running.body != b'')
        deployment.processes.send(name, signal.SIGTERM)
        deployment.until(lambda: not deployment.is_ready(name))
        late = deployment.ask(name, PAY)
        deployment.until(lambda: running.ended)
        process = deployment.processes.running[name]
        deployment.until(lambda: process.poll() is not None)
        assert (running.body, running.whole) == (EVENTS, True)
        assert late.status == 200
        assert late.header('Connection') == 'close'
        assert process.returncode == ExitStatus.SUCCESS
        assert 'event=gateway_stopped' in deployment.processes.log(name)


class TestSettings:
    """Reject invalid settings."""

    def test_faults(self, tmp_path: Path) -> None:
        """Print the faults and exit with the status for bad input."""
        settings = tmp_path / 'faulty.conf'
        settings.write_text('node_name=host-1\nlisten.front=nowhere\n')
        ended = subprocess.run(
            [sys.executable, '-m', 'bamboodeck.gateway'],
            cwd=ROOT,
            env={**os.environ, 'BAMBOODECK_SETTINGS': str(settings)},
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
        assert ended.returncode == ExitStatus.BAD_INPUT
        assert 'listen.front: address "nowhere"' in ended.stderr
        assert 'platform.address: a value is needed' in ended.stderr

    def test_no_settings(self) -> None:
        """Report a missing settings file."""
        environ = dict(os.environ)
        environ.pop('BAMBOODECK_SETTINGS', None)
        ended = subprocess.run(
            [sys.executable, '-m', 'bamboodeck.gateway'],
            cwd=ROOT,
            env=environ,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
        assert ended.returncode == ExitStatus.BAD_INPUT
        assert 'settings file' in ended.stderr
