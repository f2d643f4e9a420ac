"""Carry roll-outs out together with the other hosts, without a leader.

Every host follows the same order and clock. Steps and states are written by
compare-and-swap, so the first writer decides and the others read its word;
each host waits for its turn before it writes, so that one write is the rule.
"""

from collections.abc import Callable, Collection

import msgspec

from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.engines import Engine
from bamboodeck.gateway.events import (
    RolloutJudged,
    RolloutMoved,
    RolloutSeen,
    RolloutWritten,
)
from bamboodeck.gateway.evidence import Evidence, ServiceEngines
from bamboodeck.gateway.model import RolloutOrder, RolloutState, RolloutStatus
from bamboodeck.gateway.peer_messages import EvidenceReport
from bamboodeck.gateway.ports import (
    Registry,
    RolloutOrdered,
    RolloutStatusListed,
    RolloutStep,
    RolloutStepListed,
    WriteReply,
    Written,
)
from bamboodeck.gateway.rollouts import (
    SlowRatio,
    VersionChoice,
    choose_version,
    is_bad,
    is_complete,
    is_in_share,
    share_at,
    step_due,
    sum_counts,
)
from bamboodeck.gateway.sessions import SessionUse

TICK_S = 0.25
# The writes of two hosts are this far apart, so that the second has usually
# heard of the first one's.
WRITER_STAGGER_S = 0.3
MAX_WRITER_RANK = 10
# Before the first sessions try a version, hosts tell each other for this long
# which ones go on; longer than the news of an order may be late.
SESSION_SYNC_S = 2.5
# Each session is told so often while sessions settle, as news may be lost.
ANNOUNCEMENTS_PER_SESSION = 3
# Until a write without an answer is tried again.
WRITE_RETRY_S = 0.6

_TERMINAL = frozenset((RolloutState.COMPLETED, RolloutState.ROLLED_BACK))


class PinnedSession(msgspec.Struct):
    """Hold a session that has to stay, and how often it was told."""

    use: SessionUse
    times_sent: int = 0


class Rollout(msgspec.Struct):
    """Hold the roll-out of one service as this host knows it."""

    order: RolloutOrder
    order_revision: int
    began_unix_s: float
    step: int = 0
    step_revision: int = 0
    step_version: str = ''
    state: RolloutState | None = None
    state_revision: int = 0
    bad: bool = False
    # Sessions of the trial share that ran on another version since the last
    # news; each stays there while it goes on.
    pinned_sessions: dict[str, PinnedSession] = msgspec.field(
        default_factory=dict
    )
    trial_begins_s: float = 0.0
    due_since_s: float | None = None
    due: tuple[int, RolloutState | None] | None = None
    written_s: float = 0.0

    @property
    def ended(self) -> bool:
        """Tell whether the version was moved in or taken out."""
        return self.state in _TERMINAL


class RolloutCoordinator:
    """Tell which version a request may use, and move roll-outs on."""

    def __init__(
        self,
        context: GatewayContext,
        registry: Registry,
        find_rank: Callable[[], int],
    ) -> None:
        """Keep who writes; `find_turn` tells this host's place among all."""
        self.evidence = Evidence()
        self._context = context
        self._registry = registry
        self._find_rank = find_rank
        self._rollouts: dict[str, Rollout] = {}
        self._slow_ratios: dict[str, SlowRatio] = {}
        self._statuses: dict[str, RolloutStatusListed] = {}
        self._steps: dict[str, RolloutStepListed] = {}
        context.loop.scheduler.call_every(TICK_S, self._tick)

    @property
    def running(self) -> bool:
        """Tell whether any roll-out is under way."""
        return any(not rollout.ended for rollout in self._rollouts.values())

    def apply(
        self,
        fact: RolloutOrdered | RolloutStatusListed | RolloutStepListed,
    ) -> None:
        """Follow what the store tells of roll-outs."""
        match fact:
            case RolloutOrdered():
                self.apply_order(fact)
            case RolloutStatusListed():
                self.apply_status(fact)
            case RolloutStepListed():
                self.apply_step(fact)

    def apply_order(self, fact: RolloutOrdered) -> None:
        """Follow an operator's order."""
        order = fact.order
        known = self._rollouts.get(order.service)
        if known is not None and known.order_revision >= fact.revision:
            return
        self._context.log.emit(
            RolloutSeen(
                order.service,
                order.version,
                order.duration_s,
                fact.revision,
            ),
        )
        self.evidence = Evidence()
        now_s = self._context.now_s()
        rollout = Rollout(
            order,
            fact.revision,
            self._context.environment.wall_s(),
            trial_begins_s=now_s + SESSION_SYNC_S,
        )
        self._rollouts[order.service] = rollout
        for use in self._context.sessions.recent(order.service, now_s):
            self.pin_session(use)
        # Both may have been listed before the order was.
        step = self._steps.get(order.service)
        if step is not None:
            self.apply_step(step)
        status = self._statuses.get(order.service)
        if status is not None:
            self.apply_status(status)

    def apply_status(self, fact: RolloutStatusListed) -> None:
        """Follow the state that some host has written."""
        self._statuses[fact.service] = fact
        rollout = self._rollouts.get(fact.service)
        if rollout is None or fact.revision <= rollout.state_revision:
            return
        rollout.state_revision = fact.revision
        # An older status speaks of an earlier order.
        if fact.revision < rollout.order_revision:
            return
        if fact.status.version != rollout.order.version:
            return
        if not rollout.ended:
            rollout.state = fact.status.state
        self._log_moved(rollout, fact.revision)

    def apply_step(self, fact: RolloutStepListed) -> None:
        """Follow the step that some host has written."""
        service = fact.step.service
        self._steps[service] = fact
        rollout = self._rollouts.get(service)
        if rollout is None or fact.revision <= rollout.step_revision:
            return
        rollout.step_revision = fact.revision
        if fact.revision < rollout.order_revision:
            return
        if fact.step.version != rollout.order.version:
            return
        rollout.step = max(rollout.step, fact.step.step)
        rollout.began_unix_s = fact.step.began_unix_s
        self._log_moved(rollout, fact.revision)

    def choose(
        self,
        service: str,
        key: str,
        pinned: str | None,
    ) -> VersionChoice:
        """Tell which versions a request may use."""
        rollout = self._rollouts.get(service)
        if rollout is None:
            return VersionChoice(only=pinned)
        target = rollout.order.version
        if rollout.bad or rollout.state is RolloutState.ROLLED_BACK:
            return VersionChoice(excluded=target, strict=True)
        if rollout.state is RolloutState.COMPLETED:
            return VersionChoice(only=target)
        settled = self._context.now_s() >= rollout.trial_begins_s
        return choose_version(
            target,
            share=share_at(rollout.step) if settled else 0.0,
            key=key,
            pinned=pinned,
            may_switch=rollout.step > 0,
        )

    def pin_session(self, use: SessionUse) -> None:
        """Note a session that a trial has to leave where it runs."""
        rollout = self._rollouts.get(use.service)
        if rollout is None or rollout.ended or rollout.step > 0:
            return
        target = rollout.order.version
        if use.version == target:
            return
        if is_in_share(use.session, target, share_at(0)):
            rollout.pinned_sessions[use.session] = PinnedSession(use)

    def take_pinned_sessions(self) -> tuple[SessionUse, ...]:
        """Return the sessions of which other hosts have to hear now."""
        now_s = self._context.now_s()
        uses: list[SessionUse] = []
        for rollout in self._rollouts.values():
            for session, pinned in tuple(rollout.pinned_sessions.items()):
                uses.append(pinned.use)
                pinned.times_sent += 1
                # Before the trial begins there is time to make up for losses.
                settling = now_s < rollout.trial_begins_s
                if (
                    not settling
                    or pinned.times_sent >= ANNOUNCEMENTS_PER_SESSION
                ):
                    rollout.pinned_sessions.pop(session)
        return tuple(uses)

    def record_answer(
        self,
        engine: Engine,
        time_ratio: float,
        *,
        failed: bool,
    ) -> None:
        """Count an answer as evidence while a roll-out is under way.

        `time_ratio` is its time against the predicted one.
        """
        service = engine.entry.service
        rollout = self._rollouts.get(service)
        slow_ratio = self._slow_ratios.setdefault(service, SlowRatio())
        slow = time_ratio > slow_ratio.ratio
        if rollout is None or engine.entry.version != rollout.order.version:
            slow_ratio.learn(time_ratio)
        if rollout is None or rollout.ended:
            return
        self.evidence.record(engine.entry.engine_id, failed=failed, slow=slow)
        if failed or slow:
            self._judge(rollout)

    def build_evidence_report(
        self, hosts: Collection[str] = ()
    ) -> EvidenceReport:
        """Return what others have to hear of the answers here.

        The answers at some other hosts are counted with this one's.
        """
        return self.evidence.build_report(
            [
                self._list_engines(rollout)
                for rollout in self._rollouts.values()
                if not rollout.ended
            ],
            hosts,
        )

    def merge(self, host: str, report: EvidenceReport) -> None:
        """Take what another host has counted since the order."""
        self.evidence.merge(host, report)
        for rollout in self._rollouts.values():
            self._judge(rollout)

    def _list_engines(self, rollout: Rollout) -> ServiceEngines:
        trial = []
        baseline = []
        service = rollout.order.service
        for engine in self._context.engines.of_service(service):
            is_trial = engine.entry.version == rollout.order.version
            ids = trial if is_trial else baseline
            ids.append(engine.entry.engine_id)
        return ServiceEngines(service, trial, baseline)

    def _judge(self, rollout: Rollout) -> None:
        if rollout.bad or rollout.ended:
            return
        engines = self._list_engines(rollout)
        trial = self.evidence.count_trial(engines)
        before = self.evidence.count_baseline(engines)
        if not is_bad(trial, before):
            return
        rollout.bad = True
        after = sum_counts(trial.values())
        self._context.metrics.count('version_judged_bad')
        self._context.log.warn(
            RolloutJudged(
                rollout.order.service,
                rollout.order.version,
                after.answers,
                after.failed,
                after.slow,
                before.answers,
                before.failed,
                before.slow,
            ),
        )

    def _tick(self) -> None:
        for rollout in self._rollouts.values():
            if not rollout.ended:
                self._move(rollout)

    def _move(self, rollout: Rollout) -> None:
        now_s = self._context.now_s()
        due = self._find_due(rollout)
        if due is None or due != rollout.due:
            rollout.due = due
            rollout.due_since_s = now_s
            if due is None:
                return
        turn = min(self._find_rank(), MAX_WRITER_RANK)
        if now_s - rollout.due_since_s < turn * WRITER_STAGGER_S:
            return
        if now_s - rollout.written_s < WRITE_RETRY_S:
            return
        rollout.written_s = now_s
        self._write(rollout, *due)

    def _find_due(
        self,
        rollout: Rollout,
    ) -> tuple[int, RolloutState | None] | None:
        if rollout.bad:
            return (rollout.step, RolloutState.ROLLED_BACK)
        if rollout.state is None:
            return (rollout.step, RolloutState.RUNNING)
        elapsed_s = self._context.environment.wall_s() - rollout.began_unix_s
        duration_s = rollout.order.duration_s
        if is_complete(rollout.step, elapsed_s, duration_s):
            return (rollout.step, RolloutState.COMPLETED)
        unwritten = rollout.step_revision < rollout.order_revision
        step = min(step_due(elapsed_s, duration_s), rollout.step + 1)
        if step > rollout.step or unwritten:
            return (step, None)
        return None

    def _write(
        self,
        rollout: Rollout,
        step: int,
        state: RolloutState | None,
    ) -> None:
        order = rollout.order

        def on_written(reply: WriteReply) -> None:
            self._context.log.emit(
                RolloutWritten(
                    order.service,
                    order.version,
                    step,
                    '' if state is None else state.value,
                    type(reply).__name__,
                ),
            )
            if isinstance(reply, Written) and state is not None:
                self.apply_status(
                    RolloutStatusListed(
                        order.service,
                        RolloutStatus(order.version, state),
                        reply.revision,
                    ),
                )

        if state is not None:
            self._registry.write_status(
                order.service,
                RolloutStatus(order.version, state),
                rollout.state_revision,
                on_written,
            )
            return
        self._registry.write_step(
            RolloutStep(
                order.service,
                order.version,
                step,
                rollout.began_unix_s,
            ),
            rollout.step_revision,
            on_written,
        )

    def _log_moved(self, rollout: Rollout, revision: int) -> None:
        self._context.log.emit(
            RolloutMoved(
                rollout.order.service,
                rollout.order.version,
                rollout.step,
                '' if rollout.state is None else rollout.state.value,
                revision,
            ),
        )
