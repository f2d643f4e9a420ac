"""Manage a node's shares of roll-outs and report its rated answers."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from bamboodeck.logs import EventLog
from bamboodeck.loop.scheduler import Scheduler
from bamboodeck.peers.deduplication import DeduplicatingSender
from bamboodeck.peers.link import PeerLink
from bamboodeck.peers.messages import (
    EvidenceAccepted,
    EvidenceReported,
    RolloutNews,
    ShareGranted,
    ShareReleased,
    ShareWanted,
    ZoneRollouts,
)
from bamboodeck.rollout.evidence import AnswerOutcome
from bamboodeck.rollout.gate import NodeShare, RolloutGate
from bamboodeck.rollout.state import Phase

REQUEST_PERIOD_S = 0.5
MAX_PENDING_OUTCOMES = 2000
MAX_REPORT_OUTCOMES = 200


@dataclass(frozen=True, slots=True)
class RolloutShareGranted:
    """Log the total weight that one source grants this node to risk."""

    rollout_id: str
    version: str
    granted_weight: float
    risked_weight: float
    source: str


@dataclass(frozen=True, slots=True)
class RolloutEnded:
    """Log that a roll-out has ended on this node."""

    rollout_id: str
    version: str
    phase: str
    exposed_weight: float
    reason: str


@dataclass(slots=True)
class _Evidence:
    rollout_id: str
    pending: deque[AnswerOutcome] = field(
        default_factory=lambda: deque(maxlen=MAX_PENDING_OUTCOMES),
    )
    report: EvidenceReported | None = None
    accepted: int = 0
    granted_weight: float = 0.0


class NodeRolloutShares:
    """Request shares from the zone's relay and report evidence to it."""

    def __init__(
        self,
        link: PeerLink,
        scheduler: Scheduler,
        log: EventLog,
        holder: str,
        gate: RolloutGate,
        count_nodes: Callable[[], int],
    ) -> None:
        """Subscribe to the zone's relay; `holder` names this incarnation."""
        self.rollouts: tuple[RolloutNews, ...] = ()
        self._link = link
        self._sender = DeduplicatingSender(link, scheduler)
        self._log = log
        self._holder = holder
        self._gate = gate
        self._count_nodes = count_nodes
        self._relay = ''
        self._source = ''
        self._evidence: dict[str, _Evidence] = {}
        link.on(ZoneRollouts, self._on_news)
        link.on(ShareGranted, self._on_granted)
        link.on(EvidenceAccepted, self._on_accepted)
        scheduler.call_every(REQUEST_PERIOD_S, self.request_shares)

    def rollout_id(self, version: str) -> str:
        """Return the id of a version's roll-out, or an empty string."""
        evidence = self._evidence.get(version)
        return evidence.rollout_id if evidence else ''

    def report(self, version: str, outcome: AnswerOutcome) -> None:
        """Queue an outcome for the holder of the fleet's lease."""
        evidence = self._evidence.get(version)
        if evidence is not None:
            evidence.pending.append(outcome)
            # One report is in flight at a time; later outcomes wait for its
            # acknowledgement.
            if evidence.report is None:
                self._send_report(evidence)

    def request_shares(self) -> None:
        """Request shares and resend unacknowledged evidence."""
        for news in self.rollouts:
            evidence = self._evidence.get(news.version)
            if evidence is None or self._gate.is_blocked(news.version):
                continue
            prefetch_weight = news.ceiling_weight / max(self._count_nodes(), 1)
            wanted_weight = self._gate.wanted_weight(
                news.version,
                prefetch_weight,
                self._source,
            )
            self._sender.send(
                self._relay,
                ShareWanted(
                    news.rollout_id,
                    self._holder,
                    wanted_weight,
                    self._gate.is_exhausted(news.version),
                ),
                news.version,
            )
            self._send_report(evidence)

    def release(self, version: str) -> None:
        """Close a version for good and return its unused share."""
        evidence = self._evidence.pop(version, None)
        kept_weight = self._gate.shut_down(version)
        if evidence is None:
            return
        self._send_report(evidence)
        self._link.send(
            self._relay,
            ShareReleased(evidence.rollout_id, self._holder, kept_weight),
        )

    def release_all(self) -> None:
        """Close all versions on shutdown."""
        for version in tuple(self._evidence):
            self.release(version)

    def _send_report(self, evidence: _Evidence) -> None:
        if evidence.report is None and evidence.pending:
            count = min(len(evidence.pending), MAX_REPORT_OUTCOMES)
            evidence.report = EvidenceReported(
                evidence.rollout_id,
                self._evidence_holder(),
                evidence.accepted + 1,
                tuple(evidence.pending.popleft() for _ in range(count)),
            )
        if evidence.report is not None:
            self._link.send(self._relay, evidence.report)

    def _evidence_holder(self) -> str:
        # Reports to each source are numbered from 1.
        return f'{self._holder}>{self._source}'

    def _on_news(self, sender: str, news: ZoneRollouts) -> None:
        if news.source != self._source:
            self._change_source(news.source)
        self._relay = sender
        self.rollouts = news.rollouts
        for each in news.rollouts:
            if each.phase == Phase.RUNNING.value:
                self._open(each)
            else:
                self._close(each)

    def _change_source(self, source: str) -> None:
        self._source = source
        for evidence in self._evidence.values():
            # The former source may have counted this report; resending it would
            # count it twice.
            evidence.report = None
            evidence.accepted = 0

    def _open(self, news: RolloutNews) -> None:
        evidence = self._evidence.get(news.version)
        if evidence and evidence.rollout_id == news.rollout_id:
            return
        if self._gate.is_blocked(news.version):
            return
        self._evidence[news.version] = _Evidence(news.rollout_id)
        self._gate.set_share(
            NodeShare(news.rollout_id, news.version, 0, self._source),
        )

    def _close(self, news: RolloutNews) -> None:
        if self._evidence.pop(news.version, None) is None:
            return
        self._log.emit(
            RolloutEnded(
                news.rollout_id,
                news.version,
                news.phase,
                self._gate.admitted_weight(news.version),
                news.reason,
            ),
        )
        self._gate.close(news.version)

    def _on_granted(self, sender: str, granted: ShareGranted) -> None:
        evidence = self._evidence.get(granted.version)
        if evidence is None or granted.holder != self._holder:
            return
        if granted.rollout_id != evidence.rollout_id:
            return
        self._gate.set_share(
            NodeShare(
                granted.rollout_id,
                granted.version,
                granted.granted_weight,
                granted.source,
            ),
        )
        if granted.granted_weight > evidence.granted_weight:
            evidence.granted_weight = granted.granted_weight
            self._log.emit(
                RolloutShareGranted(
                    granted.rollout_id,
                    granted.version,
                    granted.granted_weight,
                    self._gate.risked_weight(granted.version),
                    granted.source,
                ),
            )

    def _on_accepted(self, sender: str, accepted: EvidenceAccepted) -> None:
        if accepted.holder != self._evidence_holder():
            return
        for evidence in self._evidence.values():
            report = evidence.report
            if report is None or evidence.rollout_id != accepted.rollout_id:
                continue
            if accepted.sequence >= report.sequence:
                evidence.report = None
                evidence.accepted = accepted.sequence
