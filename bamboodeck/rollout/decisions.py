"""Decide on stages, halts and promotion of a roll-out, in the fleet controller.

Times are wall-clock seconds, so that they are comparable between controllers.
Effects are executed in order; if the record can't be written, the later ones
are dropped and the controller resumes from the stored state.
"""

from dataclasses import replace

from bamboodeck.rollout.sequential import (
    Advance,
    Continue,
    Halt,
    TestState,
    Verdict,
)
from bamboodeck.rollout.state import (
    AcceptEvidence,
    ConfirmOutcome,
    Effects,
    EvidenceMark,
    GrantShare,
    HaltRollout,
    LastShareRequest,
    Phase,
    PromoteVersion,
    RecordRollout,
    ReleaseShare,
    ReportEvidence,
    RequestShare,
    ResumeRollout,
    RolloutMessage,
    RolloutState,
    StartRollout,
    Tick,
    WithdrawVersion,
)

SILENCE_REASON = 'no evidence for {0:.0f} s'
SHARE_REQUEST_TTL_S = 10.0
EXHAUSTED_REASON = 'its bound was used up without a verdict'


def decide(
    state: RolloutState | None,
    message: RolloutMessage,
    now_s: float,
) -> tuple[RolloutState | None, Effects]:
    """Return the next state and the effects to execute."""
    if isinstance(message, StartRollout):
        return _start(state, message, now_s)
    if state is None or not _is_addressed(state, message):
        return state, ()
    match message:
        case RequestShare() | ReleaseShare():
            return _change_shares(state, message, now_s), ()
        case ReportEvidence():
            return _report(state, message, now_s)
        case HaltRollout(reason=reason):
            return _end(state, Phase.ROLLED_BACK, reason)
        case ConfirmOutcome():
            return _confirm(state)
        case ResumeRollout():
            return _tick(replace(state, dirty=True), now_s)
        case Tick():
            return _tick(state, now_s)


def _is_addressed(state: RolloutState, message: RolloutMessage) -> bool:
    named = getattr(message, 'rollout_id', state.rollout_id)
    return named == state.rollout_id


def _start(
    state: RolloutState | None,
    message: StartRollout,
    now_s: float,
) -> tuple[RolloutState, Effects]:
    if state is not None and not state.confirmed:
        return state, ()
    if state is not None and state.rollout_id == message.rollout_id:
        return state, ()
    started = RolloutState(
        rollout_id=message.rollout_id,
        version=message.version,
        rules=message.rules,
        phase=Phase.RUNNING,
        stage=0,
        stage_answers=0,
        evidence_s=now_s,
    )
    return started, (RecordRollout(started),)


def _change_shares(
    state: RolloutState,
    message: RequestShare | ReleaseShare,
    now_s: float,
) -> RolloutState:
    asks = tuple(ask for ask in state.asks if ask.holder != message.holder)
    match message:
        case ReleaseShare(holder=holder, kept_weight=kept_weight):
            ledger = state.ledger.release(holder, kept_weight)
        case RequestShare(holder=holder, wanted_weight=wanted_weight):
            asks = (*asks, LastShareRequest(holder, now_s, message.exhausted))
            ledger = state.ledger.grant(
                holder,
                wanted_weight,
                state.ceiling_weight,
            )
    return replace(state, ledger=ledger, asks=asks, dirty=True)


def _report(
    state: RolloutState,
    message: ReportEvidence,
    now_s: float,
) -> tuple[RolloutState, Effects]:
    # Holders resend reports in order until they are accepted.
    if message.sequence != _last_sequence(state, message.holder) + 1:
        return replace(state, dirty=True), ()
    other_marks = tuple(
        mark for mark in state.marks if mark.holder != message.holder
    )
    mark = EvidenceMark(message.holder, message.sequence)
    state = replace(state, marks=(*other_marks, mark), dirty=True)
    if state.phase is not Phase.RUNNING:
        return state, ()
    return _observe(state, message, now_s)


def _last_sequence(state: RolloutState, holder: str) -> int:
    for mark in state.marks:
        if mark.holder == holder:
            return mark.sequence
    return 0


def _observe(
    state: RolloutState,
    message: ReportEvidence,
    now_s: float,
) -> tuple[RolloutState, Effects]:
    sequential = state.rules.test
    test = state.test
    for outcome in message.outcomes:
        test = sequential.observe(test, outcome)
        if isinstance(sequential.judge(test), Halt):
            break
    stage_answers = state.stage_answers + test.answers - state.test.answers
    state = replace(
        state,
        test=test,
        stage_answers=stage_answers,
        evidence_s=now_s if message.outcomes else state.evidence_s,
        exhausted_s=None if message.outcomes else state.exhausted_s,
    )
    return _apply_verdict(state, sequential.judge(test))


def _apply_verdict(
    state: RolloutState,
    verdict: Verdict,
) -> tuple[RolloutState, Effects]:
    match verdict:
        case Continue():
            return state, ()
        case Halt(signal=signal, answers=answers):
            reason = f'{signal} worse than the baseline after {answers} answers'
            return _end(state, Phase.HALTED, reason)
        case Advance():
            return _advance(state, state.test)
    return state, ()


def _advance(
    state: RolloutState,
    test: TestState,
) -> tuple[RolloutState, Effects]:
    if state.stage_answers < state.rules.stage_min_answers:
        return state, ()
    if state.stage + 1 == len(state.rules.stage_fractions):
        reason = f'as good as the baseline after {test.answers} answers'
        return _end(state, Phase.PROMOTED, reason)
    return replace(state, stage=state.stage + 1, stage_answers=0), ()


def _end(
    state: RolloutState,
    phase: Phase,
    reason: str,
) -> tuple[RolloutState, Effects]:
    if state.phase is not Phase.RUNNING:
        return state, ()
    ended = replace(state, phase=phase, reason=reason, dirty=False)
    return ended, (RecordRollout(ended), *_outcome_effects(ended))


def _outcome_effects(state: RolloutState) -> Effects:
    if state.confirmed:
        return ()
    match state.phase:
        case Phase.HALTED | Phase.ROLLED_BACK:
            return (
                WithdrawVersion(
                    state.rollout_id,
                    state.version,
                    state.reason,
                ),
            )
        case Phase.PROMOTED:
            return (PromoteVersion(state.rollout_id, state.version),)
    return ()


def _confirm(state: RolloutState) -> tuple[RolloutState, Effects]:
    if state.confirmed or state.phase is Phase.RUNNING:
        return state, ()
    confirmed = replace(state, confirmed=True)
    return confirmed, (RecordRollout(confirmed),)


def _tick(state: RolloutState, now_s: float) -> tuple[RolloutState, Effects]:
    silence_s = now_s - state.evidence_s
    running = state.phase is Phase.RUNNING
    if running and silence_s > state.rules.max_silence_s:
        reason = SILENCE_REASON.format(silence_s)
        return _end(state, Phase.ROLLED_BACK, reason)
    state = _update_exhaustion(state, now_s)
    if running and _is_exhausted(state, now_s):
        return _end(state, Phase.ROLLED_BACK, EXHAUSTED_REASON)
    if not state.dirty:
        return state, _outcome_effects(state)
    recorded = replace(state, dirty=False)
    return recorded, (
        RecordRollout(recorded),
        *_outcome_effects(recorded),
        *_grants(recorded),
        *_acceptances(recorded),
    )


def _update_exhaustion(state: RolloutState, now_s: float) -> RolloutState:
    """Update since when no active holder can gather more evidence."""
    recent = [
        ask for ask in state.asks if now_s - ask.asked_s <= SHARE_REQUEST_TTL_S
    ]
    if not recent or not all(ask.exhausted for ask in recent):
        return replace(state, exhausted_s=None)
    if state.exhausted_s is None:
        return replace(state, exhausted_s=now_s)
    return state


def _is_exhausted(state: RolloutState, now_s: float) -> bool:
    if state.exhausted_s is None:
        return False
    return now_s - state.exhausted_s > state.rules.max_exhausted_s


def _grants(state: RolloutState) -> Effects:
    if state.phase is not Phase.RUNNING:
        return ()
    return tuple(
        GrantShare(
            state.rollout_id,
            state.version,
            share.holder,
            share.granted_weight,
        )
        for share in state.ledger.shares
    )


def _acceptances(state: RolloutState) -> Effects:
    return tuple(
        AcceptEvidence(state.rollout_id, mark.holder, mark.sequence)
        for mark in state.marks
    )
