"""Assemble the controller process and shut it down gracefully."""

import random
import time
from dataclasses import dataclass

from bamboodeck.configuration.model import Configuration
from bamboodeck.configuration.replica import ConfigurationReplica
from bamboodeck.controller.bills import FOLD_PERIOD_S, ControllerBills
from bamboodeck.controller.credits import FleetCredits
from bamboodeck.controller.fleet_lease import FleetLease
from bamboodeck.controller.host_list import HostListPoller
from bamboodeck.controller.limits import LimitSplitter
from bamboodeck.controller.placement import ZonePlacement
from bamboodeck.controller.ports import FleetPorts
from bamboodeck.controller.relay import ConfigurationRelay
from bamboodeck.controller.rollouts import FleetRolloutManager
from bamboodeck.controller.zone import ZoneRelay
from bamboodeck.controller.zone_broadcaster import ZoneBroadcaster
from bamboodeck.controller.zone_rollouts import ZoneRolloutRelay
from bamboodeck.entry.probes import Probes
from bamboodeck.environment import Environment
from bamboodeck.http.client import HttpClient
from bamboodeck.http.messages import ApiRequest, ApiResponse
from bamboodeck.http.responder import Responder
from bamboodeck.http.server import HttpServer
from bamboodeck.invariants import Invariants
from bamboodeck.keyvalue.etcd import EtcdKeyValue
from bamboodeck.leases.holder import LeaseHolder
from bamboodeck.leases.messages import (
    LeaseAcquired,
    LeaseClock,
    LeaseEnded,
    LeaseLimits,
    LeaseNews,
)
from bamboodeck.logs import EventLog
from bamboodeck.loop.program import Loop
from bamboodeck.metrics import Metrics, read_resident_bytes
from bamboodeck.orders.sweeper import OrderSweeper
from bamboodeck.peers.feed import ConfigurationFeed
from bamboodeck.peers.fleet import FleetMap, FleetNode
from bamboodeck.peers.link import PeerLink
from bamboodeck.peers.messenger import Messenger
from bamboodeck.peers.reporter import NodeReporter
from bamboodeck.external.host_list import HttpHostList
from bamboodeck.external.weight_store import HttpWeightStore
from bamboodeck.settings.process import ControllerSettings, PeerRole

STORE_TIMEOUT_S = 2.0
ROLE_CHECK_PERIOD_S = 0.25
SWEEP_PERIOD_S = 10.0
STOP_DELAY_S = 0.2
STOP_TIMEOUT_S = 5.0
_SEED_BITS = 64


@dataclass(frozen=True, slots=True)
class ControllerStarted:
    """Log that the controller started."""

    node: str
    zone: str
    health: str


@dataclass(frozen=True, slots=True)
class ControllerStopped:
    """Log that the controller stopped."""

    node: str


@dataclass(frozen=True, slots=True)
class RelayChanged:
    """Log that this process started or stopped being its zone's relay."""

    node: str
    zone: str
    acting: bool


class ControllerApp:
    """Own the components of a controller process."""

    def __init__(
        self,
        environment: Environment,
        settings: ControllerSettings,
        log: EventLog,
        *,
        raising: bool = False,
        fold_period_s: float = FOLD_PERIOD_S,
    ) -> None:
        """Build all components and listen for peers."""
        self._released = False
        self.environment = environment
        self.settings = settings
        self.log = log
        self.loop = Loop(environment)
        scheduler = self.loop.scheduler
        self.metrics = Metrics()
        self.invariants = Invariants(log, raising=raising)
        self.client = HttpClient(self.loop)
        self.store = EtcdKeyValue(
            self.client,
            settings.key_value,
            STORE_TIMEOUT_S,
        )
        self.replica = ConfigurationReplica(
            self.invariants,
            environment.monotonic_s(),
        )
        self.fleet = FleetMap(
            FleetNode(settings.node, settings.zone, PeerRole.CONTROLLER),
            settings.peers,
        )
        self.link = PeerLink(
            self.loop,
            log,
            settings.node,
            settings.peer_listen,
            bytes.fromhex(settings.peer_secret_hex),
        )
        for peer in settings.peers:
            self.link.set_peer(peer.node, peer.address)
        self.feed = ConfigurationFeed(
            self.replica,
            self.link,
            scheduler,
            log,
            self._apply,
        )
        self.relay = ConfigurationRelay(
            self.store,
            self.feed,
            scheduler,
            log,
            self.fleet.in_zone,
        )
        clock = LeaseClock(environment.monotonic_s, scheduler.call_after)
        rng = random.Random(environment.random.getrandbits(_SEED_BITS))
        limits = LeaseLimits(ttl_s=settings.lease_ttl_s)
        self.lease = LeaseHolder(
            self.store,
            clock,
            rng,
            f'zone-{settings.zone}',
            settings.node,
            limits,
            self._on_lease,
            self._may_poll_lease,
        )
        self.fleet_lease = FleetLease(
            self.store,
            clock,
            rng,
            settings.node,
            limits,
            log.emit,
        )
        self.messenger = Messenger(self.link, scheduler, settings.node)
        self.zone_rollouts = ZoneRolloutRelay(
            self.messenger,
            self.fleet,
            scheduler,
            self._fencing_number,
        )
        self.zone = ZoneRelay(
            self.fleet,
            self.link,
            self.replica,
            scheduler,
            self._fencing_number,
        )
        self.hosts: HostListPoller | None = None
        if settings.host_list is not None:
            self.hosts = HostListPoller(
                HttpHostList(self.client, settings.host_list),
                self.fleet,
                self.link,
                scheduler,
                self._is_acting,
            )
        self.zone_broadcaster = ZoneBroadcaster(
            self.messenger,
            self.fleet,
            scheduler,
            lambda: self.zone.acting,
        )
        fleet_ports = FleetPorts(
            environment,
            self.messenger,
            self.fleet,
            self.replica,
            scheduler,
            self.store,
            log,
            self.fleet_lease.fencing_number,
            self.zone.all_relays,
        )
        self.rollout_manager = FleetRolloutManager(fleet_ports)
        self.credits = FleetCredits(fleet_ports)
        self.limits = LimitSplitter(
            fleet_ports,
            self._fencing_number,
            self.zone.relays_of,
            self._fleet_holder,
        )
        self.placement: ZonePlacement | None = None
        if settings.weight_store is not None:
            self.placement = ZonePlacement(
                fleet_ports,
                self.client,
                HttpWeightStore(self.client, settings.weight_store),
                self.lease,
                self._leaving_addresses,
            )
        self.bills = ControllerBills(
            environment,
            self.link,
            scheduler,
            self.store,
            self.fleet,
            fold_period_s,
        )
        self.sweeper = OrderSweeper(self.store)
        self.reporter = NodeReporter(
            self.fleet,
            self.link,
            self.replica,
            scheduler,
            self._count_active,
        )
        self.probes = Probes(
            self.metrics,
            self.invariants,
            self._is_ready,
            self._refresh_metrics,
        )

    def run(self) -> None:
        """Run until the process is signalled to stop."""
        self.start()
        self.loop.run()

    def start(self) -> None:
        """Compete for the zone lease and answer probes."""
        self.server = HttpServer(
            self.loop,
            self.settings.listen,
            self._on_request,
        )
        self.loop.scheduler.call_every(ROLE_CHECK_PERIOD_S, self._check_role)
        self.loop.scheduler.call_every(SWEEP_PERIOD_S, self._sweep_orders)
        self.lease.start()
        self.loop.set_stop_handler(self.stop)
        self.log.emit(
            ControllerStarted(
                self.settings.node,
                self.settings.zone,
                str(self.server.address),
            ),
        )

    def stop(self) -> None:
        """Hand over bills and leases, then end."""
        self.reporter.stopping = True
        self.reporter.report()
        self.relay.stop()
        self.server.stop_accepting()
        self.bills.hand_over()
        self._stop_deadline_s = self.loop.scheduler.now_s() + STOP_TIMEOUT_S
        self.zone_rollouts.close()
        self.fleet_lease.stop(
            lambda: self.lease.release(self._on_released),
        )
        self._finish_when_done()

    def _on_released(self) -> None:
        self._released = True

    def _finish_when_done(self) -> None:
        done = self._released and self.bills.is_handed_over
        late = self.loop.scheduler.now_s() >= self._stop_deadline_s
        if done or late:
            self.loop.scheduler.call_after(STOP_DELAY_S, self._finish)
            return
        self.loop.scheduler.call_after(STOP_DELAY_S, self._finish_when_done)

    def _finish(self) -> None:
        self.log.emit(ControllerStopped(self.settings.node))
        self.link.close()
        self.client.close()
        self.loop.finish()

    def _on_lease(self, news: LeaseNews) -> None:
        self.log.emit(news)
        match news:
            case LeaseAcquired():
                self.fleet_lease.start()
            case LeaseEnded():
                self.fleet_lease.stop(_ignore)

    def _may_poll_lease(self) -> bool:
        return self.zone.lease_may_be_free()

    def _fencing_number(self) -> int:
        if self.lease.holds(self.loop.scheduler.now_s()):
            return self.lease.fencing_number
        return 0

    def _leaving_addresses(self) -> frozenset[str]:
        return self.hosts.leaving_addresses if self.hosts else frozenset()

    def _fleet_holder(self) -> str:
        return self.zone_rollouts.fleet_holder

    def _is_acting(self) -> bool:
        return self.zone.acting

    def _count_active(self) -> int:
        return 0

    def _check_role(self) -> None:
        acting = self.zone.acting
        if acting == self.relay.active:
            return
        self.log.emit(
            RelayChanged(self.settings.node, self.settings.zone, acting),
        )
        if acting:
            self.relay.start()
        else:
            self.relay.stop()

    def _sweep_orders(self) -> None:
        # The lease holder of the first zone sweeps for the whole fleet; a
        # second sweeper does no harm.
        first = self.fleet.zones()[0] == self.settings.zone
        if first and self._fencing_number():
            self.sweeper.sweep(self.environment.wall_s())

    def _apply(self, configuration: Configuration) -> None:
        self.reporter.report()

    def _is_ready(self) -> bool:
        return self.replica.configuration is not None

    def _on_request(self, request: ApiRequest, responder: Responder) -> None:
        if not self.probes.answer_internal(request, responder):
            responder.respond(ApiResponse(404, b'{"error": "not found"}'))

    def _refresh_metrics(self) -> None:
        now_s = self.loop.scheduler.now_s()
        for name, number in (
            ('revision', self.replica.revision),
            ('configuration_age_s', self.replica.age_s(now_s)),
            ('relay_acting', int(self.zone.acting)),
            ('fleet_fencing_number', self.fleet_lease.fencing_number()),
            ('bills_held', self.bills.holder.record_count),
            ('peer_sent_bytes', self.link.counts.sent_bytes),
            ('peer_received_bytes', self.link.counts.received_bytes),
            ('peer_sent_frames', self.link.counts.sent_frames),
            ('peer_received_frames', self.link.counts.received_frames),
            ('peer_dropped_frames', self.link.counts.dropped_frames),
            ('process_id', self.environment.process_id),
            ('process_cpu_s', time.process_time()),
            ('resident_bytes', read_resident_bytes()),
        ):
            self.metrics.set_state(name, number)
        self.metrics.set_counters('bills', self.bills.counters)
        self.metrics.set_counters('sweep', self.sweeper.counters)
        if self.placement is not None:
            counters = self.placement.sender.counters
            self.metrics.set_counters('placement', counters)


def _ignore() -> None:
    """Ignore the end of a release."""
