"""Keep the evacuated zones of this host up to date, and log what changes.

Load pattern: the same as that of the decisions, which `evacuation` makes.
"""

from collections.abc import Iterable

from bamboodeck.gateway import known_state
from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.places.evacuation import (
    Evacuation,
    EvacuationReport,
    EvacuationState,
    apply_changes,
    apply_list,
    apply_report,
    build_report,
    end_held,
)
from bamboodeck.gateway.places.place_events import (
    EvacuationBegan,
    EvacuationEnded,
    EvacuationHeld,
)
from bamboodeck.gateway.ports import (
    Fact,
    Position,
    Snapshot,
    ZoneEvacuated,
    ZoneReturned,
)

# How often it is checked whether what is held may end.
CHECK_PERIOD_S = 0.25


class EvacuationTracker:
    """Put evacuations in force on this host, and end them."""

    def __init__(self, context: GatewayContext) -> None:
        """Start with the evacuations of the context."""
        self._context = context
        self._is_checking = False

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Apply all keys of the store."""
        listed = {
            fact.zone: fact.revision
            for fact in snapshot.facts
            if isinstance(fact, ZoneEvacuated)
        }
        self._replace(
            apply_list(
                self._context.evacuations,
                listed,
                Position(snapshot.era, snapshot.revision),
                self._context.now_s(),
                self._find_hold_s(),
            ),
            'store',
        )

    def apply_changes(self, facts: Iterable[Fact], era: int) -> None:
        """Apply changes of the store."""
        changes = [
            fact
            for fact in facts
            if isinstance(fact, ZoneEvacuated | ZoneReturned)
        ]
        if changes:
            self._replace(
                apply_changes(self._context.evacuations, changes, era),
                'store',
            )

    def apply_report(self, host: str, report: EvacuationReport) -> None:
        """Apply what another host knows."""
        self._replace(
            apply_report(
                self._context.evacuations,
                report,
                self._context.now_s(),
                self._find_hold_s(),
            ),
            host,
        )

    def build_report(self) -> EvacuationReport | None:
        """Return what to tell other hosts."""
        return build_report(self._context.evacuations, self._context.now_s())

    def _find_hold_s(self) -> float:
        heartbeat_s = self._context.settings.bounds.heartbeat_s
        return known_state.LAPSE_HEARTBEATS * heartbeat_s

    def _replace(self, state: EvacuationState, source: str) -> None:
        before = self._context.evacuations
        self._context.evacuations = state
        for zone, evacuation in state.zones.items():
            known = before.zones.get(zone)
            if known != evacuation:
                self._log_in_force(zone, evacuation, source)
        for zone in before.zones.keys() - state.zones.keys():
            self._context.metrics.count('evacuation_ended')
            self._context.log.warn(
                EvacuationEnded(zone, state.position.revision, source),
            )
        is_held = any(
            each.held_until_s is not None for each in state.zones.values()
        )
        if is_held and not self._is_checking:
            self._is_checking = True
            self._check_later()

    def _check_later(self) -> None:
        self._context.loop.scheduler.call_after(CHECK_PERIOD_S, self._check)

    def _check(self) -> None:
        self._is_checking = False
        # A host that isn't in contact can't know what was written again.
        state = end_held(
            self._context.evacuations,
            self._context.registry_confirmed_s,
        )
        self._replace(state, 'not written again')

    def _log_in_force(
        self,
        zone: str,
        evacuation: Evacuation,
        source: str,
    ) -> None:
        if evacuation.held_until_s is not None:
            self._context.metrics.count('evacuation_held')
            left_s = evacuation.held_until_s - self._context.now_s()
            self._context.log.warn(
                EvacuationHeld(zone, evacuation.revision, left_s, source),
            )
            return
        self._context.metrics.count('evacuation_began')
        engines = sum(
            engine.entry.zone == zone and not engine.unlisted
            for engine in self._context.engines
        )
        self._context.log.warn(
            EvacuationBegan(zone, evacuation.revision, engines, source),
        )
