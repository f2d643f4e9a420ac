"""Test that copies are unloaded only to make room that is needed."""

from dataclasses import replace

from bamboodeck.placement.decisions import plan_placement
from bamboodeck.placement.orders import (
    apply_reports,
    discard_order,
    pause_loads,
    set_needs,
)
from bamboodeck.placement.state import (
    EngineReport,
    LoadVersion,
    PlacementState,
    UnloadVersion,
    VersionNeed,
)

LATER_S = 10_000.0


def engine(name: str, *loaded: str, **changes) -> EngineReport:
    """Build a report of an engine with two slots."""
    return EngineReport(name, 'z1', 1, 2, 20, loaded, **changes)


def need(version: str, streams: float = 0, **changes) -> VersionNeed:
    """Build a need of zone z1."""
    return VersionNeed('z1', version, 1, streams, **changes)


def build(engines: list[EngineReport], *needs: VersionNeed) -> PlacementState:
    """Build a state with engines that have reported."""
    return set_needs(apply_reports(PlacementState(), engines), needs)


class TestRoom:
    """Check which surplus copies are unloaded for versions without room."""

    def test_one_copy_for_one_version(self) -> None:
        """Unload one of two surplus copies and wait until it takes effect."""
        engines = [engine('e1', 'a', 'b'), engine('e2', 'a', 'b')]
        state = build(engines, need('a'), need('b'), need('c', min_copies=1))
        state, orders = plan_placement(state, 1)
        assert [type(order) for order in orders] == [UnloadVersion]
        for now_s in range(2, 60):
            state, orders = plan_placement(state, now_s)
            assert not orders

    def test_useful_slot(self) -> None:
        """Unload no copy on an engine that can't load the missing version."""
        engines = [
            engine('e1', 'a', 'c'),
            engine('e2', 'a', 'b'),
            engine('e3', 'b'),
            engine('e4', 'b', 'd'),
        ]
        engines[2] = replace(engines[2], takes_loads=False)
        state = build(
            engines,
            need('a', min_copies=1),
            need('b', min_copies=3),
            need('c', min_copies=2),
            need('d', min_copies=1),
        )
        _, orders = plan_placement(state, 1)
        assert orders == (UnloadVersion('e2', 'a'),)

    def test_version_that_may_not_be_loaded(self) -> None:
        """Keep its copies, add none and unload nothing for it."""
        engines = [engine('e1', 'a', 'b'), engine('e2', 'b')]
        kept = need('a', min_copies=5, may_load=False)
        state = build(engines, kept, need('b', min_copies=2))
        _, orders = plan_placement(state, LATER_S)
        assert not orders

    def test_upper_bound(self) -> None:
        """Load no more copies than the bound, whatever the demand."""
        engines = [engine(f'e{number}') for number in range(4)]
        state = build(engines, need('a', 1000, max_copies=2))
        _, orders = plan_placement(state, 1)
        assert len(orders) == 2


class TestPausedLoads:
    """Check that nothing changes while loads are paused."""

    def test_no_load_and_no_unload(self) -> None:
        """Neither load nor unload until the pause has ended."""
        full = [engine('e1', 'a', 'b'), engine('e2', 'a', 'b')]
        for engines in (full, [engine('e1')]):
            state = build(
                engines, need('a'), need('b'), need('c', min_copies=1)
            )
            state, orders = plan_placement(pause_loads(state, 50), 1)
            assert not orders
            _, orders = plan_placement(state, 50)
            assert orders

    def test_engine_is_not_avoided(self) -> None:
        """Resend a load after the pause without counting a failure.

        Counting the pause would make placement avoid a healthy engine.
        """
        state = build([engine('e1')], need('a', min_copies=1))
        state, orders = plan_placement(state, 1)
        state = pause_loads(state, LATER_S)
        for now_s in range(2, 2000, 10):
            state, again = plan_placement(state, now_s)
            assert not again
        assert not state.failed
        _, again = plan_placement(state, LATER_S)
        assert again == orders

    def test_load_that_was_not_sent(self) -> None:
        """Plan a discarded load again on an engine that suits now."""
        state = build([engine('e1')], need('a', min_copies=1))
        state, orders = plan_placement(state, 1)
        state = discard_order(state, orders[0])
        leaving = engine('e1', leaving=True)
        state = apply_reports(state, [leaving, engine('e2')])
        _, orders = plan_placement(state, 2)
        assert orders == (LoadVersion('e2', 'a'),)
