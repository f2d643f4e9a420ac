"""Tell the other hosts what concerns them, and hear it from them.

Load pattern: many hosts place work on the engines of their zone at the same
moment, so loads are told there often. Bytes between zones are paid for: of a
larger fleet one host a zone tells the others of roll-outs and crashes, while
there are any. Loads stay within the zone: told to other zones too, they kept
work from spilling over in bursts.
"""

import msgspec

from bamboodeck.admission.poison import CrashReport
from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.discovery import Discovery
from bamboodeck.gateway.engines import PeerLoad
from bamboodeck.gateway.membership import Membership, Peer
from bamboodeck.gateway.news import (
    CrashTold,
    EngineLoad,
    EvidenceTold,
    NearNews,
    SessionNews,
    SessionTold,
    StoreNews,
    ZoneNews,
)
from bamboodeck.gateway.news_link import NewsLink
from bamboodeck.gateway.ports import PeerListed, PeerUnlisted, Registry
from bamboodeck.gateway.rollout_guide import RolloutGuide
from bamboodeck.gateway.sessions import SessionSeen
from bamboodeck.http.messages import Address

# Loads change with every request; within a zone they are told often.
NEWS_PERIOD_S = 0.25
# In a small fleet all loads are told to all, but to other zones more seldom.
FAR_LOADS_EVERY = 4
# In a larger one, with more hosts in other zones than this, one host tells
# them for its whole zone, more often while a version is on trial.
MAX_FAR_PEERS = 6
ZONE_NEWS_EVERY = 4
TRIAL_NEWS_EVERY = 2
# So many hosts of each other zone get the news, and pass them on within it.
ZONE_LISTENERS = 2
MAX_CRASH_REPORTS = 50


class Fleet:
    """Exchange news with the other hosts."""

    def __init__(self, context: GatewayContext, registry: Registry) -> None:
        """Bind the address for news."""
        self.members = Membership(context, registry)
        self.link = NewsLink(
            context.settings.host,
            context.settings.peer_listen,
            context.environment,
            context.loop.poller,
            context.metrics,
        )
        self._context = context
        self._guide: RolloutGuide | None = None
        self._discovery: Discovery | None = None
        self._told = 0
        self.link.handle(NearNews, self._take_near)
        self.link.handle(StoreNews, self._take_changes)
        self.link.handle(SessionNews, self._take_sessions)
        self.link.handle(ZoneNews, self._take_zone)

    def start(self, guide: RolloutGuide, discovery: Discovery) -> None:
        """List this host and begin to tell news."""
        self._guide = guide
        self._discovery = discovery
        self._context.loop.scheduler.call_every(NEWS_PERIOD_S, self._tell)
        self.members.start()

    def take_peer(self, fact: PeerListed | PeerUnlisted) -> None:
        """Follow the list of hosts."""
        gone = self.members.take(fact)
        if gone is None:
            return
        self.link.forget(gone)
        self._context.engines.forget_teller(gone)

    def _tell(self) -> None:
        self._told += 1
        members = self.members
        if not members.peers or self._guide is None:
            return
        near = members.near()
        far = members.far()
        crashes = self._list_crashes()
        if len(far) > MAX_FAR_PEERS:
            self._tell_zone(near, far, crashes)
        elif self._guide.running or self._told % FAR_LOADS_EVERY == 0:
            near += far
        evidence = self._guide.tell_evidence()
        self.link.send(
            NearNews(self._list_loads(), evidence, crashes),
            (peer.address for peer in near),
        )
        self._tell_sessions()
        self._tell_changes()

    def _tell_zone(
        self,
        near: list[Peer],
        far: list[Peer],
        crashes: tuple[CrashTold, ...],
    ) -> None:
        every = TRIAL_NEWS_EVERY if self._guide.running else ZONE_NEWS_EVERY
        is_first = self.members.find_zone_place().place == 0
        if self._told % every or not is_first:
            return
        evidence = self._guide.tell_evidence([peer.host for peer in near])
        if not (evidence.trial or crashes):
            return
        news = ZoneNews(self._context.settings.zone, evidence, crashes)
        self.link.send(news, self._choose_zone_listeners(far))

    def _choose_zone_listeners(self, far: list[Peer]) -> list[Address]:
        by_zone: dict[str, list[Peer]] = {}
        for peer in far:
            by_zone.setdefault(peer.zone, []).append(peer)
        random = self._context.environment.random
        chosen: list[Peer] = []
        for peers in by_zone.values():
            listeners = random.sample(peers, min(ZONE_LISTENERS, len(peers)))
            chosen.extend(listeners)
        return [listener.address for listener in chosen]

    def _tell_changes(self) -> None:
        news = self._discovery.tell()
        if news is None:
            return
        near = self.members.near()
        self.link.send(news, (peer.address for peer in near))

    def _tell_sessions(self) -> None:
        now_s = self._context.now_s()
        told = tuple(
            SessionTold(
                seen.service,
                seen.session,
                seen.version,
                int((now_s - seen.seen_s) * 1000),
            )
            for seen in self._guide.take_staying()
        )
        if not told:
            return
        addresses = [peer.address for peer in self.members.near()]
        addresses += self._choose_zone_listeners(self.members.far())
        self.link.send(SessionNews(told), addresses)

    def _list_loads(self) -> tuple[EngineLoad, ...]:
        return tuple(
            EngineLoad(
                engine.entry.engine_id,
                engine.requests,
                int(engine.work_ms),
            )
            for engine in self._context.engines
            if engine.requests
        )

    def _list_crashes(self) -> tuple[CrashTold, ...]:
        reports = self._context.poison.reports(
            self._context.environment.wall_s(),
            MAX_CRASH_REPORTS,
        )
        return tuple(
            CrashTold(report.fingerprint, report.host, report.crashed_s)
            for report in reports
            if isinstance(report, CrashReport)
        )

    def _take_near(self, host: str, news: NearNews) -> None:
        if host not in self.members.peers:
            return
        self.members.note_heard(host)
        now_s = self._context.now_s()
        self._context.engines.take_loads(
            host,
            {
                load.engine_id: PeerLoad(load.requests, load.work_ms, now_s)
                for load in news.loads
            },
        )
        self._merge(host, news.evidence, news.crashes)

    def _take_zone(self, host: str, news: ZoneNews) -> None:
        self._pass_on(host, news)
        if news.zone == self._context.settings.zone:
            return
        self._merge(f'zone {news.zone}', news.evidence, news.crashes)

    def _pass_on(self, host: str, news: ZoneNews | SessionNews) -> None:
        # Told by another zone: the neighbours hear it within this one.
        near = self.members.near()
        if news.passed_on or any(peer.host == host for peer in near):
            return
        self.link.send(
            msgspec.structs.replace(news, passed_on=True),
            [peer.address for peer in near],
        )

    def _merge(
        self,
        host: str,
        evidence: EvidenceTold,
        crashes: tuple[CrashTold, ...],
    ) -> None:
        if self._guide is not None and self._guide.running:
            self._guide.merge(host, evidence)
        if crashes:
            self._context.poison.merge(
                [
                    CrashReport(
                        each.fingerprint,
                        each.engine_id,
                        each.crashed_unix_s,
                    )
                    for each in crashes
                ],
                self._context.environment.wall_s(),
            )

    def _take_changes(self, host: str, news: StoreNews) -> None:
        if self._discovery is not None and host in self.members.peers:
            self._discovery.take_news(news)

    def _take_sessions(self, host: str, news: SessionNews) -> None:
        self._pass_on(host, news)
        now_s = self._context.now_s()
        for each in news.sessions:
            self._context.sessions.note(
                SessionSeen(
                    each.service,
                    each.session,
                    each.version,
                    now_s - each.age_ms / 1000,
                ),
            )
