"""Relay shares and evidence of a roll-out between a zone's nodes and the fleet.

The state is kept in memory only: a new holder starts with a share of its own,
and the shares that the old one had granted stay counted as used.
"""

from dataclasses import dataclass, field, replace

from bamboodeck.rollout.evidence import AnswerOutcome
from bamboodeck.rollout.shares import HolderShare, ShareLedger
from bamboodeck.rollout.state import (
    AcceptEvidence,
    EvidenceMark,
    GrantShare,
    ReleaseShare,
    ReportEvidence,
    RequestShare,
)

MAX_REPORT_OUTCOMES = 500
MAX_QUEUED_OUTCOMES = 5000


@dataclass(frozen=True, slots=True)
class ZoneRolloutState:
    """Describe one roll-out in the memory of the zone's holder."""

    rollout_id: str
    version: str
    holder: str
    granted_weight: float = 0.0
    ledger: ShareLedger = field(default_factory=ShareLedger)
    requests: tuple[HolderShare, ...] = ()
    marks: tuple[EvidenceMark, ...] = ()
    queued: tuple[AnswerOutcome, ...] = ()
    report: ReportEvidence | None = None
    accepted_sequence: int = 0
    exhausted: frozenset[str] = frozenset()

    @property
    def wanted_weight(self) -> float:
        """Return the share that would satisfy the requests of all nodes."""
        more_weight = sum(
            max(
                request.granted_weight - self.ledger.share_of(request.holder),
                0,
            )
            for request in self.requests
        )
        return self.ledger.granted_weight + more_weight

    @property
    def is_exhausted(self) -> bool:
        """Return whether all nodes that request a share are exhausted."""
        requesting = frozenset(request.holder for request in self.requests)
        return bool(requesting) and requesting <= self.exhausted


@dataclass(frozen=True, slots=True)
class RelayTick:
    """Send grants to the nodes, and requests and reports to the fleet."""


ZoneMessage = (
    RequestShare
    | ReleaseShare
    | ReportEvidence
    | GrantShare
    | AcceptEvidence
    | RelayTick
)
ZoneEffect = RequestShare | ReportEvidence | GrantShare | AcceptEvidence
ZoneEffects = tuple[ZoneEffect, ...]


def relay(
    state: ZoneRolloutState,
    message: ZoneMessage,
) -> tuple[ZoneRolloutState, ZoneEffects]:
    """Return the next state and the messages to send.

    Requests, releases and reports come from nodes; grants and acceptances come
    from the fleet's controller.
    """
    if isinstance(message, RelayTick):
        return _send(state)
    if message.rollout_id != state.rollout_id:
        return state, ()
    match message:
        case RequestShare(holder=node, wanted_weight=wanted_weight):
            exhausted = state.exhausted - {node}
            if message.exhausted:
                exhausted |= {node}
            state = replace(state, exhausted=exhausted)
            return _set_request(state, node, wanted_weight), ()
        case ReleaseShare(holder=node, kept_weight=kept_weight):
            exhausted = state.exhausted - {node}
            state = _set_request(replace(state, exhausted=exhausted), node, 0)
            ledger = state.ledger.release(node, kept_weight)
            return replace(state, ledger=ledger), ()
        case ReportEvidence():
            return _take_report(state, message)
        case GrantShare(holder=holder, granted_weight=granted_weight):
            if holder == state.holder:
                granted_weight = max(granted_weight, state.granted_weight)
                state = replace(state, granted_weight=granted_weight)
        case AcceptEvidence(holder=holder, sequence=sequence):
            if holder == state.holder:
                state = _accept(state, sequence)
    return state, ()


def release_zone(state: ZoneRolloutState) -> ReleaseShare:
    """Release what no node was granted, before the holder stops."""
    return ReleaseShare(
        state.rollout_id,
        state.holder,
        state.ledger.granted_weight,
    )


def _set_request(
    state: ZoneRolloutState,
    node: str,
    wanted_weight: float,
) -> ZoneRolloutState:
    others = tuple(
        request for request in state.requests if request.holder != node
    )
    if wanted_weight <= 0:
        return replace(state, requests=others)
    requests = (*others, HolderShare(node, wanted_weight))
    return replace(state, requests=requests)


def _take_report(
    state: ZoneRolloutState,
    message: ReportEvidence,
) -> tuple[ZoneRolloutState, ZoneEffects]:
    """Accept a node's next report, unless too many answers are queued."""
    last_sequence = 0
    others = []
    for mark in state.marks:
        if mark.holder == message.holder:
            last_sequence = mark.sequence
            continue
        others.append(mark)
    total = len(state.queued) + len(message.outcomes)
    if message.sequence == last_sequence + 1 and total <= MAX_QUEUED_OUTCOMES:
        last_sequence = message.sequence
        marks = (*others, EvidenceMark(message.holder, last_sequence))
        queued = state.queued + message.outcomes
        state = replace(state, marks=marks, queued=queued)
    accepted = AcceptEvidence(state.rollout_id, message.holder, last_sequence)
    if state.report is not None:
        return state, (accepted,)
    # The first report is sent immediately; later answers are queued until it is
    # accepted.
    state, reports = _report(state)
    return state, (accepted, *reports)


def _accept(state: ZoneRolloutState, sequence: int) -> ZoneRolloutState:
    if state.report is None or sequence < state.report.sequence:
        return state
    return replace(state, report=None, accepted_sequence=sequence)


def _send(state: ZoneRolloutState) -> tuple[ZoneRolloutState, ZoneEffects]:
    state = _grant_requests(state)
    effects: list[ZoneEffect] = [
        GrantShare(
            state.rollout_id,
            state.version,
            share.holder,
            share.granted_weight,
        )
        for share in state.ledger.shares
    ]
    if state.wanted_weight > state.granted_weight:
        effects.append(
            RequestShare(
                state.rollout_id,
                state.holder,
                state.wanted_weight,
                state.is_exhausted,
            ),
        )
    state, reports = _report(state)
    return state, (*effects, *reports)


def _report(state: ZoneRolloutState) -> tuple[ZoneRolloutState, ZoneEffects]:
    """Resend the report that isn't accepted yet, or build the next one."""
    if state.report is not None:
        return state, (state.report,)
    if not state.queued:
        return state, ()
    report = ReportEvidence(
        state.rollout_id,
        state.holder,
        state.accepted_sequence + 1,
        state.queued[:MAX_REPORT_OUTCOMES],
    )
    queued = state.queued[MAX_REPORT_OUTCOMES:]
    return replace(state, report=report, queued=queued), (report,)


def _grant_requests(state: ZoneRolloutState) -> ZoneRolloutState:
    ledger = state.ledger
    # Smallest requests first, so that one heavy request starves no node.
    for request in sorted(state.requests, key=_weight_of):
        ledger = ledger.grant(
            request.holder,
            request.granted_weight,
            state.granted_weight,
        )
    return replace(state, ledger=ledger)


def _weight_of(request: HolderShare) -> float:
    return request.granted_weight
