"""Test how gateways follow a failing store."""

from collections.abc import Callable, Iterator

import msgspec
import pytest

from bamboodeck.fakes.platform.documents import (
    CHAT,
    PAY,
    SHOP,
    SMALL,
    build_configuration,
)
from bamboodeck.fakes.platform.store import StoreMode
from bamboodeck.gateway import store_polling
from bamboodeck.gateway.known_state import RELIST_S
from bamboodeck.gateway.ports import RegistryFailed, RegistryReply
from bamboodeck.http.messages import HttpCall
from bamboodeck.http.reply_collector import MAX_REPLY_BYTES
from bamboodeck.loop.program import Loop
from bamboodeck.platform import protocol, store
from tests.gateway.harness import CallerAnswer, GatewayHarness


HEARTBEAT_S = 0.2
# Of a configuration that is changed many times.
ROUTES = 800


class RefusedRegistry:
    """Refuse the calls of one host."""

    def __init__(self, loop: Loop) -> None:
        """Answer on a loop."""
        self._loop = loop

    def wait_for_changes(
        self,
        after_revision: int,
        wait_s: float,
        on_reply: Callable[[RegistryReply], None],
    ) -> None:
        """Fail."""
        self._loop.scheduler.call_after(
            0.01,
            lambda: on_reply(RegistryFailed('refused')),
        )


@pytest.fixture
def harness(monkeypatch: pytest.MonkeyPatch) -> Iterator[GatewayHarness]:
    """Run one gateway with short timeouts of calls to the store."""
    monkeypatch.setattr(store_polling, 'ANSWER_SLACK_S', 1.8)
    monkeypatch.setattr(store_polling, 'MIN_WAIT_S', 0.1)
    monkeypatch.setattr(store, 'WATCH_SLACK_S', 0.1)
    monkeypatch.setattr(store, 'CALL_TIMEOUT_S', 0.3)
    harness = GatewayHarness()
    harness.add_engine('model-1')
    harness.add_engine('shop-1', SHOP)
    harness.until_engines(2)
    yield harness
    harness.close()


class TestOutage:
    """Keep serving during an outage, and follow the store afterwards."""

    @pytest.mark.parametrize(
        'mode',
        [StoreMode.SILENT, StoreMode.REFUSES, StoreMode.LOSES_ANSWERS],
    )
    def test_serves_on(self, harness: GatewayHarness, mode: StoreMode) -> None:
        """Keep the known state in force."""
        harness.store.mode = mode
        harness.until(lambda: 'store_lost' in harness.log())
        assert harness.ask(PAY).status == 200
        assert harness.ask(CHAT, model=SMALL).status == 200
        harness.store.mode = StoreMode.SERVES
        harness.until(lambda: 'store_regained' in harness.log())

    def test_metrics_of_calls(self, harness: GatewayHarness) -> None:
        """Tell a host that doesn't ask from one that gets no answer."""
        harness.store.mode = StoreMode.SILENT
        harness.until(lambda: harness.apps[0].discovery.calls.in_flight)
        answer = CallerAnswer()
        call = HttpCall(harness.apps[0].metrics.address, 'GET', '/metrics')
        harness.client.stream(call, answer)
        harness.until(lambda: answer.ended)
        assert b'registry_asked_age_s' in answer.body
        assert b'registry_call_in_flight' in answer.body

    def test_change_after_silence(self, harness: GatewayHarness) -> None:
        """Apply a change although the store forgot the waiting call."""
        harness.store.mode = StoreMode.SILENT
        harness.wait(0.3)
        harness.store.mode = StoreMode.SERVES
        harness.store.put(
            protocol.CONFIGURATION_KEY,
            build_configuration(2, tenants=[]),
        )
        context = harness.apps[0].context
        harness.until(lambda: context.configuration.version == 2)

    def test_forgotten_history(self, harness: GatewayHarness) -> None:
        """Read a new snapshot, and notice what was removed meanwhile."""
        harness.store.remove(f'{protocol.ENGINE_PREFIX}shop-1')
        harness.store.compact_history()
        harness.until_engines(1)
        assert harness.ask(PAY).status == 503


class TestManyChanges:
    """Read a snapshot where the changes exceed an answer's limit."""

    @pytest.mark.parametrize(
        'first_mode', [StoreMode.REFUSES, StoreMode.SILENT]
    )
    def test_changes_asked_for_without_end(
        self,
        harness: GatewayHarness,
        first_mode: StoreMode,
    ) -> None:
        """Catch up with the configuration and the engines."""
        harness.store.mode = first_mode
        harness.until(lambda: 'store_lost' in harness.log())
        routes = [f'/route-{number}/' for number in range(ROUTES)]
        size_bytes = 0
        version = 1
        while size_bytes < 1.2 * MAX_REPLY_BYTES:
            version += 1
            document = build_configuration(version, extra_routes=routes)
            size_bytes += len(document)
            harness.store.put(protocol.CONFIGURATION_KEY, document)
        version += 1
        harness.store.put(
            protocol.CONFIGURATION_KEY,
            build_configuration(version, tenants=[]),
        )
        harness.store.remove(f'{protocol.ENGINE_PREFIX}model-1')
        harness.store.mode = StoreMode.SERVES
        context = harness.apps[0].context
        harness.until(lambda: context.configuration.version == version)
        harness.until_engines(1)
        assert 'too_large=True' in harness.log()
        assert harness.ask(PAY).status == 401


class TestLapsedEntries:
    """Give engines time to be listed again after an outage."""

    def lose(self, harness: GatewayHarness) -> None:
        """Let an engine's entry expire during an outage."""
        context = harness.apps[0].context
        settings = msgspec.structs.replace(
            context.settings,
            bounds=msgspec.structs.replace(
                context.settings.bounds, heartbeat_s=HEARTBEAT_S
            ),
        )
        context.apply_settings(settings)
        harness.store.mode = StoreMode.REFUSES
        harness.until(lambda: 'store_lost' in harness.log())
        harness.wait(store_polling.find_lapsing_outage_s(settings.bounds))
        harness.store.remove(f'{protocol.ENGINE_PREFIX}shop-1')
        harness.store.mode = StoreMode.SERVES
        harness.until(lambda: 'store_regained' in harness.log())

    def test_listed_again(self, harness: GatewayHarness) -> None:
        """Keep using an engine that is listed again in time."""
        self.lose(harness)
        assert harness.ask(PAY).status == 200
        harness.relist('shop-1', SHOP, sequence=2)
        harness.wait(RELIST_S + 0.5)
        assert harness.ask(PAY).status == 200
        assert 'engine_missing' in harness.log()
        assert 'engine_gone' not in harness.log()

    def test_gone(self, harness: GatewayHarness) -> None:
        """Drop an engine that isn't listed again in time."""
        self.lose(harness)
        harness.until_engines(1)
        assert harness.ask(PAY).status == 503


class TestLeftEngine:
    """Drop an engine that left while this host alone lost its calls."""

    def leave(self, harness: GatewayHarness) -> None:
        """Remove the entry of an engine that runs on."""
        harness.store.remove(f'{protocol.ENGINE_PREFIX}shop-1')

    def test_engine_used_after_silent_connection(
        self,
        harness: GatewayHarness,
    ) -> None:
        """Drop it with the answer on a new connection."""
        harness.store.silence_connections()
        self.leave(harness)
        harness.until(lambda: 'store_regained' in harness.log())
        assert harness.ask(PAY).status == 503
        assert not harness.engines['shop-1'].runs

    def test_engine_used_after_one_refusal(
        self,
        harness: GatewayHarness,
    ) -> None:
        """Drop it though a call was refused meanwhile."""
        harness.store.mode = StoreMode.REFUSES
        harness.until(lambda: 'store_lost' in harness.log())
        self.leave(harness)
        harness.store.mode = StoreMode.SERVES
        harness.until(lambda: 'store_regained' in harness.log())
        assert harness.ask(PAY).status == 503

    def test_engine_used_while_others_are_served(self) -> None:
        """Drop it though the store turned only this host away for long."""
        harness = GatewayHarness(hosts=2)
        harness.add_engine('shop-1', SHOP)
        harness.until_engines(1)
        harness.until(lambda: 'peer_seen' in harness.outputs[0].getvalue())
        refused = harness.apps[0]
        registry = refused.discovery._registry
        refused.discovery._registry = RefusedRegistry(harness.loop)
        harness.until(lambda: 'store_lost' in harness.outputs[0].getvalue())
        bounds = refused.context.settings.bounds
        harness.wait(1.2 * store_polling.find_lapsing_outage_s(bounds))
        self.leave(harness)
        refused.discovery._registry = registry
        harness.until(
            lambda: 'store_regained' in harness.outputs[0].getvalue(),
        )
        assert harness.ask(PAY).status == 503
        harness.close()


class TestStart:
    """Let callers wait briefly for the first configuration."""

    def test_store_down(self, harness: GatewayHarness) -> None:
        """Refuse as not run without a configuration."""
        harness.store.mode = StoreMode.REFUSES
        app = harness.start_host('host-2')
        answer = harness.ask(PAY, app=1)
        assert answer.status == 503
        assert answer.header(protocol.RETRY_AFTER) is not None
        assert not app.is_ready()
        assert not harness.engines['shop-1'].runs

    def test_stale_start(self, harness: GatewayHarness) -> None:
        """Catch up with the store after a stale first read."""
        harness.store.freeze_stale_reads()
        harness.store.put(protocol.CONFIGURATION_KEY, build_configuration(2))
        harness.store.remove(f'{protocol.ENGINE_PREFIX}shop-1')
        app = harness.start_host('host-2', first_start=True)
        harness.until(
            lambda: (
                app.context.configuration is not None
                and app.context.configuration.version == 2
            ),
        )
        harness.until_engines(1)

    def test_restart(
        self,
        harness: GatewayHarness,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Use no key or engine that was withdrawn before a restart."""
        harness.store.freeze_stale_reads()
        harness.store.put(
            protocol.CONFIGURATION_KEY,
            build_configuration(2, tenants=[]),
        )
        harness.store.remove(f'{protocol.ENGINE_PREFIX}shop-1')
        # The store doesn't answer further calls soon enough.
        monkeypatch.setattr(
            store.PlatformStore,
            'watch',
            lambda *_arguments: None,
        )
        app = harness.start_host('host-2')
        assert harness.ask(PAY, app=1).status == 401
        known = [each.entry.engine_id for each in app.context.engines]
        assert known == ['model-1']

    def test_first_callers(self, harness: GatewayHarness) -> None:
        """Answer callers that connected before the configuration was read."""
        harness.start_host('host-2')
        assert harness.ask(PAY, app=1).status == 200
