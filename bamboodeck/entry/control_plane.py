"""Compose the entry node's exchanges with the controllers."""

from bamboodeck.configuration.model import Configuration
from bamboodeck.entry.credits import NodeCredits
from bamboodeck.entry.demand import VersionDemand
from bamboodeck.entry.digests import RatingExchange
from bamboodeck.entry.rollout_shares import NodeRolloutShares
from bamboodeck.entry.rollouts import NodeRollouts
from bamboodeck.environment import Environment
from bamboodeck.logs import EventLog
from bamboodeck.loop.scheduler import Scheduler
from bamboodeck.peers.fleet import FleetMap
from bamboodeck.peers.link import PeerLink
from bamboodeck.peers.messenger import build_holder_id
from bamboodeck.peers.reporter import NodeReporter
from bamboodeck.rollout.gate import RolloutGate
from bamboodeck.routing.router import Router

_INCARNATION_BITS = 48


class ControlPlaneClient:
    """Own the node's side of roll-outs, prices, ratings and demand."""

    def __init__(
        self,
        environment: Environment,
        link: PeerLink,
        scheduler: Scheduler,
        log: EventLog,
        fleet: FleetMap,
        reporter: NodeReporter,
    ) -> None:
        """Subscribe to the messages of the zone's relay."""
        node = fleet.own.node
        incarnation = environment.random.getrandbits(_INCARNATION_BITS)
        holder = build_holder_id(node, incarnation)
        gate = RolloutGate(stale_after_s=0)
        shares = NodeRolloutShares(
            link,
            scheduler,
            log,
            holder,
            gate,
            fleet.count_entries,
        )
        self.rollouts = NodeRollouts(
            link,
            scheduler,
            log,
            node,
            gate,
            shares,
            reporter.find_relays,
        )
        self.credits = NodeCredits(link, log)
        self.ratings = RatingExchange(
            link,
            scheduler,
            holder,
            reporter.find_relays,
        )

        self.demand = VersionDemand(link, scheduler, reporter.find_relays)

    def attach(self, router: Router) -> None:
        """Connect a router to the roll-outs, prices, ratings and demand."""
        self.rollouts.attach(router)
        self.credits.attach(router)
        self.ratings.attach(router.quality)
        router.on_decided = self.demand.on_decided

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration revision."""
        self.rollouts.apply_configuration(configuration)
