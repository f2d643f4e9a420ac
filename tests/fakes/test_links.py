"""Test the links in front of an order service."""

import socket

import pytest

from bamboodeck.fakes.links import Links, Route
from bamboodeck.fakes.orders import OrderService, OrderSettings
from bamboodeck.http.messages import HttpFailed
from tests.fakes.peers import ANY_PORT, Peer, build_log
from tests.http.looping import build_loop, run_until


class Linked:
    """Reach an order service over a link."""

    def __init__(self) -> None:
        """Start the service and two routes to it."""
        loop = build_loop()
        settings = OrderSettings(delay_s=0)
        service = OrderService(loop, ANY_PORT, settings, build_log())
        target = service.stand_in.address
        self.links = Links(
            loop,
            ANY_PORT,
            (Route('west', ANY_PORT, target), Route('east', ANY_PORT, target)),
            build_log(),
        )
        self.control = Peer(loop, self.links.stand_in.address)
        west, east = (each.listener.address for each in self.links.relays)
        self.west = Peer(loop, west)
        self.east = Peer(loop, east)
        self.loop = loop


class TestLinks:
    """Relay, cut, hold and delay by name."""

    def test_cut_and_heal(self) -> None:
        """Cut one link and leave the other."""
        linked = Linked()
        linked.control.order('set_link', name='west', state='cut')
        cut = linked.west.try_call('POST', '/pay', '')
        assert isinstance(cut, HttpFailed)
        assert linked.east.try_call('POST', '/pay', '').status == 200
        linked.control.order('set_link', name='west')
        assert linked.west.try_call('POST', '/pay', '').status == 200

    def test_open_connection_is_cut(self) -> None:
        """Close the open connections."""
        linked = Linked()
        address = linked.west.address
        caller = socket.create_connection((address.host, address.port))
        relay = linked.links.relays[0]
        run_until(linked.loop, lambda: bool(relay.pipes))
        linked.control.order('set_link', name='west', state='cut')
        assert not relay.pipes
        assert caller.recv(1) == b''
        caller.close()

    def test_held_bytes_arrive_later(self) -> None:
        """Pass no bytes while held, and all of them afterwards."""
        linked = Linked()
        linked.control.order('set_link', name='west', state='held')
        waiting = linked.west.stream('/pay', 'x' * 1_000_000)
        held = linked.west.try_call('POST', '/pay', '', timeout_s=0.1)
        assert isinstance(held, HttpFailed)
        assert not waiting.ended
        linked.control.call('POST', '/control', {'clear': 'all'})
        run_until(linked.loop, lambda: waiting.ended)
        assert waiting.whole

    def test_delay_keeps_the_order(self) -> None:
        """Deliver a large body complete and after the delay."""
        linked = Linked()
        linked.control.order('set_link', name='west', delay_ms=20)
        start_s = linked.loop.scheduler.now_s()
        reply = linked.west.try_call('POST', '/pay', 'x' * 1_000_000)
        assert reply.status == 200
        assert linked.loop.scheduler.now_s() - start_s >= 0.04

    @pytest.mark.parametrize(
        'order',
        [
            {'fault': 'set_link', 'name': 'west', 'state': 'sideways'},
            {'fault': 'set_link', 'state': 'cut'},
            {'fault': 'cut_link'},
        ],
    )
    def test_bad_orders(self, order) -> None:
        """Reject the order and leave the link up."""
        linked = Linked()
        reply = linked.control.try_call('POST', '/control', order)
        assert reply.status == 400
        assert linked.west.try_call('POST', '/pay', '').status == 200
