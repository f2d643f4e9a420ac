"""Test the request path of a gateway from callers to engines."""

from collections.abc import Iterator

import pytest

from bamboodeck.fakes.platform.documents import (
    CHAT,
    CUSTOMER,
    KEY,
    LARGE,
    LOOK,
    MODELS,
    PAY,
    SHOP,
    SMALL,
    build_configuration,
)
from bamboodeck.fakes.platform.engine import EngineFault
from bamboodeck.http.messages import Header
from bamboodeck.platform import protocol
from tests.gateway.harness import GatewayHarness

MODEL_IDS = ('model-1', 'model-2')
EVENTS = b''.join(
    b'id: %d\ndata: piece %d\n\n' % (number, number) for number in range(1, 6)
)


@pytest.fixture
def harness() -> Iterator[GatewayHarness]:
    """Run one gateway in front of an engine of each kind."""
    harness = GatewayHarness()
    harness.add_engine('model-1')
    harness.add_engine('shop-1', SHOP)
    harness.until_engines(2)
    yield harness
    harness.close()


class TestAnswers:
    """Forward requests and answers unchanged."""

    def test_plain_call(self, harness: GatewayHarness) -> None:
        """Keep the method, target, body and the engine's stamp."""
        answer = harness.ask(
            f'{PAY}a%20b?x=1&y=', body=b'\x00raw', method='PUT'
        )
        run = harness.engines['shop-1'].runs[0]
        assert (answer.status, answer.whole) == (200, True)
        assert answer.body == b'shop-1 ran request-1'
        assert answer.header(protocol.STAMP) == 'stamp-shop-1'
        assert (run.method, run.target) == ('PUT', f'{PAY}a%20b?x=1&y=')
        assert run.body == b'\x00raw'

    def test_stream(self, harness: GatewayHarness) -> None:
        """Forward every event in order."""
        answer = harness.ask(CHAT, model='*')
        assert (answer.status, answer.whole) == (200, True)
        assert answer.body == EVENTS
        run = harness.engines['model-1'].runs[0]
        assert run.headers[protocol.MODEL.lower()] == SMALL

    def test_system_headers(self, harness: GatewayHarness) -> None:
        """Drop headers that only the gateway may set, and the API key."""
        forged = tuple(
            Header(name, 'forged')
            for name in (
                protocol.HOLD,
                protocol.PIN_MS,
                protocol.KV_BACKUP,
                protocol.KV_FROM,
                protocol.KV_FETCH,
                protocol.PRIORITY,
                protocol.TENANT,
                protocol.EXPECT_INSTANCE,
                protocol.EXPECT_VERSION,
            )
        )
        harness.ask(PAY, headers=forged)
        headers = harness.engines['shop-1'].runs[0].headers
        assert 'forged' not in headers.values()
        assert protocol.API_KEY.lower() not in headers
        assert KEY not in headers.values()
        assert headers[protocol.TENANT.lower()] == CUSTOMER
        assert headers[protocol.EXPECT_INSTANCE.lower()] == 'shop-1'
        assert 0 < int(headers[protocol.DEADLINE_MS.lower()]) <= 1200

    def test_named_model(self, harness: GatewayHarness) -> None:
        """Keep a model that the caller names."""
        harness.engines['model-1'].behaviour.confidences['own'] = 0
        harness.ask(CHAT, model='own')
        runs = harness.engines['model-1'].runs
        assert [run.headers[protocol.MODEL.lower()] for run in runs] == ['own']


class TestRefusals:
    """Refuse requests without a route, key or engine."""

    def test_no_route(self, harness: GatewayHarness) -> None:
        """Answer 404 without a matching prefix."""
        assert harness.ask('/elsewhere/').status == 404

    def test_unknown_key(self, harness: GatewayHarness) -> None:
        """Answer 401 without a known key."""
        assert harness.ask(PAY, key='other').status == 401
        assert harness.ask(PAY, key=None).status == 401
        assert not harness.engines['shop-1'].runs

    def test_no_engine(self, harness: GatewayHarness) -> None:
        """Refuse at once as not run, with a retry delay."""
        harness.store.remove(f'{protocol.ENGINE_PREFIX}shop-1')
        harness.until_engines(1)
        answer = harness.ask(PAY)
        assert answer.status == 503
        assert 0 < float(answer.header(protocol.RETRY_AFTER)) < 2

    def test_revoked_key(self, harness: GatewayHarness) -> None:
        """Answer 401 once a configuration revokes a key."""
        harness.store.put(
            protocol.CONFIGURATION_KEY,
            build_configuration(2, tenants=[]),
        )
        app = harness.apps[0]
        harness.until(lambda: app.context.configuration.version == 2)
        assert harness.ask(PAY).status == 401

    def test_older_configuration(self, harness: GatewayHarness) -> None:
        """Keep the newer configuration when an older one is written."""
        harness.store.put(protocol.CONFIGURATION_KEY, build_configuration(5))
        app = harness.apps[0]
        harness.until(lambda: app.context.configuration.version == 5)
        harness.store.put(
            protocol.CONFIGURATION_KEY,
            build_configuration(4, tenants=[]),
        )
        harness.until(lambda: 'configuration_ignored' in harness.log())
        assert harness.ask(PAY).status == 200


class TestFailures:
    """Retry only requests that may be retried."""

    def test_safe_call_again(self, harness: GatewayHarness) -> None:
        """Retry on another engine after a failure."""
        harness.add_engine('shop-2', SHOP)
        harness.until_engines(3)
        for engine_id in ('shop-1', 'shop-2'):
            harness.engines[engine_id].faults.append(EngineFault.ERROR)
        first = harness.ask(LOOK, method='GET')
        # Each engine fails once, so the third run is the first whole one.
        second = harness.ask(LOOK, method='GET')
        assert (first.status, second.status) == (500, 200)
        assert first.body == b'failed'

    def test_unsafe_call_once(self, harness: GatewayHarness) -> None:
        """Don't run a payment again after its answer was lost."""
        harness.add_engine('shop-2', SHOP)
        harness.until_engines(3)
        for engine_id in ('shop-1', 'shop-2'):
            harness.engines[engine_id].faults.append(EngineFault.CUT)
        answer = harness.ask(PAY)
        runs = harness.engines['shop-1'].runs + harness.engines['shop-2'].runs
        assert answer.status == 502
        assert len(runs) == 1

    def test_unsafe_call_not_run(self, harness: GatewayHarness) -> None:
        """Report a payment as not run if the engine rejected it."""
        harness.engines['shop-1'].faults.append(EngineFault.SHED)
        answer = harness.ask(PAY)
        assert answer.status == 503
        assert not harness.engines['shop-1'].runs

    def test_answer_of_another(self, harness: GatewayHarness) -> None:
        """Never forward an answer with another request's id."""
        harness.engines['shop-1'].faults.append(EngineFault.WRONG_ID)
        assert harness.ask(PAY).status == 502

    def test_answer_without_stamp(self, harness: GatewayHarness) -> None:
        """Never forward a success without an engine's stamp."""
        harness.engines['shop-1'].faults.append(EngineFault.NO_STAMP)
        assert harness.ask(PAY).status == 502

    def test_surplus_answer(self, harness: GatewayHarness) -> None:
        """Drop a surplus answer and stop using the connection."""
        harness.engines['model-1'].faults.append(EngineFault.EXTRA)
        first = harness.ask(CHAT, model=SMALL)
        second = harness.ask(CHAT, model=SMALL)
        assert (first.body, second.body) == (EVENTS, EVENTS)

    def test_engine_gone(self, harness: GatewayHarness) -> None:
        """Retry on another engine if the first is unreachable."""
        harness.add_engine('shop-2', SHOP)
        harness.until_engines(3)
        harness.engines['shop-1'].stop()
        statuses = [harness.ask(PAY).status for _ in range(6)]
        assert statuses == [200] * 6
        assert 'engine_paused' in harness.log()


class TestStreams:
    """Deliver each event once, even over several engines."""

    @pytest.fixture
    def two(self, harness: GatewayHarness) -> GatewayHarness:
        """Add a second model engine."""
        harness.add_engine('model-2')
        harness.until_engines(3)
        return harness

    def test_resume(self, two: GatewayHarness) -> None:
        """Resume at another engine after the last complete event."""
        first = two.ask(CHAT, model=SMALL)
        (served,) = [each for each in MODEL_IDS if two.engines[each].runs]
        (other,) = [each for each in MODEL_IDS if each != served]
        two.engines[served].faults.append(EngineFault.CUT)
        answer = two.ask(CHAT, model=SMALL)
        (resumed,) = two.engines[other].runs
        assert (first.body, answer.body, answer.whole) == (EVENTS, EVENTS, True)
        assert resumed.headers[protocol.LAST_EVENT_ID.lower()] == '2'

    def test_every_engine_breaks(self, two: GatewayHarness) -> None:
        """Use the first engine again for the last attempt."""
        for engine_id in MODEL_IDS:
            two.engines[engine_id].faults.append(EngineFault.CUT)
        answer = two.ask(CHAT, model=SMALL)
        runs = sum(len(two.engines[each].runs) for each in MODEL_IDS)
        assert (answer.body, answer.whole, runs) == (EVENTS, True, 3)

    def test_stalled(self, two: GatewayHarness) -> None:
        """Cancel a stalled stream and resume at another engine."""
        two.engines['model-1'].faults.append(EngineFault.STALL)
        two.engines['model-2'].faults.append(EngineFault.STALL)
        answer = two.ask(CHAT, model=SMALL)
        assert answer.body == EVENTS
        ends = {
            run.outcome
            for engine_id in ('model-1', 'model-2')
            for run in two.engines[engine_id].runs
        }
        assert ends == {'whole', 'cancelled'}

    def test_no_attempt_left(self, harness: GatewayHarness) -> None:
        """Abort the connection, so that the answer can't seem complete."""
        harness.engines['model-1'].faults.extend([EngineFault.CUT] * 3)
        answer = harness.ask(CHAT, model=SMALL)
        assert not answer.whole
        assert answer.body == EVENTS[: len(answer.body)]

    def test_caller_gone(self, harness: GatewayHarness) -> None:
        """Cancel the engine's request when the caller disconnects."""
        harness.engines['model-1'].behaviour.step_s = 0.2
        answer = harness.send(CHAT, model=SMALL)
        harness.until(lambda: answer.body != b'')
        answer.connection.cancel()
        run = harness.engines['model-1'].runs[0]
        harness.until(lambda: run.outcome == 'cancelled')
        assert not harness.apps[0].traffic.running


class TestCascade:
    """Escalate answers of low confidence to a larger model."""

    def test_low_confidence(self, harness: GatewayHarness) -> None:
        """Discard the first answer and forward the larger model's."""
        engine = harness.engines['model-1']
        engine.behaviour.confidences[SMALL] = 10
        answer = harness.ask(CHAT, model='*')
        models = [run.headers[protocol.MODEL.lower()] for run in engine.runs]
        assert models == [SMALL, LARGE]
        assert answer.header(protocol.CONFIDENCE) == '100'
        assert answer.body == EVENTS

    def test_high_confidence(self, harness: GatewayHarness) -> None:
        """Forward a confident answer."""
        engine = harness.engines['model-1']
        engine.behaviour.confidences[SMALL] = 90
        harness.ask(CHAT, model='*')
        assert len(engine.runs) == 1


class TestLeaving:
    """Send no new requests to engines that are leaving."""

    def test_draining(self, harness: GatewayHarness) -> None:
        """Send new requests elsewhere, even after a late ready entry."""
        harness.add_engine('model-2')
        harness.until_engines(3)
        harness.relist('model-1', MODELS, state='draining', sequence=5)
        context = harness.apps[0].context
        harness.until(lambda: context.engines.find('model-1').leaving)
        harness.relist('model-1', MODELS, state='ready', sequence=4)
        harness.wait(0.4)
        for _ in range(4):
            harness.ask(CHAT, model=SMALL)
        assert not harness.engines['model-1'].runs

    def test_unreadable_entry(self, harness: GatewayHarness) -> None:
        """Skip an engine with an unreadable entry, and keep serving."""
        key = f'{protocol.ENGINE_PREFIX}shop-1'
        harness.store.put(key, b'\xff not json')
        harness.until_engines(1)
        assert harness.ask(PAY).status == 503
        assert harness.ask(CHAT, model=SMALL).status == 200
        assert 'document_skipped' in harness.log()

    def test_another_engine_at_the_address(
        self, harness: GatewayHarness
    ) -> None:
        """Treat a misdirected request as not run, and retry elsewhere."""
        harness.engines['shop-1'].engine_id = 'stranger'
        harness.add_engine('shop-2', SHOP)
        harness.until_engines(3)
        assert [harness.ask(LOOK).status for _ in range(4)] == [200] * 4
