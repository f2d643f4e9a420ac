"""Drive the roll-outs of one version; record each step before acting."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import msgspec

from bamboodeck.configuration.changes import (
    ConfigurationChange,
    SetVersionState,
    WithdrawVersion,
)
from bamboodeck.configuration.model import (
    Configuration,
    Model,
    VersionState,
)
from bamboodeck.configuration.outcomes import WriteOutcome, Written
from bamboodeck.controller.records import Record
from bamboodeck.keyvalue.port import KeyValuePort
from bamboodeck.loop.scheduler import Scheduler
from bamboodeck.peers.deduplication import DeduplicatingSender
from bamboodeck.peers.messenger import Messenger, node_of
from bamboodeck.peers.rollouts import encode_rollout_message
from bamboodeck.rollout import state as rollout
from bamboodeck.rollout.decisions import decide

PREFIX = '/bamboodeck/rollouts/'
FINISHED_REASON = 'finished by an operator'
HALTED_REASON = 'halted by an operator'

OnWritten = Callable[[WriteOutcome], None]
WriteChange = Callable[[ConfigurationChange, str, OnWritten], None]


@dataclass(frozen=True, slots=True)
class RolloutJudged:
    """Log the progress of a roll-out once it is recorded."""

    rollout_id: str
    version: str
    phase: str
    stage: int
    answers: int
    granted_weight: float
    ceiling_weight: float
    reason: str


@dataclass(frozen=True, slots=True)
class StoredRollout:
    """Store a roll-out with the revisions at which it started and ended."""

    started_revision: int
    ended_revision: int
    state: rollout.RolloutState


@dataclass(frozen=True, slots=True)
class VersionRolloutPorts:
    """Bundle the ports that the roll-outs of one term use."""

    store: KeyValuePort
    scheduler: Scheduler
    messenger: Messenger
    wall_s: Callable[[], float]
    write_change: WriteChange
    log: Callable[[object], None]
    source: str


@dataclass(slots=True)
class _Progress:
    stored: StoredRollout | None = None
    effects: deque[rollout.RolloutEffect] = field(default_factory=deque)
    changing: bool = False
    logged: tuple[str, int] = ('', -1)


class VersionRollout:
    """Decide on the roll-outs of one version and own their record."""

    def __init__(self, version: str, ports: VersionRolloutPorts) -> None:
        """Load the record and resume its roll-out, if there is one."""
        self.version = version
        self._ports = ports
        self._dedup_sender = DeduplicatingSender(
            ports.messenger, ports.scheduler
        )
        self._progress = _Progress()
        self._record = Record(
            ports.store,
            ports.scheduler,
            f'{PREFIX}{version}',
            self._on_read,
        )
        self._record.load()

    @property
    def state(self) -> rollout.RolloutState | None:
        """Return the state of the roll-out once the record is loaded."""
        stored = self._progress.stored
        return stored.state if stored and self._record.loaded else None

    def close(self) -> None:
        """Stop all writes and effects when the term ends."""
        self._record.close()
        self._progress.effects.clear()

    def handle(self, message: rollout.RolloutMessage) -> None:
        """Handle a message if there is a roll-out."""
        if self.state is not None:
            self._decide(message)

    def tick(self, configuration: Configuration) -> None:
        """Start, advance or end a roll-out to match the configuration."""
        if not self._record.loaded or self._record.writing:
            return
        model = configuration.models_by_name.get(self.version)
        in_rollout = model and model.state is VersionState.ROLLOUT
        if in_rollout and self._may_start(configuration.revision):
            self._start(model, configuration.revision)
            return
        stored = self._progress.stored
        if stored is None or stored.state.confirmed:
            return
        if not in_rollout and configuration.revision > stored.started_revision:
            self._end_rollout(model, configuration.revision)
            return
        self._decide(rollout.Tick())

    def _may_start(self, revision: int) -> bool:
        stored = self._progress.stored
        if stored is None:
            return True
        return stored.state.confirmed and revision > stored.ended_revision

    def _start(self, model: Model, revision: int) -> None:
        message = rollout.StartRollout(
            f'{model.name}@r{revision}',
            model.name,
            rollout.RolloutRules(model.rollout_max_exposed_weight),
        )
        state, effects = decide(None, message, self._ports.wall_s())
        self._progress.stored = StoredRollout(revision, 0, state)
        self._queue_effects(effects)

    def _end_rollout(self, model: Model | None, revision: int) -> None:
        """End a roll-out that is no longer in the configuration."""
        stored = self._progress.stored
        state = stored.state
        if state.phase is rollout.Phase.RUNNING:
            steady = model is not None and model.state is VersionState.STEADY
            state = replace(
                state,
                phase=rollout.Phase.PROMOTED
                if steady
                else rollout.Phase.ROLLED_BACK,
                reason=FINISHED_REASON if steady else HALTED_REASON,
            )
        self._confirm(replace(stored, state=state), revision)

    def _confirm(self, stored: StoredRollout, revision: int) -> None:
        self._progress.stored = replace(stored, ended_revision=revision)
        self._decide(rollout.ConfirmOutcome(stored.state.rollout_id))

    def _decide(self, message: rollout.RolloutMessage) -> None:
        stored = self._progress.stored
        state, effects = decide(stored.state, message, self._ports.wall_s())
        self._progress.stored = replace(stored, state=state)
        self._queue_effects(effects)

    def _queue_effects(self, effects: rollout.Effects) -> None:
        self._progress.effects.extend(effects)
        if not self._record.writing:
            self._run_effects()

    def _run_effects(self) -> None:
        queue = self._progress.effects
        while queue and not self._record.writing:
            self._run_effect(queue.popleft())

    def _run_effect(self, effect: rollout.RolloutEffect) -> None:
        match effect:
            case rollout.RecordRollout(state):
                stored = replace(self._progress.stored, state=state)
                self._record.write(
                    msgspec.json.encode(stored),
                    lambda: self._on_durable(state),
                )
            case rollout.GrantShare(holder=holder):
                self._dedup_sender.send(
                    node_of(holder),
                    encode_rollout_message(effect, self._ports.source),
                    holder,
                )
            case rollout.AcceptEvidence():
                self._ports.messenger.send(
                    node_of(effect.holder),
                    encode_rollout_message(effect, self._ports.source),
                )
            case rollout.WithdrawVersion(rollout_id, version):
                self._write_change(rollout_id, WithdrawVersion(version))
            case rollout.PromoteVersion(rollout_id, version):
                steady = SetVersionState(version, VersionState.STEADY)
                self._write_change(rollout_id, steady)

    def _write_change(
        self, rollout_id: str, change: ConfigurationChange
    ) -> None:
        if self._progress.changing:
            return
        self._progress.changing = True

        def on_outcome(outcome: WriteOutcome) -> None:
            self._progress.changing = False
            stored = self._progress.stored
            same = stored and stored.state.rollout_id == rollout_id
            # A failed change is retried at the next tick.
            if isinstance(outcome, Written) and same and self._record.loaded:
                self._confirm(stored, outcome.revision)

        self._ports.write_change(change, f'rollout-{rollout_id}', on_outcome)

    def _on_durable(self, state: rollout.RolloutState) -> None:
        logged = (state.phase.value, state.stage)
        if logged != self._progress.logged:
            self._progress.logged = logged
            self._ports.log(
                RolloutJudged(
                    state.rollout_id,
                    state.version,
                    state.phase.value,
                    state.stage,
                    state.test.answers,
                    state.ledger.granted_weight,
                    state.ceiling_weight,
                    state.reason,
                ),
            )
        self._run_effects()

    def _on_read(self, body: bytes) -> None:
        self._progress.effects.clear()
        self._progress.stored = None
        if not body:
            return
        self._progress.stored = msgspec.json.decode(body, type=StoredRollout)
        self._decide(rollout.ResumeRollout())
