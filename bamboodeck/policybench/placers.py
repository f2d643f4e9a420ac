"""Define the placers that an experiment compares."""

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

_ZoneDemands = Mapping[str, ZoneDemand]


@dataclass(frozen=True, slots=True)
class StoreBusy:
    """Report a rejected load and when the store accepts loads again."""

    order: LoadVersion
    until_s: float


class Placer(Protocol):
    """Decide which engine loads or unloads which version."""

    def place(
        self,
        reports: tuple[EngineReport, ...],
        demands: _ZoneDemands,
        now_s: float,
    ) -> Orders:
        """Return the orders of a placement round."""

    def on_store_busy(self, busy: StoreBusy) -> None:
        """Handle a load that the weight store rejected."""


class FixedPlacer:
    """Keep the initial placement."""

    def place(
        self,
        reports: tuple[EngineReport, ...],
        demands: _ZoneDemands,
        now_s: float,
    ) -> Orders:
        """Return no orders."""
        return ()

    def on_store_busy(self, busy: StoreBusy) -> None:
        """Do nothing, since no loads are ordered."""


class NaivePlacer:
    """Match the copies of each version to its current demand."""

    def __init__(self, configuration: Configuration) -> None:
        """Place the versions of a configuration."""
        self._versions = [model.name for model in configuration.models]

    def place(
        self,
        reports: tuple[EngineReport, ...],
        demands: _ZoneDemands,
        now_s: float,
    ) -> Orders:
        """Unload surplus copies, then load missing ones."""
        loaded = {each.engine: set(each.loaded) for each in reports}
        slots = {each.engine: each.slots for each in reports}
        wanted = {
            version: _count_copies(demands.get(version, NO_DEMAND), reports)
            for version in self._versions
        }
        orders: list[PlacementOrder] = []
        for version, count in wanted.items():
            engines = [name for name in loaded if version in loaded[name]]
            for engine in engines[count:]:
                loaded[engine].discard(version)
                orders.append(UnloadVersion(engine, version))
        for version, count in wanted.items():
            present = sum(version in each for each in loaded.values())
            for engine in _find_engines_with_room(loaded, slots, version)[
                : count - present
            ]:
                loaded[engine].add(version)
                orders.append(LoadVersion(engine, version))
        return tuple(orders)

    def on_store_busy(self, busy: StoreBusy) -> None:
        """Do nothing; the next round orders the load again."""


class DemandPlacer:
    """Use the controllers' placement planner."""

    def __init__(self, configuration: Configuration, zone: str) -> None:
        """Start without engine reports."""
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
        demands: _ZoneDemands,
        now_s: float,
    ) -> Orders:
        """Plan a round in the way a controller does."""
        needs = build_needs(self._configuration, self._zone, demands, reports)
        state = set_needs(apply_reports(self._state, reports), needs)
        planned, orders = plan_placement(state, now_s)
        self._state = planned
        return orders

    def on_store_busy(self, busy: StoreBusy) -> None:
        """Discard the order and pause loads until the store is free."""
        state = discard_order(self._state, busy.order)
        self._state = pause_loads(state, busy.until_s)


def build_placer(
    name: str,
    configuration: Configuration,
    zone: str,
) -> Placer:
    """Return a placer by name; `hold-0` plans without hysteresis."""
    match name:
        case 'fixed':
            return FixedPlacer()
        case 'naive':
            return NaivePlacer(configuration)
        case 'hold-0':
            configuration = replace(configuration, placement_hold_s=0)
    return DemandPlacer(configuration, zone)


PLACERS = ('fixed', 'naive', 'demand', 'hold-0')


def _find_engines_with_room(
    loaded: Mapping[str, set[str]],
    slots: Mapping[str, int],
    version: str,
) -> list[str]:
    return [
        engine
        for engine, versions in loaded.items()
        if version not in versions and len(versions) < slots[engine]
    ]


def _count_copies(
    demand: ZoneDemand,
    reports: tuple[EngineReport, ...],
) -> int:
    streams_per_copy = sum(
        each.capacity_streams / each.slots for each in reports
    ) / len(reports)
    return max(math.ceil(demand.streams / streams_per_copy), 1)
