"""Define what the decisions for the whole fleet work with."""

from collections.abc import Callable
from dataclasses import dataclass

from bamboodeck.configuration.keeper import ConfigurationKeeper
from bamboodeck.environment import Environment
from bamboodeck.keyvalue.port import KeyValuePort
from bamboodeck.logs import EventLog
from bamboodeck.loop.scheduler import Scheduler
from bamboodeck.peers.fleet import FleetMap
from bamboodeck.peers.messenger import Messenger


@dataclass(frozen=True, slots=True)
class FleetPorts:
    """Hold the ports of a controller; the term is 0 without the lease."""

    environment: Environment
    post: Messenger
    fleet: FleetMap
    keeper: ConfigurationKeeper
    scheduler: Scheduler
    store: KeyValuePort
    log: EventLog
    fencing_number: Callable[[], int]
    all_relays: Callable[[], tuple[str, ...]]
