"""Test that a planned stop cuts no request that it took."""

from collections.abc import Iterator

import pytest

from bamboodeck.fakes.platform.documents import CHAT, MODELS, PAY, SHOP
from bamboodeck.fakes.platform.engine import EngineBehaviour, EngineFault
from bamboodeck.gateway import traffic
from bamboodeck.platform import protocol
from tests.gateway.harness import CallerAnswer, GatewayHarness


@pytest.fixture
def harness() -> Iterator[GatewayHarness]:
    """Run one gateway, which has two seconds from SIGTERM to its kill."""
    harness = GatewayHarness()
    harness.add_engine('shop-1', SHOP)
    harness.add_engine('model-1', MODELS, EngineBehaviour(step_s=0.05))
    harness.until_engines(2)
    yield harness
    harness.close()


def await_exit(harness: GatewayHarness) -> None:
    """Run until the process would exit."""
    loop = harness.apps[0].loop
    harness.until(lambda: not loop._running)
    # Until the caller has read what was sent.
    harness.wait(0.05)


def is_whole(answer: CallerAnswer) -> bool:
    """Tell whether the caller got a complete answer."""
    return answer.whole and answer.failure is None


class TestLateInGrace:
    """Answer every request that is read before the exit."""

    @pytest.mark.parametrize(
        ('path', 'model'), [(PAY, None), (CHAT, '*')], ids=['unsafe', 'stream']
    )
    def test_late_request_is_cut(
        self, harness: GatewayHarness, path: str, model: str | None
    ) -> None:
        """Reject what may not be answered before the exit."""
        for engine in harness.engines.values():
            engine.faults.append(EngineFault.HANG)
        harness.apps[0].stop()
        harness.wait(1.2)
        answer = harness.send(path, model=model)
        await_exit(harness)
        assert is_whole(answer)
        assert answer.status == 503
        assert float(answer.header(protocol.RETRY_AFTER)) >= 0
        assert not any(each.runs for each in harness.engines.values())

    def test_hanging_request_is_cut(self, harness: GatewayHarness) -> None:
        """Tell the caller of a request that is not answered by the exit."""
        engine = harness.engines['model-1']
        engine.faults.extend([EngineFault.HANG] * 9)
        answer = harness.send(CHAT, model='*')
        harness.until(lambda: engine.runs)
        harness.apps[0].stop()
        await_exit(harness)
        assert is_whole(answer)
        assert answer.status == 504

    def test_waiting_request_is_cut(
        self, harness: GatewayHarness, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Reject a request that still waits for an engine at the exit."""
        monkeypatch.setattr(traffic, 'detect_stall', lambda progress: None)
        engine = harness.engines['model-1']
        engine.faults.extend([EngineFault.HANG] * 99)
        for _ in range(16):
            harness.send(CHAT, model='*')
        harness.until(lambda: len(engine.runs) == 16)
        waiting = harness.send(CHAT, model='*', request_id='waiting')
        harness.until(lambda: harness.apps[0].context.queue.services())
        harness.apps[0].stop()
        await_exit(harness)
        assert is_whole(waiting)
        assert waiting.status == 503
        assert 'waiting' not in {run.request_id for run in engine.runs}

    def test_early_request_is_rejected(self, harness: GatewayHarness) -> None:
        """Serve what comes while the balancer still sends callers."""
        harness.apps[0].stop()
        assert harness.ask(CHAT, model='*').status == 200
        await_exit(harness)
        assert 'event=gateway_stopped broken_off=0' in harness.log()
