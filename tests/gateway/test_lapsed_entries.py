"""Test whether a removed entry is that of an engine that has left.

A host that lost its calls while the store served others sent requests to
engines that had left for 2.5 s after its own return.
"""

from random import Random
from types import SimpleNamespace

import pytest

from bamboodeck.gateway.known_state import RELIST_S
from bamboodeck.gateway.model import Bounds
from bamboodeck.gateway.store_contact import StoreContact
from tests.gateway.samples import build_entry
from tests.gateway.virtual_zone import VirtualZone
from tests.virtual_store import VirtualClock

BOUNDS = Bounds(drain_s=2.5, configuration_s=2.5, stability_s=4.0)
LARGE_BOUNDS = Bounds(drain_s=4.0, configuration_s=4.0, stability_s=5.0)
ENGINE = build_entry('engine-1', service='shop')
SETTLE_S = 12.0
# Hosts of a zone below six follow the store by themselves.
SMALL_ZONES = (1, 2, 5)
LARGE_ZONES = (6, 12, 30)
# Engines that live are back about so long after an outage.
RELISTED_S = 2.0


def start_zone(hosts: int, seed: int = 1) -> VirtualZone:
    """Run a zone with one engine until its hosts share their polls."""
    bounds = BOUNDS if hosts in SMALL_ZONES else LARGE_BOUNDS
    zone = VirtualZone(hosts, bounds, seed)
    zone.tells_age = True
    zone.clock.run(SETTLE_S)
    zone.put_engine(ENGINE)
    zone.clock.run(SETTLE_S)
    assert zone.using(ENGINE) == hosts
    return zone


class TestLeftEngine:
    """Take a removal for news where the store served on."""

    @pytest.mark.parametrize('hosts', SMALL_ZONES + LARGE_ZONES)
    @pytest.mark.parametrize('seed', range(12))
    def test_used_after_silent_connection(self, hosts: int, seed: int) -> None:
        """Drop it once the host is in touch, though its call was lost."""
        zone = start_zone(hosts, seed)
        random = Random(seed)
        zone.clock.run(random.uniform(0, 3.0))
        if seed % 2:
            # A pause follows a change, before the call that is lost.
            zone.put_change()
            zone.clock.run(0.05)
        zone.silence_connections()
        leaves_s = random.uniform(0, 1.5)
        zone.clock.run(leaves_s)
        zone.put_removal(ENGINE)
        stability_s = zone.contexts[0].settings.bounds.stability_s
        drain_s = zone.contexts[0].settings.bounds.drain_s
        zone.clock.run(max(stability_s - leaves_s, drain_s))
        assert zone.using(ENGINE) == 0

    @pytest.mark.parametrize('hosts', SMALL_ZONES + LARGE_ZONES)
    @pytest.mark.parametrize('failure_s', [0.01, 0.5])
    def test_used_after_one_failed_call(
        self, hosts: int, failure_s: float
    ) -> None:
        """Drop it with the next answer."""
        zone = start_zone(hosts)
        zone.failure_s = failure_s
        zone.serves = lambda rank: False
        zone.clock.run(0.2)
        zone.put_removal(ENGINE)
        zone.clock.run(0.2)
        zone.serves = lambda rank: True
        zone.clock.run(zone.contexts[0].settings.bounds.drain_s - 0.2)
        assert zone.using(ENGINE) == 0

    @pytest.mark.parametrize('hosts', [2, 5, *LARGE_ZONES])
    @pytest.mark.parametrize('refused', [1, 2, 4])
    @pytest.mark.parametrize('refused_s', [3.0, 9.0])
    def test_used_after_refusal_of_some(
        self, hosts: int, refused: int, refused_s: float
    ) -> None:
        """Drop it with the news, on hosts that were turned away too."""
        refused = min(refused, hosts - 1)
        zone = start_zone(hosts)
        zone.serves = lambda rank: rank >= refused
        zone.clock.run(refused_s - 0.5)
        zone.put_removal(ENGINE)
        zone.clock.run(0.5)
        zone.serves = lambda rank: True
        give_up_s = zone.clock.now_s + BOUNDS.stability_s
        while zone.knowing() < hosts:
            assert zone.clock.now_s < give_up_s
            zone.clock.run(0.01)
        assert zone.using(ENGINE) == 0


class TestLapsedEntry:
    """Give engines time to be listed again after an outage for all."""

    @pytest.mark.parametrize('hosts', SMALL_ZONES + LARGE_ZONES)
    @pytest.mark.parametrize('silent', [True, False])
    @pytest.mark.parametrize('away_s', [4.0, 9.0, 20.0])
    def test_engine_dropped_after_outage(
        self, hosts: int, away_s: float, *, silent: bool
    ) -> None:
        """Use it on until it is listed again."""
        zone = start_zone(hosts)
        self.lapse(zone, away_s, silent=silent)
        steps = int(RELISTED_S / 0.1)
        for _ in range(steps):
            zone.clock.run(0.1)
            assert zone.using(ENGINE) == hosts
        zone.put_engine(ENGINE)
        for _ in range(50):
            zone.clock.run(0.1)
            assert zone.using(ENGINE) == hosts

    @pytest.mark.parametrize('hosts', SMALL_ZONES + LARGE_ZONES)
    @pytest.mark.parametrize('away_s', [4.0, 20.0])
    def test_dead_engine_kept(self, hosts: int, away_s: float) -> None:
        """Drop it if it isn't listed again, and is known to be missing."""
        zone = start_zone(hosts)
        self.lapse(zone, away_s, silent=False)
        give_up_s = zone.clock.now_s + BOUNDS.stability_s
        while zone.knowing() < hosts:
            assert zone.clock.now_s < give_up_s
            zone.clock.run(0.01)
        zone.clock.run(RELIST_S + 0.1)
        assert zone.using(ENGINE) == 0

    def lapse(self, zone: VirtualZone, away_s: float, *, silent: bool) -> None:
        """Let the entry lapse during an outage, and end the outage."""
        if silent:
            zone.fall_silent()
        zone.serves = lambda rank: False
        zone.clock.run(away_s - 0.1)
        zone.put_removal(ENGINE)
        zone.clock.run(0.1)
        zone.silent = False
        zone.serves = lambda rank: True


class TestContact:
    """Find outages in what hosts tell."""

    def test_late_news(self) -> None:
        """Ignore older news, which end no outage."""
        clock = VirtualClock(10.0)
        settings = SimpleNamespace(bounds=BOUNDS)
        contact = StoreContact(
            SimpleNamespace(now_s=clock.read_s, settings=settings),
        )
        assert contact.find_answer_age_ms() is None
        contact.record_answer()
        clock.run(2.0)
        contact.record_served(100)
        contact.record_served(9000)
        assert contact.outage_ended_s < 0
        assert contact.find_answer_age_ms() == 2000
        clock.run(3.0)
        contact.record_served(500)
        assert contact.outage_ended_s == 14.5
