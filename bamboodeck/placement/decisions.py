"""Plan which engines load and unload which versions."""

import math
from dataclasses import replace

from bamboodeck.placement.copies import CopyIndex
from bamboodeck.placement.orders import resend_orders
from bamboodeck.placement.shortage import Shortage
from bamboodeck.placement.state import (
    EngineReport,
    LoadVersion,
    Orders,
    PendingOrder,
    PlacementOrder,
    PlacementState,
    Surplus,
    UnloadVersion,
    VersionNeed,
)


def plan_placement(
    state: PlacementState,
    now_s: float,
    *,
    may_unload: bool = True,
) -> tuple[PlacementState, Orders]:
    """Return the next state and the orders to send now.

    Without `may_unload`, no new unload orders are planned.
    """
    state = _refill_budget(state, now_s)
    state, resent = resend_orders(state, now_s)
    plan = _PlanningRound(state, now_s)
    plan.find_surpluses()
    plan.add_copies()
    if may_unload:
        plan.unload_copies()
    state = replace(
        state,
        pending=(*state.pending, *plan.pending),
        surpluses=plan.surpluses,
        load_budget_bytes=plan.load_budget_bytes,
        planned_s=now_s,
    )
    return state, (*resent, *(each.order for each in plan.pending))


class _PlanningRound:
    """Collect the new orders of one planning round."""

    def __init__(self, state: PlacementState, now_s: float) -> None:
        self.pending: list[PendingOrder] = []
        self.surpluses: tuple[Surplus, ...] = ()
        self.load_budget_bytes = state.load_budget_bytes
        self._state = state
        self._now_s = now_s
        self._loads_allowed = now_s >= state.loads_paused_until_s
        self._copies = CopyIndex(state)
        self._shortage = Shortage(state, self._copies)

    def find_surpluses(self) -> None:
        """Record since when each zone has a surplus copy of a version."""
        since_s = {
            (each.zone, each.version): each.since_s
            for each in self._state.surpluses
        }
        found = []
        for zone, version in sorted(self._loaded_versions()):
            if not self._shortage.has_surplus(zone, version):
                continue
            begun_s = since_s.get((zone, version), self._now_s)
            found.append(Surplus(zone, version, begun_s))
        self.surpluses = tuple(found)

    def add_copies(self) -> None:
        """Load missing copies, those that save most credits first."""
        needs = self._shortage.needs.values()
        for need in sorted(needs, key=self._load_priority):
            missing = self._shortage.missing(need)
            if missing <= 0:
                continue
            for _ in range(missing):
                if not self._add_copy(need):
                    break

    def unload_copies(self) -> None:
        """Unload a copy per zone and version whose surplus has lasted."""
        for surplus in self.surpluses:
            lasted_s = self._now_s - surplus.since_s
            if lasted_s < self._min_surplus_s(surplus.zone):
                continue
            self._unload_copy(surplus.zone, surplus.version)

    def _add_copy(self, need: VersionNeed) -> bool:
        # One load may overdraw the weight store's token bucket, as versions
        # larger than the burst could never be loaded otherwise.
        if self.load_budget_bytes <= 0 or not self._loads_allowed:
            return False
        candidates = self._copies.engines_in(need.zone)
        engines = [
            engine
            for engine in candidates
            if self._shortage.can_load(engine, need.version)
        ]
        if not engines:
            return False
        target = min(engines, key=self._free_slots_rank)
        self._add_order(
            LoadVersion(target.engine, need.version),
            self._load_reason(need),
            len(candidates) - 1,
        )
        self.load_budget_bytes -= need.size_bytes
        return True

    def _unload_copy(self, zone: str, version: str) -> None:
        copies = self._copies.retained_in_zone(version, zone)
        useful = [
            each for each in copies if self._shortage.could_take_missing(each)
        ]
        if not useful or not self._may_unload(zone, version, len(copies)):
            return
        target = max(useful, key=self._free_slots_rank)
        needed = (zone, version) in self._shortage.needs
        self._add_order(
            UnloadVersion(target.engine, version),
            'surplus' if needed else 'not_needed',
            len(copies) - 1,
        )

    def _may_unload(self, zone: str, version: str, zone_copies: int) -> bool:
        """Return false for the last copy of a version that sessions need.

        It is kept for sessions of its own zone if it is the zone's last copy,
        and for those of any zone if it is the last copy of all.
        """
        need = self._shortage.needs.get((zone, version))
        if zone_copies == 1 and need is not None and need.sessions:
            return False
        if len(self._copies.retained_copies(version)) > 1:
            return True
        return not any(
            each.sessions
            for each in self._state.needs
            if each.version == version
        )

    def _min_surplus_s(self, zone: str) -> float:
        """Return how long a surplus must last before a copy is unloaded.

        Nothing is unloaded while loads are paused or no version lacks room. If
        a required copy is missing, a surplus copy is unloaded at once.
        """
        if not self._loads_allowed or not self._shortage.count_blocked(zone):
            return math.inf
        if self._shortage.is_urgent(zone):
            return 0.0
        return self._state.rules.hold_s

    def _loaded_versions(self) -> set[tuple[str, str]]:
        return {
            (engine.zone, version)
            for engine in self._copies.engines.values()
            for version in engine.loaded
        }

    def _load_reason(self, need: VersionNeed) -> str:
        copies = self._copies.copies_in_zone(need.version, need.zone)
        if len(copies) < need.min_copies:
            return 'min_copies'
        return 'demand' if copies else 'first_copy'

    def _load_priority(self, need: VersionNeed) -> tuple[int, float, str, str]:
        # Versions with sessions and no copy come first, whatever the savings.
        copies = self._copies.copies_in_zone(need.version, need.zone)
        urgency_rank = int(bool(copies) or not need.sessions)
        gain = need.streams * need.saved_credits_per_stream_s
        return urgency_rank, -gain, need.zone, need.version

    def _free_slots_rank(self, engine: EngineReport) -> tuple[int, str]:
        return -self._copies.free_slots(engine), engine.engine

    def _add_order(
        self,
        order: PlacementOrder,
        reason: str,
        rejected_count: int,
    ) -> None:
        self._copies.add_order(order)
        self.pending.append(
            PendingOrder(
                order,
                self._now_s,
                reason=reason,
                rejected_count=rejected_count,
            ),
        )


def _refill_budget(state: PlacementState, now_s: float) -> PlacementState:
    passed_s = max(now_s - state.planned_s, 0)
    rules = state.rules
    level = state.load_budget_bytes + passed_s * rules.store_bytes_per_s
    return replace(
        state,
        load_budget_bytes=min(level, rules.store_burst_bytes),
    )
