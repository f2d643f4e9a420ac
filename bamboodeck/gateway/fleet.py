"""Tell the other hosts what concerns them, and hear it from them.

Load pattern: many hosts place work on the engines of their zone at the same
moment, so loads are told there often. Bytes between zones are paid for: only
evidence of roll-outs and crashes goes there, and only while there is any.
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
    FarNews,
    NearNews,
    SessionNews,
    SessionTold,
    StoreNews,
)
from bamboodeck.gateway.news_link import NewsLink
from bamboodeck.gateway.ports import PeerListed, PeerUnlisted, Registry
from bamboodeck.gateway.rollout_guide import RolloutGuide
from bamboodeck.gateway.sessions import SessionSeen

# Loads change with every request; within a zone they are told often.
NEWS_PERIOD_S = 0.25
# In a small fleet all loads are told to all, but to other zones more seldom.
FAR_LOADS_EVERY = 4
# In a larger one, this many hosts of other zones get each piece of far news.
MAX_FAR_PEERS = 6
FAR_NEWS_EVERY = 2
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
        self.link.handle(FarNews, self._take_far)
        self.link.handle(StoreNews, self._take_changes)
        self.link.handle(SessionNews, self._take_sessions)

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
        for engine in self._context.engines:
            engine.peers.pop(gone, None)

    def _tell(self) -> None:
        self._told += 1
        members = self.members
        if not members.peers or self._guide is None:
            return
        evidence = self._guide.tell_evidence()
        crashes = self._list_crashes()
        near = members.near()
        far = members.far()
        if len(far) <= MAX_FAR_PEERS:
            urgent = self._guide.running
            if urgent or self._told % FAR_LOADS_EVERY == 0:
                near += far
        else:
            self._tell_far(far, FarNews(evidence, crashes))
        self.link.send(
            NearNews(self._list_loads(), evidence, crashes),
            (peer.address for peer in near),
        )
        self._tell_sessions()
        self._tell_changes()

    def _tell_far(self, far: list[Peer], news: FarNews) -> None:
        if self._told % FAR_NEWS_EVERY:
            return
        if not (news.evidence.trial or news.crashes):
            return
        random = self._context.environment.random
        listeners = random.sample(far, MAX_FAR_PEERS)
        self.link.send(news, (peer.address for peer in listeners))

    def _tell_changes(self) -> None:
        news = self._discovery.tell()
        if news is None:
            return
        near = self.members.near()
        addresses = [peer.address for peer in near]
        if not self.link.send(news, addresses):
            # Too large: the others ask the store themselves.
            told = msgspec.structs.replace(news, facts=(), untold=news.revision)
            self.link.send(told, addresses)

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
        if told:
            peers = self.members.peers.values()
            self.link.send(
                SessionNews(told),
                (peer.address for peer in peers),
            )

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
        loads = {load.engine_id: load for load in news.loads}
        for engine in self._context.engines:
            load = loads.get(engine.entry.engine_id)
            if load is None:
                engine.peers.pop(host, None)
                continue
            engine.peers[host] = PeerLoad(load.requests, load.work_ms, now_s)
        self._merge(host, news.evidence, news.crashes)

    def _take_far(self, host: str, news: FarNews) -> None:
        self._merge(host, news.evidence, news.crashes)

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
