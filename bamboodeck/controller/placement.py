"""Place versions on the engines of a zone while holding its lease."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from bamboodeck.configuration.model import Configuration, VersionState
from bamboodeck.controller.placement_demand import DemandCollector
from bamboodeck.controller.placement_needs import build_needs
from bamboodeck.controller.placement_poller import EnginePoller
from bamboodeck.controller.placement_sender import OrderSender
from bamboodeck.controller.ports import FleetPorts
from bamboodeck.external.weight_store import WeightStorePort
from bamboodeck.http.client import HttpClient
from bamboodeck.leases.holder import LeaseHolder
from bamboodeck.placement.decisions import plan_placement
from bamboodeck.placement.orders import (
    apply_reports,
    discard_order,
    pause_loads,
    remove_engine,
    set_needs,
)
from bamboodeck.placement.state import (
    EngineReport,
    LoadVersion,
    PendingOrder,
    PlacementOrder,
    PlacementRules,
    PlacementState,
    UnloadVersion,
)
from bamboodeck.settings.process import PeerRole

PLACEMENT_PERIOD_S = 1.0
# A single load may use up to this time's worth of store bandwidth at once.
STORE_BURST_S = 20.0


@dataclass(frozen=True, slots=True)
class PlacementDecided:
    """Log a placement order to an engine and its reason."""

    zone: str
    action: str
    version: str
    engine: str
    reason: str
    fencing_number: int
    rejected_count: int
    sends: int


class ZonePlacement:
    """Load and unload versions by the demand that the zone's nodes report.

    Versions without placement bounds in the configuration get no orders.
    """

    def __init__(
        self,
        ports: FleetPorts,
        client: HttpClient,
        weights: WeightStorePort,
        lease: LeaseHolder,
        leaving_addresses: Callable[[], frozenset[str]],
    ) -> None:
        """Subscribe to demand reports of the zone's entry processes."""
        fleet = ports.fleet
        self._ports = ports
        self._zone = fleet.own.zone
        self._lease = lease
        self._leaving_addresses = leaving_addresses
        self._term = 0
        self._state = PlacementState()
        self._demand = DemandCollector(
            ports.messenger,
            fleet.in_zone(PeerRole.ENTRY),
            ports.scheduler.now_s,
        )
        self.poller = EnginePoller(client, self._zone)
        self.sender = OrderSender(
            client,
            ports.log,
            weights,
            self.poller.engine,
            self,
        )
        ports.scheduler.call_every(PLACEMENT_PERIOD_S, self.place)

    def place(self) -> None:
        """Poll engines, update the plan and send the orders that are due."""
        now_s = self._ports.scheduler.now_s()
        self._update_term(now_s)
        configuration = self._find_configuration(now_s)
        if not self._term or configuration is None:
            return
        self.poller.apply_configuration(configuration)
        self.poller.poll()
        if not self.poller.complete:
            return
        self._update_state(configuration, now_s)
        state, orders = plan_placement(
            self._state,
            now_s,
            # A former holder's unload of another copy may be in flight.
            may_unload=self._lease.may_order(
                engine_checks_fencing=False, now_s=now_s
            ),
        )
        self._state = state
        self._send_orders(orders)

    def find_obstacle(self, order: PlacementOrder, term: int) -> str:
        """Return why an order must not be sent now; empty if it may."""
        now_s = self._ports.scheduler.now_s()
        if not self._lease.check(term, now_s):
            return 'lease is not held'
        configuration = self._find_configuration(now_s)
        if configuration is None:
            return 'configuration is stale'
        if isinstance(order, UnloadVersion):
            return ''
        model = configuration.models_by_name.get(order.version)
        if model is None or model.state is VersionState.WITHDRAWN:
            return 'version is withdrawn'
        engine = self.poller.engine(order.engine)
        if engine is None or self._is_leaving(configuration, engine.name):
            return 'engine is leaving'
        return ''

    def on_not_sent(self, order: PlacementOrder, term: int) -> None:
        """Withdraw an order that was not sent, so that it is planned again."""
        if term == self._term:
            self._state = discard_order(self._state, order)

    def on_store_closed(self, retry_after_s: float, term: int) -> None:
        """Plan no loads until the weight store serves requests again."""
        until_s = self._ports.scheduler.now_s() + retry_after_s
        if term == self._term:
            self._state = pause_loads(self._state, until_s)

    def _update_term(self, now_s: float) -> None:
        held = self._lease.holds(now_s)
        term = self._lease.fencing_number if held else 0
        if term == self._term:
            return
        self._term = term
        self._state = PlacementState()
        self.poller.reset()

    def _find_configuration(self, now_s: float) -> Configuration | None:
        """Return the configuration if it is fresh and has placement bounds."""
        replica = self._ports.replica
        if replica.is_stale(now_s) or not replica.configuration.placements:
            return None
        return replica.configuration

    def _update_state(self, configuration: Configuration, now_s: float) -> None:
        reports = [
            replace(
                report,
                leaving=report.leaving
                or self._is_leaving(configuration, report.engine),
                takes_loads=self._takes_loads(report, now_s),
            )
            for report in self.poller.find_reports()
        ]
        present = {report.engine for report in reports}
        for known in self._state.engines:
            if known.engine not in present:
                self._state = remove_engine(self._state, known.engine)
        needs = build_needs(
            configuration,
            self._zone,
            self._demand.sum_demand(),
            reports,
        )
        state = replace(self._state, rules=_build_rules(configuration))
        state = apply_reports(state, reports)
        self._state = set_needs(state, needs)

    def _takes_loads(self, report: EngineReport, now_s: float) -> bool:
        engine = self.poller.engine(report.engine)
        return engine is not None and self._lease.may_order(
            engine.checks_fencing,
            now_s,
        )

    def _is_leaving(self, configuration: Configuration, name: str) -> bool:
        engine = configuration.engines_by_name[name]
        drained = name in configuration.draining
        return drained or engine.address in self._leaving_addresses()

    def _send_orders(self, orders: Iterable[PlacementOrder]) -> None:
        pending = {each.order: each for each in self._state.pending}
        for order in orders:
            self._log(pending[order])
            self.sender.send(order, self._term)

    def _log(self, pending: PendingOrder) -> None:
        order = pending.order
        self._ports.log.emit(
            PlacementDecided(
                self._zone,
                'load' if isinstance(order, LoadVersion) else 'unload',
                order.version,
                order.engine,
                pending.reason,
                self._term,
                pending.rejected_count,
                pending.sends,
            ),
        )


def _build_rules(configuration: Configuration) -> PlacementRules:
    rate_bytes_per_s = configuration.placement_store_bytes_per_s
    return PlacementRules(
        high_load=configuration.placement_high_load,
        low_load=configuration.placement_low_load,
        hold_s=configuration.placement_hold_s,
        store_bytes_per_s=rate_bytes_per_s,
        store_burst_bytes=rate_bytes_per_s * STORE_BURST_S,
    )
