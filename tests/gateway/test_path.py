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
from tests.gateway.world import GatewayWorld

MODEL_IDS = ('model-1', 'model-2')
EVENTS = b''.join(
    b'id: %d\ndata: piece %d\n\n' % (number, number) for number in range(1, 6)
)


@pytest.fixture
def world() -> Iterator[GatewayWorld]:
    """Run one gateway in front of an engine of each kind."""
    world = GatewayWorld()
    world.add_engine('model-1')
    world.add_engine('shop-1', SHOP)
    world.until_engines(2)
    yield world
    world.close()


class TestAnswers:
    """Forward requests and answers unchanged."""

    def test_plain_call(self, world: GatewayWorld) -> None:
        """Keep the method, target, body and the engine's stamp."""
        asked = world.ask(f'{PAY}a%20b?x=1&y=', body=b'\x00raw', method='PUT')
        run = world.engines['shop-1'].runs[0]
        assert (asked.status, asked.whole) == (200, True)
        assert asked.body == b'shop-1 ran request-1'
        assert asked.header(protocol.STAMP) == 'stamp-shop-1'
        assert (run.method, run.target) == ('PUT', f'{PAY}a%20b?x=1&y=')
        assert run.body == b'\x00raw'

    def test_stream(self, world: GatewayWorld) -> None:
        """Forward every event in order."""
        asked = world.ask(CHAT, model='*')
        assert (asked.status, asked.whole) == (200, True)
        assert asked.body == EVENTS
        run = world.engines['model-1'].runs[0]
        assert run.headers[protocol.MODEL.lower()] == SMALL

    def test_system_headers(self, world: GatewayWorld) -> None:
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
        world.ask(PAY, headers=forged)
        headers = world.engines['shop-1'].runs[0].headers
        assert 'forged' not in headers.values()
        assert protocol.API_KEY.lower() not in headers
        assert KEY not in headers.values()
        assert headers[protocol.TENANT.lower()] == CUSTOMER
        assert headers[protocol.EXPECT_INSTANCE.lower()] == 'shop-1'
        assert 0 < int(headers[protocol.DEADLINE_MS.lower()]) <= 1200

    def test_named_model(self, world: GatewayWorld) -> None:
        """Keep a model that the caller names."""
        world.engines['model-1'].behaviour.confidences['own'] = 0
        world.ask(CHAT, model='own')
        runs = world.engines['model-1'].runs
        assert [run.headers[protocol.MODEL.lower()] for run in runs] == ['own']


class TestRefusals:
    """Refuse requests without a route, key or engine."""

    def test_no_route(self, world: GatewayWorld) -> None:
        """Answer 404 without a matching prefix."""
        assert world.ask('/elsewhere/').status == 404

    def test_unknown_key(self, world: GatewayWorld) -> None:
        """Answer 401 without a known key."""
        assert world.ask(PAY, key='other').status == 401
        assert world.ask(PAY, key=None).status == 401
        assert not world.engines['shop-1'].runs

    def test_no_engine(self, world: GatewayWorld) -> None:
        """Refuse at once as not run, with a retry delay."""
        world.store.remove(f'{protocol.ENGINE_PREFIX}shop-1')
        world.until_engines(1)
        asked = world.ask(PAY)
        assert asked.status == 503
        assert 0 < float(asked.header(protocol.RETRY_AFTER)) < 2

    def test_revoked_key(self, world: GatewayWorld) -> None:
        """Answer 401 once a configuration revokes a key."""
        world.store.put(
            protocol.CONFIGURATION_KEY,
            build_configuration(2, tenants=[]),
        )
        app = world.apps[0]
        world.until(lambda: app.context.configuration.version == 2)
        assert world.ask(PAY).status == 401

    def test_older_configuration(self, world: GatewayWorld) -> None:
        """Keep the newer configuration when an older one is written."""
        world.store.put(protocol.CONFIGURATION_KEY, build_configuration(5))
        app = world.apps[0]
        world.until(lambda: app.context.configuration.version == 5)
        world.store.put(
            protocol.CONFIGURATION_KEY,
            build_configuration(4, tenants=[]),
        )
        world.until(lambda: 'configuration_ignored' in world.log())
        assert world.ask(PAY).status == 200


class TestFailures:
    """Retry only requests that may be retried."""

    def test_safe_call_again(self, world: GatewayWorld) -> None:
        """Retry on another engine after a failure."""
        world.add_engine('shop-2', SHOP)
        world.until_engines(3)
        for engine_id in ('shop-1', 'shop-2'):
            world.engines[engine_id].faults.append(EngineFault.ERROR)
        first = world.ask(LOOK, method='GET')
        # Each engine fails once, so the third run is the first whole one.
        second = world.ask(LOOK, method='GET')
        assert (first.status, second.status) == (500, 200)
        assert first.body == b'failed'

    def test_unsafe_call_once(self, world: GatewayWorld) -> None:
        """Don't run a payment again after its answer was lost."""
        world.add_engine('shop-2', SHOP)
        world.until_engines(3)
        for engine_id in ('shop-1', 'shop-2'):
            world.engines[engine_id].faults.append(EngineFault.CUT)
        asked = world.ask(PAY)
        runs = world.engines['shop-1'].runs + world.engines['shop-2'].runs
        assert asked.status == 502
        assert len(runs) == 1

    def test_unsafe_call_not_run(self, world: GatewayWorld) -> None:
        """Report a payment as not run if the engine rejected it."""
        world.engines['shop-1'].faults.append(EngineFault.SHED)
        asked = world.ask(PAY)
        assert asked.status == 503
        assert not world.engines['shop-1'].runs

    def test_answer_of_another(self, world: GatewayWorld) -> None:
        """Never forward an answer with another request's id."""
        world.engines['shop-1'].faults.append(EngineFault.WRONG_ID)
        assert world.ask(PAY).status == 502

    def test_answer_without_stamp(self, world: GatewayWorld) -> None:
        """Never forward a success without an engine's stamp."""
        world.engines['shop-1'].faults.append(EngineFault.NO_STAMP)
        assert world.ask(PAY).status == 502

    def test_surplus_answer(self, world: GatewayWorld) -> None:
        """Drop a surplus answer and stop using the connection."""
        world.engines['model-1'].faults.append(EngineFault.EXTRA)
        first = world.ask(CHAT, model=SMALL)
        second = world.ask(CHAT, model=SMALL)
        assert (first.body, second.body) == (EVENTS, EVENTS)

    def test_engine_gone(self, world: GatewayWorld) -> None:
        """Retry on another engine if the first is unreachable."""
        world.add_engine('shop-2', SHOP)
        world.until_engines(3)
        world.engines['shop-1'].stop()
        statuses = [world.ask(PAY).status for _ in range(6)]
        assert statuses == [200] * 6
        assert 'engine_paused' in world.log()


class TestStreams:
    """Deliver each event once, even over several engines."""

    @pytest.fixture
    def two(self, world: GatewayWorld) -> GatewayWorld:
        """Add a second model engine."""
        world.add_engine('model-2')
        world.until_engines(3)
        return world

    def test_resume(self, two: GatewayWorld) -> None:
        """Resume at another engine after the last complete event."""
        first = two.ask(CHAT, model=SMALL)
        (served,) = [each for each in MODEL_IDS if two.engines[each].runs]
        (other,) = [each for each in MODEL_IDS if each != served]
        two.engines[served].faults.append(EngineFault.CUT)
        asked = two.ask(CHAT, model=SMALL)
        (resumed,) = two.engines[other].runs
        assert (first.body, asked.body, asked.whole) == (EVENTS, EVENTS, True)
        assert resumed.headers[protocol.LAST_EVENT_ID.lower()] == '2'

    def test_every_engine_breaks(self, two: GatewayWorld) -> None:
        """Use the first engine again for the last attempt."""
        for engine_id in MODEL_IDS:
            two.engines[engine_id].faults.append(EngineFault.CUT)
        asked = two.ask(CHAT, model=SMALL)
        runs = sum(len(two.engines[each].runs) for each in MODEL_IDS)
        assert (asked.body, asked.whole, runs) == (EVENTS, True, 3)

    def test_stalled(self, two: GatewayWorld) -> None:
        """Cancel a stalled stream and resume at another engine."""
        two.engines['model-1'].faults.append(EngineFault.STALL)
        two.engines['model-2'].faults.append(EngineFault.STALL)
        asked = two.ask(CHAT, model=SMALL)
        assert asked.body == EVENTS
        ends = {
            run.ended
            for engine_id in ('model-1', 'model-2')
            for run in two.engines[engine_id].runs
        }
        assert ends == {'whole', 'cancelled'}

    def test_no_attempt_left(self, world: GatewayWorld) -> None:
        """Abort the connection, so that the answer can't seem complete."""
        world.engines['model-1'].faults.extend([EngineFault.CUT] * 3)
        asked = world.ask(CHAT, model=SMALL)
        assert not asked.whole
        assert asked.body == EVENTS[: len(asked.body)]

    def test_caller_gone(self, world: GatewayWorld) -> None:
        """Cancel the engine's request when the caller disconnects."""
        world.engines['model-1'].behaviour.step_s = 0.2
        asked = world.send(CHAT, model=SMALL)
        world.until(lambda: asked.body != b'')
        asked.connection.cancel()
        run = world.engines['model-1'].runs[0]
        world.until(lambda: run.ended == 'cancelled')
        assert not world.apps[0].traffic.running


class TestCascade:
    """Escalate answers of low confidence to a larger model."""

    def test_low_confidence(self, world: GatewayWorld) -> None:
        """Discard the first answer and forward the larger model's."""
        engine = world.engines['model-1']
        engine.behaviour.confidences[SMALL] = 10
        asked = world.ask(CHAT, model='*')
        models = [run.headers[protocol.MODEL.lower()] for run in engine.runs]
        assert models == [SMALL, LARGE]
        assert asked.header(protocol.CONFIDENCE) == '100'
        assert asked.body == EVENTS

    def test_high_confidence(self, world: GatewayWorld) -> None:
        """Forward a confident answer."""
        engine = world.engines['model-1']
        engine.behaviour.confidences[SMALL] = 90
        world.ask(CHAT, model='*')
        assert len(engine.runs) == 1


class TestLeaving:
    """Send no new requests to engines that are leaving."""

    def test_draining(self, world: GatewayWorld) -> None:
        """Send new requests elsewhere, even after a late ready entry."""
        world.add_engine('model-2')
        world.until_engines(3)
        world.relist('model-1', MODELS, state='draining', sequence=5)
        context = world.apps[0].context
        world.until(lambda: context.engines.find('model-1').leaving)
        world.relist('model-1', MODELS, state='ready', sequence=4)
        world.wait(0.4)
        for _ in range(4):
            world.ask(CHAT, model=SMALL)
        assert not world.engines['model-1'].runs

    def test_unreadable_entry(self, world: GatewayWorld) -> None:
        """Skip an engine with an unreadable entry, and keep serving."""
        key = f'{protocol.ENGINE_PREFIX}shop-1'
        world.store.put(key, b'\xff not json')
        world.until_engines(1)
        assert world.ask(PAY).status == 503
        assert world.ask(CHAT, model=SMALL).status == 200
        assert 'document_skipped' in world.log()

    def test_another_engine_at_the_address(self, world: GatewayWorld) -> None:
        """Treat a misdirected request as not run, and retry elsewhere."""
        world.engines['shop-1'].engine_id = 'stranger'
        world.add_engine('shop-2', SHOP)
        world.until_engines(3)
        assert [world.ask(LOOK).status for _ in range(4)] == [200] * 4
