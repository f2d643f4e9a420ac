"""Test the HTTP clients of platform services against stand-ins."""

import pytest

from bamboodeck.fakes.host_list import HostList
from bamboodeck.fakes.rating import RatingService, RatingSettings
from bamboodeck.fakes.weights import WeightSettings, WeightStore
from bamboodeck.http.messages import ApiResponse
from bamboodeck.http.server import HttpServer
from bamboodeck.external.host_list import (
    Host,
    HostListUnavailable,
    HostRole,
    HostsRead,
    HostState,
    HttpHostList,
)
from bamboodeck.external.rating import (
    HttpRating,
    RateAnswer,
    Rated,
    RatingUnavailable,
)
from bamboodeck.external.weight_store import (
    FetchWeights,
    HttpWeightStore,
    WeightsFetched,
    WeightsLimited,
    WeightStoreUnavailable,
)
from tests.fakes.peers import ANY_PORT, Peer, start_peer
from tests.http.looping import build_loop, run_until

RATE_ANSWER = RateAnswer('r1', 'a@1', 'c', 'plan', 'fine')
FETCH_WEIGHTS = FetchWeights('a@1', 'e1')
HOST = Host('h1', '127.0.0.1:1', 'z1', HostRole.ENTRY, HostState.LEAVING)


def serve(status: int, body: bytes) -> Peer:
    """Start a server that gives the same answer to every request."""
    loop = build_loop()
    server = HttpServer(
        loop,
        ANY_PORT,
        lambda request, responder: responder.respond(ApiResponse(status, body)),
    )
    return Peer(loop, server.address)


def read_hosts(peer: Peer):
    """Return the reply of the host list."""
    replies: list = []
    HttpHostList(peer.client, peer.address).read(replies.append)
    run_until(peer.loop, lambda: bool(replies))
    return replies[0]


def rate(peer: Peer, timeout_s: float = 5.0):
    """Return the reply of the rating service."""
    replies: list = []
    rating = HttpRating(peer.client, peer.address, timeout_s)
    rating.rate(RATE_ANSWER, replies.append)
    run_until(peer.loop, lambda: bool(replies))
    return replies[0]


def fetch(peer: Peer):
    """Return the reply of the weight store."""
    replies: list = []
    store = HttpWeightStore(peer.client, peer.address, 5.0)
    store.fetch(FETCH_WEIGHTS, replies.append)
    run_until(peer.loop, lambda: bool(replies))
    return replies[0]


class TestHostListPort:
    """Test the client of the host list."""

    def test_hosts(self) -> None:
        """Decode the hosts of the list."""
        _, peer = start_peer(HostList, (HOST,), 0)
        assert read_hosts(peer) == HostsRead(1, (HOST,))

    @pytest.mark.parametrize(
        ('status', 'body'),
        [
            (503, b'{"revision": 1, "hosts": []}'),
            (200, b'{"hosts": []}'),
            (200, b'{"revision": 1, "hosts": [{"name": "x"}]}'),
            (200, b'nonsense'),
        ],
    )
    def test_malformed_answer(self, status, body) -> None:
        """Report error statuses and malformed answers as unavailable."""
        assert isinstance(read_hosts(serve(status, body)), HostListUnavailable)


class TestRatingPort:
    """Test the client of the rating service."""

    def test_score(self) -> None:
        """Decode the score of the service."""
        service, peer = start_peer(RatingService, RatingSettings())
        assert rate(peer) == Rated(service.score(RATE_ANSWER))

    def test_down_and_late(self) -> None:
        """Report an unavailable and a slow service as unavailable."""
        _, peer = start_peer(RatingService, RatingSettings())
        peer.order('hang_up', times=1)
        assert isinstance(rate(peer), RatingUnavailable)
        peer.order('late', delay_ms=60_000)
        assert isinstance(rate(peer, 0.1), RatingUnavailable)

    @pytest.mark.parametrize(
        'body',
        [b'{"score": 1.5}', b'{"score": -0.1}', b'{}', b'{"score": "x"}'],
    )
    def test_invalid_score(self, body) -> None:
        """Report a missing or invalid score as unavailable."""
        assert isinstance(rate(serve(200, body)), RatingUnavailable)


class TestWeightStorePort:
    """Test the client of the weight store."""

    def test_fetched(self) -> None:
        """Report the fetched weights and their size."""
        settings = WeightSettings(1000, 1_000_000)
        _, peer = start_peer(WeightStore, settings)
        assert fetch(peer) == WeightsFetched('a@1', 'e1', 1000)

    def test_limited(self) -> None:
        """Report the delay before the next fetch."""
        _, peer = start_peer(WeightStore, WeightSettings(max_fetches=0))
        assert fetch(peer) == WeightsLimited(1.0)

    def test_down(self) -> None:
        """Report a service that refuses requests as unavailable."""
        _, peer = start_peer(WeightStore, WeightSettings())
        peer.order('refuse')
        assert isinstance(fetch(peer), WeightStoreUnavailable)
