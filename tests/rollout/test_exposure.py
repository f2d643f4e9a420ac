"""Test that exposure is bounded in random interleavings."""

import itertools

import pytest
from hypothesis import Phase, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from bamboodeck.rollout.decisions import decide
from bamboodeck.rollout.evidence import AnswerOutcome, Reference
from bamboodeck.rollout.gate import NodeShare, RolloutGate
from bamboodeck.rollout.shares import HolderShare, ShareLedger
from bamboodeck.rollout.state import (
    GrantShare,
    RecordRollout,
    ReportEvidence,
    RequestShare,
    ResumeRollout,
    RolloutRules,
    RolloutState,
    StartRollout,
    Tick,
)

BOUND = 100.0
GOOD = AnswerOutcome(Reference(0.9, 0.005, 0.05), 0.95)
ZONES = strategies.integers(0, 2)
SETTINGS = settings(
    derandomize=True,
    max_examples=120,
    stateful_step_count=40,
    deadline=None,
)
MUTANT_SETTINGS = settings(
    SETTINGS,
    max_examples=3000,
    phases=[Phase.generate],
)


class ZoneModel:
    """Model one zone holder with its share and the nodes' shares."""

    def __init__(self, holder: str) -> None:
        """Start without a share."""
        self.holder = holder
        self.granted_weight = 0.0
        self.ledger = ShareLedger()
        self.sent: list[HolderShare] = []


class ExposureMachine(RuleBasedStateMachine):
    """Lose, duplicate and reorder messages, and restart processes."""

    def __init__(self) -> None:
        """Start a roll-out with three zones of one node each."""
        super().__init__()
        self.numbers = itertools.count()
        rules = RolloutRules(BOUND, (0.1, 0.5, 1.0), stage_min_answers=5)
        start = StartRollout('r1', 'plan@2', rules)
        live, effects = decide(None, start, 0)
        self.live = live
        self.stored = effects[0].state
        self.highest_ceiling = self.stored.ceiling_weight
        self.in_flight: list[GrantShare] = []
        self.zones = [self._new_zone(index) for index in range(3)]
        self.nodes = [self._new_node() for _ in range(3)]
        self.names = [f'n{next(self.numbers)}' for _ in range(3)]
        # Reference model: one sum over all answers that were ever admitted.
        self.risked_weight = 0.0
        self.unrated: list[tuple[RolloutGate, float]] = []

    @rule(zone=ZONES, wanted=strategies.floats(0, BOUND))
    def request_share(self, zone: int, wanted: float) -> None:
        """Request a share for a zone."""
        message = RequestShare('r1', self.zones[zone].holder, wanted)
        self._decide(message)

    @rule(zone=ZONES, answers=strategies.integers(1, 30))
    def report(self, zone: int, answers: int) -> None:
        """Report good answers, so that stages advance."""
        holder = self.zones[zone].holder
        marks = [mark for mark in self.live.marks if mark.holder == holder]
        sequence = marks[0].sequence + 1 if marks else 1
        outcomes = (GOOD,) * answers
        self._decide(ReportEvidence('r1', holder, sequence, outcomes))

    @rule(applied=strategies.booleans(), answered=strategies.booleans())
    def tick(self, applied: bool, answered: bool) -> None:
        """Store the state, unless the store fails or its reply is lost."""
        self._decide(Tick(), applied=applied, answered=answered)

    @rule()
    def restart_controller(self) -> None:
        """Resume from the stored state."""
        self.live = self.stored
        self._decide(ResumeRollout())

    @rule(index=strategies.integers(0, 30), keep=strategies.booleans())
    def deliver(self, index: int, keep: bool) -> None:
        """Deliver a grant in flight; a kept one is delivered again."""
        if not self.in_flight:
            return
        index %= len(self.in_flight)
        grant = self.in_flight[index]
        if not keep:
            self.in_flight.pop(index)
        for zone in self.zones:
            if zone.holder != grant.holder:
                continue
            zone.granted_weight = max(
                zone.granted_weight,
                grant.granted_weight,
            )

    @rule(zone=ZONES)
    def restart_zone(self, zone: int) -> None:
        """Replace a zone's holder, which loses its nodes' shares."""
        self.zones[zone] = self._new_zone(zone)

    @rule(zone=ZONES)
    def restart_node(self, zone: int) -> None:
        """Replace a node, which loses what it has used."""
        self.nodes[zone] = self._new_node()
        self.names[zone] = f'n{next(self.numbers)}'

    @rule(zone=ZONES, wanted=strategies.floats(0, 40))
    def share_with_node(self, zone: int, wanted: float) -> None:
        """Grant a part of the zone's share to its node."""
        holder = self.zones[zone]
        name = self.names[zone]
        holder.ledger = holder.ledger.grant(name, wanted, holder.granted_weight)
        share = NodeShare(
            'r1',
            'plan@2',
            holder.ledger.share_of(name),
            holder.holder,
        )
        self.nodes[zone].set_share(share)

    @rule(zone=ZONES, weight=strategies.sampled_from([0.5, 1.0, 8.0, 30.0]))
    def admit(self, zone: int, weight: float) -> None:
        """Admit a request if the gate allows it."""
        if self.nodes[zone].admit('plan@2', weight, 0):
            self.risked_weight += weight
            self.unrated.append((self.nodes[zone], weight))

    @rule(shortfall=strategies.sampled_from([-0.1, 0.0, 0.3, 1.0]))
    def rate(self, shortfall: float) -> None:
        """Rate the oldest answer, unless its node was replaced."""
        if not self.unrated:
            return
        node, weight = self.unrated.pop(0)
        if node not in self.nodes:
            return
        node.record_rating('r1', 'plan@2', weight, shortfall)
        # Better answers offset worse ones of the same node only, so the
        # reference sum leaves them out.
        self.risked_weight -= weight * (1 - max(shortfall, 0))

    @rule(zone=ZONES, duplicate=strategies.booleans())
    def leave(self, zone: int, duplicate: bool) -> None:
        """Stop a node gracefully, which releases its share to others."""
        holder = self.zones[zone]
        kept_weight = self.nodes[zone].shut_down('plan@2')
        for _ in range(1 + duplicate):
            holder.ledger = holder.ledger.release(
                self.names[zone],
                kept_weight,
            )
        self.restart_node(zone)

    @invariant()
    def exposure_is_bounded(self) -> None:
        """Compare the risked weight with the ceiling of the stored stage."""
        assert self.risked_weight <= self.highest_ceiling + 1e-6

    def _decide(self, message, *, applied=True, answered=True) -> None:
        live, effects = decide(self.live, message, 0)
        self.live = live
        for effect in effects:
            if isinstance(effect, GrantShare):
                self.in_flight.append(effect)
                continue
            if isinstance(effect, RecordRollout) and applied:
                self._store(effect.state)
            if not (applied and answered):
                self.live = self.stored
                return

    def _store(self, state: RolloutState) -> None:
        self.stored = state
        self.highest_ceiling = max(self.highest_ceiling, state.ceiling_weight)

    def _new_zone(self, index: int) -> ZoneModel:
        return ZoneModel(f'z{index}/{next(self.numbers)}')

    def _new_node(self) -> RolloutGate:
        gate = RolloutGate(stale_after_s=1)
        gate.mark_fresh(0)
        return gate


class TestExposureBound:
    """Check the bound under message faults and restarts."""

    def test_never_more_than_the_ceiling(self) -> None:
        """Hold in random interleavings."""
        run_state_machine_as_test(ExposureMachine, settings=SETTINGS)

    def test_check_fails_without_ceiling(self, monkeypatch) -> None:
        """Fail the invariant when shares are granted without a ceiling."""
        grant = ShareLedger.grant

        def grant_unbounded(ledger, holder, wanted_weight, ceiling_weight):
            return grant(ledger, holder, wanted_weight, BOUND * 100)

        monkeypatch.setattr(ShareLedger, 'grant', grant_unbounded)
        with pytest.raises(AssertionError):
            run_state_machine_as_test(ExposureMachine, settings=MUTANT_SETTINGS)

    def test_check_fails_without_share(self, monkeypatch) -> None:
        """Fail the invariant when the gate ignores its share."""
        monkeypatch.setattr(RolloutGate, '_fits', lambda *_: True)
        with pytest.raises(AssertionError):
            run_state_machine_as_test(ExposureMachine, settings=MUTANT_SETTINGS)
