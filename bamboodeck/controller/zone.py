"""Relay between a zone's nodes and the other zones."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from bamboodeck.configuration.keeper import ConfigurationKeeper
from bamboodeck.loop.scheduler import Scheduler
from bamboodeck.peers.fleet import FleetMap
from bamboodeck.peers.link import PeerLink
from bamboodeck.peers.messages import (
    FleetSummary,
    HeardZone,
    NodeException,
    NodeStatus,
    ZoneHeartbeat,
)
from bamboodeck.settings.process import PeerRole

RELAY_PERIOD_S = 1.0
SILENCE_BOUND_S = 3.0
STEP_BOUND_S = 1.0
REPORT_BOUND_S = 4.0
MAX_WAITING_RANK = 10
UNKNOWN_AGE_S = -1.0


@dataclass(frozen=True, slots=True)
class HeardStatus:
    """Hold a node's report and when it was heard."""

    status: NodeStatus
    heard_s: float


class ZoneRelay:
    """Summarise the zone while this process is its relay.

    The holder of the zone's lease is the relay. While nobody holds it, as in
    a cut from the platform, the first controller that is alive stands in: two
    relays at once cost messages only, for revisions never go back.
    """

    def __init__(
        self,
        fleet: FleetMap,
        link: PeerLink,
        keeper: ConfigurationKeeper,
        scheduler: Scheduler,
        fencing_number: Callable[[], int],
    ) -> None:
        """Listen to the zone's nodes and the other relays."""
        self._fleet = fleet
        self._link = link
        self._keeper = keeper
        self._scheduler = scheduler
        self._fencing_number = fencing_number
        self._statuses: dict[str, HeardStatus] = {}
        self._zones: dict[str, ZoneHeartbeat] = {}
        self._zones_heard_s: dict[str, float] = {}
        self._started_s = scheduler.now_s()
        self._better_heard_s = -math.inf
        self._holder_heard_s = -math.inf
        link.on(NodeStatus, self._on_status)
        link.on(ZoneHeartbeat, self._on_heartbeat)
        link.on(FleetSummary, self._on_summary)
        scheduler.call_every(RELAY_PERIOD_S, self.relay)

    @property
    def acting(self) -> bool:
        """Tell whether this process is its zone's relay now."""
        if self._fencing_number():
            return True
        bound_s = SILENCE_BOUND_S + self._find_rank() * STEP_BOUND_S
        quiet_since_s = max(self._better_heard_s, self._started_s)
        return self._scheduler.now_s() - quiet_since_s > bound_s

    def lease_may_be_free(self) -> bool:
        """Tell whether the zone's lease may be free.

        While its holder is heard, nobody needs to ask the store. Once it is
        silent, the controllers ask one after the other.
        """
        rank = min(self._find_rank(), MAX_WAITING_RANK)
        silent_s = self._scheduler.now_s() - self._holder_heard_s
        return silent_s > SILENCE_BOUND_S + rank * STEP_BOUND_S

    def relay(self) -> None:
        """Tell the zone's nodes and the other zones what is known."""
        if not self.acting:
            return
        own = self._summarise()
        zones = [HeardZone(own, 0)]
        now_s = self._scheduler.now_s()
        for zone, heartbeat in self._zones.items():
            age_s = now_s - self._zones_heard_s[zone]
            zones.append(HeardZone(heartbeat, age_s))
        summary = FleetSummary(self._fleet.own.node, tuple(zones))
        for node in self._fleet.in_zone():
            self._link.send(node, summary)
        for zone in self._fleet.zones():
            if zone == self._fleet.own.zone:
                continue
            for node in self.relays_of(zone):
                self._link.send(node, own)

    def summary(self) -> FleetSummary:
        """Return what this process knows by itself."""
        return FleetSummary(
            self._fleet.own.node,
            (HeardZone(self._summarise(), 0),),
        )

    def all_relays(self) -> tuple[str, ...]:
        """Return this process, and the relays of the other zones."""
        relays = [self._fleet.own.node]
        for zone in self._fleet.zones():
            if zone != self._fleet.own.zone:
                relays.extend(self.relays_of(zone))
        return tuple(relays)

    def relays_of(self, zone: str) -> tuple[str, ...]:
        """Return the relay last heard, or all controllers of the zone."""
        if zone == self._fleet.own.zone:
            return (self._fleet.own.node,)
        heard_s = self._zones_heard_s.get(zone, -math.inf)
        if self._scheduler.now_s() - heard_s <= SILENCE_BOUND_S:
            return (self._zones[zone].relay,)
        return self._fleet.controllers_of(zone)

    def _summarise(self) -> ZoneHeartbeat:
        now_s = self._scheduler.now_s()
        revision = self._keeper.revision
        exceptions: list[NodeException] = []
        for node in self._fleet.in_zone():
            exception = self._find_exception(node, revision, now_s)
            if exception is not None:
                exceptions.append(exception)
        age_s = self._keeper.age_s(now_s)
        known = len(self._fleet.in_zone()) + 1
        return ZoneHeartbeat(
            self._fleet.own.zone,
            self._fleet.own.node,
            self._fencing_number(),
            revision,
            UNKNOWN_AGE_S if math.isinf(age_s) else age_s,
            known - len(exceptions),
            tuple(exceptions),
        )

    def _find_exception(
        self,
        node: str,
        revision: int,
        now_s: float,
    ) -> NodeException | None:
        heard = self._statuses.get(node)
        if heard is None:
            return NodeException(node, 0, UNKNOWN_AGE_S, stopping=False)
        age_s = now_s - heard.heard_s
        status = heard.status
        in_force = status.revision == revision and not status.stopping
        if in_force and age_s <= REPORT_BOUND_S:
            return None
        return NodeException(node, status.revision, age_s, status.stopping)

    def _find_rank(self) -> int:
        """Return the place of this process among its zone's controllers."""
        controllers = (*self._own_zone_controllers(), self._fleet.own.node)
        return sorted(controllers).index(self._fleet.own.node)

    def _own_zone_controllers(self) -> tuple[str, ...]:
        return self._fleet.in_zone(PeerRole.CONTROLLER)

    def _on_status(self, sender: str, status: NodeStatus) -> None:
        self._statuses[sender] = HeardStatus(status, self._scheduler.now_s())

    def _on_heartbeat(self, sender: str, heartbeat: ZoneHeartbeat) -> None:
        self._zones[heartbeat.zone] = heartbeat
        self._zones_heard_s[heartbeat.zone] = self._scheduler.now_s()

    def _on_summary(self, sender: str, summary: FleetSummary) -> None:
        own_zone = summary.zones[0].heartbeat
        leads = own_zone.fencing_number > 0 or sender < self._fleet.own.node
        if leads:
            self._better_heard_s = self._scheduler.now_s()
        if own_zone.fencing_number > 0:
            self._holder_heard_s = self._scheduler.now_s()
        # A relay that was not one before goes on from what the last one knew.
        now_s = self._scheduler.now_s()
        for heard in summary.zones[1:]:
            zone = heard.heartbeat.zone
            heard_s = now_s - heard.heard_age_s
            if heard_s > self._zones_heard_s.get(zone, -math.inf):
                self._zones[zone] = heard.heartbeat
                self._zones_heard_s[zone] = heard_s
