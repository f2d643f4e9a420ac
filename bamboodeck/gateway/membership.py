"""List this host for its peers, and track the other hosts."""

import msgspec

from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.events import MembershipFailed, PeerGone, PeerSeen
from bamboodeck.gateway.ports import (
    LeaseLapsed,
    PeerListed,
    PeerUnlisted,
    Registry,
    WriteReply,
    Written,
)
from bamboodeck.gateway.store_polling import ZoneRank
from bamboodeck.http.messages import Address

# A crashed host stays listed for this long. Only budget shares depend on it, as
# hosts exchange messages far more often.
LEASE_S = 15.0
RENEW_PERIOD_S = 5.0
# Hosts whose entries are gone list themselves again within this time.
RELIST_SPREAD_S = 1.0
# Peers of the zone send four messages in this time, so three may be lost.
PEER_TIMEOUT_S = 1.0


class Peer(msgspec.Struct):
    """Describe another host."""

    host: str
    address: Address
    zone: str
    last_seen_s: float = 0.0


class Membership:
    """Track the listed hosts, and renew this host's entry."""

    def __init__(self, context: GatewayContext, registry: Registry) -> None:
        """Start without peers."""
        self.peers: dict[str, Peer] = {}
        # A host that is cut off from the store loses its entry while it serves
        # on, and relies on what its peers send it.
        self._unlisted: set[str] = set()
        self._context = context
        self._registry = registry
        self._listed = False

    @property
    def hosts(self) -> int:
        """Return the number of listed hosts, including this one."""
        return len(self.peers) + 1

    def list_hosts(self) -> list[str]:
        """Return all hosts, this one too, in the order of zones and names."""
        settings = self._context.settings
        listed = [(peer.zone, peer.host) for peer in self.peers.values()]
        listed.append((settings.zone, settings.host))
        return [host for _, host in sorted(listed)]

    def start(self) -> None:
        """List this host, and keep it listed."""
        self._context.loop.scheduler.call_every(RENEW_PERIOD_S, self._renew)
        self._list()

    def find_rank(self) -> int:
        """Return this host's rank among all hosts; 0 is first."""
        own = self._context.settings.host
        return sum(host < own for host in self.peers)

    def find_zone_rank(self) -> ZoneRank:
        """Return this host's rank among the live hosts of its zone."""
        own = self._context.settings.host
        live_peers = [
            peer for peer in self.own_zone_peers() if self._is_live(peer)
        ]
        return ZoneRank(
            rank=sum(peer.host < own for peer in live_peers),
            hosts=len(live_peers) + 1,
        )

    def is_in_own_zone(self, host: str) -> bool:
        """Tell whether a host is a listed peer of this host's zone."""
        peer = self.peers.get(host)
        return peer is not None and peer.zone == self._context.settings.zone

    def own_zone_peers(self) -> list[Peer]:
        """Return the other hosts of this host's zone."""
        zone = self._context.settings.zone
        return [peer for peer in self.peers.values() if peer.zone == zone]

    def other_zone_peers(self) -> list[Peer]:
        """Return the hosts of other zones."""
        zone = self._context.settings.zone
        return [peer for peer in self.peers.values() if peer.zone != zone]

    def mark_seen(self, host: str) -> None:
        """Record that a message of a host was received."""
        peer = self.peers.get(host)
        if peer is not None:
            peer.last_seen_s = self._context.now_s()

    def apply(self, fact: PeerListed | PeerUnlisted) -> None:
        """Apply a change of the listed hosts."""
        own = self._context.settings.host
        match fact:
            case PeerListed(host=host) if host != own:
                self._add(fact)
            case PeerUnlisted(host=host) if host == own:
                self._listed = False
                self._list_soon()
            case PeerUnlisted(host=host) if host in self.peers:
                self._unlisted.add(host)

    def remove_silent(self) -> list[str]:
        """Remove the hosts that are neither listed nor heard; return them."""
        removed = [
            host
            for host in sorted(self._unlisted)
            if not self._is_live(self.peers[host])
        ]
        for host in removed:
            self._unlisted.remove(host)
            self.peers.pop(host)
            self._context.log.emit(PeerGone(host, self.hosts))
        return removed

    def _is_live(self, peer: Peer) -> bool:
        return peer.last_seen_s >= self._context.now_s() - PEER_TIMEOUT_S

    def _add(self, fact: PeerListed) -> None:
        self._unlisted.discard(fact.host)
        known = self.peers.get(fact.host)
        if known is not None and known.address == fact.address:
            return
        self.peers[fact.host] = Peer(fact.host, fact.address, fact.zone)
        self._context.log.emit(
            PeerSeen(fact.host, str(fact.address), self.hosts),
        )

    def _list_soon(self) -> None:
        # Many hosts may have lost their entries at the same moment.
        self._context.loop.scheduler.call_after(
            self._context.environment.random.uniform(0, RELIST_SPREAD_S),
            self._list,
        )

    def _list(self) -> None:
        settings = self._context.settings
        self._registry.list_host(
            settings.host,
            settings.zone,
            settings.peer_listen,
            LEASE_S,
            self._on_listed,
        )

    def _renew(self) -> None:
        if self._listed:
            self._registry.renew_host(self._on_listed)
        else:
            self._list()

    def _on_listed(self, reply: WriteReply) -> None:
        match reply:
            case Written():
                self._listed = True
            case LeaseLapsed():
                self._listed = False
                self._list()
            case _:
                # Retried in the next period.
                self._context.metrics.count('membership_failed')
                self._context.log.emit(MembershipFailed(repr(reply)))
