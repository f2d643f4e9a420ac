"""Run a gateway in front of engines that a test scripts."""

import time
from collections.abc import Callable

import msgspec

from bamboodeck.fakes.platform.documents import SHOP
from bamboodeck.platform import protocol
from tests.gateway.harness import GatewayHarness
from tests.gateway.raw_engine import RawEngine, Script


class Bench(GatewayHarness):
    """Run a gateway in front of an engine that a test scripts."""

    def __init__(
        self,
        monotonic_s: Callable[[], float] = time.monotonic,
        hosts: int = 1,
    ) -> None:
        """Start without engines."""
        super().__init__(hosts, monotonic_s)
        self.raw: list[RawEngine] = []

    def add_raw(self, script: Script, service: str = SHOP) -> RawEngine:
        """List a scripted engine and wait until it is known."""
        engine = RawEngine(self.loop, script)
        self.raw.append(engine)
        self.list_raw(f'raw-{len(self.raw)}', engine, service)
        self.until_engines(len(self.raw) + len(self.engines))
        return engine

    def list_raw(
        self,
        engine_id: str,
        engine: RawEngine,
        service: str = SHOP,
        born: int = 1,
    ) -> None:
        """List a scripted engine."""
        entry = {
            'service': service,
            'address': f'127.0.0.1:{engine.port}',
            'zone': 'gent',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': 1,
            'born': born,
        }
        key = f'{protocol.ENGINE_PREFIX}{engine_id}'
        self.store.put(key, msgspec.json.encode(entry))

    def failure_rate(self, engine_id: str = 'raw-1') -> float:
        """Return the failure rate that the gateway knows of an engine."""
        return self.apps[0].context.engines.find(engine_id).failure_rate

    def close(self) -> None:
        """Stop everything."""
        for engine in self.raw:
            engine.close()
        super().close()
