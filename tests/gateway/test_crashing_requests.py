"""Test that a request that crashes its engines is blocked, and no other one."""

from collections.abc import Callable, Iterator

import pytest

from bamboodeck.fakes.platform.documents import (
    CHAT,
    LOOK,
    MODELS,
    PAY,
    SHOP,
    SMALL,
)
from bamboodeck.gateway.fingerprints import CHECK_DELAY_S
from bamboodeck.http.messages import Address, FailureKind, HttpFailed
from bamboodeck.platform import protocol
from tests.gateway.harness import CallerAnswer
from tests.gateway.raw_bench import Bench
from tests.gateway.raw_engine import Call, RawEngine

HOSTS = 2
ENGINES = 4
DEADLY = 'deadly'
# The rule allows that many runs, long after the third crash.
ALLOWED_RUNS = 3
EVENT_STREAM = 'Content-Type: text/event-stream'


def reset(call: Call) -> None:
    """Reset the connection before an answer."""
    call.connection.abort()


def reset_in_head(call: Call) -> None:
    """Reset the connection within the head."""
    call.write(b'HTTP/1.1 200 OK\r\nX-Filler: ')
    call.connection.close()


def reset_in_body(call: Call) -> None:
    """Reset the connection within a body that has a length."""
    call.write_head('Content-Length: 100')
    call.write(b'begun')
    call.connection.close()


def reset_in_chunks(call: Call) -> None:
    """Reset the connection within a chunked body."""
    call.write_head('Transfer-Encoding: chunked')
    call.write(b'5\r\nbegun\r\n')
    call.connection.close()


def fall_silent(call: Call) -> None:
    """Send nothing, as a machine that lost its power."""


BREAKS = (reset, reset_in_head, reset_in_body, reset_in_chunks)


class Shop:
    """Run engines that crash on one request, and come back."""

    def __init__(self, bench: Bench, service: str) -> None:
        """Start without engines."""
        self.bench = bench
        self.service = service
        self.break_off: Callable[[Call], None] = reset
        self.come_back: Callable[[str, RawEngine], None] = self.stay_away
        self.runs = 0
        # Whether the engine only loses the answer, and runs on.
        self.runs_on = False
        self.ids: dict[int, str] = {}

    def start(self, engines: int) -> None:
        """Start engines."""
        for number in range(1, engines + 1):
            engine = self.bench.add_raw(self.answer, self.service)
            self.ids[engine.port] = f'raw-{number}'

    def answer(self, call: Call) -> None:
        """Answer, or crash."""
        if DEADLY not in call.parsed.target:
            call.write_answer(b'id: 1\ndata: a\n\n')
            return
        self.runs += 1
        engine = next(each for each in self.bench.raw if call in each.calls)
        self.break_off(call)
        if self.runs_on:
            return
        self.bench.raw.remove(engine)
        if self.break_off is not fall_silent:
            self.bench.loop.scheduler.call_after(0, engine.close)
        self.come_back(self.ids[engine.port], engine)

    def stay_away(self, engine_id: str, engine: RawEngine) -> None:
        """Refuse connections from now on."""

    def restart(self, engine_id: str, engine: RawEngine) -> None:
        """Listen again at once under the same id."""
        self.replace(engine, engine_id)

    def restart_renamed(self, engine_id: str, engine: RawEngine) -> None:
        """Listen again at once under a new id."""
        self.bench.store.remove(f'{protocol.ENGINE_PREFIX}{engine_id}')
        self.replace(engine, f'{engine_id}-new')

    def replace(self, engine: RawEngine, engine_id: str) -> None:
        """Take an engine's address."""
        engine.close()
        successor = RawEngine(self.bench.loop, self.answer, engine.port)
        self.bench.raw.append(successor)
        self.ids[engine.port] = engine_id
        self.bench.list_raw(
            engine_id, successor, self.service, born=1000 + self.runs
        )


@pytest.fixture
def bench() -> Iterator[Bench]:
    """Run two gateways that know each other."""
    bench = Bench(hosts=HOSTS)
    bench.until(
        lambda: all(app.fleet.members.hosts == HOSTS for app in bench.apps),
    )
    yield bench
    bench.close()


def ask_deadly(bench: Bench, path: str, app: int = 0) -> CallerAnswer:
    """Send the same request again."""
    model = SMALL if path == CHAT else None
    return bench.ask(
        f'{path}{DEADLY}',
        app=app,
        model=model,
        deadline_ms=1000,
        body=b'the same',
    )


def ask_until_blocked(bench: Bench, path: str, app: int = 0) -> None:
    """Send the request until it is refused as not run."""
    answer = ask_deadly(bench, path, app)
    asked = 1
    while answer.status != 503:
        assert asked < 2 * ENGINES, bench.log()
        # The engine's state is known before the caller comes again.
        bench.wait(3 * CHECK_DELAY_S)
        answer = ask_deadly(bench, path, app)
        asked += 1


def is_blocked(bench: Bench, app: int) -> bool:
    """Tell whether a host has blocked any request."""
    guard = bench.apps[app].context.poison
    now_s = bench.apps[app].context.environment.wall_s()
    crashes = guard.reports(now_s)
    return any(guard.check(each.fingerprint, now_s) for each in crashes)


class TestDeadlyRequest:
    """Block it at all hosts, also at one that sends nothing else."""

    @pytest.mark.parametrize('break_off', BREAKS)
    @pytest.mark.parametrize('path', [LOOK, PAY, CHAT])
    def test_never_blocked_at_idle_host(
        self,
        bench: Bench,
        path: str,
        break_off: Callable[[Call], None],
    ) -> None:
        """Find out oneself whether an engine has crashed."""
        shop = Shop(bench, MODELS if path == CHAT else SHOP)
        shop.break_off = break_off
        shop.start(ENGINES)
        assert bench.ask(f'{path}first', model=SMALL).status == 200
        ask_until_blocked(bench, path)
        assert 'evidence=refused' in bench.log()
        assert shop.runs <= ALLOWED_RUNS
        bench.until(lambda: is_blocked(bench, 1))
        runs = shop.runs
        assert ask_deadly(bench, path, 1).status == 503
        assert shop.runs == runs
        assert bench.ask(f'{path}sound', model=SMALL).status == 200

    @pytest.mark.parametrize('comes_back', ['restart', 'restart_renamed'])
    @pytest.mark.parametrize('break_off', [reset, fall_silent])
    @pytest.mark.parametrize('path', [LOOK, PAY])
    def test_never_blocked_if_engines_restart(
        self,
        bench: Bench,
        path: str,
        break_off: Callable[[Call], None],
        comes_back: str,
    ) -> None:
        """Take an engine that was replaced for one that crashed."""
        shop = Shop(bench, SHOP)
        shop.break_off = break_off
        shop.come_back = getattr(shop, comes_back)
        shop.start(ENGINES)
        ask_until_blocked(bench, path)
        assert 'evidence=refused' not in bench.log()
        assert shop.runs <= 2 * ALLOWED_RUNS

    def test_known_after_restart(self, bench: Bench) -> None:
        """Tell a host that starts later."""
        shop = Shop(bench, SHOP)
        shop.start(ENGINES)
        ask_until_blocked(bench, PAY)
        bench.start_host('host-3', zone='gent')
        bench.until(lambda: is_blocked(bench, HOSTS))
        runs = shop.runs
        assert ask_deadly(bench, PAY, HOSTS).status == 503
        assert shop.runs == runs


class TestSoundRequest:
    """Serve it beside crashes of other causes, and lost answers."""

    @pytest.mark.parametrize('break_off', BREAKS)
    def test_blocked_by_lost_answers(
        self,
        bench: Bench,
        break_off: Callable[[Call], None],
    ) -> None:
        """Don't take an engine that runs on for one that crashed."""
        shop = Shop(bench, SHOP)
        shop.break_off = break_off
        shop.runs_on = True
        shop.start(ENGINES)
        for asked in range(2 * ENGINES):
            assert ask_deadly(bench, LOOK, asked % HOSTS).status == 502
            bench.wait(2 * CHECK_DELAY_S)
        assert 'request_suspected' not in bench.log()

    def test_blocked_by_crashes_beside(self, bench: Bench) -> None:
        """Clear it on all hosts when one of them answers it."""
        crashing = []

        def script(call: Call) -> None:
            engine = next(each for each in bench.raw if call in each.calls)
            if not crashing:
                call.write_answer(b'{}')
                return
            crashing.clear()
            bench.raw.remove(engine)
            call.connection.abort()
            bench.loop.scheduler.call_after(0, engine.close)

        for _ in range(ENGINES):
            bench.add_raw(script)
        for _ in range(ENGINES - 1):
            crashing.append(1)
            # The first host loses a payment beside a crash; the caller asks
            # the other host again.
            assert ask_deadly(bench, PAY, 0).status == 502
            assert ask_deadly(bench, PAY, 1).status == 200
            bench.wait(1.5)
        assert bench.log().count('event=request_suspected') == ENGINES - 1
        assert ask_deadly(bench, PAY, 0).status == 200

    def test_blocked_by_leaving_engine(self, bench: Bench) -> None:
        """Don't suspect what an engine breaks off as it stops."""
        bench.add_raw(lambda call: call.write_answer(b'{}'))
        app = bench.apps[0]
        engine = app.context.engines.find('raw-1')
        engine.leaving = True
        tracker = app.traffic.outcomes.crashes
        tracker.record_broken('sound', engine)
        tracker.record_refused(engine)
        assert 'request_suspected' not in bench.log()

    def test_blocked_by_cut_network(
        self,
        bench: Bench,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Don't take an engine that can't be reached for one that crashed."""
        bench.add_raw(lambda call: call.write_answer(b'{}'))
        app = bench.apps[0]
        lost = HttpFailed('connecting timed out', False, FailureKind.SILENT)
        checks = []

        def connect(
            address: Address,
            timeout_s: float,
            on_connected: Callable[[HttpFailed | None], None],
        ) -> None:
            checks.append(address)
            on_connected(lost)

        monkeypatch.setattr(app.context.client, 'connect', connect)
        engine = app.context.engines.find('raw-1')
        app.traffic.outcomes.crashes.record_broken('sound', engine)
        bench.until(lambda: bool(checks))
        assert 'request_suspected' not in bench.log()

    def test_connection_opened_to_late_engine(self, bench: Bench) -> None:
        """Open no connection to an engine that only answers late."""
        engine = bench.add_raw(fall_silent)
        assert ask_deadly(bench, PAY).status == 504
        bench.wait(2 * CHECK_DELAY_S)
        assert len(engine.calls) == 1
        assert not engine.connections
