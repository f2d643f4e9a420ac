"""Define the state, messages and effects of a roll-out."""

import enum
from dataclasses import dataclass, field

from bamboodeck.rollout.evidence import AnswerOutcome
from bamboodeck.rollout.sequential import SequentialTest, TestState
from bamboodeck.rollout.shares import ShareLedger

STAGE_FRACTIONS = (0.05, 0.2, 0.5, 1.0)


@enum.unique
class Phase(enum.Enum):
    """Name the phase of a roll-out."""

    RUNNING = 'running'
    HALTED = 'halted'
    ROLLED_BACK = 'rolled-back'
    PROMOTED = 'promoted'


@dataclass(frozen=True, slots=True)
class RolloutRules:
    """Set the limits of a roll-out.

    In each stage, the weight that is unrated or lost against the baseline, over
    all zones and all stages so far, is at most its fraction of
    `max_exposed_weight`.
    """

    max_exposed_weight: float
    stage_fractions: tuple[float, ...] = STAGE_FRACTIONS
    stage_min_answers: int = 20
    max_silence_s: float = 1800.0
    max_exhausted_s: float = 60.0
    test: SequentialTest = SequentialTest()


@dataclass(frozen=True, slots=True)
class EvidenceMark:
    """Record the sequence number of the last counted report of a holder."""

    holder: str
    sequence: int


@dataclass(frozen=True, slots=True)
class LastShareRequest:
    """Record when a holder last requested a share, and if it was exhausted."""

    holder: str
    asked_s: float
    exhausted: bool


@dataclass(frozen=True, slots=True)
class RolloutState:
    """Describe one roll-out as stored by the fleet's controller."""

    rollout_id: str
    version: str
    rules: RolloutRules
    phase: Phase
    stage: int
    stage_answers: int
    evidence_s: float
    reason: str = ''
    confirmed: bool = False
    ledger: ShareLedger = field(default_factory=ShareLedger)
    marks: tuple[EvidenceMark, ...] = ()
    test: TestState = field(default_factory=TestState)
    dirty: bool = False
    asks: tuple[LastShareRequest, ...] = ()
    exhausted_s: float | None = None

    @property
    def ceiling_weight(self) -> float:
        """Return the weight that may be at risk up to this stage."""
        if self.phase is not Phase.RUNNING:
            return 0.0
        fraction = self.rules.stage_fractions[self.stage]
        return fraction * self.rules.max_exposed_weight


@dataclass(frozen=True, slots=True)
class StartRollout:
    """Start a roll-out; ignored if one with this id exists."""

    rollout_id: str
    version: str
    rules: RolloutRules


@dataclass(frozen=True, slots=True)
class RequestShare:
    """Request that a holder's share is raised to a total.

    An exhausted holder can't gather more evidence without a larger share.
    """

    rollout_id: str
    holder: str
    wanted_weight: float
    exhausted: bool = False


@dataclass(frozen=True, slots=True)
class ReleaseShare:
    """Release the share of a holder that has closed for good."""

    rollout_id: str
    holder: str
    kept_weight: float


@dataclass(frozen=True, slots=True)
class ReportEvidence:
    """Report rated answers of one holder; reports are numbered from 1."""

    rollout_id: str
    holder: str
    sequence: int
    outcomes: tuple[AnswerOutcome, ...]


@dataclass(frozen=True, slots=True)
class HaltRollout:
    """Roll back on behalf of an operator."""

    rollout_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class ResumeRollout:
    """Resume from the stored state after an interruption."""


@dataclass(frozen=True, slots=True)
class ConfirmOutcome:
    """Confirm that the configuration has the withdrawal or promotion."""

    rollout_id: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Check timeouts, and record what changed since the last tick."""


RolloutMessage = (
    StartRollout
    | RequestShare
    | ReleaseShare
    | ReportEvidence
    | HaltRollout
    | ResumeRollout
    | ConfirmOutcome
    | Tick
)


@dataclass(frozen=True, slots=True)
class RecordRollout:
    """Store the state; later effects wait until it is stored."""

    state: RolloutState


@dataclass(frozen=True, slots=True)
class GrantShare:
    """Send a holder the total of its share."""

    rollout_id: str
    version: str
    holder: str
    granted_weight: float


@dataclass(frozen=True, slots=True)
class AcceptEvidence:
    """Acknowledge a holder's reports up to a sequence number."""

    rollout_id: str
    holder: str
    sequence: int


@dataclass(frozen=True, slots=True)
class WithdrawVersion:
    """Withdraw the version in the configuration."""

    rollout_id: str
    version: str
    reason: str


@dataclass(frozen=True, slots=True)
class PromoteVersion:
    """Mark the version as steady in the configuration."""

    rollout_id: str
    version: str


RolloutEffect = (
    RecordRollout
    | GrantShare
    | AcceptEvidence
    | WithdrawVersion
    | PromoteVersion
)
Effects = tuple[RolloutEffect, ...]
