"""Compute which copies a zone lacks and where they can be loaded."""

import math
from collections import defaultdict

from bamboodeck.placement.copies import CopyIndex
from bamboodeck.placement.state import (
    EngineReport,
    PlacementState,
    VersionNeed,
)


class Shortage:
    """Compare the needs with the copies, including pending orders."""

    def __init__(self, state: PlacementState, copies: CopyIndex) -> None:
        """Index the needs of a state."""
        self.needs = {(need.zone, need.version): need for need in state.needs}
        self._rules = state.rules
        self._copies = copies
        self._needs_by_zone: defaultdict[str, list[VersionNeed]] = defaultdict(
            list
        )
        for need in state.needs:
            self._needs_by_zone[need.zone].append(need)
        self._mean_streams: dict[str, float] = {}
        self._avoided = {(each.engine, each.version) for each in state.failed}

    def missing(self, need: VersionNeed) -> int:
        """Return how many copies to add, at most `max_copies` in total."""
        if not need.may_load:
            return 0
        copies = self._copies.copies_in_zone(need.version, need.zone)
        missing = self._count_missing(need, copies)
        if not need.max_copies:
            return missing
        return min(missing, max(need.max_copies - len(copies), 0))

    def missing_required(self, need: VersionNeed) -> int:
        """Return how many required copies are missing, whatever the load."""
        if not need.may_load:
            return 0
        copies = self._copies.copies_in_zone(need.version, need.zone)
        return max(required_copies(need) - len(copies), 0)

    def is_urgent(self, zone: str) -> bool:
        """Return whether a required copy of any version is missing."""
        return any(
            self.missing_required(need) > 0
            for need in self._needs_by_zone[zone]
        )

    def count_blocked(self, zone: str) -> int:
        """Count the missing copies that no engine of a zone has room for.

        Copies that are being unloaded make room for as many others.
        """
        blocked = sum(
            self.missing(need)
            for need in self._needs_by_zone[zone]
            if not self._has_room(need)
        )
        return max(blocked - self._copies.count_unloading(zone), 0)

    def could_take_missing(self, engine: EngineReport) -> bool:
        """Return whether a slot freed there could take a missing copy."""
        return any(
            self.missing(need) > 0 and self._is_suitable(engine, need.version)
            for need in self._needs_by_zone[engine.zone]
        )

    def can_load(self, engine: EngineReport, version: str) -> bool:
        """Return whether an engine may load a version now."""
        if self._copies.free_slots(engine) <= 0:
            return False
        return self._is_suitable(engine, version)

    def has_surplus(self, zone: str, version: str) -> bool:
        """Return whether a zone could serve its need with one copy less."""
        need = self.needs.get((zone, version))
        if need is None:
            return True
        copies = self._copies.retained_in_zone(version, zone)
        if len(copies) <= required_copies(need):
            return False
        capacity = sum(map(slot_streams, copies))
        rest = capacity * (len(copies) - 1) / len(copies)
        return need.streams <= self._rules.low_load * rest

    def _count_missing(
        self, need: VersionNeed, copies: list[EngineReport]
    ) -> int:
        required = self.missing_required(need)
        capacity = sum(map(slot_streams, copies))
        missing_streams = need.streams / self._rules.high_load - capacity
        slot_size = self._mean_slot_streams(need.zone)
        if missing_streams <= 0 or slot_size <= 0:
            return required
        return max(required, math.ceil(missing_streams / slot_size))

    def _has_room(self, need: VersionNeed) -> bool:
        return any(
            self.can_load(engine, need.version)
            for engine in self._copies.engines_in(need.zone)
        )

    def _is_suitable(self, engine: EngineReport, version: str) -> bool:
        if not engine.takes_loads:
            return False
        if (engine.engine, version) in self._avoided:
            return False
        return not self._copies.has_copy_or_order(engine.engine, version)

    def _mean_slot_streams(self, zone: str) -> float:
        if zone not in self._mean_streams:
            sizes = [
                slot_streams(each) for each in self._copies.engines_in(zone)
            ]
            mean = sum(sizes) / len(sizes) if sizes else 0.0
            self._mean_streams[zone] = mean
        return self._mean_streams[zone]


def required_copies(need: VersionNeed) -> int:
    """Return how many copies a zone must have, whatever the load.

    A version with demand or sessions needs at least one.
    """
    used = need.streams > 0 or need.sessions > 0
    return max(need.min_copies, int(used))


def slot_streams(engine: EngineReport) -> float:
    """Return the streams that each version on an engine can serve."""
    return engine.capacity_streams / max(engine.slots, 1)
