"""Test the decisions on roll-outs and the gate on a node."""

from dataclasses import replace

import pytest

from bamboodeck.rollout.decisions import EXHAUSTED_REASON, decide
from bamboodeck.rollout.evidence import (
    AnswerOutcome,
    Reference,
    find_shortfall,
)
from bamboodeck.rollout.gate import NodeShare, RolloutGate
from bamboodeck.rollout.state import (
    AcceptEvidence,
    ConfirmOutcome,
    GrantShare,
    HaltRollout,
    Phase,
    PromoteVersion,
    RecordRollout,
    ReleaseShare,
    ReportEvidence,
    RequestShare,
    ResumeRollout,
    RolloutRules,
    RolloutState,
    StartRollout,
    Tick,
    WithdrawVersion,
)

REFERENCE = Reference(0.9, 0.005, 0.05)
GOOD = AnswerOutcome(REFERENCE, 0.95)
BAD = AnswerOutcome(REFERENCE, 0.2)
RULES = RolloutRules(max_exposed_weight=200, max_silence_s=600)


def start() -> RolloutState:
    """Start a roll-out at time 0."""
    state, _ = decide(None, StartRollout('r1', 'plan@2', RULES), 0)
    assert state is not None
    return state


class TestDecide:
    """Check a roll-out in the fleet's controller."""

    def test_grant_follows_the_record(self) -> None:
        """Grant at most the ceiling of the first stage, once it is stored."""
        state, effects = decide(start(), RequestShare('r1', 'z1/1', 50), 1)
        assert not effects
        state, effects = decide(state, Tick(), 2)
        assert isinstance(effects[0], RecordRollout)
        assert effects[1] == GrantShare('r1', 'plan@2', 'z1/1', 10)
        assert decide(state, Tick(), 3) == (state, ())

    def test_bad_evidence_withdraws(self) -> None:
        """Repeat the withdrawal until the configuration confirms it."""
        report = ReportEvidence('r1', 'z1/1', 1, (BAD,) * 30)
        state, effects = decide(start(), report, 1)
        assert state.phase is Phase.HALTED
        withdraw = WithdrawVersion('r1', 'plan@2', state.reason)
        assert effects == (RecordRollout(state), withdraw)
        assert withdraw in decide(state, Tick(), 2)[1]
        assert withdraw in decide(state, ResumeRollout(), 3)[1]
        state, _ = decide(state, ConfirmOutcome('r1'), 4)
        assert not decide(state, Tick(), 5)[1]

    def test_good_evidence_promotes(self) -> None:
        """Pass all stages, one at a time."""
        state = start()
        stages = []
        for sequence in range(1, 40):
            report = ReportEvidence('r1', 'z1/1', sequence, (GOOD,) * 20)
            state, effects = decide(state, report, sequence)
            stages.append(state.stage)
            if PromoteVersion('r1', 'plan@2') in effects:
                break
        assert state.phase is Phase.PROMOTED
        assert sorted(set(stages)) == [0, 1, 2, 3]

    def test_duplicate_evidence(self) -> None:
        """Count a duplicate report once, and accept it again."""
        report = ReportEvidence('r1', 'z1/1', 1, (GOOD,) * 3)
        state, _ = decide(start(), report, 1)
        again, _ = decide(state, report, 2)
        assert again.test == state.test
        _, effects = decide(again, Tick(), 3)
        assert AcceptEvidence('r1', 'z1/1', 1) in effects

    def test_evidence_out_of_order(self) -> None:
        """Don't count a report that arrives before an earlier one."""
        late = ReportEvidence('r1', 'z1/1', 2, (GOOD,))
        state, _ = decide(start(), late, 1)
        assert state.test.answers == 0

    def test_silence_rolls_back(self) -> None:
        """Roll back after too long without evidence, also on resuming."""
        for message in (Tick(), ResumeRollout()):
            state, effects = decide(start(), message, 601)
            assert state.phase is Phase.ROLLED_BACK
            assert isinstance(effects[1], WithdrawVersion)

    def test_exhaustion_rolls_back(self) -> None:
        """Roll back when no zone can gather evidence for a minute."""
        state = start()
        for now_s in range(1, 63):
            assert state.phase is Phase.RUNNING
            for zone in ('z1/1', 'z2/1'):
                ask = RequestShare('r1', zone, 50, exhausted=True)
                state, _ = decide(state, ask, now_s)
            state, effects = decide(state, Tick(), now_s)
        assert state.phase is Phase.ROLLED_BACK
        assert state.reason == EXHAUSTED_REASON
        assert not state.ledger.share_of('z3/1')

    @pytest.mark.parametrize('other', ['evidence', 'a zone that has room'])
    def test_not_exhausted(self, other) -> None:
        """Continue while a holder can still gather evidence."""
        state = start()
        for now_s in range(1, 120):
            ask = RequestShare('r1', 'z1/1', 50, exhausted=True)
            state, _ = decide(state, ask, now_s)
            message = RequestShare('r1', 'z2/1', 5)
            if other == 'evidence':
                sequence = now_s // 30 + 1
                message = ReportEvidence('r1', 'z2/1', sequence, (GOOD,))
            state, _ = decide(state, message, now_s)
            state, _ = decide(state, Tick(), now_s)
            assert state.phase is Phase.RUNNING

    def test_inactive_holder(self) -> None:
        """Ignore a holder that no longer requests a share."""
        state, _ = decide(start(), RequestShare('r1', 'z2/1', 5), 1)
        for now_s in range(2, 80):
            ask = RequestShare('r1', 'z1/1', 50, exhausted=True)
            state, _ = decide(state, ask, now_s)
            state, _ = decide(state, Tick(), now_s)
        assert state.reason == EXHAUSTED_REASON

    def test_interrupted_rollout_resumes(self) -> None:
        """Grant the stored shares again after an interruption."""
        state, _ = decide(start(), RequestShare('r1', 'z1/1', 4), 1)
        recorded = decide(state, Tick(), 2)[1][0].state
        _, effects = decide(recorded, ResumeRollout(), 60)
        assert GrantShare('r1', 'plan@2', 'z1/1', 4) in effects

    def test_operator_rolls_back(self) -> None:
        """Roll back for an operator, and grant nothing afterwards."""
        state, _ = decide(start(), HaltRollout('r1', 'by operator'), 1)
        state, _ = decide(state, RequestShare('r1', 'z1/1', 4), 2)
        assert state.phase is Phase.ROLLED_BACK
        assert state.ledger.granted_weight == 0

    def test_released_share_goes_to_others(self) -> None:
        """Grant the released share of a closed holder to another one."""
        state, _ = decide(start(), RequestShare('r1', 'z1/1', 50), 1)
        for _ in range(2):
            state, _ = decide(state, ReleaseShare('r1', 'z1/1', 4), 2)
        state, _ = decide(state, RequestShare('r1', 'z2/1', 50), 3)
        assert state.ledger.share_of('z2/1') == 6

    def test_other_rollouts_are_ignored(self) -> None:
        """Ignore messages and starts of another roll-out."""
        state = start()
        other = StartRollout('r2', 'plan@3', RULES)
        assert decide(state, other, 1) == (state, ())
        assert decide(state, HaltRollout('r2', 'x'), 1) == (state, ())
        ended = replace(state, phase=Phase.HALTED, confirmed=True)
        assert decide(ended, other, 1)[0].rollout_id == 'r2'


class TestRolloutGate:
    """Check the gate of a node."""

    def test_closed_without_share_or_fresh(self) -> None:
        """Stay closed without a share or a fresh configuration."""
        gate = RolloutGate(stale_after_s=10)
        gate.mark_fresh(0)
        assert not gate.admit('plan@2', 1, 0)
        gate.set_share(NodeShare('r1', 'plan@2', 5))
        assert gate.admit('plan@2', 1, 10)
        assert not gate.admit('plan@2', 1, 10.1)

    def test_weight_counts(self) -> None:
        """Refuse a request heavier than the share."""
        gate = self._open_gate(granted_weight=10)
        assert not gate.admit('plan@2', 30, 0)
        assert gate.wanted_weight('plan@2', 5) == 30
        assert gate.admit('plan@2', 1, 0)

    def test_unrated_exposure_fills_the_window(self) -> None:
        """Admit again once ratings arrive."""
        gate = self._open_gate(granted_weight=10)
        admitted = [gate.admit('plan@2', 1, 0) for _ in range(6)]
        assert sum(admitted) == 5
        assert not admitted[-1]
        gate.record_rating('r1', 'plan@2', 1, 0)
        assert gate.admit('plan@2', 1, 0)
        assert not gate.admit('plan@2', 1, 0)

    def test_bad_answers_use_the_share_up(self) -> None:
        """Keep the shortfall of answers charged to the share."""
        gate = self._open_gate(granted_weight=10)
        outcome = AnswerOutcome(REFERENCE, 0.45)
        for _ in range(100):
            if gate.admit('plan@2', 1, 0):
                shortfall = find_shortfall(outcome)
                gate.record_rating('r1', 'plan@2', 1, shortfall)
        assert gate.risked_weight('plan@2') == 9.5
        assert gate.is_exhausted('plan@2')
        gate.set_share(NodeShare('r1', 'plan@2', 11))
        assert not gate.is_exhausted('plan@2')
        assert gate.admitted_weight('plan@2') == 19

    def test_shut_down_stays_closed(self) -> None:
        """Return the risked weight, and ignore later shares."""
        gate = self._open_gate(granted_weight=10)
        gate.admit('plan@2', 3, 0)
        assert gate.shut_down('plan@2') == 3
        gate.set_share(NodeShare('r1', 'plan@2', 20))
        assert not gate.admit('plan@2', 1, 0)

    def test_refund(self) -> None:
        """Refund the weight of a request that never ran."""
        gate = self._open_gate(granted_weight=1)
        assert gate.admit('plan@2', 1, 0)
        gate.refund('r1', 'plan@2', 1)
        assert gate.admit('plan@2', 1, 0)
        assert gate.admitted_weight('plan@2') == 1
        assert not gate.admit('plan@2', 1, 0)

    def test_blocked_version(self) -> None:
        """Admit nothing to a blocked version until it is cleared."""
        gate = self._open_gate(granted_weight=10)
        gate.block('plan@2')
        assert not gate.admit('plan@2', 1, 0)
        assert gate.is_blocked('plan@2')
        gate.unblock('plan@2')
        assert gate.admit('plan@2', 1, 0)

    def _open_gate(self, granted_weight: float) -> RolloutGate:
        gate = RolloutGate(stale_after_s=10)
        gate.mark_fresh(0)
        gate.set_share(NodeShare('r1', 'plan@2', granted_weight))
        return gate
