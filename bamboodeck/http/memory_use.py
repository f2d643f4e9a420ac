"""Define how a server accounts for the memory of its connections."""

import enum
from typing import Protocol

# Memory of an open connection without a request: its objects, its parser and
# the entries of the poller.
CONNECTION_BYTES = 8_192


@enum.unique
class CloseReason(enum.Enum):
    """Say why a connection is closed to free memory."""

    # It holds a part of a request that does not arrive.
    STALLED = 'stalled'
    # It waited for memory for too long.
    WAITED = 'waited'
    # Its caller does not read the answer.
    UNREAD = 'unread'


class MemoryHolder(Protocol):
    """Represent a connection to the account."""

    @property
    def receiving(self) -> bool:
        """Tell whether it may be refused, as none of its requests runs."""

    def resume(self) -> None:
        """Go on, as the memory that was refused may be held now."""

    def evict(self, reason: CloseReason) -> None:
        """Close the connection, after a refusal where it is truthful."""


class Reservation(Protocol):
    """Record the memory of one connection."""

    def resize(self, held_bytes: int, needed_bytes: int) -> bool:
        """Record what is held; return whether it may grow as needed.

        After a refusal the holder waits until `resume` or `evict`.
        """

    def resize_unread(self, size_bytes: int) -> None:
        """Record how much of its answers the caller has not read."""

    def close(self) -> None:
        """Release everything, as the connection has closed."""


class MemoryAccount(Protocol):
    """Bound the memory of all connections together."""

    def open(self, holder: MemoryHolder) -> Reservation:
        """Add a connection."""


class UnboundedReservation:
    """Allow everything."""

    def resize(self, held_bytes: int, needed_bytes: int) -> bool:
        """Allow any size."""
        return True

    def resize_unread(self, size_bytes: int) -> None:
        """Allow any size."""

    def close(self) -> None:
        """Release nothing."""


class UnboundedAccount:
    """Allow everything, for servers whose callers are known."""

    def open(self, holder: MemoryHolder) -> Reservation:
        """Add a connection without a bound."""
        return UnboundedReservation()
