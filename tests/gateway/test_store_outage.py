"""Test what a zone's hosts ask of a store that is away."""

import pytest

from bamboodeck.gateway.model import Bounds
from tests.gateway.virtual_zone import SILENT_S, VirtualZone

BOUNDS = Bounds(drain_s=5.0, configuration_s=5.0, stability_s=5.0)
SMALL_BOUNDS = Bounds(drain_s=2.5, configuration_s=2.5, stability_s=4.0)
ZONE_SIZES = [1, 6, 30, 200]
# Calls of a zone in a second while the store is away: one of the first host
# and one of the others, each spread by half.
MAX_AWAY_CALLS_PER_S = 3.0
SETTLE_S = 12.0


def start_zone(hosts: int, seed: int = 1) -> VirtualZone:
    """Run a zone until its hosts share their polls."""
    zone = VirtualZone(hosts, BOUNDS, seed)
    zone.clock.run(SETTLE_S)
    return zone


class TestStoreAway:
    """Bound the calls of a zone, however many hosts it has."""

    @pytest.mark.parametrize('failure_s', [0.01, SILENT_S])
    @pytest.mark.parametrize('hosts', ZONE_SIZES)
    def test_first_seconds(self, hosts: int, failure_s: float) -> None:
        """Have each host ask once at most before the zone asks in turn."""
        zone = start_zone(hosts)
        zone.failure_s = failure_s
        zone.serves = lambda rank: False
        first_host_calls = 10
        assert zone.calls_within(10.0) <= hosts + first_host_calls + 10

    @pytest.mark.parametrize('hosts', ZONE_SIZES)
    def test_long(self, hosts: int) -> None:
        """Ask at a fixed rate during the rest of an outage."""
        zone = start_zone(hosts)
        zone.serves = lambda rank: False
        zone.clock.run(10.0)
        assert zone.calls_within(30.0) <= 30.0 * MAX_AWAY_CALLS_PER_S

    @pytest.mark.parametrize('hosts', ZONE_SIZES)
    def test_return(self, hosts: int) -> None:
        """Learn of the return within two seconds, and by few calls."""
        zone = start_zone(hosts)
        zone.serves = lambda rank: False
        zone.clock.run(20.0)
        zone.put_change()
        zone.serves = lambda rank: True
        calls = zone.calls_within(2.0)
        assert zone.knowing() == hosts
        assert calls <= 2 * MAX_AWAY_CALLS_PER_S + 10


class TestSomeRefused:
    """Learn from the hosts of the zone that the store serves."""

    @pytest.mark.parametrize('hosts', [6, 30, 200])
    @pytest.mark.parametrize('served_from', [1, 3])
    def test_first_refused(self, hosts: int, served_from: int) -> None:
        """Follow within the bound, though the store refuses the first ones."""
        zone = start_zone(hosts)
        zone.serves = lambda rank: rank >= served_from
        for _ in range(6):
            zone.clock.run(2.0)
            zone.put_change()
            zone.clock.run(min(BOUNDS.drain_s, BOUNDS.configuration_s))
            assert zone.knowing() == hosts

    @pytest.mark.parametrize('hosts', [6, 30, 200])
    def test_calls(self, hosts: int) -> None:
        """Don't ask anew at each news of a neighbour that is served."""
        zone = start_zone(hosts)
        zone.serves = lambda rank: rank % 3 != 0
        assert zone.calls_within(20.0) <= 20.0 * MAX_AWAY_CALLS_PER_S + 10

    @pytest.mark.parametrize('hosts', [6, 30, 200])
    def test_last_served(self, hosts: int) -> None:
        """Find the only host that is served within the bound."""
        zone = start_zone(hosts)
        zone.serves = lambda rank: rank == hosts - 1
        zone.put_change()
        zone.clock.run(0.8 * BOUNDS.drain_s)
        assert zone.knowing() == hosts


class TestFirstCutOff:
    """Learn of changes by other hosts if the first one stays cut off."""

    @pytest.mark.parametrize('hosts', [6, 12, 30])
    def test_change_late_after_short_outage(self, hosts: int) -> None:
        """Follow within the window after an outage that met all calls."""
        zone = start_zone(hosts)
        zone.serves = lambda rank: False
        zone.clock.run(3.0)
        zone.put_change()
        zone.serves = lambda rank: rank > 0
        zone.clock.run(BOUNDS.stability_s)
        assert zone.knowing() == hosts

    @pytest.mark.parametrize('seed', range(1, 6))
    @pytest.mark.parametrize('away_s', [0.5, 3.0, 20.0])
    @pytest.mark.parametrize('cut_off', [1, 2, 3])
    @pytest.mark.parametrize('hosts', [6, 12, 30, 60, 200])
    def test_change_late_while_first_are_cut_off(
        self, hosts: int, cut_off: int, away_s: float, seed: int
    ) -> None:
        """Follow within the window though the first hosts stay cut off."""
        zone = start_zone(hosts, seed)
        zone.serves = lambda rank: False
        zone.clock.run(away_s)
        zone.put_change()
        zone.serves = lambda rank: rank >= cut_off
        zone.clock.run(BOUNDS.stability_s)
        assert zone.knowing() == hosts


class TestManyChanges:
    """Take many changes at once from the zone, not from the store."""

    @pytest.mark.parametrize('hosts', [6, 30, 200])
    @pytest.mark.parametrize('refused_every', [0, 3])
    def test_release(self, hosts: int, refused_every: int) -> None:
        """Follow a release of many engines by few calls of the zone."""
        zone = start_zone(hosts)
        if refused_every:
            zone.serves = lambda rank: rank % refused_every > 0
        calls = 0
        for _ in range(3):
            for _ in range(60):
                zone.put_change()
            calls += zone.calls_within(BOUNDS.drain_s)
            assert zone.knowing() == hosts
        assert calls <= 3 * BOUNDS.drain_s * MAX_AWAY_CALLS_PER_S + 10


class TestConfigurations:
    """Read a configuration soon after the store serves a host again."""

    @pytest.mark.parametrize('hosts', [6, 30, 200])
    @pytest.mark.parametrize('refused_every', [2, 3])
    def test_refused(self, hosts: int, refused_every: int) -> None:
        """Follow within the bound, though reading it was refused before."""
        zone = start_zone(hosts)
        zone.serves = lambda rank: rank % refused_every > 0
        zone.clock.run(2.0)
        zone.put_configuration()
        zone.clock.run(7.0)
        zone.serves = lambda rank: True
        zone.clock.run(BOUNDS.configuration_s / 2)
        assert zone.configured() == hosts

    @pytest.mark.parametrize('hosts', [6, 30, 200])
    def test_outage(self, hosts: int) -> None:
        """Follow within the bound after an outage for all hosts."""
        zone = start_zone(hosts)
        zone.serves = lambda rank: False
        zone.clock.run(9.0)
        zone.put_configuration()
        zone.serves = lambda rank: True
        zone.clock.run(BOUNDS.configuration_s)
        assert zone.configured() == hosts

    @pytest.mark.parametrize('hosts', [6, 13, 33])
    @pytest.mark.parametrize('changes', [0, 60])
    def test_first_half_refused(self, hosts: int, changes: int) -> None:
        """Have it in force on all served hosts well within the bound."""
        zone = start_zone(hosts)
        zone.serves = lambda rank: rank >= hosts // 2
        for _ in range(changes):
            zone.put_change()
        zone.put_configuration()
        zone.clock.run(0.8 * BOUNDS.configuration_s)
        newest = zone.configurations[-1][0].configuration
        served = zone.contexts[hosts // 2 :]
        assert all(context.configuration is newest for context in served)

    @pytest.mark.parametrize('hosts', [6, 13, 33])
    @pytest.mark.parametrize('changes', [0, 60])
    def test_stale_reads_served(self, hosts: int, changes: int) -> None:
        """Have it in force soon on hosts that get stale reads only."""
        zone = start_zone(hosts)
        zone.serves = lambda rank: rank % 3 > 0
        zone.clock.run(2.0)
        for _ in range(changes):
            zone.put_change()
        zone.put_configuration()
        calls = zone.calls_within(0.8 * BOUNDS.configuration_s)
        assert zone.configured() == hosts
        assert calls <= 0.8 * BOUNDS.configuration_s * MAX_AWAY_CALLS_PER_S + (
            2 * hosts
        )

    @pytest.mark.parametrize('hosts', [6, 13, 33])
    def test_answers(self, hosts: int) -> None:
        """Send each host the changes it lacks a few times at most."""
        zone = start_zone(hosts)
        zone.serves = lambda rank: rank % 3 > 0
        zone.clock.run(2.0)
        changes = 60
        for _ in range(changes):
            zone.put_change()
        zone.put_configuration()
        zone.clock.run(8.0)
        assert zone.configured() == hosts
        assert zone.knowing() == hosts
        assert zone.sent_changes <= 3 * changes * hosts


class TestSilence:
    """Have a configuration in force once the stability window is over."""

    @pytest.mark.parametrize('bounds', [SMALL_BOUNDS, BOUNDS])
    @pytest.mark.parametrize('hosts', [1, 2, 6, 30])
    def test_configuration_late_after_silence(
        self,
        hosts: int,
        bounds: Bounds,
    ) -> None:
        """Don't lose a call sent just before the store's return for long."""
        for tenths in range(1, 100):
            zone = VirtualZone(hosts, bounds, seed=tenths)
            zone.clock.run(SETTLE_S)
            zone.fall_silent()
            zone.clock.run(tenths / 10)
            zone.silent = False
            zone.put_configuration()
            zone.clock.run(bounds.stability_s)
            assert zone.configured() == hosts, f'silent for {tenths / 10} s'

    @pytest.mark.parametrize('bounds', [SMALL_BOUNDS, BOUNDS])
    @pytest.mark.parametrize('hosts', [1, 2, 6, 30])
    def test_configuration_late_on_silent_connection(
        self,
        hosts: int,
        bounds: Bounds,
    ) -> None:
        """Don't wait for long on a connection that fell silent in a pause."""
        for tenths in range(40):
            zone = VirtualZone(hosts, bounds, seed=tenths)
            zone.clock.run(SETTLE_S)
            zone.put_change()
            zone.clock.run(tenths / 10)
            zone.silence_connections()
            zone.put_configuration()
            zone.clock.run(bounds.stability_s)
            assert zone.configured() == hosts, f'silent after {tenths / 10} s'
