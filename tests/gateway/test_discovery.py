"""Test how gateways follow a failing store."""

from collections.abc import Iterator

import pytest

from bamboodeck.fakes.platform.documents import (
    CHAT,
    PAY,
    SHOP,
    SMALL,
    build_configuration,
)
from bamboodeck.fakes.platform.store import StoreMood
from bamboodeck.gateway import discovery, store_polling
from bamboodeck.platform import protocol, store
from tests.gateway.world import GatewayWorld


@pytest.fixture
def world(monkeypatch: pytest.MonkeyPatch) -> Iterator[GatewayWorld]:
    """Run one gateway with short timeouts of calls to the store."""
    monkeypatch.setattr(store_polling, 'ANSWER_SLACK_S', 1.8)
    monkeypatch.setattr(store_polling, 'MIN_WAIT_S', 0.1)
    monkeypatch.setattr(store, 'WATCH_SLACK_S', 0.1)
    monkeypatch.setattr(store, 'CALL_TIMEOUT_S', 0.3)
    world = GatewayWorld()
    world.add_engine('model-1')
    world.add_engine('shop-1', SHOP)
    world.until_engines(2)
    yield world
    world.close()


class TestOutage:
    """Keep serving during an outage, and follow the store afterwards."""

    @pytest.mark.parametrize(
        'mood',
        [StoreMood.SILENT, StoreMood.REFUSES, StoreMood.LOSES_ANSWERS],
    )
    def test_serves_on(self, world: GatewayWorld, mood: StoreMood) -> None:
        """Keep the known state in force."""
        world.store.mood = mood
        world.until(lambda: 'store_lost' in world.log())
        assert world.ask(PAY).status == 200
        assert world.ask(CHAT, model=SMALL).status == 200
        world.store.mood = StoreMood.SERVES
        world.until(lambda: 'store_regained' in world.log())

    def test_change_after_silence(self, world: GatewayWorld) -> None:
        """Apply a change although the store forgot the waiting call."""
        world.store.mood = StoreMood.SILENT
        world.wait(0.3)
        world.store.mood = StoreMood.SERVES
        world.store.put(
            protocol.CONFIGURATION_KEY,
            build_configuration(2, tenants=[]),
        )
        context = world.apps[0].context
        world.until(lambda: context.configuration.version == 2)

    def test_forgotten_history(self, world: GatewayWorld) -> None:
        """Read a new snapshot, and notice what was removed meanwhile."""
        world.store.remove(f'{protocol.ENGINE_PREFIX}shop-1')
        world.store.forget_history()
        world.until_engines(1)
        assert world.ask(PAY).status == 503


class TestLapsedEntries:
    """Give engines time to be listed again after an outage."""

    def lose(self, world: GatewayWorld) -> None:
        """Let an engine's entry expire during an outage."""
        world.store.mood = StoreMood.REFUSES
        world.until(lambda: 'store_lost' in world.log())
        world.store.remove(f'{protocol.ENGINE_PREFIX}shop-1')
        world.store.mood = StoreMood.SERVES
        world.until(lambda: 'store_regained' in world.log())

    def test_listed_again(self, world: GatewayWorld) -> None:
        """Keep using an engine that is listed again in time."""
        self.lose(world)
        assert world.ask(PAY).status == 200
        world.relist('shop-1', SHOP, sequence=2)
        world.wait(discovery.RELIST_S + 0.5)
        assert world.ask(PAY).status == 200
        assert 'engine_gone' not in world.log()

    def test_gone(self, world: GatewayWorld) -> None:
        """Drop an engine that isn't listed again in time."""
        self.lose(world)
        world.until_engines(1)
        assert world.ask(PAY).status == 503


class TestStart:
    """Let callers wait briefly for the first configuration."""

    def test_store_down(self, world: GatewayWorld) -> None:
        """Refuse as not run without a configuration."""
        world.store.mood = StoreMood.REFUSES
        app = world.start_host('host-2')
        asked = world.ask(PAY, app=1)
        assert asked.status == 503
        assert asked.header(protocol.RETRY_AFTER) is not None
        assert not app.is_ready()
        assert not world.engines['shop-1'].runs

    def test_stale_start(self, world: GatewayWorld) -> None:
        """Catch up with the store after a stale first read."""
        world.store.fall_behind()
        world.store.put(protocol.CONFIGURATION_KEY, build_configuration(2))
        world.store.remove(f'{protocol.ENGINE_PREFIX}shop-1')
        app = world.start_host('host-2')
        world.until(
            lambda: (
                app.context.configuration is not None
                and app.context.configuration.version == 2
            ),
        )
        world.until_engines(1)

    def test_first_callers(self, world: GatewayWorld) -> None:
        """Answer callers that connected before the configuration was read."""
        world.start_host('host-2')
        assert world.ask(PAY, app=1).status == 200
