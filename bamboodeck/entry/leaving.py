"""Track leaving backend servers by the host list and load reports."""

import enum
from dataclasses import dataclass

from bamboodeck.configuration.model import Configuration
from bamboodeck.logs import EventLog
from bamboodeck.peers.link import PeerLink
from bamboodeck.peers.messages import LeavingHosts
from bamboodeck.routing.router import Router


@enum.unique
class LeavingSource(enum.Enum):
    """Source that reports a backend server as leaving."""

    HOST_LIST = 'host-list'
    LOAD_REPORT = 'load-report'


@dataclass(frozen=True, slots=True)
class BackendServerLeaving:
    """Log that a source marks a backend server as leaving, or no longer."""

    backend_server: str
    source: str
    leaving: bool


class LeavingServers:
    """Exclude backend servers that any source reports as leaving."""

    def __init__(self, log: EventLog, link: PeerLink) -> None:
        """Subscribe to the leaving hosts that the zone's relay publishes."""
        self.addresses: frozenset[str] = frozenset()
        self._log = log
        self._router: Router | None = None
        self._engines: dict[str, str] = {}
        self._sources: dict[str, set[LeavingSource]] = {}
        link.on(LeavingHosts, self._on_hosts)

    def attach(self, router: Router) -> None:
        """Report state changes to a router."""
        self._router = router

    def apply_configuration(self, configuration: Configuration) -> None:
        """Update the addresses of the engines."""
        self._engines = {
            engine.name: engine.address for engine in configuration.engines
        }
        self._compare()

    def report(
        self,
        source: LeavingSource,
        engine: str,
        *,
        leaving: bool,
    ) -> None:
        """Record the state of an engine as reported by a source."""
        sources = self._sources.setdefault(engine, set())
        if (source in sources) == leaving or self._router is None:
            return
        self._log.emit(BackendServerLeaving(engine, source.value, leaving))
        if leaving:
            sources.add(source)
            self._router.on_engine_leaving(engine)
            return
        sources.discard(source)
        if not sources:
            self._router.on_engine_back(engine)

    def _on_hosts(self, sender: str, hosts: LeavingHosts) -> None:
        self.addresses = frozenset(hosts.addresses)
        self._compare()

    def _compare(self) -> None:
        for engine, address in self._engines.items():
            self.report(
                LeavingSource.HOST_LIST,
                engine,
                leaving=address in self.addresses,
            )
