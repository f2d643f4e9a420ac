"""Decode the keys by which operators evacuate zones."""

from bamboodeck.gateway.ports import Fact, ZoneEvacuated, ZoneReturned
from bamboodeck.platform import protocol
from bamboodeck.platform.store import Change, Removal


def is_evacuation(change: Change) -> bool:
    """Tell whether a change is that of an evacuation's key."""
    return change.key.startswith(protocol.EVACUATE_PREFIX)


def decode_evacuation(change: Change) -> Fact:
    """Decode a change by the key's presence, whatever its content."""
    zone = change.key.removeprefix(protocol.EVACUATE_PREFIX)
    if isinstance(change, Removal):
        return ZoneReturned(zone, change.revision)
    return ZoneEvacuated(zone, change.revision)
