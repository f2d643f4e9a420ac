"""Define the log events of the memory account."""

import msgspec


class ConnectionClosedForMemory(msgspec.Struct, frozen=True):
    """Log that a caller's connection was closed to free memory."""

    reason: str
    held_bytes: int
    unread_bytes: int
    quiet_s: float
    connections: int
    committed_bytes: int
    limit_bytes: int
