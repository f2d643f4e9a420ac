"""Convert roll-out messages between wire and domain types."""

from bamboodeck.peers.messages import (
    EvidenceAccepted,
    EvidenceReported,
    RolloutNews,
    ShareGranted,
    ShareReleased,
    ShareWanted,
)
from bamboodeck.rollout.state import (
    AcceptEvidence,
    GrantShare,
    ReleaseShare,
    ReportEvidence,
    RequestShare,
    RolloutState,
)

RolloutWireMessage = (
    ShareWanted
    | ShareReleased
    | ShareGranted
    | EvidenceReported
    | EvidenceAccepted
)
RolloutDomainMessage = (
    RequestShare | ReleaseShare | GrantShare | ReportEvidence | AcceptEvidence
)


def decode_rollout_message(message: RolloutWireMessage) -> RolloutDomainMessage:
    """Convert a message received from a peer."""
    match message:
        case ShareWanted(rollout_id, holder, weight, exhausted):
            return RequestShare(rollout_id, holder, weight, exhausted)
        case ShareReleased(rollout_id, holder, weight):
            return ReleaseShare(rollout_id, holder, weight)
        case ShareGranted(rollout_id, version, holder, weight):
            return GrantShare(rollout_id, version, holder, weight)
        case EvidenceReported(rollout_id, holder, sequence, outcomes):
            return ReportEvidence(rollout_id, holder, sequence, outcomes)
        case EvidenceAccepted(rollout_id, holder, sequence):
            return AcceptEvidence(rollout_id, holder, sequence)
    raise TypeError(message)


def encode_rollout_message(
    message: RolloutDomainMessage, source: str
) -> RolloutWireMessage:
    """Convert a message for a peer; granted shares name their source."""
    match message:
        case RequestShare(rollout_id, holder, weight, exhausted):
            return ShareWanted(rollout_id, holder, weight, exhausted)
        case ReleaseShare(rollout_id, holder, weight):
            return ShareReleased(rollout_id, holder, weight)
        case GrantShare(rollout_id, version, holder, weight):
            return ShareGranted(rollout_id, version, holder, weight, source)
        case ReportEvidence(rollout_id, holder, sequence, outcomes):
            return EvidenceReported(rollout_id, holder, sequence, outcomes)
        case AcceptEvidence(rollout_id, holder, sequence):
            return EvidenceAccepted(rollout_id, holder, sequence)
    raise TypeError(message)


def build_rollout_news(state: RolloutState) -> RolloutNews:
    """Build the progress report of a roll-out."""
    return RolloutNews(
        state.rollout_id,
        state.version,
        state.phase.value,
        state.stage,
        len(state.rules.stage_fractions),
        state.ceiling_weight,
        state.ledger.granted_weight,
        state.reason,
    )
