"""Own the stand-ins, links and processes of a run."""

import socket
from collections.abc import Callable
from pathlib import Path
from random import SystemRandom
from types import MappingProxyType

from bamboodeck.bench.gateway_soak.processes import GatewayProcess
from bamboodeck.fakes.links import LinkState, Relay, Route, SetLink
from bamboodeck.fakes.platform.documents import (
    MODELS,
    SHOP,
    GatewayAddresses,
    build_configuration,
    build_settings,
)
from bamboodeck.fakes.platform.engine import (
    EngineBehaviour,
    PlatformEngineFake,
)
from bamboodeck.fakes.platform.store import PlatformStoreFake
from bamboodeck.http.messages import Address
from bamboodeck.loop.program import Loop
from bamboodeck.platform import protocol

REGION_BY_ZONE = MappingProxyType(
    {'gent': 'flanders', 'namur': 'wallonia', 'brux': 'brussels'},
)
GRACE_S = 6
BOUNDS = MappingProxyType(
    {
        'drain_ms': 2500,
        'config_ms': 2500,
        'grace_s': GRACE_S,
        'stability_window_ms': 4000,
    },
)
ENGINES_PER_ZONE = 2
STEP_S = 0.03
LOOPBACK = '127.0.0.1'
# The system takes the ports of outgoing connections from 32768 upwards.
PORTS = range(10_000, 32_000)

FindAddress = Callable[[], Address]


class SoakHost:
    """Hold a gateway and the links that lead to it and to its store."""

    def __init__(
        self,
        process: GatewayProcess,
        callers: Relay,
        store: Relay,
        ready: Address,
    ) -> None:
        """Keep all of it."""
        self.process = process
        self.callers = callers
        self.store = store
        self.ready = ready


class SoakSystem:
    """Run a store and engines here, and gateways as processes."""

    def __init__(
        self,
        loop: Loop,
        folder: Path,
        hosts: int,
        find_address: FindAddress,
    ) -> None:
        """Start everything."""
        self.loop = loop
        self.hosts: dict[str, SoakHost] = {}
        self.engines: dict[str, PlatformEngineFake] = {}
        self.gone: list[PlatformEngineFake] = []
        self._folder = folder
        self._find_address = find_address
        self._links: dict[str, Relay] = {}
        self._services: dict[str, str] = {}
        self._zones: dict[str, str] = {}
        self._number = 0
        self.version = 0
        self.store = PlatformStoreFake(loop, find_address())
        self.configure(())
        for zone in REGION_BY_ZONE:
            for _ in range(ENGINES_PER_ZONE):
                self.add_engine(MODELS, zone)
            self.add_engine(SHOP, zone)
        zones = tuple(REGION_BY_ZONE)
        for number in range(hosts):
            self._add_host(f'host-{number + 1}', zones[number % len(zones)])

    def configure(self, extra_routes: tuple[str, ...]) -> None:
        """Write the next configuration."""
        self.version += 1
        self.store.put(
            protocol.CONFIGURATION_KEY,
            build_configuration(self.version, extra_routes=extra_routes),
        )

    def add_engine(self, service: str, zone: str) -> str:
        """Start an engine behind a link, and list it."""
        self._number += 1
        engine_id = f'{service}-{self._number}'
        engine = PlatformEngineFake(
            self.loop,
            self._find_address(),
            engine_id,
            EngineBehaviour(STEP_S),
        )
        self.engines[engine_id] = engine
        self._services[engine_id] = service
        self._zones[engine_id] = zone
        self._links[engine_id] = self._link(engine_id, engine.address)
        self._list(engine_id, 'ready')
        return engine_id

    def drain_engine(self, engine_id: str) -> None:
        """List an engine as leaving."""
        self._list(engine_id, 'draining')

    def end_engine(self, engine_id: str) -> None:
        """Close an engine's connections and address, as a crash does."""
        engine = self.engines.pop(engine_id)
        engine.stop()
        self._links.pop(engine_id).stop()
        self.gone.append(engine)

    def unlist_engine(self, engine_id: str) -> None:
        """Remove an engine's entry."""
        self.store.remove(f'{protocol.ENGINE_PREFIX}{engine_id}')

    def replace_engine(self, engine_id: str) -> None:
        """Add an engine like one that is leaving."""
        self.add_engine(self._services[engine_id], self._zones[engine_id])

    def link_engine(self, engine_id: str, state: LinkState, delay_ms: float):
        """Put the link to an engine into a state."""
        link = self._links.get(engine_id)
        if link is not None:
            link.apply(SetLink(engine_id, state, delay_ms))

    def find_address(self, host: str) -> Address:
        """Return where a host's callers connect."""
        return self.hosts[host].callers.listener.address

    def close(self) -> None:
        """End what was started."""
        for host in self.hosts.values():
            host.process.end()
            host.callers.stop()
            host.store.stop()
        for engine_id in tuple(self.engines):
            self.end_engine(engine_id)

    def _list(self, engine_id: str, state: str) -> None:
        engine = self.engines[engine_id]
        entry = engine.build_registry_entry(
            self._services[engine_id],
            self._zones[engine_id],
            address=str(self._links[engine_id].listener.address),
            state=state,
            sequence=1 if state == 'ready' else 2,
        )
        self.store.put(f'{protocol.ENGINE_PREFIX}{engine_id}', entry)

    def _link(self, name: str, target: Address) -> Relay:
        return Relay(self.loop, Route(name, self._find_address(), target))

    def _add_host(self, host: str, zone: str) -> None:
        addresses = GatewayAddresses(
            self._find_address(),
            self._find_address(),
            *sorted(self._find_address().port for _ in range(2)),
        )
        store = self._link(f'{host}.store', self.store.address)
        settings = self._folder / f'{host}.conf'
        settings.write_text(
            build_settings(
                host,
                zone,
                REGION_BY_ZONE,
                addresses,
                store.listener.address,
                BOUNDS,
            ),
        )
        self.hosts[host] = SoakHost(
            GatewayProcess(host, settings, self._folder / f'{host}.log'),
            self._link(f'{host}.callers', addresses.callers),
            store,
            addresses.ready,
        )


def find_free_address() -> Address:
    """Return an address that nothing has now, nor an outgoing connection.

    A process that is started again has to find its port free.
    """
    while True:
        address = Address(LOOPBACK, SystemRandom().choice(PORTS))
        if _is_free(address, socket.SOCK_STREAM):
            if _is_free(address, socket.SOCK_DGRAM):
                return address


def _is_free(address: Address, kind: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((address.host, address.port))
        except OSError:
            return False
    return True
