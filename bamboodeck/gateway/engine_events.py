"""Define the log events about what engines say in their answers."""

import msgspec


class EngineLimitChanged(msgspec.Struct, frozen=True):
    """Log the requests a second that an engine takes, -1 without a limit."""

    engine: str
    service: str
    limit_per_s: float
    # What this host may send of it.
    share_per_s: float
    # The host that reported it, empty if an answer to this host did.
    reported_by: str
    # What this host sent to the engine in the last seconds.
    sent: int


class EngineLimitUsed(msgspec.Struct, frozen=True):
    """Log what this host sends to an engine that has named a limit."""

    engine: str
    limit_per_s: float
    share_per_s: float
    sent: int
    # Time since an answer to any host last confirmed the limit.
    confirmed_age_s: float


class EngineLeaves(msgspec.Struct, frozen=True):
    """Log that an engine said in an answer that it leaves."""

    engine: str
    service: str
    # The host that reported it, empty if an answer to this host did.
    reported_by: str


class EngineDeclines(msgspec.Struct, frozen=True):
    """Log that an engine wants no requests of this host for some time."""

    engine: str
    service: str
    asked_s: float
    # What it is paused for.
    declined_s: float


class HeadersUnreadable(msgspec.Struct, frozen=True):
    """Log headers of an engine's answer that were ignored."""

    request_id: str
    engine: str
    names: str


class EngineMissing(msgspec.Struct, frozen=True):
    """Log that an engine's entry may have lapsed in an outage."""

    engine: str
    reason: str
    revision: int
    # Time left to be listed again.
    relist_s: float


class EngineBecameCold(msgspec.Struct, frozen=True):
    """Log that an engine is, or may be, cold."""

    engine: str
    service: str
    # Its entry, or contact that was lost, after which it may have restarted.
    evidence: str
    # Time left by its entry.
    left_s: float
    limit_per_s: float
    # What this host may send of it.
    share_per_s: float
    sharing_hosts: int
    # What this host sent to the engine in the last seconds.
    sent: int


class EngineBecameWarm(msgspec.Struct, frozen=True):
    """Log that an engine is no longer taken for cold."""

    engine: str
    service: str
    cold_s: float
    # What this host sent to the engine in the last seconds.
    sent: int


class EngineColdUsed(msgspec.Struct, frozen=True):
    """Log what this host sends to a cold engine, and what is left."""

    engine: str
    limit_per_s: float
    share_per_s: float
    # Requests that it might send at once.
    saved: float
    sent: int


class EngineMemoryFull(msgspec.Struct, frozen=True):
    """Log that an engine has no memory for a request, until it has again."""

    engine: str
    capacity_tokens: int
    held_tokens: int
    request_tokens: int
