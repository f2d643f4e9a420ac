"""Test how gateways follow a store that was restored from a copy."""

from collections.abc import Iterator

import pytest

from bamboodeck.fakes.platform.documents import SHOP, build_configuration
from bamboodeck.fakes.platform.store import StoreMode
from bamboodeck.gateway import store_polling
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
