"""Test that the hosts together keep to the limits that engines name."""

from collections.abc import Iterator

import pytest

from bamboodeck.fakes.platform.documents import CHAT, PAY, SHOP, SMALL
from bamboodeck.fakes.platform.engine import (
    EngineBehaviour,
    EngineFault,
    PlatformEngineFake,
)
from bamboodeck.gateway.limits import NO_SHARE
from bamboodeck.http.messages import Header
from bamboodeck.platform import protocol
from tests.gateway.harness import CallerAnswer, GatewayHarness

LIMIT_PER_S = 2.0
WINDOW_S = 4.0
# A host knows a limit half a second after its answer.
KNOWN_AFTER_S = 0.5
ALLOWED = int(1.5 * WINDOW_S * LIMIT_PER_S) + 5
ROUNDS = 60
ROUND_S = 0.05


@pytest.fixture
def harness() -> Iterator[GatewayHarness]:
    """Run three gateways."""
    harness = GatewayHarness(3)
    yield harness
    harness.close()


def send_rounds(harness: GatewayHarness) -> list[CallerAnswer]:
    """Send more requests than the limit at each host; return the answers."""
    answers = []
    for _ in range(ROUNDS):
        answers.extend(
            harness.send(CHAT, model='*', app=app)
            for app in range(len(harness.apps))
        )
        harness.wait(ROUND_S)
    harness.until(lambda: all(answer.ended for answer in answers))
    return answers


def count_most_arrivals(engine: PlatformEngineFake) -> int:
    """Return the most arrivals in a window after the limit was known."""
    known_s = engine.arrivals_s[0] + KNOWN_AFTER_S
    counted = [each for each in engine.arrivals_s if each >= known_s]
    return max(
        sum(began_s <= each < began_s + WINDOW_S for each in counted)
        for began_s in counted
    )


class TestExceededLimit:
    """Send an engine no more than the limit that it named."""

    def test_first_runs_exceed_limit(self, harness: GatewayHarness) -> None:
        """Count the requests of all hosts."""
        limited = EngineBehaviour(limit_per_s=LIMIT_PER_S)
        harness.add_engine('model-1', behaviour=limited)
        harness.add_engine('model-2')
        harness.until_engines(2)
        answers = send_rounds(harness)
        assert {answer.status for answer in answers} == {200}
        assert count_most_arrivals(harness.engines['model-1']) <= ALLOWED

    def test_second_runs_exceed_limit(self, harness: GatewayHarness) -> None:
        """Count the runs on larger models."""
        unsure = EngineBehaviour(
            confidences={SMALL: 1},
            limit_per_s=LIMIT_PER_S,
        )
        harness.add_engine('model-1', behaviour=unsure)
        harness.add_engine(
            'model-2',
            behaviour=EngineBehaviour(
                confidences={SMALL: 1},
            ),
        )
        harness.until_engines(2)
        answers = send_rounds(harness)
        assert {answer.status for answer in answers} == {200}
        assert count_most_arrivals(harness.engines['model-1']) <= ALLOWED

    def test_retries_exceed_limit(self, harness: GatewayHarness) -> None:
        """Count the retries after failures of another engine."""
        limited = EngineBehaviour(limit_per_s=LIMIT_PER_S)
        harness.add_engine('model-1', behaviour=limited)
        failing = harness.add_engine('model-2')
        harness.until_engines(2)
        failing.faults.extend([EngineFault.SHED, EngineFault.CUT] * ROUNDS)
        send_rounds(harness)
        assert count_most_arrivals(harness.engines['model-1']) <= ALLOWED


class TestLearnedLimit:
    """Know a limit, and its end, on all hosts."""

    def test_other_hosts_learn_late(self, harness: GatewayHarness) -> None:
        """Tell the hosts that have sent nothing to the engine."""
        engine = harness.add_engine(
            'model-1', behaviour=EngineBehaviour(limit_per_s=LIMIT_PER_S)
        )
        harness.until_engines(1)
        harness.until(lambda: list_hosts(harness) == [3, 3, 3])
        assert harness.ask(CHAT, model='*').status == 200
        harness.until(lambda: list_limits(harness) == [LIMIT_PER_S] * 3)
        engine.behaviour.limit_per_s = 9.0
        harness.until(lambda: harness.ask(CHAT, model='*').status == 200)
        harness.until(lambda: list_limits(harness) == [9.0] * 3)
        engine.behaviour.limit_per_s = None
        harness.until(lambda: harness.ask(CHAT, model='*').status == 200)
        harness.until(lambda: list_limits(harness) == [None] * 3)

    def test_earlier_answer_ends_limit(self, harness: GatewayHarness) -> None:
        """Keep a limit when a request from before it is answered."""
        behaviour = EngineBehaviour(step_s=0.3, events=2)
        harness.add_engine('shop-1', SHOP, behaviour)
        harness.until_engines(1)
        answer = harness.send(PAY)
        harness.until(lambda: harness.engines['shop-1'].arrivals_s)
        app = harness.apps[0]
        engine = app.context.engines.find('shop-1')
        app.fleet.limits.record_head(engine, LIMIT_PER_S, app.context.now_s())
        harness.until(lambda: answer.ended)
        assert engine.limit is not None

    @pytest.mark.parametrize('text', ['', '-1', 'soon', 'nan', 'inf', '1e999'])
    def test_unreadable_limit(self, harness: GatewayHarness, text: str) -> None:
        """Forward an answer whose limit can't be read, and log it."""
        engine = harness.add_engine('shop-1', SHOP)
        engine.extra_headers = (Header(protocol.SERVER_LIMIT, text),)
        harness.until_engines(1)
        assert harness.ask(PAY).status == 200
        assert list_limits(harness) == [None] * 3
        assert 'event=headers_unreadable' in harness.log()


class TestNoRoom:
    """Decide on requests that no engine's limit has room for."""

    def test_waits_until_the_deadline(self) -> None:
        """Reject at once what can't be served, with a delay to retry."""
        harness = GatewayHarness()
        harness.add_engine('shop-1', SHOP, EngineBehaviour(limit_per_s=0.001))
        harness.until_engines(1)
        assert harness.ask(PAY).status == 200
        answer = harness.ask(PAY)
        harness.close()
        assert answer.status == 503
        assert float(answer.header(protocol.RETRY_AFTER)) > 0
        assert 'reason="the engines take no more requests"' in harness.log()

    def test_host_without_share_serves_nobody(
        self, harness: GatewayHarness
    ) -> None:
        """Borrow from the hosts that share an engine."""
        harness.add_engine('shop-1', SHOP, EngineBehaviour(limit_per_s=0.9))
        harness.until_engines(1)
        harness.until(lambda: list_hosts(harness) == [3, 3, 3])
        assert harness.ask(PAY).status == 200
        harness.until(lambda: list_limits(harness) == [0.9] * 3)
        shares = [
            app.context.engines.find('shop-1').limit.share
            for app in harness.apps
        ]
        without = shares.index(NO_SHARE)
        harness.until(lambda: harness.ask(PAY, app=without).status == 200)


def list_hosts(harness: GatewayHarness) -> list[int]:
    """Return how many hosts each host knows."""
    return [app.fleet.members.hosts for app in harness.apps]


def list_limits(harness: GatewayHarness) -> list[float | None]:
    """Return the limit of the only engine that each host knows."""
    limits = []
    for app in harness.apps:
        (engine,) = app.context.engines
        limits.append(engine.limit and engine.limit.limit_per_s)
    return limits
