"""Judge one version's roll-outs, each step recorded before it is told."""

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
    """Log how far a roll-out has come, once that is recorded."""

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
    """Hold a roll-out and the revisions at which it began and ended."""

    started_revision: int
    ended_revision: int
    state: rollout.RolloutState


@dataclass(frozen=True, slots=True)
class CasePorts:
    """Hold what the cases of one term work with."""

    store: KeyValuePort
    scheduler: Scheduler
    post: Messenger
    wall_s: Callable[[], float]
    write_change: WriteChange
    log: Callable[[object], None]
    source: str


@dataclass(slots=True)
class _Progress:
    stored: StoredRollout | None = None
    effects: deque[rollout.RolloutEffect] = field(default_factory=deque)
    changing: bool = False
    told: tuple[str, int] = ('', -1)


class RolloutCase:
    """Own the record of one version."""

    def __init__(self, version: str, ports: CasePorts) -> None:
        """Resume from the record, if there is one."""
        self.version = version
        self._ports = ports
        self._repeats = DeduplicatingSender(ports.post, ports.scheduler)
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
        """Return the roll-out as it stands."""
        stored = self._progress.stored
        return stored.state if stored and self._record.loaded else None

    def close(self) -> None:
        """Stop, as the term is over."""
        self._record.close()
        self._progress.effects.clear()

    def take(self, message: rollout.RolloutMessage) -> None:
        """Decide on a message."""
        if self.state is not None:
            self._decide(message)

    def tick(self, configuration: Configuration) -> None:
        """Start, go on or end as the configuration wants it."""
        if not self._record.loaded or self._record.busy:
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
            self._settle(model, configuration.revision)
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
        self._carry_out(effects)

    def _settle(self, model: Model | None, revision: int) -> None:
        """End a roll-out that the configuration no longer has."""
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
        self._carry_out(effects)

    def _carry_out(self, effects: rollout.Effects) -> None:
        self._progress.effects.extend(effects)
        if not self._record.busy:
            self._go_on()

    def _go_on(self) -> None:
        queue = self._progress.effects
        while queue and not self._record.busy:
            self._do(queue.popleft())

    def _do(self, effect: rollout.RolloutEffect) -> None:
        match effect:
            case rollout.RecordRollout(state):
                stored = replace(self._progress.stored, state=state)
                self._record.write(
                    msgspec.json.encode(stored),
                    lambda: self._on_durable(state),
                )
            case rollout.GrantShare(holder=holder):
                self._repeats.send(
                    node_of(holder),
                    encode_rollout_message(effect, self._ports.source),
                    holder,
                )
            case rollout.AcceptEvidence():
                self._ports.post.send(
                    node_of(effect.holder),
                    encode_rollout_message(effect, self._ports.source),
                )
            case rollout.WithdrawVersion(rollout_id, version):
                self._change(rollout_id, WithdrawVersion(version))
            case rollout.PromoteVersion(rollout_id, version):
                steady = SetVersionState(version, VersionState.STEADY)
                self._change(rollout_id, steady)

    def _change(self, rollout_id: str, change: ConfigurationChange) -> None:
        if self._progress.changing:
            return
        self._progress.changing = True

        def take(outcome: WriteOutcome) -> None:
            self._progress.changing = False
            stored = self._progress.stored
            same = stored and stored.state.rollout_id == rollout_id
            # A change that failed is made again at the next tick.
            if isinstance(outcome, Written) and same and self._record.loaded:
                self._confirm(stored, outcome.revision)

        self._ports.write_change(change, f'rollout-{rollout_id}', take)

    def _on_durable(self, state: rollout.RolloutState) -> None:
        told = (state.phase.value, state.stage)
        if told != self._progress.told:
            self._progress.told = told
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
        self._go_on()

    def _on_read(self, body: bytes) -> None:
        self._progress.effects.clear()
        self._progress.stored = None
        if not body:
            return
        self._progress.stored = msgspec.json.decode(body, type=StoredRollout)
        self._decide(rollout.ResumeRollout())
