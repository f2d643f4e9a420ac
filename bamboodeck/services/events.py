"""Define the log events of calls to plain services."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServiceCallDecided:
    """Log the backend server chosen for a call."""

    request_id: str
    customer: str
    service: str
    method: str
    backend_server: str
    idempotent: bool
    attempt: int


@dataclass(frozen=True, slots=True)
class ServiceCallEnded:
    """Log the result of a call."""

    request_id: str
    customer: str
    service: str
    method: str
    outcome: str
    run: str
    total_s: float
