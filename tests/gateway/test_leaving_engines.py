"""Test that engines get nothing more once their answers say they leave."""

from collections.abc import Iterator

import pytest

from bamboodeck.fakes.platform.documents import CHAT, LOOK, MODELS, PAY, SHOP
from bamboodeck.fakes.platform.engine import EngineFault, PlatformEngineFake
from bamboodeck.fakes.platform.store import StoreMode
from bamboodeck.http.messages import Header
from bamboodeck.platform import protocol
from tests.gateway.harness import GatewayHarness

HOSTS = 3


@pytest.fixture
def harness() -> Iterator[GatewayHarness]:
    """Run three gateways that know each other."""
    harness = GatewayHarness(HOSTS)
    harness.until(
        lambda: all(app.fleet.members.hosts == HOSTS for app in harness.apps)
    )
    yield harness
    harness.close()


def list_leaving(harness: GatewayHarness, engine_id: str) -> list[bool]:
    """Return whether each host knows that an engine leaves."""
    return [app.context.engines.find(engine_id).leaving for app in harness.apps]


def count_after_news(
    harness: GatewayHarness, engine: PlatformEngineFake
) -> int:
    """Let all hosts send requests; return how many reach an engine."""
    before = len(engine.arrivals_s)
    for app in range(HOSTS):
        for path, model in ((PAY, None), (LOOK, None), (CHAT, '*')):
            harness.ask(path, model=model, app=app)
    return len(engine.arrivals_s) - before


class TestLeavingEngine:
    """Send nothing to an engine that said that it leaves."""

    @pytest.mark.parametrize(
        'fault', [None, EngineFault.ERROR, EngineFault.SHED]
    )
    @pytest.mark.parametrize(
        ('path', 'service', 'model'),
        [(LOOK, SHOP, None), (CHAT, MODELS, '*')],
        ids=['call', 'stream'],
    )
    def test_leaving_engine_gets_requests(
        self,
        harness: GatewayHarness,
        path: str,
        service: str,
        model: str | None,
        fault: EngineFault | None,
    ) -> None:
        """Believe any answer, also while the store is away."""
        engine = harness.add_engine('old', service)
        harness.until_engines(1)
        harness.store.mode = StoreMode.REFUSES
        engine.behaviour.leaving = True
        if fault is not None:
            engine.faults.append(fault)
        harness.ask(path, model=model)
        harness.until(lambda: list_leaving(harness, 'old') == [True] * HOSTS)
        assert count_after_news(harness, engine) == 0

    def test_listed_again_as_ready(self, harness: GatewayHarness) -> None:
        """Know it also when its entry lapses and comes back."""
        engine = harness.add_engine('old', SHOP)
        harness.until_engines(1)
        engine.behaviour.leaving = True
        assert harness.ask(PAY).status == 200
        harness.until(lambda: list_leaving(harness, 'old') == [True] * HOSTS)
        harness.store.remove(f'{protocol.ENGINE_PREFIX}old')
        harness.until_engines(0)
        harness.relist('old', SHOP, sequence=9)
        harness.until_engines(1)
        assert count_after_news(harness, engine) == 0

    def test_next_incarnation_is_shunned(self, harness: GatewayHarness) -> None:
        """Use an engine that has started anew."""
        engine = harness.add_engine('old', SHOP)
        harness.until_engines(1)
        engine.behaviour.leaving = True
        assert harness.ask(PAY).status == 200
        harness.until(lambda: list_leaving(harness, 'old') == [True] * HOSTS)
        engine.behaviour.leaving = False
        harness.relist('old', SHOP, born=2)
        harness.until(lambda: list_leaving(harness, 'old') == [False] * HOSTS)
        assert harness.ask(PAY).status == 200

    @pytest.mark.parametrize('text', ['0', '', 'no', '11'])
    def test_other_texts(self, harness: GatewayHarness, text: str) -> None:
        """Go on with an engine that doesn't say so."""
        engine = harness.add_engine('old', SHOP)
        engine.extra_headers = (Header(protocol.SERVER_LEAVING, text),)
        harness.until_engines(1)
        assert harness.ask(PAY).status == 200
        assert list_leaving(harness, 'old') == [False] * HOSTS
