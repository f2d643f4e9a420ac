"""Test how gateways follow a store that fails."""

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
from bamboodeck.platform import store, words
from tests.gateway.world import GatewayWorld


@pytest.fixture
def world(monkeypatch: pytest.MonkeyPatch) -> Iterator[GatewayWorld]:
    """Run one gateway that gives silent calls up soon."""
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
    """Serve on while the store is away, and follow it afterwards."""

    @pytest.mark.parametrize(
        'mood',
        [StoreMood.SILENT, StoreMood.REFUSES, StoreMood.LOSES_ANSWERS],
    )
    def test_serves_on(self, world: GatewayWorld, mood: StoreMood) -> None:
        """Keep what is known in force."""
        world.store.mood = mood
        world.until(lambda: 'store_lost' in world.log())
        assert world.ask(PAY).status == 200
        assert world.ask(CHAT, model=SMALL).status == 200
        world.store.mood = StoreMood.SERVES
        world.until(lambda: 'store_regained' in world.log())

    def test_change_after_silence(self, world: GatewayWorld) -> None:
        """Learn of a change though the waiting call was forgotten."""
        world.store.mood = StoreMood.SILENT
        world.wait(0.3)
        world.store.mood = StoreMood.SERVES
        world.store.put(
            words.CONFIGURATION_KEY,
            build_configuration(2, tenants=[]),
        )
        context = world.apps[0].context
        world.until(lambda: context.configuration.version == 2)

    def test_forgotten_history(self, world: GatewayWorld) -> None:
        """Read everything again, also what went meanwhile."""
        world.store.remove(f'{words.ENGINE_PREFIX}shop-1')
        world.store.forget_history()
        world.until_engines(1)
        assert world.ask(PAY).status == 503


class TestLapsedEntries:
    """Give engines time to be listed again after an outage."""

    def lose(self, world: GatewayWorld) -> None:
        """Have an engine's entry lapse during an outage."""
        world.store.mood = StoreMood.REFUSES
        world.until(lambda: 'store_lost' in world.log())
        world.store.remove(f'{words.ENGINE_PREFIX}shop-1')
        world.store.mood = StoreMood.SERVES
        world.until(lambda: 'store_regained' in world.log())

    def test_listed_again(self, world: GatewayWorld) -> None:
        """Go on using an engine that is back soon."""
        self.lose(world)
        assert world.ask(PAY).status == 200
        world.relist('shop-1', SHOP, sequence=2)
        world.wait(discovery.RELIST_S + 0.5)
        assert world.ask(PAY).status == 200
        assert 'engine_gone' not in world.log()

    def test_gone(self, world: GatewayWorld) -> None:
        """Take an engine as gone that isn't back in time."""
        self.lose(world)
        world.until_engines(1)
        assert world.ask(PAY).status == 503


class TestStart:
    """Let callers wait for the first configuration, but not for long."""

    def test_store_down(self, world: GatewayWorld) -> None:
        """Refuse as not run without a configuration."""
        world.store.mood = StoreMood.REFUSES
        app = world.start_host('host-2')
        asked = world.ask(PAY, app=1)
        assert asked.status == 503
        assert asked.header(words.RETRY_AFTER) is not None
        assert not app.is_ready()
        assert not world.engines['shop-1'].runs

    def test_stale_start(self, world: GatewayWorld) -> None:
        """Catch up with the store after a first read that was out of date."""
        world.store.fall_behind()
        world.store.put(words.CONFIGURATION_KEY, build_configuration(2))
        world.store.remove(f'{words.ENGINE_PREFIX}shop-1')
        app = world.start_host('host-2')
        world.until(
            lambda: (
                app.context.configuration is not None
                and app.context.configuration.version == 2
            ),
        )
        world.until_engines(1)

    def test_first_callers(self, world: GatewayWorld) -> None:
        """Answer callers who came before the configuration."""
        world.start_host('host-2')
        assert world.ask(PAY, app=1).status == 200
