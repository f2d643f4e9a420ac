"""Collect the status of a zone's nodes and exchange it with other zones."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from bamboodeck.configuration.replica import ConfigurationReplica
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
RELAY_TIMEOUT_S = 3.0
RANK_DELAY_S = 1.0
REPORT_TIMEOUT_S = 4.0
MAX_DELAY_RANK = 10
UNKNOWN_AGE_S = -1.0


@dataclass(frozen=True, slots=True)
class ReceivedStatus:
    """Pair a node's report with its time of receipt."""

    status: NodeStatus
    received_s: float


class ZoneRelay:
    """Summarise the zone while this process is its relay.

    The holder of the zone lease is the relay. While nobody holds it, as when
    the zone is cut off from the platform, the first live controller by name
    acts as relay. Two relays at once cost only extra messages, as revisions
    never decrease.
    """

    def __init__(
        self,
        fleet: FleetMap,
        link: PeerLink,
        replica: ConfigurationReplica,
        scheduler: Scheduler,
        fencing_number: Callable[[], int],
    ) -> None:
        """Subscribe to messages of the zone's nodes and other relays."""
        self._fleet = fleet
        self._link = link
        self._replica = replica
        self._scheduler = scheduler
        self._fencing_number = fencing_number
        self._statuses: dict[str, ReceivedStatus] = {}
        self._heartbeats: dict[str, ZoneHeartbeat] = {}
        self._heartbeats_received_s: dict[str, float] = {}
        self._started_s = scheduler.now_s()
        self._preferred_relay_received_s = -math.inf
        self._lease_holder_received_s = -math.inf
        link.on(NodeStatus, self._on_status)
        link.on(ZoneHeartbeat, self._on_heartbeat)
        link.on(FleetSummary, self._on_summary)
        scheduler.call_every(RELAY_PERIOD_S, self.relay)

    @property
    def acting(self) -> bool:
        """Return whether this process acts as the relay of its zone."""
        if self._fencing_number():
            return True
        timeout_s = RELAY_TIMEOUT_S + self._rank() * RANK_DELAY_S
        last_received_s = max(self._preferred_relay_received_s, self._started_s)
        return self._scheduler.now_s() - last_received_s > timeout_s

    def lease_may_be_free(self) -> bool:
        """Return whether the zone lease may be free and is worth a poll.

        No controller polls the store while summaries of the holder arrive.
        After a timeout the controllers start to poll one by one, by rank.
        """
        rank = min(self._rank(), MAX_DELAY_RANK)
        silence_s = self._scheduler.now_s() - self._lease_holder_received_s
        return silence_s > RELAY_TIMEOUT_S + rank * RANK_DELAY_S

    def relay(self) -> None:
        """Send the summary to the zone's nodes and other relays."""
        if not self.acting:
            return
        own = self._summarise()
        zones = [HeardZone(own, 0)]
        now_s = self._scheduler.now_s()
        for zone, heartbeat in self._heartbeats.items():
            age_s = now_s - self._heartbeats_received_s[zone]
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
        """Return the summary of the own zone only."""
        return FleetSummary(
            self._fleet.own.node,
            (HeardZone(self._summarise(), 0),),
        )

    def all_relays(self) -> tuple[str, ...]:
        """Return this process and the relays of the other zones."""
        relays = [self._fleet.own.node]
        for zone in self._fleet.zones():
            if zone != self._fleet.own.zone:
                relays.extend(self.relays_of(zone))
        return tuple(relays)

    def relays_of(self, zone: str) -> tuple[str, ...]:
        """Return the relay heard recently, or else the zone's controllers."""
        if zone == self._fleet.own.zone:
            return (self._fleet.own.node,)
        received_s = self._heartbeats_received_s.get(zone, -math.inf)
        if self._scheduler.now_s() - received_s <= RELAY_TIMEOUT_S:
            return (self._heartbeats[zone].relay,)
        return self._fleet.controllers_of(zone)

    def _summarise(self) -> ZoneHeartbeat:
        now_s = self._scheduler.now_s()
        revision = self._replica.revision
        exceptions: list[NodeException] = []
        for node in self._fleet.in_zone():
            exception = self._find_exception(node, revision, now_s)
            if exception is not None:
                exceptions.append(exception)
        age_s = self._replica.age_s(now_s)
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
        received = self._statuses.get(node)
        if received is None:
            return NodeException(node, 0, UNKNOWN_AGE_S, stopping=False)
        age_s = now_s - received.received_s
        status = received.status
        in_force = status.revision == revision and not status.stopping
        if in_force and age_s <= REPORT_TIMEOUT_S:
            return None
        return NodeException(node, status.revision, age_s, status.stopping)

    def _rank(self) -> int:
        """Return the rank by name among the controllers of the zone."""
        controllers = (*self._own_zone_controllers(), self._fleet.own.node)
        return sorted(controllers).index(self._fleet.own.node)

    def _own_zone_controllers(self) -> tuple[str, ...]:
        return self._fleet.in_zone(PeerRole.CONTROLLER)

    def _on_status(self, sender: str, status: NodeStatus) -> None:
        self._statuses[sender] = ReceivedStatus(status, self._scheduler.now_s())

    def _on_heartbeat(self, sender: str, heartbeat: ZoneHeartbeat) -> None:
        self._heartbeats[heartbeat.zone] = heartbeat
        self._heartbeats_received_s[heartbeat.zone] = self._scheduler.now_s()

    def _on_summary(self, sender: str, summary: FleetSummary) -> None:
        own_zone = summary.zones[0].heartbeat
        is_preferred = (
            own_zone.fencing_number > 0 or sender < self._fleet.own.node
        )
        if is_preferred:
            self._preferred_relay_received_s = self._scheduler.now_s()
        if own_zone.fencing_number > 0:
            self._lease_holder_received_s = self._scheduler.now_s()
        # Learn the state of other zones from the relay, to continue with it
        # on taking over as relay.
        now_s = self._scheduler.now_s()
        for received in summary.zones[1:]:
            zone = received.heartbeat.zone
            received_s = now_s - received.heard_age_s
            if received_s > self._heartbeats_received_s.get(zone, -math.inf):
                self._heartbeats[zone] = received.heartbeat
                self._heartbeats_received_s[zone] = received_s
