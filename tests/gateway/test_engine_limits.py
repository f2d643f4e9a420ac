"""Test that the hosts together keep to the limits that engines name."""

from collections.abc import Iterator

import pytest

from bamboodeck.fakes.platform.documents import CHAT, SMALL
from bamboodeck.fakes.platform.engine import (
    EngineBehaviour,
    EngineFault,
    PlatformEngineFake,
)
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
