"""Test the placement experiment on a short run."""

from dataclasses import replace

import pytest

from bamboodeck.controller.placement_needs import ZoneDemand
from bamboodeck.policybench.commands import WORKLOADS
from bamboodeck.policybench.placers import PLACERS, NaivePlacer
from bamboodeck.policybench.placing import (
    SLOTS_PER_ENGINE,
    PlacementSimulation,
    draw_shifting_requests,
    run_placement,
)
from bamboodeck.policybench.reading import read_workload
from bamboodeck.policybench.workload import Workload

DURATION_S = 400.0


@pytest.fixture
def workload() -> Workload:
    """Return the shipped workload with a shorter duration."""
    loaded = read_workload(WORKLOADS / 'shifting.ini')
    settings = replace(loaded.settings, duration_s=DURATION_S)
    return replace(loaded, settings=settings)


class TestRun:
    """Check complete runs of each placer."""

    @pytest.mark.parametrize('name', PLACERS)
    def test_every_request_ends(self, workload: Workload, name: str) -> None:
        """Account for each request, with equal results in each run."""
        placed = run_placement(workload, name, 1)
        outcome = placed.outcome
        ended = outcome.answered + outcome.refused + outcome.failed
        assert ended == outcome.requests
        assert placed == run_placement(workload, name, 1)
        assert bool(placed.loads) == (name != 'fixed')

    def test_slots(self, workload: Workload) -> None:
        """Never exceed the slots, nor unload all copies of a version."""
        run = PlacementSimulation(workload, 'demand', 2)
        run.run()
        loaded = run.serving.loaded.values()
        assert max(map(len, loaded)) <= SLOTS_PER_ENGINE
        assert len(set().union(*loaded)) == len(workload.versions)


class TestDemand:
    """Check the demand, which is the same for all placers."""

    def test_shift(self, workload: Workload) -> None:
        """Draw more requests of `desk` than of `writers` at first."""
        drawn = [
            each.customer.name for each in draw_shifting_requests(workload, 3)
        ]
        assert drawn == [
            each.customer.name for each in draw_shifting_requests(workload, 3)
        ]
        assert drawn.count('desk') > drawn.count('writers')


class TestNaivePlacer:
    """Check the placer that follows the current demand."""

    def test_copies(self, workload: Workload) -> None:
        """Unload surplus copies and load missing ones."""
        run = PlacementSimulation(workload, 'naive', 1)
        assert isinstance(run._placer, NaivePlacer)
        reports = run.build_reports()
        orders = run._placer.place(reports, {'large@1': ZoneDemand(12)}, 0)
        loads = [each for each in orders if each.version == 'large@1']
        # 12 streams need three copies, of which two are loaded.
        assert len(loads) == 1
        assert len(orders) > 5
