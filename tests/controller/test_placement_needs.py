"""Test the computed needs of a zone for each version."""

from dataclasses import replace
from importlib.resources import files

from hypothesis import given, settings, strategies

from bamboodeck.configuration.model import (
    Configuration,
    PlacementBounds,
    VersionState,
)
from bamboodeck.configuration.parsing import parse_configuration
from bamboodeck.controller.placement_needs import ZoneDemand, build_needs
from bamboodeck.placement.decisions import plan_placement
from bamboodeck.placement.orders import apply_reports, set_needs
from bamboodeck.placement.state import (
    EngineReport,
    LoadVersion,
    PlacementState,
    UnloadVersion,
    VersionNeed,
)

ZONE = 'flanders-a'
VERSIONS = ('small@1', 'small@2', 'medium@1', 'large@1', 'large@2')
ROUNDS = 8


def build(*placed: str, **states: VersionState) -> Configuration:
    """Build the example with placement bounds for some versions."""
    example = files('bamboodeck.configuration') / 'example.ini'
    draft = parse_configuration(example.read_text(), 'example').draft
    return replace(
        draft,
        placements=tuple(PlacementBounds(each) for each in placed),
        models=tuple(
            replace(model, state=states.get(model.name, model.state))
            for model in draft.models
        ),
    )


def engine(name: str, *loaded: str, slots: int = 3) -> EngineReport:
    """Build a report of an engine."""
    return EngineReport(name, ZONE, 1, slots, 8, loaded)


def find(needs: tuple[VersionNeed, ...], version: str) -> VersionNeed | None:
    """Return the need of a version."""
    return next((each for each in needs if each.version == version), None)


class TestNeeds:
    """Compute what may be loaded, is kept or may be unloaded."""

    def test_version_without_bounds(self) -> None:
        """Keep every copy, and load none."""
        reports = (engine('e1', 'small@1'), engine('e2', 'small@1'))
        demands = {'small@1': ZoneDemand(100)}
        need = find(build_needs(build(), ZONE, demands, reports), 'small@1')
        assert need.min_copies == 2
        assert not need.may_load

    def test_last_copy(self) -> None:
        """Keep one copy of an allowed version, even without demand."""
        needs = build_needs(
            build('medium@1'), ZONE, {}, [engine('e1', 'medium@1')]
        )
        assert find(needs, 'medium@1').min_copies == 1
        elsewhere = build_needs(build('medium@1'), ZONE, {}, [engine('e1')])
        assert find(elsewhere, 'medium@1').min_copies == 0

    def test_withdrawn_version(self) -> None:
        """Keep a copy until the demand of its sessions has decayed."""
        demands = {'large@1': ZoneDemand(0, 2)}
        reports = [engine('e1', 'large@1')]
        needs = build_needs(build('large@1'), ZONE, demands, reports)
        assert find(needs, 'large@1').min_copies == 1
        assert not find(needs, 'large@1').may_load
        faded = {'large@1': ZoneDemand(0, 0.001)}
        needs = build_needs(build('large@1'), ZONE, faded, reports)
        assert find(needs, 'large@1') is None

    def test_version_that_nobody_may_use(self) -> None:
        """Need no copy of a version that is allowed for no customer."""
        configuration = build('medium@1')
        customers = tuple(
            replace(each, allowed_versions=('small@1',))
            for each in configuration.customers
        )
        configuration = replace(configuration, customers=customers)
        reports = [engine('e1', 'medium@1')]
        needs = build_needs(configuration, ZONE, {}, reports)
        assert find(needs, 'medium@1') is None


ENGINES = strategies.lists(
    strategies.lists(
        strategies.sampled_from(VERSIONS), unique=True, max_size=3
    ),
    min_size=1,
    max_size=4,
)
DEMANDS = strategies.dictionaries(
    strategies.sampled_from(VERSIONS),
    strategies.builds(
        ZoneDemand,
        strategies.sampled_from((0.0, 0.5, 5.0, 40.0)),
        strategies.sampled_from((0.0, 1.0)),
    ),
)


class SimulatedZone:
    """Simulate engines that execute each order at once."""

    def __init__(self, engines: list[list[str]]) -> None:
        """Set the versions loaded on each engine."""
        self.loaded = {
            f'e{number}': list(each) for number, each in enumerate(engines)
        }
        self.ordered: list[LoadVersion | UnloadVersion] = []
        self._sequence = 0

    def report(self) -> tuple[EngineReport, ...]:
        """Return new reports of all engines."""
        self._sequence += 1
        return tuple(
            replace(engine(name, *versions), sequence=self._sequence)
            for name, versions in self.loaded.items()
        )

    def execute(self, order: LoadVersion | UnloadVersion) -> None:
        """Load or unload a version on an engine."""
        self.ordered.append(order)
        versions = self.loaded[order.engine]
        if isinstance(order, LoadVersion):
            versions.append(order.version)
        else:
            versions.remove(order.version)

    def held(self) -> set[str]:
        """Return the versions that are loaded on any engine."""
        return {each for versions in self.loaded.values() for each in versions}


@settings(derandomize=True, max_examples=300, deadline=None)
@given(ENGINES, DEMANDS, strategies.sets(strategies.sampled_from(VERSIONS)))
def test_rounds(engines, demands, placed) -> None:
    """Keep the placement rules over several rounds for any demand."""
    configuration = build(*placed)
    zone = SimulatedZone(engines)
    before = zone.held()
    state = PlacementState()
    for number in range(ROUNDS):
        reports = zone.report()
        needs = build_needs(configuration, ZONE, demands, reports)
        state = set_needs(apply_reports(state, reports), needs)
        state, orders = plan_placement(state, 1000.0 * (number + 1))
        for order in orders:
            zone.execute(order)
    check_rules(zone, before, placed, demands)


def check_rules(zone: SimulatedZone, before, placed, demands) -> None:
    """Check orders and loaded versions against the placement rules."""
    assert {each.version for each in zone.ordered} <= set(placed)
    for order in zone.ordered:
        if isinstance(order, LoadVersion):
            assert order.version != 'large@1'
    for versions in zone.loaded.values():
        assert len(versions) == len(set(versions))
        assert len(versions) <= 3
    gone = before - zone.held()
    # Only large@1, withdrawn in the example, may lose its last copy.
    assert gone <= {'large@1'}
    if 'large@1' in demands and demands['large@1'].used:
        assert not gone
