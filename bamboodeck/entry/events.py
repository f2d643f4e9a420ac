"""Define the lifecycle log events of an entry process."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ProcessStarted:
    """Log that the process has started."""

    node: str
    zone: str
    callers: str
    admin: str


@dataclass(frozen=True, slots=True)
class ProcessStopping:
    """Log that a graceful shutdown has begun."""

    node: str
    active_requests: int


@dataclass(frozen=True, slots=True)
class ProcessStopped:
    """Log the end of the process and the number of requests cut off."""

    node: str
    cut_off_requests: int
