"""Define the state and orders of version placement."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class PlacementRules:
    """Configure when copies are added and removed, and how fast.

    A zone gets another copy of a version if demand exceeds `high_load` of the
    capacity of its copies. It may lose one if the remaining copies would stay
    below `low_load` for `hold_s`.
    """

    high_load: float = 0.8
    low_load: float = 0.5
    hold_s: float = 600.0
    store_bytes_per_s: float = 1e9
    store_burst_bytes: float = 2e10
    resend_after_s: float = 120.0
    max_sends: int = 3
    avoid_engine_s: float = 900.0


@dataclass(frozen=True, slots=True)
class VersionNeed:
    """Describe one zone's demand for a version.

    `streams` is the demand, `saved_credits_per_stream_s` the saving of a stream
    on this version over the next best one. `min_copies` are kept whatever the
    demand; `max_copies` of 0 means no upper bound. Without `may_load`, the
    copies that are needed are kept and none is added.
    """

    zone: str
    version: str
    size_bytes: float
    streams: float
    sessions: int = 0
    saved_credits_per_stream_s: float = 1.0
    min_copies: int = 0
    max_copies: int = 0
    may_load: bool = True


@dataclass(frozen=True, slots=True)
class EngineReport:
    """Report the versions on an engine; `sequence` is the engine's own."""

    engine: str
    zone: str
    sequence: int
    slots: int
    capacity_streams: float
    loaded: tuple[str, ...]
    leaving: bool = False
    takes_loads: bool = True


@dataclass(frozen=True, slots=True)
class LoadVersion:
    """Order an engine to load a version."""

    engine: str
    version: str


@dataclass(frozen=True, slots=True)
class UnloadVersion:
    """Order an engine to unload a version once its streams have ended."""

    engine: str
    version: str


PlacementOrder = LoadVersion | UnloadVersion
Orders = tuple[PlacementOrder, ...]


@dataclass(frozen=True, slots=True)
class PendingOrder:
    """Track an order until a report shows its effect."""

    order: PlacementOrder
    sent_s: float
    sends: int = 1
    reason: str = ''
    rejected_count: int = 0


@dataclass(frozen=True, slots=True)
class FailedLoad:
    """Record a load that took no effect, so that its engine is avoided."""

    engine: str
    version: str
    until_s: float


@dataclass(frozen=True, slots=True)
class Surplus:
    """Record since when a zone has more copies of a version than needed."""

    zone: str
    version: str
    since_s: float


@dataclass(frozen=True, slots=True)
class PlacementState:
    """Hold the complete input of a placement decision.

    `load_budget_bytes` is the level of the weight store's token bucket.
    """

    rules: PlacementRules = field(default_factory=PlacementRules)
    needs: tuple[VersionNeed, ...] = ()
    engines: tuple[EngineReport, ...] = ()
    pending: tuple[PendingOrder, ...] = ()
    failed: tuple[FailedLoad, ...] = ()
    surpluses: tuple[Surplus, ...] = ()
    load_budget_bytes: float = 0.0
    loads_paused_until_s: float = 0.0
    planned_s: float = 0.0
