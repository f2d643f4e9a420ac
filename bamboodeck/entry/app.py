"""Compose the entry process."""

from bamboodeck.admission.limits import LimitShare
from bamboodeck.configuration.model import Configuration
from bamboodeck.configuration.replica import ConfigurationReplica
from bamboodeck.entry.admission import AdmissionControl
from bamboodeck.entry.bills import NodeBills
from bamboodeck.entry.callers import CallerApi
from bamboodeck.entry.control_plane import ControlPlaneClient
from bamboodeck.entry.decisions import DecisionHistory
from bamboodeck.entry.events import ProcessStarted
from bamboodeck.entry.explain import Explainer
from bamboodeck.entry.gauges import refresh_gauges
from bamboodeck.entry.leaving import LeavingServers
from bamboodeck.entry.limits import NodeLimits
from bamboodeck.entry.listeners import (
    listen_for_callers,
    listen_for_operators,
)
from bamboodeck.entry.loads import LoadPoller
from bamboodeck.entry.poison import PoisonExchange
from bamboodeck.entry.probes import Probes
from bamboodeck.entry.serving import build_serving
from bamboodeck.entry.shutdown import Shutdown
from bamboodeck.environment import Environment
from bamboodeck.http.client import HttpClient
from bamboodeck.invariants import Invariants
from bamboodeck.keyvalue.etcd import EtcdKeyValue
from bamboodeck.logs import EventLog
from bamboodeck.loop.program import Loop
from bamboodeck.metrics import Metrics
from bamboodeck.orders.book import OrderBook
from bamboodeck.peers.feed import ConfigurationFeed
from bamboodeck.peers.fleet import FleetMap, FleetNode, FleetView
from bamboodeck.peers.link import PeerLink
from bamboodeck.peers.messages import FleetSummary
from bamboodeck.peers.reporter import NodeReporter
from bamboodeck.routing.router import Router
from bamboodeck.settings.process import EntrySettings, PeerRole

STORE_TIMEOUT_S = 2.0
FRESHNESS_PERIOD_S = 0.5


class EntryApp:
    """Own the components of an entry process."""

    def __init__(
        self,
        environment: Environment,
        settings: EntrySettings,
        log: EventLog,
        *,
        raising: bool = False,
    ) -> None:
        """Listen for peers; serving starts with the first configuration."""
        self.environment = environment
        self.settings = settings
        self.log = log
        self.loop = Loop(environment)
        self.metrics = Metrics()
        self.invariants = Invariants(log, raising=raising)
        self.client = HttpClient(self.loop)
        self.replica = ConfigurationReplica(
            self.invariants,
            environment.monotonic_s(),
        )
        self.link = PeerLink(
            self.loop,
            log,
            settings.node,
            settings.peer_listen,
            bytes.fromhex(settings.peer_secret_hex),
        )
        for peer in settings.zone_peers:
            self.link.set_peer(peer.node, peer.address)
        self.feed = ConfigurationFeed(
            self.replica,
            self.link,
            self.loop.scheduler,
            log,
            self._apply,
        )
        self.store = EtcdKeyValue(
            self.client,
            settings.key_value,
            STORE_TIMEOUT_S,
        )
        self.decisions = DecisionHistory(
            log,
            settings.node,
            environment.wall_s,
        )
        self.fleet = FleetMap(
            FleetNode(settings.node, settings.zone, PeerRole.ENTRY),
            settings.zone_peers,
        )
        self.limits = NodeLimits(
            self.link,
            self.loop.scheduler,
            log,
            settings.node,
            self._find_relays,
            self._on_limit_shares,
        )
        self.poison = PoisonExchange(
            environment,
            self.link,
            self.fleet,
            self.loop.scheduler,
            log,
        )
        self.leaving = LeavingServers(log, self.link)
        self.admission = AdmissionControl(
            environment,
            self.limits,
            self.poison,
            self._has_room_for_bills,
        )
        self.bills = NodeBills(
            environment,
            log,
            self.link,
            self.loop.scheduler,
            self.fleet,
        )
        self.fleet_view = FleetView(self.fleet, environment.monotonic_s)
        self.link.on(FleetSummary, self._on_summary)
        self.explainer = Explainer(
            self.decisions,
            self.link,
            self.fleet,
            self.loop.scheduler,
        )
        self.reporter = NodeReporter(
            self.fleet,
            self.link,
            self.replica,
            self.loop.scheduler,
            self._count_active,
        )
        self.control_plane = ControlPlaneClient(
            environment,
            self.link,
            self.loop.scheduler,
            log,
            self.fleet,
            self.reporter,
        )
        self.router: Router | None = None
        self.orders: OrderBook | None = None
        self.callers: CallerApi | None = None
        self.loads: LoadPoller | None = None
        self._shutdown = Shutdown(self)
        self.probes = Probes(
            self.metrics,
            self.invariants,
            self.is_ready,
            self._refresh_metrics,
        )

    @property
    def stopping(self) -> bool:
        """Return whether the process has stopped accepting work."""
        return self._shutdown.begun

    def is_ready(self) -> bool:
        """Return whether the process is ready to serve callers."""
        now_s = self.loop.scheduler.now_s()
        return not self.stopping and self.replica.is_ready(now_s)

    def start(self) -> None:
        """Listen for callers and operators."""
        settings = self.settings
        self.server = listen_for_callers(self)
        self.admin_server = listen_for_operators(self)
        self.feed.request_if_missing()
        self.loop.scheduler.call_every(
            FRESHNESS_PERIOD_S, self._update_freshness
        )
        self.loop.set_stop_handler(self.stop)
        self.log.emit(
            ProcessStarted(
                settings.node,
                settings.zone,
                str(self.server.address),
                str(self.admin_server.address),
            ),
        )

    def run(self) -> None:
        """Serve until `stop` is called or a stop signal arrives."""
        self.start()
        self.loop.run()

    def stop(self) -> None:
        """Start a graceful shutdown."""
        self._shutdown.begin()

    def _apply(self, configuration: Configuration) -> None:
        if self.router is None:
            self._start_serving(configuration)
        self.router.apply_configuration(configuration)
        self.control_plane.apply_configuration(configuration)
        self.leaving.apply_configuration(configuration)
        self.loads.apply_configuration(configuration)
        self.admission.apply_configuration(
            configuration,
            zone=self.settings.zone,
            zone_nodes=self.fleet.count_entries(self.settings.zone),
            fleet_nodes=self.fleet.count_entries(),
        )
        self.reporter.report()

    def _start_serving(self, configuration: Configuration) -> None:
        parts = build_serving(self, configuration)
        self.router = parts.router
        self.orders = parts.orders
        self.loads = parts.loads
        self.callers = parts.callers

    def _update_freshness(self) -> None:
        if self.router is not None:
            now_s = self.loop.scheduler.now_s()
            self.control_plane.rollouts.mark_fresh(
                now_s - self.replica.age_s(now_s)
            )
            stale = self.replica.is_stale(now_s)
            self.router.set_fresh(not stale)

    def _find_relays(self) -> tuple[str, ...]:
        return self.reporter.find_relays()

    def _on_limit_shares(self, shares: tuple[LimitShare, ...]) -> None:
        self.admission.set_shares(shares)

    def _has_room_for_bills(self) -> bool:
        return self.bills.accepts()

    def _count_active(self) -> int:
        return self.server.active_count

    def _on_summary(self, sender: str, summary: FleetSummary) -> None:
        self.fleet_view.update(summary)

    def _refresh_metrics(self) -> None:
        refresh_gauges(self)
