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
    ) -> None:
        """Start without engines."""
        super().__init__(monotonic_s=monotonic_s)
        self.raw: list[RawEngine] = []

    def add_raw(self, script: Script, service: str = SHOP) -> RawEngine:
        """List a scripted engine and wait until it is known."""
        engine = RawEngine(self.loop, script)
        self.raw.append(engine)
        entry = {
            'service': service,
            'address': f'127.0.0.1:{engine.port}',
            'zone': 'gent',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': 1,
            'born': 1,
        }
        key = f'{protocol.ENGINE_PREFIX}raw-{len(self.raw)}'
        self.store.put(key, msgspec.json.encode(entry))
        self.until_engines(len(self.raw) + len(self.engines))
        return engine

    def failure_rate(self, engine_id: str = 'raw-1') -> float:
        """Return the failure rate that the gateway knows of an engine."""
        return self.apps[0].context.engines.find(engine_id).failure_rate

    def close(self) -> None:
        """Stop everything."""
        for engine in self.raw:
            engine.close()
        super().close()
