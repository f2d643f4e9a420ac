"""Test that a buffered cascade answer is rated before it is sent."""

import re

import msgspec
import pytest

from bamboodeck.bench.soak.answer_reader import Received, read_chat
from bamboodeck.quality.messages import Rating
from tests.system.harness import System

CUSTOMER = 'medena-members'
KEY = 'medena-key-1'
CLASS = 'wording'
TOKENS = 12
TAG = 'broken'


def prefer_cascades(text: str) -> str:
    """Make a cascade from a small version the cheapest option."""
    text = text.replace('accept_rollouts = yes', 'accept_rollouts = no')
    return re.sub('delay_credits_per_s = .*', 'delay_credits_per_s = 0', text)


@pytest.fixture(scope='module')
def system() -> System:
    """Share one system among the tests that break no stream."""
    return build_system()


def build_system() -> System:
    """Start one zone with ratings of small@1 that vary widely."""
    built = System(zones=1)
    built.configure(prefer_cascades)
    for app in built.entries.values():
        for number in range(200):
            app.router.quality.record(
                Rating(
                    'small@1',
                    CUSTOMER,
                    CLASS,
                    0.95 if number % 2 else 0.55,
                    f'r{number}',
                ),
            )
            app.router.quality.record(
                Rating('medium@1', CUSTOMER, CLASS, 0.95, f'm{number}'),
            )
    return built


def ask(system: System) -> str:
    """Send a request and return the version that answered."""
    answer = system.ask(
        system.host_addresses[0],
        KEY,
        headers={'X-Bamboodeck-Class': CLASS},
        text='Rewrite the list of ingredients. ' * 20,
    )
    assert answer.status == 200, answer.body
    return msgspec.json.decode(answer.body)['model']


class TestCascade:
    """Send the cheap answer only when it is good enough."""

    def test_good_cheap_answer_is_sent(self, system: System) -> None:
        """Send the accepted answer of the first step."""
        assert ask(system) == 'small@1'
        assert 'event=cascade_judged' in system.log_stream.getvalue()

    def test_bad_cheap_answer_is_replaced(self, system: System) -> None:
        """Run the next version after a bad rating."""
        system.inject_fault(
            system.rating,
            {'fault': 'biased', 'shift': -0.6},
        )
        assert ask(system) != 'small@1'


class TestBrokenStep:
    """Interrupt the stream of the first step."""

    def test_resumed_and_whole(self) -> None:
        """Keep the buffered text and the remaining steps on a resume."""
        system = build_system()
        boards = [engine.stand_in.faults for engine in system.engines]
        for engine in system.engines:
            fault = {'fault': 'break_stream', 'after_tokens': 5}
            system.inject_fault(engine, fault)
        outcomes = system.send_chat(
            system.host_addresses[0],
            KEY,
            headers={'X-Bamboodeck-Class': CLASS, 'X-Request-Id': TAG},
            text=f'[echo:{TAG}] ' * 20,
            stream=True,
        )
        system.until(lambda: any(each.used['break_stream'] for each in boards))
        for board in boards:
            board.clear_all()
        answer = system.wait(outcomes)
        reading = read_chat(
            Received(answer.status, answer.headers, answer.body),
            stream=True,
        )
        assert reading.text == ''.join(
            f'{TAG}.{offset} ' for offset in range(TOKENS)
        )
        log = system.log_stream.getvalue()
        assert 'resume_from=5' in log
        assert f'event=cascade_judged request_id={TAG}' in log
