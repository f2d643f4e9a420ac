"""Test how gateways follow a store that was restored from a copy."""

from collections.abc import Iterator

import pytest

from bamboodeck.fakes.key_value.store import KeyRange
from bamboodeck.fakes.platform.documents import PAY, SHOP, build_configuration
from bamboodeck.fakes.platform.store import StoreMode
from bamboodeck.gateway import known_state, membership, store_polling
from bamboodeck.gateway.suspect_parts import SuspectParts
from bamboodeck.platform import protocol, store
from tests.gateway.harness import GatewayHarness

HOSTS = 2
# Far more than hosts need to follow a new history, far fewer than they send
# when each answer is followed by the next call at once.
MAX_CALLS = 400


@pytest.fixture
def harness(monkeypatch: pytest.MonkeyPatch) -> Iterator[GatewayHarness]:
    """Run two gateways with short timeouts of calls to the store."""
    monkeypatch.setattr(store_polling, 'ANSWER_SLACK_S', 1.8)
    monkeypatch.setattr(store_polling, 'MIN_WAIT_S', 0.1)
    monkeypatch.setattr(store, 'WATCH_SLACK_S', 0.1)
    monkeypatch.setattr(store, 'CALL_TIMEOUT_S', 0.3)
    harness = GatewayHarness(HOSTS)
    harness.add_engine('model-1')
    harness.add_engine('shop-1', SHOP)
    harness.until_engines(2)
    harness.until(
        lambda: all(app.fleet.members.hosts == HOSTS for app in harness.apps)
    )
    yield harness
    harness.close()


def put_version(harness: GatewayHarness, version: int) -> None:
    """Write a configuration."""
    harness.store.put(
        protocol.CONFIGURATION_KEY, build_configuration(version=version)
    )


def list_versions(harness: GatewayHarness) -> list[int]:
    """Return the version that is in force on each host."""
    return [app.context.configuration.version for app in harness.apps]


def await_version(harness: GatewayHarness, version: int) -> None:
    """Run until all hosts have a version, or call the store too often."""
    before = sum(harness.store.calls.values())

    def has_ended() -> bool:
        calls = sum(harness.store.calls.values()) - before
        reached = list_versions(harness) == [version] * HOSTS
        return reached or calls > MAX_CALLS

    harness.until(has_ended)
    assert list_versions(harness) == [version] * HOSTS


def lose_store(harness: GatewayHarness) -> None:
    """Let the store be away until each host has noticed."""
    harness.store.mode = StoreMode.REFUSES
    harness.until(
        lambda: all(
            'store_lost' in output.getvalue() for output in harness.outputs
        )
    )


class TestConfiguration:
    """Put a version in force that is written after the store's return."""

    def test_configuration_never_comes(self, harness: GatewayHarness) -> None:
        """Follow a history that ends before the known revision."""
        saved = harness.store.take_copy()
        put_version(harness, 2)
        await_version(harness, 2)
        harness.store.restore(saved)
        put_version(harness, 3)
        await_version(harness, 3)

    def test_configuration_is_skipped(self, harness: GatewayHarness) -> None:
        """Notice a new history that has grown past the known revision."""
        saved = harness.store.take_copy()
        put_version(harness, 2)
        await_version(harness, 2)
        lose_store(harness)
        harness.store.restore(saved)
        put_version(harness, 3)
        for number in range(20):
            harness.store.put(f'{protocol.OPERATOR_PREFIX}note', b'%d' % number)
        harness.store.mode = StoreMode.SERVES
        harness.until(
            lambda: all(
                app.discovery.revision == harness.store.revision
                for app in harness.apps
            )
        )
        assert list_versions(harness) == [3] * HOSTS

    def test_version_goes_back(self, harness: GatewayHarness) -> None:
        """Keep the version in force until a newer one comes."""
        saved = harness.store.take_copy()
        put_version(harness, 2)
        await_version(harness, 2)
        harness.store.restore(saved)
        harness.until(
            lambda: harness.log().count('event=store_restored') == HOSTS
        )
        assert list_versions(harness) == [2] * HOSTS


class TestEngines:
    """Use the engines that live, whatever the copy says."""

    def test_engine_that_left_is_used(self, harness: GatewayHarness) -> None:
        """Use no engine that only the copy lists."""
        saved = harness.store.take_copy()
        harness.store.remove(f'{protocol.ENGINE_PREFIX}shop-1')
        harness.until_engines(1)
        harness.store.restore(saved)
        harness.until(
            lambda: harness.log().count('event=store_restored') == HOSTS
        )
        assert harness.ask(PAY).status == 503

    def test_engine_that_returned_is_shunned(
        self, harness: GatewayHarness
    ) -> None:
        """Use an engine again that is written again."""
        saved = harness.store.take_copy()
        harness.store.remove(f'{protocol.ENGINE_PREFIX}shop-1')
        harness.until_engines(1)
        harness.store.restore(saved)
        harness.until(
            lambda: harness.log().count('event=store_restored') == HOSTS
        )
        harness.relist('shop-1', SHOP)
        harness.until(lambda: harness.ask(PAY).status == 200)

    def test_living_engine_stays_held_back(
        self, harness: GatewayHarness, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Use an engine whose entry outlasts those of engines that left."""
        monkeypatch.setattr(known_state, 'LAPSE_HEARTBEATS', 0.5)
        saved = harness.store.take_copy()
        harness.store.remove(f'{protocol.ENGINE_PREFIX}shop-1')
        harness.until_engines(1)
        harness.store.restore(saved)
        harness.until(lambda: harness.ask(PAY).status == 200)

    def test_draining_engine_is_used(self, harness: GatewayHarness) -> None:
        """Know an engine for leaving that the copy lists as ready."""
        saved = harness.store.take_copy()
        harness.relist('shop-1', SHOP, state='draining', sequence=2)
        harness.until(
            lambda: all(
                app.context.engines.find('shop-1').leaving
                for app in harness.apps
            )
        )
        harness.store.restore(saved)
        harness.until(
            lambda: harness.log().count('event=store_restored') == HOSTS
        )
        assert harness.ask(PAY).status == 503

    def test_new_engine_is_dropped_at_once(
        self, harness: GatewayHarness
    ) -> None:
        """Give engines that the copy lacks time to be listed again."""
        saved = harness.store.take_copy()
        harness.add_engine('shop-2', SHOP)
        harness.until_engines(3)
        harness.store.restore(saved)
        harness.until(
            lambda: harness.log().count('event=store_restored') == HOSTS
        )
        harness.relist('shop-2', SHOP)
        harness.wait(known_state.RELIST_S + 0.5)
        assert 'event=engine_gone' not in harness.log()


class TestFleet:
    """Keep what the hosts know of each other."""

    def test_hosts_are_forgotten(
        self, harness: GatewayHarness, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Keep hosts that the copy lacks, and list this host again."""
        # Silent hosts are kept too, as in another zone of a large fleet.
        monkeypatch.setattr(membership, 'PEER_TIMEOUT_S', 0.0)
        saved = harness.store.take_copy()
        saved.next_revision()
        for app in harness.apps:
            host = app.context.settings.host
            saved.delete(
                KeyRange(f'{protocol.OWN_PREFIX}hosts/{host}'.encode())
            )
        harness.store.restore(saved)
        harness.until(
            lambda: all(
                harness.store.read(
                    f'{protocol.OWN_PREFIX}hosts/{app.context.settings.host}'
                )
                for app in harness.apps
            )
        )
        assert 'event=peer_gone' not in harness.log()

    def test_host_is_forgotten_before_it_sees_its_entry(
        self, harness: GatewayHarness
    ) -> None:
        """List a host again that had written its entry, but not read it."""
        saved = harness.store.take_copy()
        saved.next_revision()
        key = f'{protocol.OWN_PREFIX}hosts/host-2'
        saved.delete(KeyRange(key.encode()))
        discovery = harness.apps[1].discovery
        discovery._known.hosts.discard('host-2')
        harness.store.restore(saved)
        harness.until(lambda: harness.store.read(key) is not None)

    def test_blamed_part_is_forgotten(self, harness: GatewayHarness) -> None:
        """Refuse a listed part that the copy lacks, and list it again."""
        saved = harness.store.take_copy()
        key = f'{protocol.OWN_PREFIX}parts/a1'
        harness.store.put(key, b'')
        harness.until(
            lambda: all(
                find_parts(app.context.suspect_parts) for app in harness.apps
            )
        )
        harness.store.restore(saved)
        harness.until(lambda: harness.store.read(key) is not None)
        for app in harness.apps:
            assert find_parts(app.context.suspect_parts) == {'a1'}


def find_parts(suspects: SuspectParts) -> set[str]:
    """Return the blamed parts."""
    return set(suspects.list_blamed(0.0))
