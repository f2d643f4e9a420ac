"""Run the stand-ins of the platform, gateways, and callers of a case."""

import tempfile
import time
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from types import TracebackType

import msgspec

from bamboodeck.environment import Environment
from bamboodeck.fakes.platform.documents import HOST, KEY
from bamboodeck.fakes.platform.engine import (
    EngineBehaviour,
    PlatformEngineFake,
)

from bamboodeck.http.client import HttpClient
from bamboodeck.http.messages import (
    Address,
    Header,
    HttpCall,
    HttpOutcome,
    HttpReply,
)
from bamboodeck.loop.program import Loop, ignore_broken_pipes
from bamboodeck.platform import protocol
from review.rig.gateways import Gateway
from review.rig.ports import find_free_ports
from review.rig.record import Record
from review.rig.store import TimedStore

LOOPBACK = '127.0.0.1'
START_S = 15.0
TICK_S = 0.005
CALLER_S = 8.0


class CannotRunError(Exception):
    """Report that a case could not run."""


class Answer(msgspec.Struct):
    """Hold a request and its outcome; status 0 stands for no answer."""

    request_id: str
    sent_s: float = 0.0
    ended_s: float | None = None
    outcome: HttpOutcome | None = None

    @property
    def status(self) -> int:
        """Return the status, 0 if there is no complete answer."""
        if isinstance(self.outcome, HttpReply):
            return self.outcome.status
        return 0

    def is_open_after(self, duration_s: float) -> bool:
        """Tell whether it had no final answer so long after it was sent."""
        if self.ended_s is None:
            return True
        return self.ended_s > self.sent_s + duration_s


class System:
    """Hold the stand-ins, the gateways and the record of a case."""

    def __init__(self, folder: Path) -> None:
        """Start the store."""
        ignore_broken_pipes()
        self.record = Record(folder)
        self.loop = Loop(Environment())
        # Its iterations are run by `tick`.
        self.loop._running = True  # noqa: WPS437
        self.loop.tick(0)
        self.client = HttpClient(self.loop)
        self.temporary = tempfile.TemporaryDirectory()
        self.store = TimedStore(self.loop, find_address(LOOPBACK))
        self.engines: dict[str, PlatformEngineFake] = {}
        self.gateways: dict[str, Gateway] = {}
        self._requests = 0

    def __enter__(self) -> 'System':
        """Return the system."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End all processes that were started."""
        for gateway in self.gateways.values():
            gateway.end()
        self.temporary.cleanup()

    def add_engine(
        self,
        engine_id: str,
        service: str,
        zone: str,
        behaviour: EngineBehaviour | None = None,
        kind: type[PlatformEngineFake] = PlatformEngineFake,
        **fields: object,
    ) -> PlatformEngineFake:
        """Start an engine and list it in the store."""
        engine = kind(
            self.loop,
            find_address(LOOPBACK),
            engine_id,
            behaviour,
        )
        self.engines[engine_id] = engine
        self.list_engine(engine_id, service, zone, **fields)
        return engine

    def list_engine(
        self,
        engine_id: str,
        service: str,
        zone: str,
        **fields: object,
    ) -> None:
        """Write the entry of an engine."""
        engine = self.engines[engine_id]
        entry = engine.build_registry_entry(service, zone, **fields)
        self.store.put(f'{protocol.ENGINE_PREFIX}{engine_id}', entry)

    def add_gateway(
        self,
        name: str,
        zone: str,
        regions: Mapping[str, str],
        store: Address | None = None,
    ) -> Gateway:
        """Start a gateway on a loopback address of its own."""
        gateway = Gateway(
            name,
            zone,
            f'127.0.1.{len(self.gateways) + 1}',
            store or self.store.address,
            Path(self.temporary.name),
            regions,
        )
        self.gateways[name] = gateway
        return gateway

    def write_manifest(self, content: bytes) -> None:
        """Write a manifest, as the operator does."""
        version = msgspec.json.decode(content)['version']
        self.store.put(protocol.CONFIGURATION_KEY, content)
        self.record.write('manifest', version=version)

    def wait(self, duration_s: float) -> None:
        """Run the stand-ins for a time."""
        until_s = time.monotonic() + duration_s
        while time.monotonic() < until_s:
            self.loop.tick(TICK_S)

    def until(self, happened: Callable[[], bool], within_s: float) -> bool:
        """Run the stand-ins until a condition holds; return whether it does."""
        until_s = time.monotonic() + within_s
        while not happened():
            if time.monotonic() > until_s:
                return False
            self.loop.tick(TICK_S)
        return True

    def until_ready(self, names: Iterable[str] | None = None) -> None:
        """Wait until gateways say that they are ready."""
        waiting = set(names or self.gateways)
        until_s = time.monotonic() + START_S
        while waiting:
            if time.monotonic() > until_s:
                raise CannotRunError(f'not ready: {sorted(waiting)}')
            for name in tuple(waiting):
                if self.is_ready(name):
                    waiting.discard(name)
            self.wait(0.05)

    def is_ready(self, name: str) -> bool:
        """Probe a gateway as the platform does."""
        outcomes: list[HttpOutcome] = []
        call = HttpCall(
            self.gateways[name].ready,
            'GET',
            protocol.READY_PATH,
            timeout_s=1.0,
        )
        self.client.send(call, outcomes.append, fresh_connection=True)
        self.until(lambda: bool(outcomes), 2.0)
        return bool(outcomes) and Answer('', outcome=outcomes[0]).status == 200

    def send(
        self,
        gateway: str,
        method: str,
        path: str,
        *,
        body: bytes = b'',
        client: HttpClient | None = None,
        deadline_s: float = CALLER_S,
        headers: tuple[Header, ...] = (),
        key: str = KEY,
    ) -> Answer:
        """Send a request; the answer is filled in as it arrives."""
        self._requests += 1
        answer = Answer(f'request-{self._requests}', time.monotonic())
        call = HttpCall(
            self.gateways[gateway].callers,
            method,
            path,
            body,
            (
                Header(protocol.REQUEST_ID, answer.request_id),
                Header(protocol.DEADLINE_MS, str(int(deadline_s * 1000))),
                Header(protocol.API_KEY, key),
                *headers,
            ),
            timeout_s=deadline_s + 2,
            host=HOST,
        )
        self.record.write(
            'sent',
            request=answer.request_id,
            to=gateway,
            method=method,
            path=path,
            body_bytes=len(body),
        )

        def on_outcome(outcome: HttpOutcome) -> None:
            answer.outcome = outcome
            answer.ended_s = time.monotonic()
            text = ''
            if isinstance(outcome, HttpReply):
                text = outcome.body[:80].decode('latin-1')
            self.record.write(
                'answered',
                request=answer.request_id,
                status=answer.status,
                body=text,
            )

        (client or self.client).send(
            call,
            on_outcome,
            fresh_connection=client is None,
        )
        return answer

    def ask(self, gateway: str, method: str, path: str, **options) -> Answer:
        """Send a request and wait for its end."""
        answer = self.send(gateway, method, path, **options)
        self.until(lambda: answer.outcome is not None, CALLER_S + 3)
        return answer

    def record_runs(self) -> None:
        """Add what every engine has run."""
        for engine_id, engine in self.engines.items():
            for run in engine.runs:
                self.record.write(
                    'run',
                    engine=engine_id,
                    request=run.request_id,
                    method=run.method,
                    target=run.target,
                    outcome=run.outcome,
                )


def find_address(host: str) -> Address:
    """Return a free address of a loopback host."""
    return Address(host, find_free_ports(host, 1)[0])
