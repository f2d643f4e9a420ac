"""Test prompt parts that crash the engines that read them."""

from collections.abc import Iterator

import pytest

from bamboodeck.fakes.platform.documents import CHAT, SMALL
from bamboodeck.fakes.platform.engine import EngineBehaviour
from bamboodeck.gateway.suspect_parts import (
    CRASHES_TO_BLOCK,
    EngineCrash,
    SuspectPart,
)
from bamboodeck.http.messages import Header
from bamboodeck.platform import protocol
from tests.gateway.harness import CallerAnswer, GatewayHarness

HOSTS = 3
ENGINES = 12
SHARED = 'a1'
DEADLY = 'dead'


@pytest.fixture
def harness() -> Iterator[GatewayHarness]:
    """Run several gateways in front of engines that crash on one part."""
    harness = GatewayHarness(HOSTS)
    for number in range(ENGINES):
        harness.add_engine(
            f'model-{number}',
            behaviour=EngineBehaviour(deadly_part=DEADLY),
        )
    harness.until_engines(ENGINES)
    harness.until(
        lambda: all(app.fleet.members.hosts == HOSTS for app in harness.apps),
    )
    yield harness
    harness.close()


def ask(
    harness: GatewayHarness,
    number: int,
    *middle: str,
) -> CallerAnswer:
    """Ask any host with a prompt whose last part is the request's own."""
    parts = (SHARED, *middle, f'{number:x}f')
    prompt = ','.join(f'{part}:50' for part in parts)
    headers = (
        Header(protocol.MODEL, SMALL),
        Header(protocol.TOKEN_COUNTS, '200,20'),
        Header(protocol.PROMPT_PREFIX, prompt),
    )
    return harness.ask(
        f'{CHAT}{number}',
        body=b'%d' % number,
        app=number % len(harness.apps),
        headers=headers,
    )


def count_crashed(harness: GatewayHarness) -> int:
    """Return the number of engines that have crashed."""
    return sum(
        any(run.outcome == 'crashed' for run in engine.runs)
        for engine in harness.engines.values()
    )


def crash_until_blamed(harness: GatewayHarness) -> int:
    """Ask with the deadly part until all hosts blame it."""
    for number in range(HOSTS):
        assert ask(harness, number, f'{number:x}c').status == 200
    asked = 0
    while count_crashed(harness) < CRASHES_TO_BLOCK:
        ask(harness, 100 + asked, f'{asked:x}b', DEADLY)
        asked += 1
    harness.until(
        lambda: all(
            app.context.suspect_parts.list_blamed(app.context.now_s())
            for app in harness.apps
        ),
    )
    return count_crashed(harness)


class TestDeadlyPart:
    """Stop the crashes, and serve the requests beside them."""

    def test_crash_after_crash(self, harness: GatewayHarness) -> None:
        """Refuse requests with the part on every host, as not run."""
        crashed = crash_until_blamed(harness)
        runs = sum(len(engine.runs) for engine in harness.engines.values())
        for number in range(200, 200 + 3 * HOSTS):
            answer = ask(harness, number, f'{number:x}b', DEADLY)
            assert answer.status == 503
            assert answer.header(protocol.RETRY_AFTER) is not None
        assert count_crashed(harness) == crashed
        assert runs == sum(
            len(engine.runs) for engine in harness.engines.values()
        )

    def test_sound_requests(self, harness: GatewayHarness) -> None:
        """Serve requests that share the other parts."""
        crash_until_blamed(harness)
        for number in range(200, 200 + 3 * HOSTS):
            assert ask(harness, number, '0b').status == 200
            assert ask(harness, number).status == 200

    def test_told_by_few(self, harness: GatewayHarness) -> None:
        """Don't blame a shared part on a host that never used it."""
        crash_until_blamed(harness)
        for app in harness.apps:
            blamed = app.context.suspect_parts.list_blamed(app.context.now_s())
            assert blamed == {DEADLY}


class TestSharing:
    """Tell other hosts what was on an engine that crashed."""

    def test_many_requests_on_an_engine(self, harness: GatewayHarness) -> None:
        """Leave out none of the requests that broke off with an engine."""
        first, *others = harness.apps
        now_s = first.context.now_s()
        for number in range(60):
            part = SuspectPart(f'{number:x}', 1)
            first.fleet.suspects.report(
                EngineCrash('model-0/1', now_s, (part,)),
            )
        update = first.fleet.suspects.build_update(is_first=False)
        assert len(update.crashes) == 1
        assert len(update.crashes[0].parts) == 60
        for other in others:
            other.fleet.suspects.apply(update)
            assert 'model-0/1' in other.context.suspect_parts.crashes


class TestRestart:
    """Keep what was learned when hosts restart."""

    def test_all_restarted(self, harness: GatewayHarness) -> None:
        """Refuse the part on a host that starts after the crashes."""
        crashed = crash_until_blamed(harness)
        key = f'{protocol.OWN_PREFIX}parts/{DEADLY}'
        harness.until(lambda: harness.store.read(key) is not None)
        for app in harness.apps:
            app.callers.stop_accepting()
            app.fleet.link.close()
        started = harness.start_host('host-later')
        harness.apps = [started]
        harness.until(lambda: started.context.routes is not None)
        answer = ask(harness, HOSTS * 100, '0b', DEADLY)
        assert answer.status == 503
        assert count_crashed(harness) == crashed

    def test_listed_once(self, harness: GatewayHarness) -> None:
        """Write the entry by one host, not by each."""
        crash_until_blamed(harness)
        harness.until(
            lambda: all(
                app.context.suspect_parts.listed for app in harness.apps
            ),
        )
        assert harness.store.calls[protocol.COMMIT_PATH] == HOSTS + 1
