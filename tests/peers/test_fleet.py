"""Test the list of fleet nodes that is built from the settings."""

from bamboodeck.http.messages import Address
from bamboodeck.peers.fleet import FleetMap, FleetNode
from bamboodeck.settings.process import PeerAddress, PeerRole

HOSTS = ('h0', 'h1', 'h2', 'h3')
ANYWHERE = Address('127.0.0.1', 1)


def build_fleet(own: str) -> FleetMap:
    """Build the map of a host's entry process in a zone of four hosts."""
    return FleetMap(
        FleetNode(f'{own}.entry', 'a', PeerRole.ENTRY),
        [
            PeerAddress(
                f'{host}.controller', 'a', ANYWHERE, PeerRole.CONTROLLER
            )
            for host in HOSTS
        ],
    )


class TestBillBackups:
    """Choose the controllers that back up a host's bills."""

    def test_each_is_first_for_one_host(self) -> None:
        """Give every host a different first backup, never itself."""
        firsts = {host: build_fleet(host).bill_backups()[0] for host in HOSTS}
        assert len(set(firsts.values())) == len(HOSTS)
        assert build_fleet('h2').bill_backups() == (
            'h3.controller',
            'h0.controller',
            'h1.controller',
        )
