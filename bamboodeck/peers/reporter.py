"""Report the status of this node to its zone's relay."""

import math
from collections.abc import Callable

from bamboodeck.configuration.replica import ConfigurationReplica
from bamboodeck.loop.scheduler import Scheduler
from bamboodeck.peers.fleet import FleetMap
from bamboodeck.peers.link import PeerLink
from bamboodeck.peers.messages import FleetSummary, NodeStatus

REPORT_PERIOD_S = 1.0
RELAY_TIMEOUT_S = 3.0


class NodeReporter:
    """Report to the active relay, or to all controllers of the zone."""

    def __init__(
        self,
        fleet: FleetMap,
        link: PeerLink,
        replica: ConfigurationReplica,
        scheduler: Scheduler,
        active_requests: Callable[[], int],
    ) -> None:
        """Report periodically; callers report changes themselves."""
        self.stopping = False
        self._fleet = fleet
        self._link = link
        self._replica = replica
        self._scheduler = scheduler
        self._active_requests = active_requests
        self._relay = ''
        self._summary_received_s = -math.inf
        link.on(FleetSummary, self._on_summary)
        scheduler.call_every(REPORT_PERIOD_S, self.report)

    def report(self) -> None:
        """Send the status of this node to the relays."""
        status = NodeStatus(
            node=self._fleet.own.node,
            revision=self._replica.revision,
            fresh_age_s=min(
                self._replica.age_s(self._scheduler.now_s()),
                1e9,
            ),
            active_requests=self._active_requests(),
            stopping=self.stopping,
        )
        for relay in self.find_relays():
            self._link.send(relay, status)

    def find_relays(self) -> tuple[str, ...]:
        """Return the relay heard recently, or else the zone's controllers."""
        silence_s = self._scheduler.now_s() - self._summary_received_s
        if silence_s <= RELAY_TIMEOUT_S:
            return (self._relay,)
        controllers = self._fleet.controllers_of(self._fleet.own.zone)
        return tuple(
            each for each in controllers if each != self._fleet.own.node
        )

    def _on_summary(self, sender: str, summary: FleetSummary) -> None:
        self._relay = sender
        self._summary_received_s = self._scheduler.now_s()
