"""Place versions on the engines of a zone while holding its lease."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from bamboodeck.configuration.model import Configuration, VersionState
from bamboodeck.controller.placement_demand import DemandCollector
from bamboodeck.controller.placement_needs import build_needs
from bamboodeck.controller.placement_sender import OrderSender
from bamboodeck.controller.placement_survey import EngineSurvey
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

ROUND_PERIOD_S = 1.0
# A single load may use what the store gives in this time at once.
STORE_BURST_S = 20.0


@dataclass(frozen=True, slots=True)
class PlacementDecided:
    """Log an order to an engine and why it is given."""

    zone: str
    action: str
    version: str
    engine: str
    reason: str
    fencing_number: int
    rejected_count: int
    sends: int


class ZonePlacement:
    """Load and drop versions as the zone's nodes ask for them.

    Without bounds in the configuration nothing is ordered.
    """

    def __init__(
        self,
        ports: FleetPorts,
        client: HttpClient,
        weights: WeightStorePort,
        lease: LeaseHolder,
        leaving_addresses: Callable[[], frozenset[str]],
    ) -> None:
        """Listen to the zone's entry processes."""
        fleet = ports.fleet
        self._ports = ports
        self._zone = fleet.own.zone
        self._lease = lease
        self._leaving_addresses = leaving_addresses
        self._term = 0
        self._state = PlacementState()
        self._demand = DemandCollector(
            ports.post,
            fleet.in_zone(PeerRole.ENTRY),
            ports.scheduler.now_s,
        )
        self.survey = EngineSurvey(client, self._zone)
        self.sender = OrderSender(
            client,
            ports.log,
            weights,
            self.survey.engine,
            self,
        )
        ports.scheduler.call_every(ROUND_PERIOD_S, self.place)

    def place(self) -> None:
        """Take what is known and give the orders that are due."""
        now_s = self._ports.scheduler.now_s()
        self._keep_term(now_s)
        configuration = self._find_configuration(now_s)
        if not self._term or configuration is None:
            return
        self.survey.apply_configuration(configuration)
        self.survey.poll()
        if not self.survey.complete:
            return
        self._observe(configuration, now_s)
        state, orders = plan_placement(
            self._state,
            now_s,
            # A former holder may still have dropped another copy.
            may_unload=self._lease.may_order(
                engine_checks_fencing=False, now_s=now_s
            ),
        )
        self._state = state
        self._give(orders)

    def find_obstacle(self, order: PlacementOrder, term: int) -> str:
        """Say why an order must not go out now; empty if it may."""
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
        engine = self.survey.engine(order.engine)
        if engine is None or self._is_leaving(configuration, engine.name):
            return 'engine is leaving'
        return ''

    def on_not_sent(self, order: PlacementOrder, term: int) -> None:
        """Plan anew in place of an order that never reached its engine."""
        if term == self._term:
            self._state = discard_order(self._state, order)

    def on_store_closed(self, retry_after_s: float, term: int) -> None:
        """Ask for no weights before the store serves them again."""
        until_s = self._ports.scheduler.now_s() + retry_after_s
        if term == self._term:
            self._state = pause_loads(self._state, until_s)

    def _keep_term(self, now_s: float) -> None:
        held = self._lease.holds(now_s)
        term = self._lease.fencing_number if held else 0
        if term == self._term:
            return
        self._term = term
        self._state = PlacementState()
        self.survey.forget()

    def _find_configuration(self, now_s: float) -> Configuration | None:
        """Return the configuration, if it is fresh and places versions."""
        keeper = self._ports.keeper
        if keeper.is_stale(now_s) or not keeper.configuration.placements:
            return None
        return keeper.configuration

    def _observe(self, configuration: Configuration, now_s: float) -> None:
        reports = [
            replace(
                report,
                leaving=report.leaving
                or self._is_leaving(configuration, report.engine),
                takes_loads=self._takes_loads(report, now_s),
            )
            for report in self.survey.find_reports()
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
        engine = self.survey.engine(report.engine)
        return engine is not None and self._lease.may_order(
            engine.checks_fencing,
            now_s,
        )

    def _is_leaving(self, configuration: Configuration, name: str) -> bool:
        engine = configuration.engines_by_name[name]
        drained = name in configuration.draining
        return drained or engine.address in self._leaving_addresses()

    def _give(self, orders: Iterable[PlacementOrder]) -> None:
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
