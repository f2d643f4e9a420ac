"""Test how a zone follows a store that was restored from a copy."""

import pytest

from bamboodeck.gateway.model import Bounds
from tests.gateway.virtual_zone import VirtualZone

BOUNDS = Bounds(drain_s=5.0, configuration_s=5.0, stability_s=5.0)
ZONE_SIZES = [1, 5, 6, 30, 200]
SETTLE_S = 12.0
AWAY_S = 2.0
# A host reads a snapshot and polls a few times; the rest is that of a zone.
MAX_CALLS_PER_HOST = 6
MAX_ZONE_CALLS = 40


def start_zone(hosts: int, seed: int) -> VirtualZone:
    """Run a zone until its hosts share their polls and have a version."""
    zone = VirtualZone(hosts, BOUNDS, seed)
    zone.put_configuration()
    zone.clock.run(SETTLE_S)
    assert zone.configured() == hosts
    return zone


def restore(zone: VirtualZone, lost_changes: int) -> None:
    """Let the store be away, and come back without the latest changes."""
    zone.serves = lambda rank: False
    zone.clock.run(AWAY_S)
    zone.restore(lost_changes)


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('hosts', ZONE_SIZES)
class TestRestoredStore:
    """Know on all hosts what is written after the store's return."""

    def test_change_never_comes(self, hosts: int, seed: int) -> None:
        """Follow a history that ends before the known revision."""
        zone = start_zone(hosts, seed)
        for _ in range(3):
            zone.put_configuration()
        zone.clock.run(BOUNDS.configuration_s)
        assert zone.configured() == hosts
        restore(zone, 3)
        zone.serves = lambda rank: True
        calls = zone.calls_within(BOUNDS.stability_s)
        zone.put_configuration()
        zone.clock.run(BOUNDS.configuration_s)
        assert zone.configured() == hosts
        assert zone.knowing() == hosts
        assert calls <= MAX_CALLS_PER_HOST * hosts + MAX_ZONE_CALLS

    @pytest.mark.parametrize('lost_changes', [1, 4])
    def test_change_is_skipped(
        self,
        hosts: int,
        seed: int,
        lost_changes: int,
    ) -> None:
        """Notice a new history that has grown past the known revision."""
        zone = start_zone(hosts, seed)
        for _ in range(lost_changes):
            zone.put_change()
        zone.clock.run(BOUNDS.configuration_s)
        restore(zone, lost_changes)
        zone.put_configuration()
        for _ in range(lost_changes + 2):
            zone.put_change()
        zone.serves = lambda rank: True
        zone.clock.run(BOUNDS.stability_s + BOUNDS.configuration_s)
        assert zone.configured() == hosts
        assert zone.knowing() == hosts

    def test_hosts_on_two_sides(self, hosts: int, seed: int) -> None:
        """Bring hosts along that reach the store later than the others."""
        zone = start_zone(hosts, seed)
        for _ in range(2):
            zone.put_configuration()
        zone.clock.run(BOUNDS.configuration_s)
        restore(zone, 2)
        zone.serves = lambda rank: rank % 2 == 1
        zone.clock.run(BOUNDS.stability_s)
        zone.put_configuration()
        zone.clock.run(BOUNDS.configuration_s)
        zone.serves = lambda rank: True
        zone.clock.run(BOUNDS.stability_s + BOUNDS.configuration_s)
        assert zone.configured() == hosts
        assert zone.knowing() == hosts
