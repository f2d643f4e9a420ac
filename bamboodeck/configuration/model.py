"""Define the data model of the operators' configuration."""

import enum
from dataclasses import dataclass
from functools import cached_property

DEFAULT_FLOOR_GAP = 0.3


@enum.unique
class VersionState(enum.Enum):
    """Name the states of a model version.

    A steady one takes new work, one under roll-out limited work and a
    withdrawn one none.
    """

    STEADY = 'steady'
    ROLLOUT = 'rollout'
    WITHDRAWN = 'withdrawn'


@enum.unique
class Role(enum.Enum):
    """Name the permission levels of operators."""

    VIEWER = 'viewer'
    OPERATOR = 'operator'
    ADMINISTRATOR = 'administrator'


@dataclass(frozen=True)
class Model:
    """Describe a version of a model; its name is written `model@version`."""

    name: str
    state: VersionState
    provider: str
    input_credits_per_mtoken: float
    output_credits_per_mtoken: float
    expected_quality: float
    tokens_per_s: float
    first_token_s: float
    withdrawn_since_revision: int = 0
    rollout_baseline: str = ''
    rollout_max_exposed_weight: float = 0.0


@dataclass(frozen=True)
class RequestClass:
    """Describe a kind of request: its weight, size and deadline."""

    name: str
    exposure_weight: float
    deadline_s: float
    expected_input_tokens: int
    expected_output_tokens: int


@dataclass(frozen=True)
class Customer:
    """Describe a customer, its permissions, limits and quality target."""

    name: str
    key_sha256: tuple[str, ...]
    allowed_versions: tuple[str, ...]
    quality_target: float
    weight: float
    requests_per_s: float
    tokens_per_s: float
    move_sessions: bool = False
    max_body_bytes: int = 262_144


@dataclass(frozen=True)
class Service:
    """Describe a plain service and which of its methods are idempotent."""

    name: str
    addresses: tuple[str, ...]
    idempotent: tuple[str, ...]
    non_idempotent: tuple[str, ...]
    timeout_s: float
    price_credits: float = 0.0


@dataclass(frozen=True)
class Engine:
    """Describe a model engine and its location.

    `slots` is the number of versions that fit. With 0 slots the engine gets
    no load or unload orders and always serves `versions`.
    """

    name: str
    address: str
    region: str
    zone: str
    versions: tuple[str, ...]
    capacity_streams: int
    checks_fencing: bool = True
    slots: int = 0


@dataclass(frozen=True)
class PlacementBounds:
    """Limit the copies of a version in each zone; 0 is no upper limit.

    `weight_bytes` is the size of a load, charged to the weight store's rate.
    """

    version: str
    min_copies: int = 0
    max_copies: int = 0
    weight_bytes: float = 0.0


@dataclass(frozen=True)
class Provider:
    """Describe a provider's credits, which expire at a fixed time."""

    name: str
    credits: float
    expires_s: float


@dataclass(frozen=True)
class Preset:
    """Define the policy values of one mode of operation."""

    name: str
    confidence: float
    cascade: bool
    delay_credits_per_s: float
    region_credits_per_mb: float
    max_load: float
    retry_ratio: float
    max_attempts: int
    explore_share: float
    accept_rollouts: bool
    floor_gap: float = DEFAULT_FLOOR_GAP


@dataclass(frozen=True)
class SigningKey:
    """Define a key for session tokens; only the first one signs."""

    key_id: str
    secret_hex: str


@dataclass(frozen=True)
class Operator:
    """Describe an operator who may call the administration API."""

    name: str
    role: Role
    key_sha256: str


@dataclass(frozen=True)
class Configuration:
    """Define the whole configuration at one revision."""

    revision: int
    change_id: str
    changed_by: str
    preset_in_force: str
    presets: tuple[Preset, ...]
    customers: tuple[Customer, ...]
    models: tuple[Model, ...]
    classes: tuple[RequestClass, ...]
    engines: tuple[Engine, ...]
    services: tuple[Service, ...]
    providers: tuple[Provider, ...]
    signing_keys: tuple[SigningKey, ...]
    operators: tuple[Operator, ...]
    session_ttl_s: float
    order_key_ttl_s: float
    stale_after_s: float
    draining: tuple[str, ...] = ()
    placements: tuple[PlacementBounds, ...] = ()
    placement_high_load: float = 0.8
    placement_low_load: float = 0.5
    placement_hold_s: float = 600.0
    placement_store_bytes_per_s: float = 1e9

    @cached_property
    def preset(self) -> Preset:
        """Return the preset in force."""
        for preset in self.presets:
            if preset.name == self.preset_in_force:
                return preset
        raise LookupError(self.preset_in_force)

    @cached_property
    def models_by_name(self) -> dict[str, Model]:
        """Index the model versions."""
        return {model.name: model for model in self.models}

    @cached_property
    def customers_by_key(self) -> dict[str, Customer]:
        """Index the customers by the SHA-256 of their keys, in hex."""
        return {
            digest: customer
            for customer in self.customers
            for digest in customer.key_sha256
        }

    @cached_property
    def classes_by_name(self) -> dict[str, RequestClass]:
        """Index the request classes."""
        return {each.name: each for each in self.classes}

    @cached_property
    def services_by_name(self) -> dict[str, Service]:
        """Index the plain services."""
        return {service.name: service for service in self.services}

    @cached_property
    def placements_by_version(self) -> dict[str, PlacementBounds]:
        """Index the limits of the versions that are placed by demand."""
        return {each.version: each for each in self.placements}

    @cached_property
    def engines_by_name(self) -> dict[str, Engine]:
        """Index the model engines."""
        return {engine.name: engine for engine in self.engines}
