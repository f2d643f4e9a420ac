"""Decide which zones are evacuated, by what is known of the operators' keys.

Load pattern: an operator empties a zone in full traffic, while the store is
restored from a copy, loses its history, or refuses some hosts. A host knows the
list of evacuated zones as of a position in the store's history, and takes any
list of a later position, from the store or from another host.

What is missing from a restored store may be written again, so such a zone stays
evacuated for as long as engines that had left are held back.
"""

from collections.abc import Iterable, Mapping

import msgspec

from bamboodeck.gateway.ports import Position, ZoneEvacuated, ZoneReturned

# Longer lists aren't sent to other hosts, as they could exceed a datagram.
MAX_REPORTED_ZONES = 32
_MILLISECONDS_PER_S = 1000


class Evacuation(msgspec.Struct, frozen=True):
    """Describe an evacuation by the revision of its key."""

    revision: int
    # Set if a restored store lacks the key: until when it stays in force.
    held_until_s: float | None = None


class EvacuatedZone(msgspec.Struct, frozen=True, array_like=True):
    """Report an evacuated zone to other hosts."""

    zone: str
    revision: int
    # Time left if a restored store lacks the key, otherwise 0.
    held_ms: int = 0


class EvacuationReport(msgspec.Struct, frozen=True, array_like=True):
    """Report all evacuated zones as of a position to other hosts."""

    era: int
    revision: int
    zones: tuple[EvacuatedZone, ...] = ()


class EvacuationState(msgspec.Struct, frozen=True):
    """Hold the evacuated zones as of a position."""

    position: Position = Position()
    zones: Mapping[str, Evacuation] = {}
    # As of which position a zone's latest evacuation ended.
    ended: Mapping[str, Position] = {}

    def covers(self, zone: str) -> bool:
        """Tell whether a zone is evacuated."""
        return zone in self.zones


def apply_list(
    state: EvacuationState,
    listed: Mapping[str, int],
    position: Position,
    now_s: float,
    hold_s: float,
) -> EvacuationState:
    """Apply the revisions of all keys as of a position, by zone.

    In a new era, zones that aren't listed stay evacuated for `hold_s`.
    """
    if position < state.position:
        return state
    restored = position.era > state.position.era
    zones = {}
    ended = dict(state.ended)
    for zone, known in state.zones.items():
        if restored:
            zones[zone] = Evacuation(known.revision, now_s + hold_s)
        elif known.held_until_s is not None and known.held_until_s > now_s:
            zones[zone] = known
        else:
            ended[zone] = position
    for zone, revision in listed.items():
        zones[zone] = Evacuation(revision)
        ended.pop(zone, None)
    return EvacuationState(position, zones, ended)


def apply_changes(
    state: EvacuationState,
    changes: Iterable[ZoneEvacuated | ZoneReturned],
    era: int,
) -> EvacuationState:
    """Apply changes of keys after the known position, in their order."""
    zones = dict(state.zones)
    ended = dict(state.ended)
    position = state.position
    for change in changes:
        changed = Position(era, change.revision)
        # One write may change the keys of several zones.
        if changed <= state.position:
            continue
        position = max(position, changed)
        match change:
            case ZoneEvacuated(zone=zone, revision=revision):
                zones[zone] = Evacuation(revision)
                ended.pop(zone, None)
            case ZoneReturned(zone=zone):
                zones.pop(zone, None)
                ended[zone] = changed
    return EvacuationState(position, zones, ended)


def apply_report(
    state: EvacuationState,
    report: EvacuationReport,
    now_s: float,
    hold_s: float,
) -> EvacuationState:
    """Apply what another host knows."""
    position = Position(report.era, report.revision)
    listed = {
        each.zone: each.revision for each in report.zones if not each.held_ms
    }
    state = apply_list(state, listed, position, now_s, hold_s)
    if position.era < state.position.era:
        return state
    # A host that started after the restore doesn't know what is held, whatever
    # the revision of its snapshot.
    zones = dict(state.zones)
    for each in report.zones:
        if each.zone in zones or not each.held_ms:
            continue
        if state.ended.get(each.zone, Position()) < position:
            held_s = min(each.held_ms / _MILLISECONDS_PER_S, hold_s)
            zones[each.zone] = Evacuation(each.revision, now_s + held_s)
    return EvacuationState(state.position, zones, state.ended)


def end_held(
    state: EvacuationState,
    confirmed_s: float,
) -> EvacuationState:
    """End what the store was not told again until it last confirmed."""
    zones = {}
    ended = dict(state.ended)
    for zone, known in state.zones.items():
        if known.held_until_s is None or known.held_until_s > confirmed_s:
            zones[zone] = known
        else:
            ended[zone] = state.position
    return EvacuationState(state.position, zones, ended)


def build_report(
    state: EvacuationState,
    now_s: float,
) -> EvacuationReport | None:
    """Return what to tell other hosts; None if no zone was evacuated yet."""
    if not (state.zones or state.ended):
        return None
    if len(state.zones) > MAX_REPORTED_ZONES:
        return None
    return EvacuationReport(
        state.position.era,
        state.position.revision,
        tuple(
            EvacuatedZone(zone, each.revision, _find_held_ms(each, now_s))
            for zone, each in sorted(state.zones.items())
        ),
    )


def _find_held_ms(evacuation: Evacuation, now_s: float) -> int:
    if evacuation.held_until_s is None:
        return 0
    left_s = evacuation.held_until_s - now_s
    return max(int(left_s * _MILLISECONDS_PER_S), 1)
