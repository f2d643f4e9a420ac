"""Define the gateway's routes, customers, engines, requests and settings."""

import enum
from collections.abc import Mapping

import msgspec

from bamboodeck.http.messages import Address, Header
from bamboodeck.http.relay_server import CallerLimits

_FIRST_ERROR = 400

# The regions that a request may run in; None allows any, also unknown ones.
AllowedRegions = frozenset[str] | None


@enum.unique
class RouteKind(enum.Enum):
    """Classify routes by how their requests may be retried."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


class WeightedService(msgspec.Struct, frozen=True):
    """Name a service and its weight among the services of a route."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Map requests to services, with their limits."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    target_latency_s: float
    max_attempts: int
    priority: int
    public: bool = False
    resumable: bool = False
    models: tuple[str, ...] = ()
    max_gap_s: float = 0.0
    allowed_regions: AllowedRegions = None

    @property
    def retryable(self) -> bool:
        """Tell whether a request may run more than once."""
        match self.kind:
            case RouteKind.SAFE:
                return True
            case RouteKind.UNSAFE:
                return False
            case RouteKind.STREAM:
                return self.resumable


class ModelPrice(msgspec.Struct, frozen=True):
    """Hold the cost of 1,000 generated tokens of a model."""

    model: str
    cost: float


class BatchLimits(msgspec.Struct, frozen=True):
    """Hold the capacity of one model engine."""

    slots: int
    memory_tokens: int
    prices: tuple[ModelPrice, ...] = ()


class Service(msgspec.Struct, frozen=True):
    """Describe a service; `batch` is set if it consists of model engines."""

    name: str
    max_connections: int
    batch: BatchLimits | None = None
    # The requests a second that a cold engine takes from all hosts, and for how
    # long an engine is cold at most; 0 if engines are never cold.
    cold_per_s: float = 0.0
    cold_start_s: float = 0.0


class Customer(msgspec.Struct, frozen=True):
    """Describe a customer; its priority, if any, overrides the route's."""

    name: str
    priority: int | None = None
    allowed_regions: AllowedRegions = None


def combine_regions(
    first: AllowedRegions,
    second: AllowedRegions,
) -> AllowedRegions:
    """Return the regions that both allow."""
    if first is None:
        return second
    if second is None:
        return first
    return first & second


class GatewayConfiguration(msgspec.Struct, frozen=True):
    """Hold the routes, services and customers of one version."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits
    # Without customers no API key is required.
    customers_by_key: Mapping[str, Customer] | None = None


@enum.unique
class EngineState(enum.Enum):
    """State whether an engine accepts new requests."""

    READY = 'ready'
    DRAINING = 'draining'


class EngineEntry(msgspec.Struct, frozen=True):
    """Hold an engine's entry in the registry."""

    engine_id: str
    service: str
    address: Address
    zone: str
    version: str
    slots: int
    state: EngineState
    # Counts the changes within one incarnation of the engine.
    sequence: int = 0
    # Start of this incarnation of the engine.
    started_unix_ms: int = 0
    # How long it is still cold, from the moment at which it wrote this.
    cold_s: float = 0.0


class RolloutOrder(msgspec.Struct, frozen=True):
    """Order a roll-out of a version of a service within a duration."""

    service: str
    version: str
    duration_s: float


@enum.unique
class RolloutState(enum.Enum):
    """State of a roll-out."""

    RUNNING = 'running'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'


class RolloutStatus(msgspec.Struct, frozen=True):
    """Report the state of a version's roll-out to operators."""

    version: str
    state: RolloutState


class PromptPart(msgspec.Struct, frozen=True):
    """Identify a part of a prompt that requests may share."""

    part_id: str
    tokens: int


class Generation(msgspec.Struct, frozen=True):
    """Hold the generation parameters of a request to a model engine.

    `model` is None if the gateway chooses it.
    """

    model: str | None
    prompt_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = ()
    expected_output_tokens: int | None = None
    last_event_id: str | None = None

    @property
    def output_tokens(self) -> int:
        """Return the expected number of generated tokens."""
        if self.expected_output_tokens is None:
            return self.max_output_tokens
        return min(self.expected_output_tokens, self.max_output_tokens)


class CallerRequest(msgspec.Struct, frozen=True):
    """Hold a decoded request of a caller."""

    request_id: str
    method: str
    target: str
    host: str
    path: str
    body: bytes
    # Headers that are forwarded unchanged to a backend server.
    headers: tuple[Header, ...]
    # None if the caller states no timeout.
    caller_timeout_s: float | None
    api_key: str | None
    session: str | None
    generation: Generation | None
    received_s: float


class EngineCall(msgspec.Struct, frozen=True):
    """Hold the parameters of a call to one engine."""

    engine: EngineEntry
    request: CallerRequest
    customer: str | None
    time_left_s: float
    engine_priority: int | None = None
    model: str | None = None
    last_event_id: str | None = None


class EngineHead(msgspec.Struct, frozen=True):
    """Hold the decoded head of an engine's answer."""

    status: int
    # Headers that are forwarded unchanged to the caller.
    headers: tuple[Header, ...] = ()
    request_id: str | None = None
    not_run: bool = False
    # Callers take its status for the promise that the request never runs.
    promises_not_run: bool = False
    # Another engine answers at the address of the call.
    misdirected: bool = False
    stamped: bool = False
    # The model's confidence in its answer, from 0 to 100.
    confidence: int | None = None
    # The body ends only when the connection closes, also that of a crash.
    close_delimited: bool = False
    # The requests a second that the engine takes from all hosts together, for
    # as long as its answers name it.
    limit_per_s: float | None = None
    # The engine stops soon, and wants no more requests.
    leaving: bool = False
    # The engine rejects requests of this host for this long.
    retry_after_s: float | None = None
    # The limit couldn't be read, which is no reason to end a known one.
    limit_unreadable: bool = False
    # Names of the headers that couldn't be read.
    unreadable: tuple[str, ...] = ()

    @property
    def unproved(self) -> bool:
        """Tell whether it reports a success without the engine's stamp."""
        if self.not_run or self.stamped:
            return False
        return self.status < _FIRST_ERROR

    @property
    def unconfirmed_rejection(self) -> bool:
        """Tell whether its status promises what the engine does not state."""
        return self.promises_not_run and not self.not_run


class HostSettings(msgspec.Struct, frozen=True):
    """Hold the settings that the platform gives a host."""

    host: str
    zone: str
    region: str
    regions_by_zone: Mapping[str, str]
    callers_listen: Address
    ready_listen: Address
    peer_listen: Address
    metrics_listen: Address
    store: Address
    max_descriptors: int
    memory_mb: int
    bounds: 'Bounds'
    # The whole fleet starts for the first time, so nothing was withdrawn yet.
    first_start: bool = False
    # Engines crash, rather than put requests back, beyond their memory.
    engine_memory_bound: bool = False


class Bounds(msgspec.Struct, frozen=True):
    """Hold the deployment's limits for decisions."""

    drain_s: float = 2.5
    # Time until a configuration is in force on every host.
    configuration_s: float = 2.5
    grace_s: float = 8.0
    heartbeat_s: float = 1.2
    stability_s: float = 4.0
    repeat_ratio: float = 0.9
    repeat_window_s: float = 10.0
    repeat_slack: float = 52.0
    exposure_share: float = 0.15
    exposure_slack: float = 30.0
    rollback_s: float = 5.0
    reuse_window_s: float = 7.0
    session_s: float = 5.0
    # A cold engine gets at most this multiple of its rate, and this many more
    # requests, in any second.
    cold_over: float = 1.5
    cold_slack: float = 5.0
    # Time until a zone that operators evacuate gets no more requests.
    evacuate_s: float = 5.0

    @property
    def shortest_s(self) -> float:
        """Return the time in which any change must be in force."""
        return min(self.drain_s, self.configuration_s, self.evacuate_s)
