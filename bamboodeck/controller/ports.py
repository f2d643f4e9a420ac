"""Define the ports of decisions for the whole fleet."""

from collections.abc import Callable
from dataclasses import dataclass

from bamboodeck.configuration.replica import ConfigurationReplica
from bamboodeck.environment import Environment
from bamboodeck.keyvalue.port import KeyValuePort
from bamboodeck.logs import EventLog
from bamboodeck.loop.scheduler import Scheduler
from bamboodeck.peers.fleet import FleetMap
from bamboodeck.peers.messenger import Messenger


@dataclass(frozen=True, slots=True)
class FleetPorts:
    """Bundle ports; `fencing_number` returns 0 without the fleet lease."""

    environment: Environment
    messenger: Messenger
    fleet: FleetMap
    replica: ConfigurationReplica
    scheduler: Scheduler
    store: KeyValuePort
    log: EventLog
    fencing_number: Callable[[], int]
    all_relays: Callable[[], tuple[str, ...]]
