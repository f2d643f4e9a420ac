"""Test the fault control of the stand-ins."""

import pytest

from bamboodeck.fakes.balancer import Balancer
from bamboodeck.fakes.engine.messages import EngineSettings
from bamboodeck.fakes.engine.server import ModelEngine
from bamboodeck.fakes.faults import FaultRegistry, FaultOrderError, Refuse
from bamboodeck.fakes.host_list import HostList
from bamboodeck.fakes.key_value.server import (
    KeyValueService,
    KeyValueSettings,
)
from bamboodeck.fakes.links import Links
from bamboodeck.fakes.orders import OrderService, OrderSettings
from bamboodeck.fakes.rating import RatingService, RatingSettings
from bamboodeck.fakes.weights import WeightSettings, WeightStore
from bamboodeck.http.messages import HttpFailed
from tests.fakes.peers import ANY_PORT, start_peer
from tests.http.looping import run_until

BUILDS = (
    (ModelEngine, (EngineSettings('e1', ('a@1',)),)),
    (KeyValueService, (KeyValueSettings(),)),
    (OrderService, (OrderSettings(),)),
    (RatingService, (RatingSettings(),)),
    (HostList, ((), 0)),
    (WeightStore, (WeightSettings(),)),
    (Balancer, (ANY_PORT, ())),
    (Links, ((),)),
)


@pytest.mark.parametrize(('build', 'settings'), BUILDS)
class TestEveryStandIn:
    """Control each stand-in in the same way."""

    def test_bad_order_is_refused_and_named(self, build, settings) -> None:
        """Name the unknown fault in the error."""
        _, peer = start_peer(build, *settings)
        reply = peer.try_call('POST', '/control', {'fault': 'made_up'})
        assert reply.status == 400
        assert b'made_up' in reply.body

    def test_faults_in_force_are_shown(self, build, settings) -> None:
        """List a fault until it is cleared."""
        _, peer = start_peer(build, *settings)
        peer.order('slow', delay_ms=1)
        shown = peer.call('GET', '/control')['faults']
        assert [(each['fault'], each['delay_ms']) for each in shown] == [
            ('slow', 1),
        ]
        peer.call('POST', '/control', {'clear': 'all'})
        assert not peer.call('GET', '/control')['faults']

    def test_refuse_and_hang_up(self, build, settings) -> None:
        """Refuse one request and hang up on the next."""
        _, peer = start_peer(build, *settings)
        peer.order('refuse', status=500, times=1)
        assert peer.try_call('GET', '/ready').status == 500
        peer.order('hang_up', times=1)
        assert isinstance(peer.try_call('GET', '/ready'), HttpFailed)
        assert peer.try_call('GET', '/ready').status == 200

    def test_freeze_holds_until_it_ends(self, build, settings) -> None:
        """Send no response while frozen and resume afterwards."""
        _, peer = start_peer(build, *settings)
        peer.order('freeze')
        frozen = peer.try_call('GET', '/ready', timeout_s=0.1)
        assert isinstance(frozen, HttpFailed)
        peer.order('freeze', for_s=0.1)
        assert peer.try_call('GET', '/ready').status == 200

    def test_stop_ends_the_loop(self, build, settings) -> None:
        """Stop the loop although a freeze is active."""
        stand_in, peer = start_peer(build, *settings)
        peer.order('freeze')
        getattr(stand_in, 'stop', stand_in.stand_in.stop)()
        run_until(peer.loop, lambda: not peer.loop.running)


@pytest.mark.parametrize(
    ('build', 'settings', 'order'),
    [
        (
            KeyValueService,
            (KeyValueSettings(),),
            {'fault': 'expire_lease', 'lease_id': 5},
        ),
        (
            HostList,
            ((), 0),
            {'fault': 'set_state', 'name': 'h9', 'state': 'leaving'},
        ),
        (HostList, ((), 0), {'fault': 'remove_host', 'name': 'h9'}),
        (
            Balancer,
            (ANY_PORT, ()),
            {'fault': 'cut_off', 'target': '127.0.0.1:9'},
        ),
        (Links, ((),), {'fault': 'set_link', 'name': 'west'}),
    ],
)
class TestUnknownSubject:
    """Reject an order for an unknown subject."""

    def test_refused(self, build, settings, order) -> None:
        """Name the subject and activate no fault."""
        _, peer = start_peer(build, *settings)
        reply = peer.try_call('POST', '/control', order)
        assert reply.status == 400
        assert str(tuple(order.values())[1]).encode() in reply.body
        assert not peer.call('GET', '/control')['faults']


class TestFaultRegistry:
    """Parse orders and count uses."""

    @pytest.mark.parametrize(
        ('order', 'named'),
        [
            (b'nonsense', 'JSON'),
            (b'[]', 'JSON'),
            (b'{"fault": 5}', 'unknown fault "5"'),
            (b'{"fault": "refuse", "extra": 1}', '"extra"'),
            (b'{"fault": "refuse", "status": "bad"}', '$.status'),
            (b'{"fault": "refuse", "times": -1}', '$.times'),
            (b'{"fault": "slow"}', 'delay_ms'),
            (b'{"clear": "made_up"}', 'made_up'),
            (b'{"clear": "all", "more": 1}', 'no other field'),
        ],
    )
    def test_bad_orders(self, order, named) -> None:
        """Name the error and activate no fault."""
        registry = FaultRegistry((), float)
        with pytest.raises(FaultOrderError) as raised:
            registry.parse(order)
        assert named in str(raised.value)
        assert registry.empty

    def test_times_are_counted(self) -> None:
        """Clear a fault after its last use."""
        registry = FaultRegistry((), float)
        registry.apply(registry.parse(b'{"fault": "refuse", "times": 2}'))
        uses = [registry.consume(Refuse) is not None for _ in range(3)]
        assert uses == [True, True, False]

    def test_time_runs_out(self) -> None:
        """Clear a fault after its duration."""
        now_s = [0.0]
        registry = FaultRegistry((), lambda: now_s[0])
        registry.apply(registry.parse(b'{"fault": "refuse", "for_s": 5}'))
        now_s[0] = 4.9
        assert registry.current(Refuse)
        now_s[0] = 5.0
        assert registry.current(Refuse) is None
        assert registry.empty
