"""Define the log events about where requests may run."""

import msgspec


class EvacuationBegan(msgspec.Struct, frozen=True):
    """Log that nothing more is sent to the engines of a zone."""

    zone: str
    # Of the operator's key.
    revision: int
    engines: int
    # `store`, or the host that reported it.
    source: str


class EvacuationHeld(msgspec.Struct, frozen=True):
    """Log that a restored store lacks the key of an evacuated zone."""

    zone: str
    # Of the key before the restore.
    revision: int
    # Time left to be written again.
    left_s: float
    # `store`, or the host that reported it.
    source: str


class EvacuationEnded(msgspec.Struct, frozen=True):
    """Log that engines of a zone may be used again."""

    zone: str
    # As of which the zone isn't evacuated.
    revision: int
    # `store`, `not written again`, or the host that reported it.
    source: str
