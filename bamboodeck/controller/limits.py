"""Split the customers' limits among zones and among a zone's nodes."""

from collections.abc import Callable

from bamboodeck.admission.limits import CustomerLimit, Rates
from bamboodeck.controller.limit_allocator import LimitAllocator
from bamboodeck.controller.ports import FleetPorts
from bamboodeck.peers.messages import DemandReported, SharesSent
from bamboodeck.settings.process import PeerRole

PREFIX = '/bamboodeck/limits/'
FLEET_KEY = f'{PREFIX}fleet'
ZONE_PREFIX = f'{PREFIX}zones/'
SPLIT_PERIOD_S = 1.0


class LimitSplitter:
    """Run the zone and the fleet allocator, each while holding its lease."""

    def __init__(
        self,
        ports: FleetPorts,
        zone_term: Callable[[], int],
        relays_of: Callable[[str], tuple[str, ...]],
        fleet_holder: Callable[[], str],
    ) -> None:
        """Subscribe to demand reports and to the shares of the zone."""
        fleet = ports.fleet
        self._messenger = ports.messenger
        self._replica = ports.replica
        self._zone = fleet.own.zone
        self._zone_term = zone_term
        self._fleet_term = ports.fencing_number
        self._relays_of = relays_of
        self._fleet_holder = fleet_holder
        self._controllers = frozenset(
            each.node
            for each in fleet.nodes
            if each.role is PeerRole.CONTROLLER
        )
        self._terms = (0, 0)
        self._granted: SharesSent | None = None
        self._confirmed = 0
        self._entries = fleet.in_zone(PeerRole.ENTRY)
        entries = max(fleet.count_entries(), 1)
        self.zone_allocator = LimitAllocator(
            ports.store,
            ports.scheduler,
            f'{ZONE_PREFIX}{self._zone}',
            {node: 1 / entries for node in self._entries},
            self._send_to_node,
        )
        self.fleet_allocator = LimitAllocator(
            ports.store,
            ports.scheduler,
            FLEET_KEY,
            {
                zone: fleet.count_entries(zone) / entries
                for zone in fleet.zones()
            },
            self._send_to_zone,
        )
        ports.messenger.on(DemandReported, self._on_demand)
        ports.messenger.on(SharesSent, self._on_shares)
        ports.scheduler.call_every(SPLIT_PERIOD_S, self.split)

    def split(self) -> None:
        """Update the shares at each level that this process holds."""
        self._update_terms()
        if self._replica.configuration is None:
            return
        limits = tuple(
            CustomerLimit(
                each.name,
                Rates(each.requests_per_s, each.tokens_per_s),
            )
            for each in self._replica.configuration.customers
        )
        zone_term, fleet_term = self._terms
        if fleet_term:
            self.fleet_allocator.split(limits, limits)
        if zone_term:
            self._split_zone(limits)

    def _split_zone(self, limits: tuple[CustomerLimit, ...]) -> None:
        granted = self._granted
        if granted is not None:
            totals = _read_totals(granted)
            self.zone_allocator.split(totals, limits)
            if self.zone_allocator.fits(totals):
                self._confirmed = granted.sequence
        report = DemandReported(
            self._zone,
            self._confirmed,
            self.zone_allocator.demand(),
        )
        self._messenger.send(self._fleet_holder(), report)

    def _update_terms(self) -> None:
        terms = (self._zone_term(), self._fleet_term())
        zone_term, fleet_term = terms
        if zone_term != self._terms[0]:
            self._granted = None
            self._confirmed = 0
            self.zone_allocator.set_term(zone_term)
        if fleet_term != self._terms[1]:
            self.fleet_allocator.set_term(fleet_term)
        self._terms = terms

    def _on_demand(self, sender: str, report: DemandReported) -> None:
        if sender in self._entries:
            self.zone_allocator.record_demand(report)
        elif sender in self._controllers:
            self.fleet_allocator.record_demand(report)

    def _on_shares(self, sender: str, shares: SharesSent) -> None:
        if shares.holder != self._zone:
            return
        if self._granted and shares.sequence < self._granted.sequence:
            return
        self._granted = shares

    def _send_to_node(self, shares: SharesSent) -> None:
        self._messenger.send(shares.holder, shares)

    def _send_to_zone(self, shares: SharesSent) -> None:
        for relay in self._relays_of(shares.holder):
            self._messenger.send(relay, shares)


def _read_totals(granted: SharesSent) -> tuple[CustomerLimit, ...]:
    return tuple(
        CustomerLimit(row.customer, Rates(row.requests_per_s, row.tokens_per_s))
        for row in granted.rows
    )
