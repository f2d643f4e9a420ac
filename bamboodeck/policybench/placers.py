"""Define the ways to place versions that an experiment compares."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Protocol

from bamboodeck.configuration.model import Configuration
from bamboodeck.controller.placement_needs import (
    NO_DEMAND,
    ZoneDemand,
    build_needs,
)
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
    Orders,
    PlacementOrder,
    PlacementRules,
    PlacementState,
    UnloadVersion,
)

_Demands = Mapping[str, ZoneDemand]


@dataclass(frozen=True, slots=True)
class StoreClosed:
    """Tell that a load was not begun, and when the store serves again."""

    order: LoadVersion
    until_s: float


class Placer(Protocol):
    """Give orders from time to time."""

    def place(
        self,
        reports: tuple[EngineReport, ...],
        demands: _Demands,
        now_s: float,
    ) -> Orders:
        """Return the orders of a round."""

    def on_store_closed(self, closed: StoreClosed) -> None:
        """Learn that a load has to wait."""


class FixedPlacer:
    """Leave every version where it is."""

    def place(
        self,
        reports: tuple[EngineReport, ...],
        demands: _Demands,
        now_s: float,
    ) -> Orders:
        """Order nothing."""
        return ()

    def on_store_closed(self, closed: StoreClosed) -> None:
        """Learn nothing."""


class NaivePlacer:
    """Hold as many copies as the demand of the moment fills."""

    def __init__(self, configuration: Configuration) -> None:
        """Keep the versions."""
        self._versions = [model.name for model in configuration.models]

    def place(
        self,
        reports: tuple[EngineReport, ...],
        demands: _Demands,
        now_s: float,
    ) -> Orders:
        """Drop what is too many, then load what is too few."""
        loaded = {each.engine: set(each.loaded) for each in reports}
        slots = {each.engine: each.slots for each in reports}
        wanted = {
            version: _count_wanted(demands.get(version, NO_DEMAND), reports)
            for version in self._versions
        }
        orders: list[PlacementOrder] = []
        for version, count in wanted.items():
            holders = [name for name in loaded if version in loaded[name]]
            for engine in holders[count:]:
                loaded[engine].discard(version)
                orders.append(UnloadVersion(engine, version))
        for version, count in wanted.items():
            held = sum(version in each for each in loaded.values())
            for engine in _find_free(loaded, slots, version)[: count - held]:
                loaded[engine].add(version)
                orders.append(LoadVersion(engine, version))
        return tuple(orders)

    def on_store_closed(self, closed: StoreClosed) -> None:
        """Order again in the next round."""


class DemandPlacer:
    """Use the decisions of the controllers."""

    def __init__(self, configuration: Configuration, zone: str) -> None:
        """Start without a report."""
        self._configuration = configuration
        self._zone = zone
        rate_bytes_per_s = configuration.placement_store_bytes_per_s
        self._state = PlacementState(
            PlacementRules(
                high_load=configuration.placement_high_load,
                low_load=configuration.placement_low_load,
                hold_s=configuration.placement_hold_s,
                store_bytes_per_s=rate_bytes_per_s,
            ),
        )

    def place(
        self,
        reports: tuple[EngineReport, ...],
        demands: _Demands,
        now_s: float,
    ) -> Orders:
        """Plan as a controller does."""
        needs = build_needs(self._configuration, self._zone, demands, reports)
        state = set_needs(apply_reports(self._state, reports), needs)
        planned, orders = plan_placement(state, now_s)
        self._state = planned
        return orders

    def on_store_closed(self, closed: StoreClosed) -> None:
        """Plan the load anew once the store serves again."""
        state = discard_order(self._state, closed.order)
        self._state = pause_loads(state, closed.until_s)


def build_placer(
    name: str,
    configuration: Configuration,
    zone: str,
) -> Placer:
    """Return a way to place by its name; `hold-0` has no hysteresis."""
    match name:
        case 'fixed':
            return FixedPlacer()
        case 'naive':
            return NaivePlacer(configuration)
        case 'hold-0':
            configuration = replace(configuration, placement_hold_s=0)
    return DemandPlacer(configuration, zone)


PLACERS = ('fixed', 'naive', 'demand', 'hold-0')


def _find_free(
    loaded: Mapping[str, set[str]],
    slots: Mapping[str, int],
    version: str,
) -> list[str]:
    return [
        engine
        for engine, versions in loaded.items()
        if version not in versions and len(versions) < slots[engine]
    ]


def _count_wanted(
    demand: ZoneDemand,
    reports: tuple[EngineReport, ...],
) -> int:
    per_copy = sum(
        each.capacity_streams / each.slots for each in reports
    ) / len(reports)
    return max(math.ceil(demand.streams / per_copy), 1)
