"""Test the balancer stand-in in front of two order services."""

import socket

from bamboodeck.fakes.balancer import Balancer
from bamboodeck.fakes.orders import OrderService, OrderSettings
from bamboodeck.http.messages import HttpFailed, HttpReply
from tests.fakes.peers import ANY_PORT, Peer, build_log
from tests.http.looping import build_loop, run_until


class Front:
    """Run a balancer and its targets in one loop."""

    def __init__(self) -> None:
        """Start all of them and wait until both targets are ready."""
        self.loop = build_loop()
        self.services = [self.start_service() for _ in range(2)]
        targets = tuple(each.stand_in.address for each in self.services)
        self.balancer = Balancer(
            self.loop,
            ANY_PORT,
            ANY_PORT,
            targets,
            build_log(),
        )
        self.control = Peer(self.loop, self.balancer.stand_in.address)
        run_until(self.loop, lambda: all(self.balancer.ready.values()))

    def start_service(self) -> OrderService:
        """Start a target."""
        settings = OrderSettings(delay_s=0)
        return OrderService(self.loop, ANY_PORT, settings, build_log())

    def call(self, body: str = ''):
        """Call through the balancer on a new connection."""
        caller = Peer(self.loop, self.balancer.address)
        outcome = caller.try_call('POST', '/pay', body)
        caller.client.close()
        return outcome

    def count_runs(self) -> list[int]:
        """Return the runs of each target."""
        return [len(each.journal.runs) for each in self.services]


class TestBalancer:
    """Distribute connections to the ready targets."""

    def test_in_turn(self) -> None:
        """Distribute connections in round-robin order."""
        front = Front()
        assert all(isinstance(front.call(), HttpReply) for _ in range(4))
        assert front.count_runs() == [2, 2]

    def test_large_bodies_pass(self) -> None:
        """Relay more bytes than the buffers hold."""
        front = Front()
        assert front.call('x' * 1_000_000).status == 200

    def test_target_that_is_not_ready(self) -> None:
        """Skip a target while it is not ready."""
        front = Front()
        first = Peer(front.loop, front.services[0].stand_in.address)
        first.order('refuse')
        run_until(
            front.loop,
            lambda: not all(front.balancer.ready.values()),
        )
        for _ in range(3):
            front.call()
        assert front.count_runs() == [0, 3]
        first.call('POST', '/control', {'clear': 'all'})
        run_until(front.loop, lambda: all(front.balancer.ready.values()))

    def test_cut_off(self) -> None:
        """Abort the open connections and open no new ones."""
        front = Front()
        target = front.services[0].stand_in.address
        direct = Peer(front.loop, target)
        place = (front.balancer.address.host, front.balancer.address.port)
        callers = [socket.create_connection(place) for _ in range(2)]
        run_until(front.loop, lambda: len(front.balancer.pipes) == 2)
        front.control.order('cut_off', target=str(target))
        run_until(front.loop, lambda: len(front.balancer.pipes) == 1)
        for _ in range(3):
            assert front.call().status == 200
        assert front.count_runs() == [0, 3]
        for caller in callers:
            caller.close()
        assert direct.try_call('GET', '/ready').status == 200

    def test_no_target(self) -> None:
        """Close a caller's connection if no target is ready."""
        front = Front()
        for target in front.balancer.ready:
            front.balancer.ready[target] = False
        caller = Peer(front.loop, front.balancer.address)
        outcome = caller.try_call('POST', '/pay', '')
        assert isinstance(outcome, HttpFailed)
        assert front.balancer.refused_count == 1
