"""Test that every host goes on asking the store, whatever came in between."""

import contextlib
from collections.abc import Callable
from random import Random
from types import SimpleNamespace

import pytest

from bamboodeck.gateway.model import Bounds
from bamboodeck.gateway.store_calls import MAX_CALL_S
from bamboodeck.gateway.store_polling import MIN_SHARING_HOSTS
from tests.gateway.virtual_zone import ANSWER_S, VirtualZone

BOUNDS = Bounds(drain_s=2.5, configuration_s=2.5, stability_s=4.0)
SETTLE_S = 8.0
SLOW_ANSWER_S = 0.24
CONFIGURATIONS = 3
GAP_S = 1.3
CHANGES_OF_ZONE = 20


def start_zone(hosts: int, seed: int) -> VirtualZone:
    """Run a zone until its hosts share their polls and have a version."""
    zone = VirtualZone(hosts, BOUNDS, seed)
    zone.put_configuration()
    zone.clock.run(SETTLE_S)
    assert zone.configured() == hosts
    return zone


def change_while_slow(zone: VirtualZone) -> None:
    """Write configurations while the store takes long for an answer."""
    zone.answer_s = SLOW_ANSWER_S
    zone.stale_read_s = 0.0
    for _ in range(CONFIGURATIONS):
        zone.clock.run(GAP_S)
        zone.put_configuration()
    zone.clock.run(GAP_S)
    zone.answer_s = ANSWER_S
    zone.clock.run(BOUNDS.stability_s)


@pytest.mark.parametrize('seed', range(1, 6))
@pytest.mark.parametrize('hosts', [MIN_SHARING_HOSTS, 7, 30])
class TestPollDueDuringRead:
    """Don't lose the poll that came due while a configuration was read."""

    def test_hosts_stop_asking_in_shrunken_zone(
        self,
        hosts: int,
        seed: int,
    ) -> None:
        """Follow the store alone once too few hosts are left to share."""
        zone = start_zone(hosts, seed)
        change_while_slow(zone)
        zone.exited = set(range(hosts - MIN_SHARING_HOSTS + 1))
        zone.clock.run(BOUNDS.stability_s)
        zone.put_configuration()
        zone.clock.run(BOUNDS.configuration_s)
        assert zone.configured() == MIN_SHARING_HOSTS - 1

    def test_hosts_stop_asking_unheard(self, hosts: int, seed: int) -> None:
        """Follow the store alone once no host hears of another."""
        zone = start_zone(hosts, seed)
        change_while_slow(zone)
        zone.connected = False
        zone.clock.run(BOUNDS.stability_s)
        zone.put_configuration()
        zone.clock.run(BOUNDS.configuration_s)
        assert zone.configured() == hosts

    def test_calls_grow(self, hosts: int, seed: int) -> None:
        """Make no more calls afterwards than before."""
        zone = start_zone(hosts, seed)
        before = zone.calls_within(20.0)
        change_while_slow(zone)
        assert zone.calls_within(20.0) <= before + 2


@pytest.mark.parametrize('seed', range(1, 11))
@pytest.mark.parametrize('hosts', [MIN_SHARING_HOSTS, 7, 12])
class TestChangingZone:
    """Follow the store while the zone shrinks and grows past the bound."""

    def test_hosts_stop_asking_as_zone_changes(
        self,
        hosts: int,
        seed: int,
    ) -> None:
        """Have hosts leave and return at any moment of slow and fast calls."""
        zone = start_zone(hosts, seed)
        zone.stale_read_s = 0.0
        random = Random(seed)
        for _ in range(CHANGES_OF_ZONE):
            zone.exited = set(random.sample(range(hosts), random.randrange(4)))
            zone.answer_s = random.choice((ANSWER_S, SLOW_ANSWER_S))
            if random.random() < 0.5:
                zone.put_configuration()
            zone.clock.run(random.uniform(0.1, 1.5))
        zone.answer_s = ANSWER_S
        zone.clock.run(BOUNDS.stability_s)
        zone.put_configuration()
        zone.clock.run(BOUNDS.configuration_s)
        assert zone.configured() == hosts - len(zone.exited)


@pytest.mark.parametrize('hosts', [1, 5, MIN_SHARING_HOSTS, 30])
class TestCallWithoutReply:
    """Ask again after a call whose reply never comes."""

    def test_no_descriptors(self, hosts: int) -> None:
        """Count a call that can't be sent as failed."""
        zone = start_zone(hosts, seed=1)
        zone.out_of_descriptors = True
        zone.clock.run(5.0)
        zone.out_of_descriptors = False
        zone.put_configuration()
        zone.clock.run(BOUNDS.stability_s)
        assert zone.configured() == hosts

    def test_lost_callbacks(self, hosts: int) -> None:
        """Give up a call that has not ended."""
        zone = start_zone(hosts, seed=1)
        zone.loses_callbacks = True
        zone.clock.run(5.0)
        zone.loses_callbacks = False
        zone.put_configuration()
        zone.clock.run(MAX_CALL_S + BOUNDS.stability_s)
        assert zone.configured() == hosts

    def test_error_in_reply(self, hosts: int) -> None:
        """Go on after an error in the handling of a reply."""
        zone = start_zone(hosts, seed=1)
        for context in zone.contexts:
            context.apply_configuration = fail_once(context)
        zone.put_configuration()
        run_through_errors(zone, BOUNDS.stability_s)
        zone.put_configuration()
        run_through_errors(zone, BOUNDS.configuration_s)
        assert zone.configured() == hosts


def fail_once(context: SimpleNamespace) -> Callable[[object], None]:
    """Return a function that fails before the one of a context works."""
    apply = context.apply_configuration

    def fail(configuration: object) -> None:
        context.apply_configuration = apply
        raise RuntimeError('a fault')

    return fail


def run_through_errors(zone: VirtualZone, duration_s: float) -> None:
    """Run the clock on where an error leaves a callback, as the loop does."""
    end_s = zone.clock.now_s + duration_s
    while zone.clock.now_s < end_s:
        with contextlib.suppress(RuntimeError):
            zone.clock.run(end_s - zone.clock.now_s)
