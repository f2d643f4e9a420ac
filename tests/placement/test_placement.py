"""Test which versions are loaded and unloaded."""

import random
from dataclasses import replace
from types import MappingProxyType

import pytest
from hypothesis import Phase, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from bamboodeck.placement.copies import CopyIndex
from bamboodeck.placement.decisions import _PlanningRound, plan_placement
from bamboodeck.placement.orders import (
    apply_reports,
    remove_engine,
    set_needs,
)
from bamboodeck.placement.state import (
    EngineReport,
    LoadVersion,
    PlacementRules,
    PlacementState,
    UnloadVersion,
    VersionNeed,
)

GB = 1e9
VERSIONS = ('a', 'b', 'c')
HELD = MappingProxyType({'e1': 'a', 'e2': 'b', 'e3': 'c', 'e4': 'a'})
STREAMS = strategies.sampled_from((0.0, 1.0, 7.0, 60.0))
SETTINGS = settings(
    derandomize=True,
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
)
MUTANT = settings(SETTINGS, max_examples=3000, phases=[Phase.generate])


def need(version: str, streams: float, **changes) -> VersionNeed:
    """Build a need of zone z1."""
    return VersionNeed('z1', version, GB, streams, **changes)


def engine(
    name: str,
    *loaded: str,
    slots: int = 2,
    zone: str = 'z1',
) -> EngineReport:
    """Build the first report of an engine."""
    return EngineReport(name, zone, 1, slots, 10.0 * slots, loaded)


def build(*engines: EngineReport, **rules: float) -> PlacementState:
    """Build a state with engines that have reported."""
    state = PlacementState(PlacementRules(**rules))
    return apply_reports(state, engines)


class TestPlan:
    """Check that placement follows demand with hysteresis."""

    def test_first_copy(self) -> None:
        """Load a requested version on the engine with the most free slots."""
        state = set_needs(
            build(engine('e1', 'a'), engine('e2')), [need('b', 1)]
        )
        _, orders = plan_placement(state, 1)
        assert orders == (LoadVersion('e2', 'b'),)

    def test_order_is_sent_once(self) -> None:
        """Resend an order without effect, then give up and avoid the engine."""
        state = set_needs(build(engine('e1')), [need('a', 1)])
        sent = []
        for now_s in range(1, 601, 60):
            state, orders = plan_placement(state, now_s)
            sent.append(len(orders))
        assert sent == [1, 0, 1, 0, 1, 0, 0, 0, 0, 0]

    def test_largest_saving_first(self) -> None:
        """Load the version that saves most credits into the only slot."""
        state = set_needs(
            build(engine('e1', slots=1)),
            [need('a', 5), need('b', 5, saved_credits_per_stream_s=2)],
        )
        _, orders = plan_placement(state, 1)
        assert orders == (LoadVersion('e1', 'b'),)

    def test_loads_respect_store_rate(self) -> None:
        """Limit loads to the weight store's rate, with one load in advance."""
        engines = [engine(f'e{index:02}') for index in range(40)]
        state = build(
            *engines,
            store_bytes_per_s=GB / 10,
            store_burst_bytes=2 * GB,
        )
        state = set_needs(state, [need('a', 300)])
        loads = 0
        for now_s in range(1, 201):
            state, orders = plan_placement(state, now_s)
            loads += len([each for each in orders if now_s <= 100])
        assert 10 <= loads <= 13

    def test_hysteresis(self) -> None:
        """Order nothing while demand stays between the two load limits."""
        engines = [engine('e1', 'a', 'b'), engine('e2', 'a', 'b')]
        state = build(*engines, hold_s=10)
        rng = random.Random(5)
        for now_s in range(1, 500):
            streams = rng.uniform(6, 15)
            state = set_needs(state, [need('a', streams), need('b', 12)])
            state, orders = plan_placement(state, now_s)
            assert not orders

    def test_surplus_makes_room(self) -> None:
        """Unload a surplus copy only if another version needs the room."""
        engines = [engine('e1', 'a', 'b'), engine('e2', 'a', 'b')]
        state = build(*engines, hold_s=100)
        state = set_needs(state, [need('a', 1), need('b', 12)])
        assert not plan_placement(state, 1)[1]
        state = set_needs(state, [need('a', 1), need('b', 12), need('c', 1)])
        state, orders = plan_placement(state, 2)
        assert len(orders) == 1
        assert orders[0].version == 'a'
        dropped = replace(engine(orders[0].engine, 'b'), sequence=2)
        state, orders = plan_placement(apply_reports(state, [dropped]), 3)
        assert orders == (LoadVersion(dropped.engine, 'c'),)

    def test_gone_engine_is_replaced(self) -> None:
        """Load the versions of a removed engine on another one."""
        state = build(engine('e1', 'a'), engine('e2'))
        state = set_needs(state, [need('a', 1)])
        assert not plan_placement(state, 1)[1]
        _, orders = plan_placement(remove_engine(state, 'e1'), 2)
        assert orders == (LoadVersion('e2', 'a'),)

    def test_leaving_engine_is_replaced(self) -> None:
        """Load the versions of a leaving engine elsewhere before it stops."""
        leaving = replace(engine('e1', 'a'), leaving=True)
        state = set_needs(build(leaving, engine('e2')), [need('a', 1)])
        _, orders = plan_placement(state, 1)
        assert orders == (LoadVersion('e2', 'a'),)

    @pytest.mark.parametrize(
        ('unchecked', 'unloads'),
        [(False, False), (True, True)],
    )
    def test_last_copy_of_all_is_kept(
        self,
        monkeypatch,
        unchecked: bool,
        unloads: bool,
    ) -> None:
        """Keep the last copy of all for the sessions of another zone.

        With the check switched off the copy is unloaded, which shows that the
        test depends on the check.
        """
        if unchecked:
            monkeypatch.setattr(_PlanningRound, '_may_unload', lambda *_: True)
        state = build(
            engine('e1', 'a', slots=1),
            engine('e2', 'c', slots=1, zone='z2'),
        )
        elsewhere = replace(need('b', 1), zone='z2')
        wanted = [need('a', 1), need('c', 1, sessions=1), elsewhere]
        _, orders = plan_placement(set_needs(state, wanted), 1)
        assert (UnloadVersion('e2', 'c') in orders) == unloads

    def test_late_report_changes_nothing(self) -> None:
        """Ignore a report that is older than the known one."""
        state = build(replace(engine('e1', 'a'), sequence=2))
        assert apply_reports(state, [engine('e1')]) == state


class PlacementMachine(RuleBasedStateMachine):
    """Lose, duplicate and delay orders and reports of four engines."""

    def __init__(self) -> None:
        """Start with each version loaded on an engine."""
        super().__init__()
        self.now_s = 0.0
        self.held = {name: {held} for name, held in HELD.items()}
        self.sequence = 1
        self.in_flight: list[LoadVersion | UnloadVersion] = []
        self.sessions = dict.fromkeys(VERSIONS, 0)
        engines = [self._report_of(name) for name in HELD]
        self.state = build(*engines, hold_s=10, resend_after_s=20)

    @rule(
        streams=strategies.lists(STREAMS, min_size=6, max_size=6),
        sessions=strategies.tuples(*(strategies.integers(0, 1),) * 3),
    )
    def change_needs(self, streams, sessions) -> None:
        """Change demand; sessions need a version with a retained copy."""
        needs = []
        for index, version in enumerate(VERSIONS):
            kept = bool(CopyIndex(self.state).retained_copies(version))
            self.sessions[version] = sessions[index] * kept
            here = need(
                version,
                streams[index],
                sessions=self.sessions[version],
            )
            there = replace(need(version, streams[index + 3]), zone='z2')
            needs.extend((here, there))
        self.state = set_needs(self.state, needs)

    @rule(passed_s=strategies.floats(0, 30))
    def plan(self, passed_s: float) -> None:
        """Plan after a while."""
        self.now_s += passed_s
        state, orders = plan_placement(self.state, self.now_s)
        self.state = state
        self.in_flight.extend(orders)

    @rule(
        index=strategies.integers(0, 30),
        lost=strategies.booleans(),
        keep=strategies.booleans(),
    )
    def deliver(self, index: int, lost: bool, keep: bool) -> None:
        """Deliver, lose or duplicate an order in flight."""
        if not self.in_flight:
            return
        index %= len(self.in_flight)
        order = self.in_flight[index]
        if not keep:
            self.in_flight.pop(index)
        if lost:
            return
        held = self.held[order.engine]
        match order:
            case LoadVersion(version=version):
                if not held:
                    held.add(version)
            case UnloadVersion(version=version):
                held.discard(version)

    @rule(name=strategies.sampled_from(sorted(HELD)))
    def report(self, name: str) -> None:
        """Report an engine; unloads of versions that it lacks are finished."""
        self.sequence += 1
        report = replace(self._report_of(name), sequence=self.sequence)
        self.state = apply_reports(self.state, [report])
        self.in_flight = [
            order
            for order in self.in_flight
            if order.engine != name or order.version in report.loaded
        ]

    @invariant()
    def last_copy_is_kept(self) -> None:
        """Check that an engine really holds each version with sessions."""
        for version, sessions in self.sessions.items():
            if not sessions:
                continue
            assert any(version in held for held in self.held.values())

    def _report_of(self, name: str) -> EngineReport:
        zone = 'z1' if name in {'e1', 'e2'} else 'z2'
        held = sorted(self.held[name])
        return engine(name, *held, slots=1, zone=zone)


class TestLastCopy:
    """Check that the last copy of a version with sessions is kept.

    Orders and reports may be lost, duplicated or delayed.
    """

    def test_in_every_interleaving(self) -> None:
        """Keep the last copy in random interleavings."""
        run_state_machine_as_test(PlacementMachine, settings=SETTINGS)

    def test_detect_missing_check(self, monkeypatch) -> None:
        """Detect a planner that doesn't check for the last copy."""
        monkeypatch.setattr(_PlanningRound, '_may_unload', lambda *_: True)
        with pytest.raises(AssertionError):
            run_state_machine_as_test(PlacementMachine, settings=MUTANT)

    def test_detect_ignored_unload_order(self, monkeypatch) -> None:
        """Detect a planner that counts copies with unload orders."""

        def holders(copies, version, zone):
            return [
                each
                for each in copies.engines_in(zone)
                if version in each.loaded
            ]

        monkeypatch.setattr(CopyIndex, 'retained_in_zone', holders)
        with pytest.raises(AssertionError):
            run_state_machine_as_test(PlacementMachine, settings=MUTANT)
