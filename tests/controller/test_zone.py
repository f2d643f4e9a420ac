"""Test when controllers poll the store for the lease of their zone."""

import random

from bamboodeck.bench.slopes.stand_ins import CountingLink
from bamboodeck.configuration.replica import ConfigurationReplica
from bamboodeck.controller.zone import RELAY_PERIOD_S, ZoneRelay
from bamboodeck.http.messages import Address
from bamboodeck.invariants import Invariants
from bamboodeck.keyvalue.port import ReadKey
from bamboodeck.leases.holder import LeaseHolder
from bamboodeck.leases.messages import LeaseClock, LeaseLimits
from bamboodeck.peers.fleet import FleetMap, FleetNode
from bamboodeck.settings.process import PeerAddress, PeerRole
from tests.virtual_process import VirtualProcess
from tests.virtual_store import VirtualClock, VirtualStore

CONTROLLERS = 20
ZONE = 'flanders-a'


class Controller(VirtualProcess):
    """Compete for the lease and send summaries while holding it."""

    def __init__(self, zone: 'Zone', number: int) -> None:
        """Build the relay and the lease holder of one controller."""
        super().__init__(zone.store)
        self.zone = zone
        self.link = CountingLink()
        self.name = f'host-{number:02d}'
        names = [f'host-{each:02d}' for each in range(CONTROLLERS)]
        own = FleetNode(names[number], ZONE, PeerRole.CONTROLLER)
        peers = [
            PeerAddress(name, ZONE, Address('10.0.0.1', 1), own.role)
            for name in names
            if name != own.node
        ]
        self.relay = ZoneRelay(
            FleetMap(own, peers),
            self.link,
            ConfigurationReplica(Invariants(None, raising=True), 0),
            self,
            self.read_fencing,
        )
        self.holder = LeaseHolder(
            self,
            LeaseClock(self.read_s, self.call_after),
            random.Random(number),
            'zone-a',
            own.node,
            LeaseLimits(),
            None,
            self.relay.lease_may_be_free,
        )

    def now_s(self) -> float:
        """Return the virtual time, as a scheduler does."""
        return self.read_s()

    def call_every(self, period_s: float, callback) -> None:
        """Do nothing: the zone calls the relay itself."""

    def read_fencing(self) -> int:
        """Return the fencing number while the lease is held, else 0."""
        held = self.holder.holds(self.read_s())
        return self.holder.fencing_number if held else 0


class Zone:
    """Run a zone's controllers with one store."""

    def __init__(self) -> None:
        """Start all controllers."""
        self.clock = VirtualClock()
        self.store = VirtualStore(self.clock)
        self.controllers = [
            Controller(self, number) for number in range(CONTROLLERS)
        ]
        for controller in self.controllers:
            controller.holder.start()

    def holders(self) -> list[Controller]:
        """Return the controllers that hold the lease."""
        return [each for each in self.controllers if each.read_fencing()]

    def run(self, duration_s: float) -> None:
        """Advance time; the lease holder sends its summary each period."""
        for _ in range(int(duration_s / RELAY_PERIOD_S)):
            self.clock.run(RELAY_PERIOD_S)
            self.relay()

    def relay(self) -> None:
        """Send the summary of the holder to all others, unless it is frozen."""
        for holder in self.holders():
            if holder.frozen_until_s > self.clock.now_s:
                continue
            summary = holder.relay.summary()
            others = [each for each in self.controllers if each is not holder]
            for other in others:
                other.link.hand_in(holder.name, summary)

    def count_reads(self) -> int:
        """Count the lease polls so far."""
        return sum(isinstance(each, ReadKey) for each in self.store.requests)


class TestLeasePolls:
    """Bound the number of polls in a zone of many controllers."""

    def test_no_polls_while_holder_is_heard(self) -> None:
        """Do not poll the store while the holder's summaries arrive."""
        zone = Zone()
        zone.run(20)
        assert len(zone.holders()) == 1
        reads = zone.count_reads()
        zone.run(300)
        assert zone.count_reads() == reads

    def test_successor_after_silence(self) -> None:
        """Elect a successor with few polls when the holder is gone."""
        zone = Zone()
        zone.run(20)
        gone = zone.holders()[0]
        reads = zone.count_reads()
        gone.frozen_until_s = gone.read_s() + 1000
        zone.run(30)
        assert [each is gone for each in zone.holders()] == [False]
        assert zone.count_reads() - reads < 2 * CONTROLLERS

    def test_successor_when_first_ranks_are_gone(self) -> None:
        """Let the last rank take over if all others are gone."""
        zone = Zone()
        zone.run(20)
        last = zone.controllers[-1]
        for each in zone.controllers[:-1]:
            each.frozen_until_s = each.read_s() + 1000
        zone.run(60)
        assert last.read_fencing()
