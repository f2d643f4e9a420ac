"""Hold what a host knows of the roll-out of one service."""

import msgspec

from bamboodeck.gateway.answer_counts import HIGH_LOAD_SHARE, Load
from bamboodeck.gateway.engines import Engine
from bamboodeck.gateway.evidence import RecentCounts
from bamboodeck.gateway.exposure import Exposure
from bamboodeck.gateway.judging import Judgement, Verdict
from bamboodeck.gateway.model import RolloutOrder, RolloutState
from bamboodeck.gateway.sessions import SessionUse

TERMINAL_STATES = frozenset((RolloutState.COMPLETED, RolloutState.ROLLED_BACK))
UNKNOWN = Judgement(Verdict.UNDECIDED, 'no answers')


class PinnedSession(msgspec.Struct):
    """Hold a session that keeps its version, and its announcement count."""

    use: SessionUse
    times_sent: int = 0


class TrialAnswer(msgspec.Struct, frozen=True):
    """Describe an answer that tells of its engine's version."""

    engine: Engine
    route: str
    # Requests of all hosts known to run on the engine before it.
    load: int
    # Ratio of its observed to its predicted time.
    time_ratio: float
    failed: bool
    has_session: bool = False
    # Whether the request failed before; it may be one that always fails.
    repeated: bool = False


class Rollout(msgspec.Struct):
    """Hold this host's view of the roll-out of one service."""

    order: RolloutOrder
    order_revision: int
    # By the clock of the host that wrote the first step.
    began_unix_s: float
    # By this host's monotonic clock, as the time of day may jump.
    began_s: float
    exposure: Exposure
    # The order was there before this process.
    learned_late: bool = False
    step: int = 0
    step_revision: int = 0
    step_version: str = ''
    state: RolloutState | None = None
    state_revision: int = 0
    # The state that the store holds.
    stored_state: RolloutState | None = None
    # Whether the store was restored, and has not shown the order again.
    order_lost: bool = False
    bad: bool = False
    # Sessions of the trial share that ran on another version and are still to
    # be announced; each keeps its version while it is active.
    pinned_sessions: dict[str, PinnedSession] = msgspec.field(
        default_factory=dict,
    )
    trial_begins_s: float = 0.0
    due_since_s: float | None = None
    due: tuple[int, RolloutState | None] | None = None
    written_s: float = 0.0
    # Writes in a row that did not succeed.
    failed_writes: int = 0
    recent: RecentCounts = msgspec.field(default_factory=RecentCounts)
    judgement: Judgement = UNKNOWN
    # Whether the version was ever known to be good.
    proved: bool = False
    # Known answers of all hosts since the order, and those of the version.
    answers: int = 0
    trial_answers: int = 0
    evaluated_s: float = 0.0

    @property
    def ended(self) -> bool:
        """Tell whether the roll-out was completed or rolled back."""
        return self.state in TERMINAL_STATES

    @property
    def must_restore(self) -> bool:
        """Tell whether the store has lost the state."""
        if self.order_lost or self.state is None:
            return False
        written = self.state_revision >= self.order_revision
        return not written or self.state is not self.stored_state


def classify_load(rollout: Rollout, answer: TrialAnswer) -> Load:
    """Return the load of the engine that gave an answer."""
    entry = answer.engine.entry
    if answer.load + 1 >= HIGH_LOAD_SHARE * entry.slots:
        return Load.HIGH
    is_trial = entry.version == rollout.order.version
    if is_trial and rollout.step == 0 and not answer.has_session:
        return Load.BURST
    return Load.USUAL
