"""Exchange loads, evidence, crashes and sessions with the other hosts.

Load pattern: many hosts send work to the engines of their zone at the same
time, so loads are published there often. Traffic between zones is billed: in a
larger fleet one host per zone publishes evidence and crashes to other zones,
and only while there are any. Loads then stay within the zone, since publishing
them to other zones kept work from spilling over in bursts.
"""

from collections.abc import Callable

import msgspec

from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.crash_sharing import (
    CrashNews,
    list_news,
    merge_news,
)
from bamboodeck.gateway.discovery import Discovery
from bamboodeck.gateway.engines import PeerLoad
from bamboodeck.gateway.leaving_engines import LeavingEngines
from bamboodeck.gateway.limit_loans import LimitLoans
from bamboodeck.gateway.limit_tracker import LimitTracker
from bamboodeck.gateway.membership import Membership, Peer
from bamboodeck.gateway.part_listing import PartListing
from bamboodeck.gateway.peer_link import PeerLink
from bamboodeck.gateway.peer_messages import (
    DownUpdate,
    EngineLoad,
    EvidenceReport,
    HostUpdate,
    LeavingUpdate,
    LimitUpdate,
    LoanGrant,
    LoanQuery,
    SessionNotice,
    SessionUpdate,
    StoreQuery,
    StoreUpdate,
    SuspectUpdate,
    ZoneUpdate,
)
from bamboodeck.gateway.ports import PeerListed, PeerUnlisted, Registry
from bamboodeck.gateway.rollout_coordinator import RolloutCoordinator
from bamboodeck.gateway.sessions import SessionUse
from bamboodeck.gateway.suspect_sharing import SuspectSharing
from bamboodeck.http.messages import Address

# Loads change with every request, so they are published often within a zone.
PUBLISH_PERIOD_S = 0.25
# A small fleet publishes loads to other zones too, in every fourth period.
OTHER_ZONE_LOADS_EVERY = 4
# With more hosts in other zones than this, one host publishes to them for its
# whole zone, more often while a version is on trial.
MAX_DIRECT_PEERS = 6
ZONE_UPDATE_EVERY = 4
TRIAL_UPDATE_EVERY = 2
# Hosts of each other zone that receive an update and forward it within theirs.
RECIPIENTS_PER_ZONE = 2

# Messages for all hosts, which one or two hosts of each zone forward.
FleetMessage = (
    SessionUpdate | SuspectUpdate | LimitUpdate | LeavingUpdate | DownUpdate
)


class Fleet:
    """Exchange messages with the other hosts."""

    def __init__(
        self,
        context: GatewayContext,
        registry: Registry,
        on_hosts_changed: Callable[[int], None],
    ) -> None:
        """Bind the socket for messages; report the number of hosts."""
        self._on_hosts_changed = on_hosts_changed
        self.members = Membership(context, registry)
        self.link = PeerLink(
            context.settings.host,
            context.settings.peer_listen,
            context.environment,
            context.loop.poller,
            context.metrics,
        )
        self.suspects = SuspectSharing(context)
        self.limits = LimitTracker(context, self.members)
        self.leaving = LeavingEngines(context)
        self.loans = LimitLoans(context, self._send_to_host)
        self._listing = PartListing(context, registry, self.members.find_rank)
        self._context = context
        self._rollouts: RolloutCoordinator | None = None
        self._discovery: Discovery | None = None
        self._publish_count = 0
        self.link.handle(HostUpdate, self._on_host_update)
        self.link.handle(StoreUpdate, self._on_store_update)
        self.link.handle(StoreQuery, self._on_store_query)
        self.link.handle(SessionUpdate, self._on_session_update)
        self.link.handle(ZoneUpdate, self._on_zone_update)
        self.link.handle(SuspectUpdate, self._on_suspect_update)
        self.link.handle(LimitUpdate, self._on_limit_update)
        self.link.handle(LeavingUpdate, self._on_leaving_update)
        self.link.handle(DownUpdate, self._on_down_update)
        self.link.handle(LoanQuery, self.loans.on_query)
        self.link.handle(
            LoanGrant,
            lambda host, message: self.loans.on_grant(message),
        )

    def start(self, rollouts: RolloutCoordinator, discovery: Discovery) -> None:
        """List this host and start publishing."""
        self._rollouts = rollouts
        self._discovery = discovery
        discovery.on_regained = self._publish_store_update
        self._context.loop.scheduler.call_every(PUBLISH_PERIOD_S, self._publish)
        self.members.start()

    def apply_peer(self, fact: PeerListed | PeerUnlisted) -> None:
        """Apply a change of the listed hosts."""
        self.members.apply(fact)
        self._remove_silent_peers()
        self._on_hosts_changed(self.members.hosts)

    def _publish(self) -> None:
        self._publish_count += 1
        self._remove_silent_peers()
        self._listing.check()
        self.limits.check()
        members = self.members
        if not members.peers or self._rollouts is None:
            return
        own_zone_peers = members.own_zone_peers()
        other_zone_peers = members.other_zone_peers()
        news = list_news(self._context)
        if len(other_zone_peers) > MAX_DIRECT_PEERS:
            self._publish_zone_update(own_zone_peers, other_zone_peers, news)
        elif (
            self._rollouts.running
            or self._publish_count % OTHER_ZONE_LOADS_EVERY == 0
        ):
            own_zone_peers += other_zone_peers
        evidence = self._rollouts.build_evidence_report()
        self.link.send(
            HostUpdate(
                self._list_loads(),
                evidence,
                news.crashes,
                self._discovery.contact.find_answer_age_ms(),
                news.cleared,
                self._discovery.evacuations.build_report(),
            ),
            (peer.address for peer in own_zone_peers),
        )
        self._publish_sessions()
        self._publish_suspects()
        self._publish_engines()
        self._publish_store_update()

    def _remove_silent_peers(self) -> None:
        removed = self.members.remove_silent()
        for host in removed:
            self.link.forget(host)
            self._context.engines.drop_peer_loads(host)
        if removed:
            self._on_hosts_changed(self.members.hosts)

    def _publish_zone_update(
        self,
        own_zone_peers: list[Peer],
        other_zone_peers: list[Peer],
        news: CrashNews,
    ) -> None:
        every = (
            TRIAL_UPDATE_EVERY if self._rollouts.running else ZONE_UPDATE_EVERY
        )
        is_first = self.members.find_zone_rank().rank == 0
        if self._publish_count % every or not is_first:
            return
        evidence = self._rollouts.build_evidence_report(
            [peer.host for peer in own_zone_peers],
        )
        if not (evidence.trial or news.crashes or news.cleared):
            return
        message = ZoneUpdate(
            self._context.settings.zone,
            evidence,
            news.crashes,
            cleared=news.cleared,
        )
        self.link.send(message, self._choose_recipients(other_zone_peers))

    def _choose_recipients(self, other_zone_peers: list[Peer]) -> list[Address]:
        by_zone: dict[str, list[Peer]] = {}
        for peer in other_zone_peers:
            by_zone.setdefault(peer.zone, []).append(peer)
        random = self._context.environment.random
        chosen: list[Peer] = []
        for peers in by_zone.values():
            recipients = random.sample(
                peers,
                min(RECIPIENTS_PER_ZONE, len(peers)),
            )
            chosen.extend(recipients)
        return [recipient.address for recipient in chosen]

    def _publish_store_update(self) -> None:
        message = self._discovery.build_update()
        if message is None:
            return
        own_zone_peers = self.members.own_zone_peers()
        self.link.send(message, (peer.address for peer in own_zone_peers))

    def _publish_sessions(self) -> None:
        now_s = self._context.now_s()
        notices = tuple(
            SessionNotice(
                use.service,
                use.session,
                use.version,
                int((now_s - use.last_used_s) * 1000),
            )
            for use in self._rollouts.take_pinned_sessions()
        )
        if not notices:
            return
        self._send_to_fleet(SessionUpdate(notices))

    def _publish_suspects(self) -> None:
        update = self.suspects.build_update(
            is_first=self.members.find_zone_rank().rank == 0,
        )
        if update is not None:
            self._send_to_fleet(update)

    def _publish_engines(self) -> None:
        for update in (
            self.limits.build_update(),
            self.limits.cold.build_update(),
            self.leaving.build_update(),
        ):
            if update is not None:
                self._send_to_fleet(update)

    def _send_to_host(self, host: str, message: LoanQuery | LoanGrant) -> None:
        peer = self.members.peers.get(host)
        if peer is not None:
            self.link.send(message, [peer.address])

    def _send_to_fleet(
        self,
        message: FleetMessage,
    ) -> None:
        addresses = [peer.address for peer in self.members.own_zone_peers()]
        addresses += self._choose_recipients(self.members.other_zone_peers())
        self.link.send(message, addresses)

    def _list_loads(self) -> tuple[EngineLoad, ...]:
        return tuple(
            EngineLoad(
                engine.entry.engine_id,
                engine.requests,
                int(engine.prefill_ms),
                engine.tokens,
            )
            for engine in self._context.engines
            if engine.requests
        )

    def _on_host_update(self, host: str, message: HostUpdate) -> None:
        if host not in self.members.peers:
            return
        self.members.mark_seen(host)
        if message.store_age_ms is not None and self._discovery is not None:
            self._discovery.contact.record_served(message.store_age_ms)
        if message.evacuations is not None and self._discovery is not None:
            self._discovery.evacuations.apply_report(host, message.evacuations)
        now_s = self._context.now_s()
        self._context.engines.set_peer_loads(
            host,
            {
                load.engine_id: PeerLoad(
                    load.requests,
                    load.prefill_ms,
                    now_s,
                    load.tokens,
                )
                for load in message.loads
            },
        )
        news = CrashNews(message.crashes, message.cleared)
        self._merge(host, message.evidence, news)

    def _on_zone_update(self, host: str, message: ZoneUpdate) -> None:
        self._forward_to_zone(host, message)
        if message.zone == self._context.settings.zone:
            return
        news = CrashNews(message.crashes, message.cleared)
        self._merge(f'zone {message.zone}', message.evidence, news)

    def _forward_to_zone(
        self,
        host: str,
        message: ZoneUpdate | FleetMessage,
    ) -> None:
        # Only updates received directly from another zone are forwarded.
        if message.forwarded or self.members.is_in_own_zone(host):
            return
        self.link.send(
            msgspec.structs.replace(message, forwarded=True),
            [peer.address for peer in self.members.own_zone_peers()],
        )

    def _merge(
        self,
        host: str,
        evidence: EvidenceReport,
        news: CrashNews,
    ) -> None:
        if self._rollouts is not None and self._rollouts.running:
            self._rollouts.merge(host, evidence)
        merge_news(self._context, news)

    def _on_store_update(self, host: str, message: StoreUpdate) -> None:
        peer = self.members.peers.get(host)
        if self._discovery is None or peer is None:
            return
        if self._discovery.apply_update(message):
            query = self._discovery.build_query()
            self.link.send(query, [peer.address])

    def _on_store_query(self, host: str, message: StoreQuery) -> None:
        peer = self.members.peers.get(host)
        if self._discovery is None or peer is None:
            return
        answer = self._discovery.build_answer(message)
        if answer is not None:
            self.link.send(answer, [peer.address])

    def _on_suspect_update(self, host: str, message: SuspectUpdate) -> None:
        self._forward_to_zone(host, message)
        self.suspects.apply(message)

    def _on_leaving_update(self, host: str, message: LeavingUpdate) -> None:
        self._forward_to_zone(host, message)
        self.leaving.apply(host, message)

    def _on_down_update(self, host: str, message: DownUpdate) -> None:
        self._forward_to_zone(host, message)
        self.limits.cold.apply(message)

    def _on_limit_update(self, host: str, message: LimitUpdate) -> None:
        self._forward_to_zone(host, message)
        self.limits.apply(host, message)

    def _on_session_update(self, host: str, message: SessionUpdate) -> None:
        self._forward_to_zone(host, message)
        now_s = self._context.now_s()
        for each in message.sessions:
            self._context.sessions.record(
                SessionUse(
                    each.service,
                    each.session,
                    each.version,
                    now_s - each.age_ms / 1000,
                ),
            )
