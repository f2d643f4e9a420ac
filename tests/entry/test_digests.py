"""Test that ratings reach the other nodes of the zone."""

import pytest

from bamboodeck.bench.slopes.stand_ins import CountingLink
from bamboodeck.entry.digests import DIGEST_PERIOD_S, RatingExchange
from bamboodeck.peers.messages import RatingDigest
from bamboodeck.quality.estimator import QualityEstimator
from bamboodeck.quality.messages import Rating
from tests.controller.virtual_loop import VirtualScheduler
from tests.virtual_store import VirtualClock

RELAY = 'host1.controller'


class LossyLink(CountingLink):
    """Drop the first messages."""

    def __init__(self, lost: int) -> None:
        """Drop the first `lost` messages."""
        super().__init__()
        self.arrived: list[RatingDigest] = []
        self._lost = lost

    def send(self, peer: str, message) -> None:
        """Record a message unless it is dropped."""
        super().send(peer, message)
        if self.sent > self._lost:
            self.arrived.append(message)


class Node:
    """Exchange ratings on a virtual clock."""

    def __init__(self, link: CountingLink, name: str) -> None:
        """Start without ratings."""
        self.clock = VirtualClock()
        self.quality = QualityEstimator()
        self.exchange = RatingExchange(
            link,
            VirtualScheduler(self.clock),
            name,
            lambda: (RELAY,),
        )
        self.exchange.attach(self.quality)

    def rate(self, request_id: str) -> None:
        """Record one rating."""
        self.quality.record(Rating('a', 'c', 'chat', 0.9, request_id, 0))

    def pass_periods(self, count: int) -> None:
        """Advance the clock by some digest periods."""
        self.clock.run(count * DIGEST_PERIOD_S)


class TestRatingExchange:
    """Repeat digests, as single ones may be lost."""

    @pytest.mark.parametrize('lost', [0, 1, 2])
    def test_lost_digests(self, lost) -> None:
        """Deliver each rating despite lost digests, and count it once."""
        link = LossyLink(lost)
        node = Node(link, 'host1')
        node.rate('r1')
        node.pass_periods(10)
        assert link.sent == 3
        other = Node(CountingLink(), 'host2')
        for digest in link.arrived:
            other.exchange._on_digest(RELAY, digest)
        assert other.quality.estimate('a', 'c', 'chat').count == 1

    def test_new_ratings(self) -> None:
        """Restart the repeats with each new rating."""
        link = LossyLink(0)
        node = Node(link, 'host1')
        for number in range(3):
            node.rate(f'r{number}')
            node.pass_periods(1)
        assert link.sent == 3
        node.pass_periods(10)
        assert link.sent == 5
