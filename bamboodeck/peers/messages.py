"""Define the messages between entry and controller processes."""

import msgspec

from bamboodeck.rollout.evidence import AnswerOutcome


class NodeStatus(msgspec.Struct, frozen=True, tag=True):
    """Report the configuration revision in force on a node and its load."""

    node: str
    revision: int
    fresh_age_s: float
    active_requests: int
    stopping: bool


class ConfigurationWanted(msgspec.Struct, frozen=True, tag=True):
    """Request the configuration if it is newer than a revision."""

    have_revision: int


class ConfigurationNews(msgspec.Struct, frozen=True, tag=True):
    """Carry the encoded configuration at a revision."""

    revision: int
    body: bytes


class NodeException(msgspec.Struct, frozen=True):
    """Name a node that is silent, stopping or on another revision.

    `report_age_s` is the age of the node's last report, negative if there
    was none.
    """

    node: str
    revision: int
    report_age_s: float
    stopping: bool


class ZoneHeartbeat(msgspec.Struct, frozen=True, tag=True):
    """Report the state of a zone as its relay sees it.

    `fencing_number` is 0 for a relay without the zone lease. `fresh_age_s`
    is the time since the store last confirmed the revision, negative if it
    never did. `confirmed` counts the nodes that have the revision in force.
    """

    zone: str
    relay: str
    fencing_number: int
    revision: int
    fresh_age_s: float
    confirmed: int
    exceptions: tuple[NodeException, ...]


class HeardZone(msgspec.Struct, frozen=True):
    """Pair a zone's heartbeat with the time since it was received."""

    heartbeat: ZoneHeartbeat
    heard_age_s: float


class FleetSummary(msgspec.Struct, frozen=True, tag=True):
    """Broadcast a relay's view of all zones; its own zone comes first."""

    relay: str
    zones: tuple[HeardZone, ...]


class LeavingHosts(msgspec.Struct, frozen=True, tag=True):
    """Broadcast the addresses of backend servers listed as leaving."""

    addresses: tuple[str, ...]


class BillBatchMessage(msgspec.Struct, frozen=True, tag=True):
    """Carry numbered bill records of one incarnation.

    Every record below `folded_next` is in the store. `copied` marks a batch
    that another controller sends as a copy.
    """

    incarnation: bytes
    folded_next: int
    first_number: int
    records: tuple[bytes, ...]
    copied: bool = False


class BillAckMessage(msgspec.Struct, frozen=True, tag=True):
    """Acknowledge bill records of one incarnation.

    Records below `held_next` are held, those below `folded_next` are in the
    store.
    """

    incarnation: bytes
    held_next: int
    folded_next: int


class VersionSuspected(msgspec.Struct, frozen=True, tag=True):
    """Report that a node stopped using a version on its own."""

    node: str
    version: str
    signal: str


class CrashRow(msgspec.Struct, frozen=True, array_like=True):
    """Report that a request was running on a host whose engine crashed.

    An empty host means that the request finished without a crash.
    """

    fingerprint: str
    host: str
    time_s: float


class PoisonReports(msgspec.Struct, frozen=True, tag=True):
    """Carry a node's observations of requests that crash engines."""

    rows: tuple[CrashRow, ...]


class PoisonReportsWanted(msgspec.Struct, frozen=True, tag=True):
    """Request the crash reports of a peer, sent by a node that starts."""


class TrialWanted(msgspec.Struct, frozen=True, tag=True):
    """Ask an engine's arbiter whether a suspected request may run there.

    `running` marks a request that already runs and is only reported.
    """

    engine: str
    fingerprint: str
    running: bool


class TrialAnswer(msgspec.Struct, frozen=True, tag=True):
    """Grant or deny a suspected request on an engine."""

    engine: str
    fingerprint: str
    granted: bool


class TrialEnded(msgspec.Struct, frozen=True, tag=True):
    """Notify an engine's arbiter that a suspected request has ended."""

    engine: str
    fingerprint: str


class RatingDigest(msgspec.Struct, frozen=True, tag=True):
    """Carry the encoded rating aggregates of one node."""

    body: bytes


class RolloutNews(msgspec.Struct, frozen=True):
    """Report the progress of a roll-out, with weights of the whole fleet."""

    rollout_id: str
    version: str
    phase: str
    stage: int
    stage_count: int
    ceiling_weight: float
    granted_weight: float
    reason: str


class FleetRollouts(msgspec.Struct, frozen=True, tag=True):
    """Broadcast the fleet's roll-outs to the controllers."""

    fencing_number: int
    rollouts: tuple[RolloutNews, ...]


class ZoneRollouts(msgspec.Struct, frozen=True, tag=True):
    """Broadcast the roll-outs and the source of shares to a zone's nodes."""

    source: str
    rollouts: tuple[RolloutNews, ...]


class ShareWanted(msgspec.Struct, frozen=True, tag=True):
    """Request a total for a holder's share of a roll-out."""

    rollout_id: str
    holder: str
    wanted_weight: float
    exhausted: bool = False


class ShareReleased(msgspec.Struct, frozen=True, tag=True):
    """Reduce the share of a holder that has closed to what it keeps."""

    rollout_id: str
    holder: str
    kept_weight: float


class ShareGranted(msgspec.Struct, frozen=True, tag=True):
    """Grant a holder the total of its share from one source."""

    rollout_id: str
    version: str
    holder: str
    granted_weight: float
    source: str


class EvidenceReported(msgspec.Struct, frozen=True, tag=True):
    """Report the rated answers of a holder; sequences start at 1."""

    rollout_id: str
    holder: str
    sequence: int
    outcomes: tuple[AnswerOutcome, ...]


class EvidenceAccepted(msgspec.Struct, frozen=True, tag=True):
    """Acknowledge a holder's evidence reports up to a sequence."""

    rollout_id: str
    holder: str
    sequence: int


class ProviderNews(msgspec.Struct, frozen=True):
    """Publish a provider's credits; a price of 1 is their face value."""

    provider: str
    credits: float
    spent_credits: float
    expires_s: float
    credit_price: float


class CreditNews(msgspec.Struct, frozen=True, tag=True):
    """Broadcast the credit prices that the fleet lease holder recorded."""

    fencing_number: int
    providers: tuple[ProviderNews, ...]


class RateRow(msgspec.Struct, frozen=True, array_like=True):
    """Hold a customer's request and token rates."""

    customer: str
    requests_per_s: float
    tokens_per_s: float


class DemandReported(msgspec.Struct, frozen=True, tag=True):
    """Report the demand at a holder and the sequence of its shares."""

    holder: str
    sequence: int
    rows: tuple[RateRow, ...]


class SharesSent(msgspec.Struct, frozen=True, tag=True):
    """Assign a holder its shares of the customers' limits."""

    holder: str
    sequence: int
    rows: tuple[RateRow, ...]


class VersionDemandRow(msgspec.Struct, frozen=True, array_like=True):
    """Hold the demand for a version: concurrent answers and sessions."""

    version: str
    streams: float
    sessions: float


class VersionDemandReported(msgspec.Struct, frozen=True, tag=True):
    """Report a node's demand for versions to the zone lease holder."""

    rows: tuple[VersionDemandRow, ...]


class ExplainWanted(msgspec.Struct, frozen=True, tag=True):
    """Request the decisions of a peer on a request."""

    request_id: str
    question: int


class ExplainedDecision(msgspec.Struct, frozen=True):
    """Describe one decision on a request."""

    decided_s: float
    node: str
    event: str
    version: str
    reason: str
    detail: str


class ExplainFound(msgspec.Struct, frozen=True, tag=True):
    """Carry a node's decisions on a request."""

    question: int
    decisions: tuple[ExplainedDecision, ...]


RolloutMessage = (
    FleetRollouts
    | ZoneRollouts
    | ShareWanted
    | ShareReleased
    | ShareGranted
    | EvidenceReported
    | EvidenceAccepted
    | VersionSuspected
)
PoisonMessage = (
    PoisonReports | PoisonReportsWanted | TrialWanted | TrialAnswer | TrialEnded
)
PeerMessage = (
    NodeStatus
    | ConfigurationWanted
    | ConfigurationNews
    | ZoneHeartbeat
    | FleetSummary
    | LeavingHosts
    | BillBatchMessage
    | BillAckMessage
    | PoisonMessage
    | RatingDigest
    | CreditNews
    | DemandReported
    | SharesSent
    | VersionDemandReported
    | ExplainWanted
    | ExplainFound
    | RolloutMessage
)


class Frame(msgspec.Struct, frozen=True):
    """Batch the messages from one process to another in one tick."""

    sender: str
    messages: tuple[PeerMessage, ...]
