"""Coordinate roll-outs with the other hosts without a leader.

Every host follows the same order and clock. Steps and states are written by
compare-and-swap, so the first writer decides and the others read the result.
Hosts delay their writes by their rank, so that usually only one host writes.
"""

from collections.abc import Callable, Collection, Iterable

from bamboodeck.gateway.answer_counts import (
    SLOW_RATIOS,
    AnswerCounts,
    Cell,
    CellCounts,
    add_cells,
    sum_counts,
)
from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.engines import Engine
from bamboodeck.gateway.events import (
    RolloutJudged,
    RolloutMoved,
    RolloutProgress,
    RolloutSeen,
    RolloutWritten,
    TrialAnswered,
)
from bamboodeck.gateway.evidence import Evidence, ServiceEngines
from bamboodeck.gateway.exposure import (
    Exposure,
    ExposureBound,
    KnownRequests,
    is_affordable,
)
from bamboodeck.gateway.judging import Verdict, judge
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
from bamboodeck.gateway.rollout_state import (
    TERMINAL_STATES,
    PinnedSession,
    Rollout,
    TrialAnswer,
    classify_load,
)
from bamboodeck.gateway.rollouts import (
    LAST_STEP,
    VersionChoice,
    choose_version,
    clamp_elapsed_s,
    is_complete,
    is_in_share,
    is_undecided,
    share_at,
    step_due,
    step_start_s,
)
from bamboodeck.gateway.sessions import SessionUse
from bamboodeck.gateway.trial import (
    choose_burst_engines,
    choose_session_engines,
    is_burst,
)

TICK_S = 0.25
PROGRESS_LOG_S = 1.0
# Counts arrive from each host of a zone several times a second.
MIN_EVALUATION_S = 0.1
# Delay between the writes of two hosts of consecutive ranks, long enough that
# the second has usually read the write of the first.
WRITER_STAGGER_S = 0.3
MAX_WRITER_RANK = 10
# A verdict isn't held back for the hosts before, which may not share it.
MAX_ROLLBACK_RANK = 1
# Before the first sessions use a new version, hosts announce active sessions
# to each other for this long. Longer than an order takes to reach all hosts.
SESSION_SYNC_S = 2.5
# Sessions are announced repeatedly, since messages may be lost.
ANNOUNCEMENTS_PER_SESSION = 3
# Delay before a write is retried, doubled by each failure.
WRITE_RETRY_S = 0.6
MAX_WRITE_RETRY_S = 4.8
MAX_REPLACED_ORDERS = 20


class RolloutCoordinator:
    """Choose versions during roll-outs, and advance the roll-outs."""

    def __init__(
        self,
        context: GatewayContext,
        registry: Registry,
        find_rank: Callable[[], int],
    ) -> None:
        """Start without roll-outs; `find_rank` returns this host's rank."""
        self.evidence = Evidence()
        # Whether orders are seen as they are written.
        self.following = False
        # The most hosts that were ever known, which share the exposure, and
        # those that are heard now.
        self.hosts = 1
        self.heard_hosts = 1
        # The era of the store's history.
        self.era = 0
        self._context = context
        self._registry = registry
        self._find_rank = find_rank
        self._rollouts: dict[str, Rollout] = {}
        self._statuses: dict[str, RolloutStatusListed] = {}
        self._steps: dict[str, RolloutStepListed] = {}
        # By service, the versions that earlier roll-outs have left behind.
        self._withdrawn: dict[str, set[str]] = {}
        # By service, the orders that later ones have replaced.
        self._replaced: dict[str, list[RolloutOrder]] = {}
        context.loop.scheduler.call_every(TICK_S, self._tick)
        context.loop.scheduler.call_every(PROGRESS_LOG_S, self._log_progress)

    @property
    def running(self) -> bool:
        """Tell whether any roll-out is in progress."""
        return any(not rollout.ended for rollout in self._rollouts.values())

    def begin_history(self, era: int) -> None:
        """Forget all revisions, as the store was restored from a copy.

        What is known of the roll-outs stays in force.
        """
        self.era = era
        self._statuses.clear()
        self._steps.clear()
        for rollout in self._rollouts.values():
            rollout.order_lost = True
            rollout.order_revision = 0
            rollout.step_revision = 0
            rollout.state_revision = 0
            rollout.stored_state = None

    def apply(
        self,
        fact: RolloutOrdered | RolloutStatusListed | RolloutStepListed,
    ) -> None:
        """Apply a change of a roll-out's order, status or step."""
        match fact:
            case RolloutOrdered():
                self.apply_order(fact)
            case RolloutStatusListed():
                self.apply_status(fact)
            case RolloutStepListed():
                self.apply_step(fact)

    def apply_order(self, fact: RolloutOrdered) -> None:
        """Start the roll-out that an operator ordered."""
        order = fact.order
        known = self._rollouts.get(order.service)
        if known is not None and self._is_known_order(known, fact):
            return
        withdrawn = self._withdrawn.setdefault(order.service, set())
        if known is not None:
            withdrawn |= self._list_left_behind(known)
            replaced = self._replaced.setdefault(order.service, [])
            replaced.append(known.order)
            del replaced[:-MAX_REPLACED_ORDERS]
        withdrawn.discard(order.version)
        self._context.log.emit(
            RolloutSeen(
                order.service,
                order.version,
                order.duration_s,
                fact.revision,
                ','.join(sorted(withdrawn)),
            ),
        )
        self.evidence.forget(order.service)
        now_s = self._context.now_s()
        rollout = Rollout(
            order,
            fact.revision,
            self._context.environment.wall_s(),
            now_s,
            Exposure(self._context.environment.random),
            learned_late=not self.following,
            trial_begins_s=now_s + SESSION_SYNC_S,
        )
        self._rollouts[order.service] = rollout
        for use in self._context.sessions.recent(order.service, now_s):
            self.pin_session(use)
        # The step and the status may have been received before the order.
        step = self._steps.get(order.service)
        if step is not None:
            self.apply_step(step)
        status = self._statuses.get(order.service)
        if status is not None:
            self.apply_status(status)

    def _is_known_order(self, known: Rollout, fact: RolloutOrdered) -> bool:
        if not known.order_lost:
            return known.order_revision >= fact.revision
        if fact.order == known.order:
            known.order_lost = False
            known.order_revision = fact.revision
            return True
        # A restored store may list an order from before the known one.
        return fact.order in self._replaced.get(fact.order.service, ())

    def apply_status(self, fact: RolloutStatusListed) -> None:
        """Apply a roll-out state written by any host."""
        self._statuses[fact.service] = fact
        rollout = self._rollouts.get(fact.service)
        if rollout is None or fact.revision <= rollout.state_revision:
            return
        rollout.state_revision = fact.revision
        # An older status belongs to an earlier order.
        if fact.revision < rollout.order_revision:
            return
        if fact.status.version != rollout.order.version:
            return
        rollout.stored_state = fact.status.state
        if not rollout.ended or rollout.stored_state in TERMINAL_STATES:
            rollout.state = fact.status.state
        self._log_moved(rollout, fact.revision)

    def apply_step(self, fact: RolloutStepListed) -> None:
        """Apply a roll-out step written by any host."""
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
        withdrawn = self._withdrawn.setdefault(service, set())
        withdrawn.update(fact.step.withdrawn)
        withdrawn.discard(rollout.order.version)
        rollout.step = max(rollout.step, fact.step.step)
        rollout.began_unix_s = fact.step.began_unix_s
        if rollout.learned_late:
            wall_s = self._context.environment.wall_s()
            elapsed_s = clamp_elapsed_s(
                wall_s - rollout.began_unix_s,
                min(rollout.step, LAST_STEP),
                rollout.order.duration_s,
            )
            rollout.began_s = self._context.now_s() - elapsed_s
        self._log_moved(rollout, fact.revision)

    def choose(
        self,
        service: str,
        key: str,
        pinned: str | None,
        *,
        has_session: bool = True,
        repeated: bool = False,
    ) -> VersionChoice:
        """Return the versions and engines that a request may use."""
        rollout = self._rollouts.get(service)
        if rollout is None:
            return VersionChoice(only=pinned)
        target = rollout.order.version
        if rollout.bad or rollout.state is RolloutState.ROLLED_BACK:
            return VersionChoice(excluded=target, strict=True)
        if rollout.state is RolloutState.COMPLETED:
            return VersionChoice(only=target)
        if rollout.step == 0:
            # A request that failed before tells nothing of the version.
            if pinned or repeated or not self._may_try(rollout):
                return choose_version(
                    target,
                    share=0.0,
                    key=key,
                    pinned=pinned,
                    may_switch=False,
                )
            if has_session:
                return self._try_session(rollout, key)
            return self._try_in_burst(rollout)
        if not (pinned or repeated or rollout.proved):
            return self._try_session(rollout, key)
        return choose_version(
            target,
            share=share_at(rollout.step),
            key=key,
            pinned=pinned,
            may_switch=True,
        )

    def is_withdrawn(self, engine: Engine) -> bool:
        """Tell whether an earlier roll-out has left an engine's version."""
        withdrawn = self._withdrawn.get(engine.entry.service)
        return withdrawn is not None and engine.entry.version in withdrawn

    def pin_session(self, use: SessionUse) -> None:
        """Keep a session on its version during the trial."""
        rollout = self._rollouts.get(use.service)
        if rollout is None or rollout.ended or rollout.step > 0:
            return
        target = rollout.order.version
        if use.version == target:
            return
        if is_in_share(use.session, target, share_at(0)):
            rollout.pinned_sessions[use.session] = PinnedSession(use)

    def take_pinned_sessions(self) -> tuple[SessionUse, ...]:
        """Return the sessions to announce to other hosts now."""
        now_s = self._context.now_s()
        uses: list[SessionUse] = []
        for rollout in self._rollouts.values():
            for session, pinned in tuple(rollout.pinned_sessions.items()):
                uses.append(pinned.use)
                pinned.times_sent += 1
                # Repeated only before the trial, in case messages are lost.
                before_trial = now_s < rollout.trial_begins_s
                if (
                    not before_trial
                    or pinned.times_sent >= ANNOUNCEMENTS_PER_SESSION
                ):
                    rollout.pinned_sessions.pop(session)
        return tuple(uses)

    def record_sent(self, engine: Engine) -> None:
        """Count a request that is sent to an engine."""
        rollout = self._rollouts.get(engine.entry.service)
        if rollout is None or rollout.ended:
            return
        rollout.exposure.record(
            is_trial=engine.entry.version == rollout.order.version,
        )

    def record_answer(self, answer: TrialAnswer) -> None:
        """Count an answer as evidence while a roll-out is in progress."""
        entry = answer.engine.entry
        rollout = self._rollouts.get(entry.service)
        if rollout is None or rollout.ended or answer.repeated:
            return
        if self._context.evacuations.covers(entry.zone):
            return
        self.evidence.record(
            entry.service,
            entry.engine_id,
            Cell(answer.route, classify_load(rollout, answer)),
            failed=answer.failed,
            time_ratio=answer.time_ratio,
        )
        if entry.version == rollout.order.version:
            self._log_answer(answer)
        if answer.failed or answer.time_ratio > SLOW_RATIOS[0]:
            self._evaluate(rollout)

    def build_evidence_report(
        self,
        hosts: Collection[str] = (),
    ) -> EvidenceReport:
        """Return the answer counts of this host and of `hosts`."""
        return self.evidence.build_report(
            [
                self._list_engines(rollout)
                for rollout in self._rollouts.values()
                if not rollout.ended
            ],
            hosts,
        )

    def merge(self, host: str, report: EvidenceReport) -> None:
        """Replace the counts of another host since the order."""
        self.evidence.merge(host, report)
        for rollout in self._rollouts.values():
            self._evaluate(rollout)

    def _may_try(self, rollout: Rollout) -> bool:
        if self._context.now_s() < rollout.trial_begins_s:
            return False
        return rollout.exposure.allows_trial(self._find_bound(rollout))

    def _try_session(self, rollout: Rollout, key: str) -> VersionChoice:
        target = rollout.order.version
        share = share_at(rollout.step)
        if not is_in_share(key, target, share):
            return VersionChoice(excluded=target)
        engines = choose_session_engines(
            self._list_engines(rollout).trial,
            target,
            self._context.environment.wall_s(),
            share,
        )
        return VersionChoice(only=target, engines=engines)

    def _try_in_burst(self, rollout: Rollout) -> VersionChoice:
        target = rollout.order.version
        unix_s = self._context.environment.wall_s()
        if not is_burst(unix_s):
            return VersionChoice(excluded=target)
        engines = choose_burst_engines(
            self._list_engines(rollout).trial,
            target,
            unix_s,
        )
        return VersionChoice(only=target, engines=engines)

    def _find_bound(self, rollout: Rollout) -> ExposureBound:
        bounds = self._context.settings.bounds
        # A host that was restarted has used its slack before.
        slack = 0.0 if rollout.learned_late else bounds.exposure_slack
        return ExposureBound(bounds.exposure_share, slack / self.hosts)

    def _may_advance(self, rollout: Rollout, elapsed_s: float) -> bool:
        if rollout.judgement.verdict is Verdict.BAD:
            return False
        if rollout.proved:
            return True
        share = share_at(rollout.step + 1)
        duration_s = rollout.order.duration_s
        if rollout.step < LAST_STEP and is_undecided(elapsed_s, duration_s):
            # It may go on if only the writes of its steps were late.
            share = share_at(LAST_STEP)
            elapsed_s = step_start_s(LAST_STEP, duration_s)
        bounds = self._context.settings.bounds
        # Hosts that aren't heard may have as many answers as others, and more.
        scale = self.hosts / self.heard_hosts
        return is_affordable(
            ExposureBound(bounds.exposure_share, bounds.exposure_slack),
            KnownRequests(
                rollout.answers * scale,
                rollout.trial_answers * scale,
                elapsed_s,
                duration_s,
            ),
            share if scale <= 1 else 1.0,
        )

    def _list_left_behind(self, rollout: Rollout) -> set[str]:
        target = rollout.order.version
        if rollout.bad or rollout.state is RolloutState.ROLLED_BACK:
            return {target}
        if rollout.state is not RolloutState.COMPLETED:
            return set()
        service = rollout.order.service
        return {
            engine.entry.version
            for engine in self._context.engines.of_service(service)
            if engine.entry.version != target
        }

    def _list_engines(self, rollout: Rollout) -> ServiceEngines:
        trial = []
        baseline = []
        service = rollout.order.service
        for engine in self._context.engines.of_service(service):
            if self._context.evacuations.covers(engine.entry.zone):
                continue
            is_trial = engine.entry.version == rollout.order.version
            ids = trial if is_trial else baseline
            ids.append(engine.entry.engine_id)
        return ServiceEngines(service, trial, baseline)

    def _evaluate(self, rollout: Rollout) -> None:
        now_s = self._context.now_s()
        if rollout.bad or rollout.ended:
            return
        if now_s < rollout.evaluated_s + MIN_EVALUATION_S:
            return
        rollout.evaluated_s = now_s
        engines = self._list_engines(rollout)
        trial = self.evidence.count_trial(engines)
        before = self.evidence.count_baseline(engines)
        after = _sum_cells(add_cells(trial.values()))
        old = _sum_cells(before)
        rollout.answers = after.answers + old.answers
        rollout.trial_answers = after.answers
        recent = rollout.recent.take(now_s, trial)
        judgement = judge(recent, before, len(engines.trial))
        if judgement.verdict is not Verdict.BAD:
            judgement = judge(trial, before, len(engines.trial))
        rollout.judgement = judgement
        rollout.proved |= judgement.verdict is Verdict.GOOD
        if judgement.verdict is not Verdict.BAD:
            return
        rollout.bad = True
        self._context.metrics.count('version_judged_bad')
        self._context.log.warn(
            RolloutJudged(
                rollout.order.service,
                rollout.order.version,
                after.answers,
                after.failed,
                _join(after.slow),
                old.answers,
                old.failed,
                _join(old.slow),
                judgement.reason,
            ),
        )

    def _tick(self) -> None:
        for rollout in self._rollouts.values():
            self._evaluate(rollout)
            if rollout.must_restore or not rollout.ended:
                self._advance(rollout)

    def _advance(self, rollout: Rollout) -> None:
        now_s = self._context.now_s()
        due = self._find_due(rollout)
        if due is None or due != rollout.due:
            rollout.due = due
            rollout.due_since_s = now_s
            rollout.failed_writes = 0
            if due is None:
                return
        max_rank = MAX_ROLLBACK_RANK if rollout.bad else MAX_WRITER_RANK
        rank = min(self._find_rank(), max_rank)
        if now_s - rollout.due_since_s < rank * WRITER_STAGGER_S:
            return
        retry_s = min(
            WRITE_RETRY_S * 2**rollout.failed_writes,
            MAX_WRITE_RETRY_S,
        )
        if now_s - rollout.written_s < retry_s:
            return
        rollout.written_s = now_s
        self._write(rollout, *due)

    def _find_due(
        self,
        rollout: Rollout,
    ) -> tuple[int, RolloutState | None] | None:
        if rollout.must_restore:
            return (rollout.step, rollout.state)
        if rollout.bad:
            return (rollout.step, RolloutState.ROLLED_BACK)
        if rollout.state is None:
            return (rollout.step, RolloutState.RUNNING)
        elapsed_s = self._context.now_s() - rollout.began_s
        duration_s = rollout.order.duration_s
        may_advance = self._may_advance(rollout, elapsed_s)
        if may_advance and is_complete(rollout.step, elapsed_s, duration_s):
            return (rollout.step, RolloutState.COMPLETED)
        if not may_advance and is_undecided(elapsed_s, duration_s):
            return (rollout.step, RolloutState.ROLLED_BACK)
        step = rollout.step
        if may_advance:
            step = min(step_due(elapsed_s, duration_s), step + 1)
        unwritten = rollout.step_revision < rollout.order_revision
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
            if not isinstance(reply, Written):
                rollout.failed_writes += 1
            elif state is not None and reply.era == self.era:
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
                tuple(sorted(self._withdrawn[order.service])),
            ),
            rollout.step_revision,
            on_written,
        )

    def _log_answer(self, answer: TrialAnswer) -> None:
        entry = answer.engine.entry
        self._context.log.emit(
            TrialAnswered(
                entry.service,
                entry.version,
                entry.engine_id,
                answer.route,
                answer.load,
                answer.failed,
                answer.time_ratio,
            ),
        )

    def _log_progress(self) -> None:
        for rollout in self._rollouts.values():
            if rollout.ended:
                continue
            engines = self._list_engines(rollout)
            trial = self.evidence.count_trial(engines)
            after = _sum_cells(add_cells(trial.values()))
            before = _sum_cells(self.evidence.count_baseline(engines))
            self._context.log.emit(
                RolloutProgress(
                    rollout.order.service,
                    rollout.order.version,
                    rollout.step,
                    rollout.exposure.requests,
                    rollout.exposure.trial_requests,
                    after.answers,
                    after.failed,
                    before.answers,
                    before.failed,
                    rollout.judgement.verdict.value,
                    rollout.judgement.reason,
                ),
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


def _sum_cells(cells: CellCounts) -> AnswerCounts:
    return sum_counts(cells.values())


def _join(counts: Iterable[int]) -> str:
    return ','.join(map(str, counts))
