"""Decode and encode the documents in the platform's store."""

from typing import Annotated, Any

import msgspec

from bamboodeck.errors import InputError
from bamboodeck.gateway.model import (
    AllowedRegions,
    BatchLimits,
    Customer,
    EngineEntry,
    EngineState,
    GatewayConfiguration,
    ModelPrice,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    Route,
    RouteKind,
    Service,
    WeightedService,
)
from bamboodeck.http.messages import AddressError, parse_address
from bamboodeck.http.relay_server import CallerLimits
from bamboodeck.platform.host_settings import MILLISECONDS_PER_S


# Hosts send these numbers to each other, in up to 64 bits.
_MAX_COUNT = 2**53
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
# More than any engine runs at once; a host would send it all that comes.
_MAX_SLOTS = 100_000
_Slots = Annotated[int, msgspec.Meta(le=_MAX_SLOTS)]


class DocumentError(InputError):
    """Report a malformed document."""


class _Wire(msgspec.Struct, frozen=True):
    """Decode a document and ignore unknown fields."""


class _WireBackend(_Wire, frozen=True):
    service: str
    weight: float = 1.0


class _WireRoute(_Wire, frozen=True):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    max_attempts: int = 1
    # Up to the first event of a stream; otherwise up to the full response.
    target_latency_ms: float = 0.0
    priority: int = 5
    service: str | None = None
    # The services between which requests are distributed by weight.
    backends: tuple[_WireBackend, ...] = ()
    # Requests need no API key.
    public: bool = False
    stream_resume: bool = False
    # The models from which the gateway may choose, smallest first.
    sizes: tuple[str, ...] = ()
    gap_aim_ms: float = 0.0
    # Empty for any region. A list that can't be read makes the whole document
    # unreadable, so that no request runs in more regions than meant.
    allowed_regions: tuple[str, ...] = ()


class _WireModel(_Wire, frozen=True):
    name: str
    cost: float = 0.0


class _WireEngineLimits(_Wire, frozen=True):
    slots: int = 1
    kv_capacity_tokens: int = 0
    models: tuple[_WireModel, ...] = ()


class _WireService(_Wire, frozen=True):
    name: str
    # Counts the connections of all hosts to one engine.
    max_connections: int = 64
    engine: _WireEngineLimits | None = None
    cold_per_s: float = 0.0
    cold_start_s: float = 0.0


class _WireLimits(_Wire, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 10_000
    idle_timeout_ms: float = 60_000


class _WireTenant(_Wire, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    allowed_regions: tuple[str, ...] = ()


class _WireConfiguration(_Wire, frozen=True):
    version: int
    routes: tuple[_WireRoute, ...]
    services: tuple[_WireService, ...] = ()
    limits: _WireLimits = _WireLimits()
    tenants: tuple[_WireTenant, ...] | None = None


class _WireEngine(_Wire, frozen=True):
    service: str
    address: str
    zone: str
    # The version of the engine's software, which a roll-out changes.
    version: str
    state: str
    slots: _Slots = 1
    # Counts the orders accepted since the engine started.
    sequence: _Count = 0
    # When the engine started, in Unix milliseconds.
    born: _Count = 0
    cold_remaining_ms: float = 0.0


class _WireRollout(_Wire, frozen=True):
    service: str
    target: str
    duration_s: float


class _WireStatus(_Wire, frozen=True):
    target: str
    state: str


def decode_configuration(content: bytes) -> GatewayConfiguration:
    """Decode a configuration; raise `DocumentError` if it is malformed."""
    wire = decode_document(content, _WireConfiguration)
    customers = None
    if wire.tenants is not None:
        customers = {
            key: Customer(
                tenant.name,
                tenant.priority,
                _build_regions(tenant.allowed_regions),
            )
            for tenant in wire.tenants
            for key in tenant.api_keys
        }
    return GatewayConfiguration(
        version=wire.version,
        routes=tuple(_build_route(route) for route in wire.routes),
        services={
            service.name: _build_service(service) for service in wire.services
        },
        limits=CallerLimits(
            wire.limits.max_header_bytes,
            wire.limits.max_body_bytes,
            wire.limits.header_timeout_ms / MILLISECONDS_PER_S,
            wire.limits.idle_timeout_ms / MILLISECONDS_PER_S,
        ),
        customers_by_key=customers,
    )


def decode_engine(engine_id: str, content: bytes) -> EngineEntry:
    """Decode an engine's entry; raise `DocumentError` if it is malformed."""
    wire = decode_document(content, _WireEngine)
    try:
        state = EngineState(wire.state)
    except ValueError:
        raise DocumentError(f'state "{wire.state}" is unknown')
    try:
        address = parse_address(wire.address)
    except AddressError as error:
        raise DocumentError(str(error))
    return EngineEntry(
        engine_id=engine_id,
        service=wire.service,
        address=address,
        zone=wire.zone,
        version=wire.version,
        slots=max(wire.slots, 1),
        state=state,
        sequence=wire.sequence,
        started_unix_ms=wire.born,
        cold_s=wire.cold_remaining_ms / MILLISECONDS_PER_S,
    )


def decode_rollout(content: bytes) -> RolloutOrder:
    """Decode a roll-out order; raise `DocumentError` if it is malformed."""
    wire = decode_document(content, _WireRollout)
    return RolloutOrder(wire.service, wire.target, wire.duration_s)


def decode_status(content: bytes) -> RolloutStatus:
    """Decode a roll-out status; raise `DocumentError` if it is malformed."""
    wire = decode_document(content, _WireStatus)
    try:
        return RolloutStatus(wire.target, RolloutState(wire.state))
    except ValueError:
        raise DocumentError(f'state "{wire.state}" is unknown')


def encode_status(status: RolloutStatus) -> bytes:
    """Encode the status of a roll-out."""
    return msgspec.json.encode(_WireStatus(status.version, status.state.value))


def decode_document(content: bytes, wire_type: type) -> Any:
    """Decode a JSON document; raise `DocumentError` if it is malformed."""
    try:
        return msgspec.json.decode(content, type=wire_type)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise DocumentError(str(error))
    except RecursionError:
        raise DocumentError('nested too deeply')


def _build_route(wire: _WireRoute) -> Route:
    kind = _parse_kind(wire)
    services = tuple(
        WeightedService(each.service, each.weight) for each in wire.backends
    )
    if wire.service is not None and not services:
        services = (WeightedService(wire.service, 1.0),)
    return Route(
        name=wire.name,
        host=wire.host.lower(),
        prefix=wire.prefix,
        kind=kind,
        services=services,
        timeout_s=wire.timeout_ms / MILLISECONDS_PER_S,
        target_latency_s=wire.target_latency_ms / MILLISECONDS_PER_S,
        max_attempts=max(wire.max_attempts, 1),
        priority=wire.priority,
        public=wire.public,
        resumable=wire.stream_resume,
        models=wire.sizes,
        max_gap_s=wire.gap_aim_ms / MILLISECONDS_PER_S,
        allowed_regions=_build_regions(wire.allowed_regions),
    )


def _build_regions(names: tuple[str, ...]) -> AllowedRegions:
    return frozenset(names) if names else None


def _parse_kind(wire: _WireRoute) -> RouteKind:
    match wire.kind:
        case 'safe':
            return RouteKind.SAFE
        case 'unsafe':
            return RouteKind.UNSAFE
        case 'streaming':
            return RouteKind.STREAM
    raise DocumentError(f'route {wire.name}: kind "{wire.kind}" is unknown')


def _build_service(wire: _WireService) -> Service:
    batch = None
    if wire.engine is not None:
        batch = BatchLimits(
            wire.engine.slots,
            wire.engine.kv_capacity_tokens,
            tuple(
                ModelPrice(model.name, model.cost)
                for model in wire.engine.models
            ),
        )
    return Service(
        wire.name,
        wire.max_connections,
        batch,
        wire.cold_per_s,
        wire.cold_start_s,
    )
