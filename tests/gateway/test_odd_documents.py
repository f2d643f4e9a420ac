"""Test that odd documents of other writers stop no host."""

from collections.abc import Iterator

import pytest

from bamboodeck.fakes.platform.documents import (
    MODELS,
    PAY,
    SHOP,
    build_configuration,
)
from bamboodeck.gateway import store_polling
from bamboodeck.platform import protocol
from tests.gateway.harness import GatewayHarness

DEEP = b'[' * 5000 + b']' * 5000
DIGITS = b'9' * 5000
ENGINE = (
    b'{"service": "%b", "address": "10.0.0.1:80", "zone": "gent",'
    b' "version": "v1", "state": "ready", "slots": 8, "sequence": 1, "born": 1'
    % SHOP.encode()
)
ODD_ENGINES = {
    'nested': DEEP,
    'nested-field': ENGINE + b', "more": ' + DEEP + b'}',
    'port-digits': ENGINE.replace(b':80', b':' + DIGITS) + b'}',
    'port-range': ENGINE.replace(b':80', b':70000') + b'}',
    'octet-digits': ENGINE.replace(b'10.', DIGITS + b'.') + b'}',
    'slots-large': ENGINE.replace(b': 8', b': 900000000000000000000') + b'}',
    'slots-digits': ENGINE.replace(b': 8', b': ' + DIGITS) + b'}',
    'slots-float': ENGINE.replace(b': 8', b': 9e20') + b'}',
    'sequence-large': ENGINE.replace(b'"sequence": 1', b'"sequence": 1e30')
    + b'}',
    'born-negative': ENGINE.replace(b'"born": 1', b'"born": -5') + b'}',
    'born-digits': ENGINE.replace(b'"born": 1', b'"born": ' + DIGITS) + b'}',
    'cold-overflow': ENGINE + b', "cold_remaining_ms": 1e400}',
    'text-not-utf-8': ENGINE.replace(b'gent', b'\xff\xfe') + b'}',
    'surrogate': ENGINE.replace(b'gent', b'\\' + b'ud800') + b'}',
}
OTHER_KEYS = (
    protocol.CONFIGURATION_KEY,
    f'{protocol.ROLLOUT_PREFIX}{MODELS}',
    f'{protocol.STATUS_PREFIX}{MODELS}',
    f'{protocol.OWN_PREFIX}hosts/other',
    f'{protocol.OWN_PREFIX}rollouts/{MODELS}',
)
ODD_DOCUMENTS = {
    'nested': DEEP,
    'digits': b'{"version": %b, "step": %b}' % (DIGITS, DIGITS),
    'nested-field': b'{"address": ' + DEEP + b', "service": ' + DEEP + b'}',
    'address': b'{"address": "%b.0.0.1:%b", "zone": "gent"}' % (DIGITS, DIGITS),
}


@pytest.fixture
def harness(monkeypatch: pytest.MonkeyPatch) -> Iterator[GatewayHarness]:
    """Run two hosts of a zone, which tell each other what changes."""
    monkeypatch.setattr(store_polling, 'MIN_SHARING_HOSTS', 2)
    harness = GatewayHarness(0)
    harness.add_engine('shop-1', SHOP)
    for number in range(2):
        harness.start_host(f'host-{number + 1}', 'gent')
    harness.until_engines(1)
    harness.until(
        lambda: all(app.fleet.members.hosts == 2 for app in harness.apps)
    )
    yield harness
    harness.close()


def follows(harness: GatewayHarness) -> bool:
    """Tell whether both hosts know the newest revision."""
    return all(
        app.discovery.revision == harness.store.revision for app in harness.apps
    )


class TestOddDocuments:
    """Skip what can't be read, and follow the rest."""

    @pytest.mark.parametrize('odd', ODD_ENGINES.values(), ids=ODD_ENGINES)
    def test_odd_engine_ends_hosts(
        self, harness: GatewayHarness, odd: bytes
    ) -> None:
        """Name no engine by an odd entry, and use the others."""
        harness.store.put(f'{protocol.ENGINE_PREFIX}odd', odd)
        harness.until(lambda: follows(harness))
        harness.add_engine('shop-2', SHOP)
        harness.until_engines(2)
        for app in harness.apps:
            assert app.context.engines.find('odd') is None
        assert harness.ask(PAY).status == 200
        assert 'event=document_skipped key=servers/odd' in harness.log()

    @pytest.mark.parametrize('odd', ODD_ENGINES.values(), ids=ODD_ENGINES)
    def test_odd_engine_at_start(
        self, harness: GatewayHarness, odd: bytes
    ) -> None:
        """Start beside an odd entry."""
        harness.store.put(f'{protocol.ENGINE_PREFIX}odd', odd)
        harness.start_host('host-3', 'gent')
        harness.until_engines(1)
        assert harness.ask(PAY, app=2).status == 200

    @pytest.mark.parametrize('key', OTHER_KEYS)
    @pytest.mark.parametrize('odd', ODD_DOCUMENTS.values(), ids=ODD_DOCUMENTS)
    def test_odd_document_ends_hosts(
        self, harness: GatewayHarness, key: str, odd: bytes
    ) -> None:
        """Keep what is in force when a document can't be read."""
        harness.store.put(key, odd)
        harness.until(lambda: follows(harness))
        harness.store.put(
            protocol.CONFIGURATION_KEY, build_configuration(version=2)
        )
        harness.until(
            lambda: all(
                app.context.configuration.version == 2 for app in harness.apps
            )
        )
        assert harness.ask(PAY).status == 200

    def test_odd_entry_of_known_engine(self, harness: GatewayHarness) -> None:
        """Send nothing to an engine whose entry turns odd."""
        harness.store.put(f'{protocol.ENGINE_PREFIX}shop-1', DEEP)
        harness.until_engines(0)
        assert harness.ask(PAY).status == 503
