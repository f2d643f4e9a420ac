"""Test that engines get nothing for as long as they asked."""

from collections.abc import Iterator

import pytest

from bamboodeck.fakes.platform.documents import CHAT, MODELS, PAY, SHOP
from bamboodeck.fakes.platform.engine import EngineBehaviour, EngineFault
from bamboodeck.gateway.engines import MAX_DECLINED_S
from bamboodeck.http.messages import Header
from bamboodeck.platform import protocol
from tests.gateway.harness import GatewayHarness

REQUESTS = 20
LONG_S = 30.0


@pytest.fixture
def harness() -> Iterator[GatewayHarness]:
    """Run one gateway."""
    harness = GatewayHarness()
    yield harness
    harness.close()


def decline(harness: GatewayHarness, engine_id: str, pause_s: float) -> None:
    """Have an engine reject the next request, and ask for a pause."""
    engine = harness.engines[engine_id]
    engine.behaviour.retry_after_s = pause_s
    engine.faults.append(EngineFault.SHED)


class TestDecliningEngine:
    """Pause an engine that asked for it."""

    @pytest.mark.parametrize(
        ('path', 'model'), [(PAY, None), (CHAT, '*')], ids=['call', 'stream']
    )
    def test_declining_engine_gets_requests(
        self, harness: GatewayHarness, path: str, model: str | None
    ) -> None:
        """Send nothing more to engines that rejected a request so."""
        service = SHOP if path == PAY else MODELS
        for engine_id in ('first', 'second'):
            harness.add_engine(engine_id, service)
        harness.until_engines(2)
        for engine_id in ('first', 'second'):
            decline(harness, engine_id, LONG_S)
        answers = [harness.ask(path, model=model) for _ in range(REQUESTS)]
        for engine in harness.engines.values():
            assert len(engine.arrivals_s) == 1
        assert {answer.status for answer in answers} == {503}

    def test_other_engines_are_shunned(self, harness: GatewayHarness) -> None:
        """Serve the rejected request, and the next ones, at another engine."""
        for engine_id in ('first', 'second'):
            harness.add_engine(engine_id)
        harness.until_engines(2)
        decline(harness, 'first', LONG_S)
        answers = [harness.ask(CHAT, model='*') for _ in range(REQUESTS)]
        assert {answer.status for answer in answers} == {200}
        assert len(harness.engines['first'].arrivals_s) <= 1

    def test_only_engine_is_lost(self, harness: GatewayHarness) -> None:
        """Wait for the only engine where the pause ends in time."""
        harness.add_engine('shop-1', SHOP)
        harness.until_engines(1)
        decline(harness, 'shop-1', 0.1)
        assert harness.ask(PAY).status == 503
        assert harness.ask(PAY).status == 200

    def test_waits_for_long_pause(self, harness: GatewayHarness) -> None:
        """Reject at once what no engine serves in time."""
        harness.add_engine('shop-1', SHOP)
        harness.until_engines(1)
        decline(harness, 'shop-1', LONG_S)
        harness.ask(PAY)
        answer = harness.ask(PAY)
        assert answer.status == 503
        assert answer.header(protocol.RETRY_AFTER) is not None
        assert 'reason="no engine available"' in harness.log()
        assert len(harness.engines['shop-1'].arrivals_s) == 1

    @pytest.mark.parametrize(
        'text',
        ['-1', 'soon', 'nan', '', 'Sat, 05 Dec 2026 07:00:00 GMT', '9' * 5000],
    )
    def test_unreadable_pause(self, harness: GatewayHarness, text: str) -> None:
        """Ignore what is no number of seconds, and log it."""
        engine = harness.add_engine('shop-1', SHOP)
        harness.until_engines(1)
        engine.extra_headers = (Header(protocol.RETRY_AFTER, text),)
        engine.faults.append(EngineFault.SHED)
        harness.ask(PAY)
        assert harness.ask(PAY).status == 200
        assert 'event=headers_unreadable' in harness.log()

    def test_endless_pause(self, harness: GatewayHarness) -> None:
        """Bound a pause that outlasts any trouble."""
        harness.add_engine('shop-1', SHOP)
        harness.until_engines(1)
        decline(harness, 'shop-1', 1e12)
        harness.ask(PAY)
        (engine,) = harness.apps[0].context.engines
        left_s = engine.declined_until_s - harness.apps[0].context.now_s()
        assert 0 < left_s <= MAX_DECLINED_S

    def test_successful_answer_pauses(self, harness: GatewayHarness) -> None:
        """Take the header of no other status for a pause."""
        engine = harness.add_engine('shop-1', SHOP, EngineBehaviour())
        harness.until_engines(1)
        engine.extra_headers = (Header(protocol.RETRY_AFTER, '30'),)
        assert harness.ask(PAY).status == 200
        assert harness.ask(PAY).status == 200
