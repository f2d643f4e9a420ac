"""Test revisions and freshness while zones are partitioned."""

import itertools
from dataclasses import dataclass, field

import pytest

from bamboodeck.configuration.changes import (
    ReplaceDocument,
    SetPreset,
    WithdrawVersion,
)
from bamboodeck.configuration.outcomes import Failed, WriteRequest, Written
from bamboodeck.configuration.replica import ConfigurationReplica
from bamboodeck.configuration.writer import ConfigurationWriter
from bamboodeck.invariants import Invariants

from .examples import EXAMPLE_TEXT
from .naive_store import Fate, NaiveStore

ZONES = ('flanders-a', 'wallonia-a', 'brussels-a')
STORE = 'service'
CUT_ZONE = 'brussels-a'
FROM_STORE = frozenset((frozenset((CUT_ZONE, STORE)),))
FROM_ZONES = frozenset(
    frozenset((CUT_ZONE, other)) for other in ZONES if other != CUT_ZONE
)


def new_replica(now_s: float) -> ConfigurationReplica:
    """Build a replica whose invariants raise."""
    return ConfigurationReplica(Invariants(None, raising=True), now_s)


@dataclass
class PartitionedZones:
    """Propagate the store's configuration to zones with cut links."""

    store: NaiveStore = field(default_factory=NaiveStore)
    cut: frozenset[frozenset[str]] = frozenset()
    now_s: float = 0

    def __post_init__(self) -> None:
        """Start a node in each zone."""
        self.replicas = {zone: new_replica(0) for zone in ZONES}

    def run(self, duration_s: int) -> None:
        """Propagate once a second; check that no revision decreases."""
        for _ in range(duration_s):
            self.now_s += 1
            before = {zone: self.revision(zone) for zone in ZONES}
            self._propagate()
            for zone in ZONES:
                assert self.revision(zone) >= before[zone]

    def change(self, zone: str, change, expected_revision=None):
        """Make a change through a zone; it needs a link to the store."""
        writer = ConfigurationWriter(self.store, lambda _, step: step())
        outcomes = []
        change_id = f'change-{len(self.store.log)}-{zone}'
        request = WriteRequest(change, change_id, zone, 0, expected_revision)
        writer.write(request, outcomes.append)
        linked = self._is_linked(zone, STORE)
        while self.store.pending:
            self.store.step(0, Fate.ANSWERED if linked else Fate.REFUSED)
        return outcomes[0]

    def revision(self, zone: str) -> int:
        """Return the revision in force in a zone."""
        return self.replicas[zone].revision

    def is_stale(self, zone: str) -> bool:
        """Return whether a zone's configuration is too old for roll-outs."""
        return self.replicas[zone].is_stale(self.now_s)

    def _propagate(self) -> None:
        newest = self.store.log[-1]
        for zone in ZONES:
            if self._is_linked(zone, STORE):
                replica = self.replicas[zone]
                replica.offer(newest.revision, newest.body, STORE)
                replica.confirm_revision(newest.revision, self.now_s)
        for source, target in itertools.permutations(ZONES, 2):
            if self._is_linked(source, target):
                peer = self.replicas[source]
                replica = self.replicas[target]
                replica.offer(peer.revision, peer.body, source)
                age_s = peer.age_s(self.now_s)
                replica.confirm_revision(peer.revision, self.now_s, age_s)

    def _is_linked(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.cut


@pytest.fixture
def zones() -> PartitionedZones:
    """Start with the example configuration in force in all zones."""
    started = PartitionedZones()
    started.change(ZONES[0], ReplaceDocument(EXAMPLE_TEXT), 0)
    started.run(2)
    assert {started.revision(zone) for zone in ZONES} == {1}
    return started


class TestPartition:
    """Cut a zone off from the store, from the other zones or from both."""

    @pytest.mark.parametrize('cut', [FROM_STORE, FROM_ZONES])
    def test_one_way_left(self, zones: PartitionedZones, cut) -> None:
        """Receive a withdrawal over the remaining link and stay fresh."""
        zones.cut = cut
        zones.run(60)
        written = zones.change(ZONES[0], WithdrawVersion('small@2'))
        assert isinstance(written, Written)
        zones.run(2)
        assert zones.revision(CUT_ZONE) == written.revision
        assert not zones.is_stale(CUT_ZONE)

    def test_no_way_left(self, zones: PartitionedZones) -> None:
        """Go stale, keep the old revision and catch up after the partition."""
        zones.cut = FROM_STORE | FROM_ZONES
        written = zones.change(ZONES[0], WithdrawVersion('small@2'))
        zones.run(29)
        assert not zones.is_stale(CUT_ZONE)
        zones.run(2)
        assert zones.is_stale(CUT_ZONE)
        assert zones.revision(CUT_ZONE) == 1
        refused = zones.change(CUT_ZONE, SetPreset('maintenance'))
        assert isinstance(refused, Failed)
        zones.change(ZONES[1], SetPreset('peak'))
        zones.cut = frozenset()
        zones.run(1)
        assert zones.revision(CUT_ZONE) > written.revision
        recovered = zones.replicas[CUT_ZONE].configuration
        assert recovered.preset.name == 'peak'
        assert recovered.models_by_name['small@2'].state.value == 'withdrawn'
        assert not zones.is_stale(CUT_ZONE)

    def test_restart_in_a_cut_zone(self, zones: PartitionedZones) -> None:
        """Stay without a configuration and unready until a link returns."""
        zones.cut = FROM_STORE | FROM_ZONES
        zones.replicas[CUT_ZONE] = new_replica(zones.now_s)
        zones.run(60)
        assert zones.revision(CUT_ZONE) == 0
        assert not zones.replicas[CUT_ZONE].is_ready(zones.now_s)
        zones.cut = FROM_STORE
        zones.run(1)
        assert zones.revision(CUT_ZONE) == 1
        assert zones.replicas[CUT_ZONE].is_ready(zones.now_s)

    def test_outage_of_the_store(self, zones: PartitionedZones) -> None:
        """Let a restarted node serve by its peers' revision, which is stale."""
        zones.cut = frozenset(frozenset((zone, STORE)) for zone in ZONES)
        zones.run(3600)
        zones.replicas[CUT_ZONE] = new_replica(zones.now_s)
        zones.run(1)
        assert zones.revision(CUT_ZONE) == 1
        assert zones.is_stale(CUT_ZONE)
        assert not zones.replicas[CUT_ZONE].is_ready(zones.now_s)
        zones.run(1)
        assert zones.replicas[CUT_ZONE].is_ready(zones.now_s)
