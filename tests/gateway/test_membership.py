"""Test which hosts a host takes for its peers."""

from types import SimpleNamespace

import pytest

from bamboodeck.gateway.membership import PEER_TIMEOUT_S, Membership
from bamboodeck.gateway.ports import PeerListed, PeerUnlisted
from bamboodeck.http.messages import Address

ZONE = 'gent'


class Host:
    """Run the membership of one host on a virtual clock."""

    def __init__(self) -> None:
        """Start with one listed peer that is heard."""
        self.now_s = 1000.0
        self.logged: list[object] = []
        context = SimpleNamespace(
            settings=SimpleNamespace(host='host-1', zone=ZONE),
            now_s=lambda: self.now_s,
            log=SimpleNamespace(emit=self.logged.append),
        )
        self.members = Membership(context, SimpleNamespace())
        self.list_peer()
        self.members.mark_seen('host-2')

    def list_peer(self, port: int = 7000) -> None:
        """Read the peer's entry."""
        address = Address('127.0.0.1', port)
        self.members.apply(PeerListed('host-2', address, ZONE, 1))

    def unlist_peer(self) -> None:
        """Read that the peer's entry is gone."""
        self.members.apply(PeerUnlisted('host-2', 2))


@pytest.fixture
def host() -> Host:
    """Start a host."""
    return Host()


class TestUnlistedPeer:
    """Keep a peer that lost its entry for as long as it is heard."""

    def test_heard(self, host: Host) -> None:
        """Keep a peer whose messages go on."""
        host.unlist_peer()
        for _ in range(20):
            host.now_s += PEER_TIMEOUT_S / 4
            host.members.mark_seen('host-2')
            assert not host.members.remove_silent()
        assert host.members.find_zone_rank().hosts == 2

    def test_silent(self, host: Host) -> None:
        """Remove a peer at once that isn't heard any more."""
        host.now_s += PEER_TIMEOUT_S * 1.1
        assert not host.members.remove_silent()
        host.unlist_peer()
        assert host.members.remove_silent() == ['host-2']
        assert not host.members.peers

    def test_falls_silent(self, host: Host) -> None:
        """Remove a peer later, once its messages end."""
        host.unlist_peer()
        host.now_s += PEER_TIMEOUT_S * 1.1
        assert host.members.remove_silent() == ['host-2']
        assert not host.members.remove_silent()

    def test_listed_again(self, host: Host) -> None:
        """Keep a silent peer that is listed again."""
        host.unlist_peer()
        host.list_peer()
        host.now_s += PEER_TIMEOUT_S * 1.1
        assert not host.members.remove_silent()

    def test_listed_elsewhere(self, host: Host) -> None:
        """Use the new address of a peer that was replaced."""
        host.unlist_peer()
        host.list_peer(port=7001)
        assert host.members.peers['host-2'].address.port == 7001
        assert not host.members.remove_silent()
