"""List the nodes of the fleet and track their reported status."""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from bamboodeck.peers.messages import FleetSummary, HeardZone, NodeException
from bamboodeck.settings.process import PeerAddress, PeerRole


@dataclass(frozen=True, slots=True)
class FleetNode:
    """Identify a node of the fleet."""

    node: str
    zone: str
    role: PeerRole


@dataclass(frozen=True, slots=True)
class KnownNode:
    """Describe the last known status of a node; infinite ages mean never."""

    node: FleetNode
    revision: int
    fresh_age_s: float
    report_age_s: float
    stopping: bool


class FleetMap:
    """List the nodes named in the settings, including this one."""

    def __init__(
        self,
        own: FleetNode,
        peers: Iterable[PeerAddress],
    ) -> None:
        """Build the list of nodes from the own node and its peers."""
        self.own = own
        self.nodes = (
            own,
            *(FleetNode(each.node, each.zone, each.role) for each in peers),
        )

    def in_zone(self, role: PeerRole | None = None) -> tuple[str, ...]:
        """Return the other nodes of this zone, sorted by name."""
        return tuple(
            sorted(
                each.node
                for each in self.nodes
                if each.zone == self.own.zone
                and each != self.own
                and role in {None, each.role}
            ),
        )

    def bill_backups(self) -> tuple[str, ...]:
        """Return the controllers of the zone that back up this node's bills.

        Controllers on other hosts are preferred; the one on this host is used
        only if the zone has no other. The list starts with the next host by
        name, so that each host is the first backup of exactly one other.
        """
        controllers = self.in_zone(PeerRole.CONTROLLER)
        own_host = host_of(self.own.node)
        after = [each for each in controllers if host_of(each) > own_host]
        before = [each for each in controllers if host_of(each) < own_host]
        return (*after, *before) or controllers

    def controllers_of(self, zone: str) -> tuple[str, ...]:
        """Return the controllers of a zone, sorted by name."""
        return tuple(
            sorted(
                each.node
                for each in self.nodes
                if each.zone == zone and each.role is PeerRole.CONTROLLER
            ),
        )

    def entries(self) -> tuple[str, ...]:
        """Return the other entry processes of the fleet, sorted by name."""
        return tuple(
            sorted(
                each.node
                for each in self.nodes
                if each.role is PeerRole.ENTRY and each != self.own
            ),
        )

    def zones(self) -> tuple[str, ...]:
        """Return all zones, sorted by name."""
        return tuple(sorted({each.zone for each in self.nodes}))

    def count_entries(self, zone: str | None = None) -> int:
        """Count the entry processes of a zone, or of the fleet."""
        return sum(
            each.role is PeerRole.ENTRY and zone in {None, each.zone}
            for each in self.nodes
        )


def host_of(node: str) -> str:
    """Return the host part of a node name, which has the form HOST.ROLE."""
    host, _, _ = node.rpartition('.')
    return host or node


class FleetView:
    """Derive the status of each node from the latest relay summaries."""

    def __init__(
        self,
        fleet: FleetMap,
        monotonic_s: Callable[[], float],
    ) -> None:
        """Start without any summary."""
        self._fleet = fleet
        self._monotonic_s = monotonic_s
        self._zones: dict[str, HeardZone] = {}
        self._received_s: dict[str, float] = {}

    def update(self, summary: FleetSummary) -> None:
        """Merge a summary, keeping the newest heartbeat of each zone."""
        now_s = self._monotonic_s()
        for received in summary.zones:
            zone = received.heartbeat.zone
            latest_s = self._received_s.get(zone, -math.inf)
            received_s = now_s - received.heard_age_s
            if received_s >= latest_s:
                self._zones[zone] = received
                self._received_s[zone] = received_s

    def known_nodes(self) -> tuple[KnownNode, ...]:
        """Return the last known status of every node."""
        return tuple(self._describe(node) for node in self._fleet.nodes)

    def _describe(self, node: FleetNode) -> KnownNode:
        received = self._zones.get(node.zone)
        if received is None:
            return KnownNode(node, 0, math.inf, math.inf, stopping=False)
        age_s = self._monotonic_s() - self._received_s[node.zone]
        heartbeat = received.heartbeat
        exception = _find_exception(heartbeat.exceptions, node.node)
        if exception is not None:
            has_report = exception.report_age_s >= 0
            return KnownNode(
                node,
                exception.revision,
                math.inf,
                exception.report_age_s + age_s if has_report else math.inf,
                exception.stopping,
            )
        if not self._counts_match(node.zone, received):
            # The relay has a different list of nodes, so a node without an
            # exception isn't necessarily confirmed.
            return KnownNode(node, 0, math.inf, math.inf, stopping=False)
        fresh_age_s = math.inf
        if heartbeat.fresh_age_s >= 0:
            fresh_age_s = heartbeat.fresh_age_s + age_s
        return KnownNode(
            node,
            heartbeat.revision,
            fresh_age_s,
            age_s,
            stopping=False,
        )

    def _counts_match(self, zone: str, received: HeardZone) -> bool:
        expected = sum(node.zone == zone for node in self._fleet.nodes)
        heartbeat = received.heartbeat
        return heartbeat.confirmed + len(heartbeat.exceptions) == expected


def _find_exception(
    exceptions: tuple[NodeException, ...],
    node: str,
) -> NodeException | None:
    for exception in exceptions:
        if exception.node == node:
            return exception
    return None
