"""Tell the other hosts what runs where, and hear it from them.

The news is soft state: a datagram replaces the sender's last one, a lost one
is made up for by the next. So it goes by UDP; a queue of a connection would
deliver news that is out of date.
"""

import contextlib
import socket

import msgspec

from bamboodeck.admission.poison import CrashReport, PoisonReport
from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.engines import PeerLoad
from bamboodeck.gateway.events import MembershipFailed, PeerGone, PeerSeen
from bamboodeck.gateway.ports import (
    LeaseLapsed,
    PeerListed,
    PeerUnlisted,
    Registry,
    WriteReply,
    Written,
)
from bamboodeck.gateway.rollout_guide import RolloutGuide
from bamboodeck.gateway.rollouts import AnswerCounts
from bamboodeck.gateway.sessions import SessionSeen
from bamboodeck.http.messages import Address

# Loads change with every request; within a zone they are told often.
NEWS_PERIOD_S = 0.25
# Bytes between zones are paid for, and most work stays in its zone.
FAR_NEWS_EVERY = 4
# Hosts of other zones that get each piece of news, in larger fleets.
MAX_FAR_PEERS = 6
# A host that ended without a word is unlisted after this.
LEASE_S = 9.0
RENEW_PERIOD_S = 3.0
MAX_DATAGRAM_BYTES = 60_000
MAX_POISON_REPORTS = 50


class _Load(msgspec.Struct, frozen=True, array_like=True):
    engine_id: str
    requests: int
    work_ms: int


class _Evidence(msgspec.Struct, frozen=True, array_like=True):
    engine_id: str
    answers: int
    failed: int
    slow: int


class _Crash(msgspec.Struct, frozen=True, array_like=True):
    fingerprint: str
    engine_id: str
    crashed_unix_s: float


class _Session(msgspec.Struct, frozen=True, array_like=True):
    service: str
    session: str
    version: str
    # How long before the news it last ran.
    age_ms: int


class _News(msgspec.Struct, frozen=True, array_like=True):
    host: str
    # Orders the news of a sender: its start, then a count.
    started_unix_ms: int
    number: int
    loads: tuple[_Load, ...]
    evidence: tuple[_Evidence, ...] = ()
    crashes: tuple[_Crash, ...] = ()
    sessions: tuple[_Session, ...] = ()


class Peer(msgspec.Struct):
    """Hold what is known of another host."""

    host: str
    address: Address
    zone: str
    newest: tuple[int, int] = (0, 0)


class Fleet:
    """Keep the list of hosts and exchange news with them."""

    def __init__(
        self,
        context: GatewayContext,
        registry: Registry,
    ) -> None:
        """Bind the address for news."""
        self.peers: dict[str, Peer] = {}
        self._context = context
        self._registry = registry
        self._guide: RolloutGuide | None = None
        self._listed = False
        self._sent = 0
        self._started_unix_ms = int(context.environment.wall_s() * 1000)
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(_News)
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        address = context.settings.peer_listen
        self._sock.bind((address.host, address.port))
        self._sock.setblocking(False)
        self._watch = context.loop.poller.watch(
            self._sock.fileno(),
            self._receive,
            _ignore,
        )

    @property
    def hosts(self) -> int:
        """Return how many hosts serve, this one included."""
        return len(self.peers) + 1

    def close(self) -> None:
        """Tell and hear nothing more."""
        self._context.loop.poller.unwatch(self._watch)
        self._sock.close()

    def find_turn(self) -> int:
        """Return this host's place in the order of all hosts."""
        own = self._context.settings.host
        return sum(host < own for host in self.peers)

    def start(self, guide: RolloutGuide) -> None:
        """List this host and begin to tell news."""
        self._guide = guide
        scheduler = self._context.loop.scheduler
        scheduler.call_every(NEWS_PERIOD_S, self._tell)
        scheduler.call_every(RENEW_PERIOD_S, self._renew)
        self._list()

    def take_peer(self, fact: PeerListed | PeerUnlisted) -> None:
        """Follow the list of hosts."""
        own = self._context.settings.host
        match fact:
            case PeerListed(host=host, address=address, zone=zone):
                if host == own:
                    return
                known = self.peers.get(host)
                if known is None or known.address != address:
                    self.peers[host] = Peer(host, address, zone)
                    self._context.log.emit(
                        PeerSeen(host, str(address), self.hosts),
                    )
            case PeerUnlisted(host=host):
                if host == own:
                    self._listed = False
                    return
                if self.peers.pop(host, None) is not None:
                    self._forget(host)

    def _forget(self, host: str) -> None:
        for engine in self._context.engines:
            engine.peers.pop(host, None)
        self._context.log.emit(PeerGone(host, self.hosts))

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
                # Tried again in the next period.
                self._context.metrics.count('membership_failed')
                self._context.log.emit(MembershipFailed(repr(reply)))

    def _tell(self) -> None:
        self._sent += 1
        if not self.peers:
            return
        sessions = () if self._guide is None else self._guide.take_staying()
        news = self._encoder.encode(self._build_news(sessions))
        if len(news) > MAX_DATAGRAM_BYTES:
            self._context.metrics.count('news_too_large')
            return
        everyone = tuple(self.peers.values())
        for peer in everyone if sessions else self._choose_listeners():
            with contextlib.suppress(OSError):
                # Lost news is made up for by the next.
                self._sock.sendto(news, (peer.address.host, peer.address.port))

    def _choose_listeners(self) -> list[Peer]:
        own_zone = self._context.settings.zone
        near = [peer for peer in self.peers.values() if peer.zone == own_zone]
        urgent = self._guide is not None and self._guide.running
        if self._sent % FAR_NEWS_EVERY and not urgent:
            return near
        far = [peer for peer in self.peers.values() if peer.zone != own_zone]
        if len(far) > MAX_FAR_PEERS:
            far = self._context.environment.random.sample(far, MAX_FAR_PEERS)
        return near + far

    def _build_news(self, sessions: tuple[SessionSeen, ...]) -> _News:
        now_s = self._context.now_s()
        loads = tuple(
            _Load(
                engine.entry.engine_id,
                engine.requests,
                int(engine.work_ms),
            )
            for engine in self._context.engines
            if engine.requests
        )
        evidence = ()
        if self._guide is not None and self._guide.running:
            evidence = tuple(
                _Evidence(
                    engine_id,
                    counts.answers,
                    counts.failed,
                    counts.slow,
                )
                for engine_id, counts in self._guide.evidence.own.items()
            )
        reports = self._context.poison.reports(
            self._context.environment.wall_s(),
            MAX_POISON_REPORTS,
        )
        crashes = tuple(
            _Crash(report.fingerprint, report.host, report.crashed_s)
            for report in reports
            if isinstance(report, CrashReport)
        )
        return _News(
            self._context.settings.host,
            self._started_unix_ms,
            self._sent,
            loads,
            evidence,
            crashes,
            tuple(
                _Session(
                    seen.service,
                    seen.session,
                    seen.version,
                    int((now_s - seen.seen_s) * 1000),
                )
                for seen in sessions
            ),
        )

    def _receive(self) -> None:
        while True:
            try:
                datagram = self._sock.recv(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                # Nothing more waits.
                return
            try:
                news = self._decoder.decode(datagram)
            except msgspec.MsgspecError:
                self._context.metrics.count('news_unreadable')
                continue
            self._take_news(news)

    def _take_news(self, news: _News) -> None:
        peer = self.peers.get(news.host)
        age = (news.started_unix_ms, news.number)
        if peer is None or age <= peer.newest:
            return
        peer.newest = age
        now_s = self._context.now_s()
        loads = {load.engine_id: load for load in news.loads}
        for engine in self._context.engines:
            load = loads.get(engine.entry.engine_id)
            if load is None:
                engine.peers.pop(news.host, None)
                continue
            engine.peers[news.host] = PeerLoad(
                load.requests,
                load.work_ms,
                now_s,
            )
        if self._guide is not None and self._guide.running:
            self._guide.merge(
                news.host,
                {
                    each.engine_id: AnswerCounts(
                        each.answers,
                        each.failed,
                        each.slow,
                    )
                    for each in news.evidence
                },
            )
        for each in news.sessions:
            self._context.sessions.note(
                SessionSeen(
                    each.service,
                    each.session,
                    each.version,
                    now_s - each.age_ms / 1000,
                ),
            )
        if news.crashes:
            self._merge_crashes(news)

    def _merge_crashes(self, news: _News) -> None:
        reports: list[PoisonReport] = [
            CrashReport(each.fingerprint, each.engine_id, each.crashed_unix_s)
            for each in news.crashes
        ]
        self._context.poison.merge(reports, self._context.environment.wall_s())


def _ignore() -> None:
    """Datagrams are sent at once or not at all."""
