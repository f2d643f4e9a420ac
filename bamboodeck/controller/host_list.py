"""Poll the host list and send leaving hosts to a zone's nodes."""

from collections.abc import Callable

from bamboodeck.loop.scheduler import Scheduler
from bamboodeck.peers.fleet import FleetMap
from bamboodeck.peers.link import PeerLink
from bamboodeck.peers.messages import LeavingHosts
from bamboodeck.external.host_list import (
    HostListPort,
    HostListReply,
    HostRole,
    HostsRead,
    HostState,
)
from bamboodeck.settings.process import PeerRole

READ_PERIOD_S = 1.0


class HostListPoller:
    """Poll the list while this process is its zone's relay."""

    def __init__(
        self,
        hosts: HostListPort,
        fleet: FleetMap,
        link: PeerLink,
        scheduler: Scheduler,
        is_acting: Callable[[], bool],
    ) -> None:
        """Start polling."""
        self._hosts = hosts
        self._fleet = fleet
        self._link = link
        self._is_acting = is_acting
        self.leaving_addresses: frozenset[str] = frozenset()
        scheduler.call_every(READ_PERIOD_S, self._read)

    def _read(self) -> None:
        if self._is_acting():
            self._hosts.read(self._on_hosts)

    def _on_hosts(self, reply: HostListReply) -> None:
        if not isinstance(reply, HostsRead):
            # The nodes keep using the last list that was read.
            return
        leaving = tuple(
            host.address
            for host in reply.hosts
            if host.state is HostState.LEAVING
            and host.role is not HostRole.ENTRY
        )
        self.leaving_addresses = frozenset(leaving)
        for node in self._fleet.in_zone(PeerRole.ENTRY):
            self._link.send(node, LeavingHosts(leaving))
