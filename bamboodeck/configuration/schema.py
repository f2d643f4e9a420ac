"""Define the sections and keys of the operators' configuration."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from bamboodeck.configuration import codecs, model

GENERAL = 'general'
_CREDITS = codecs.number(0, 1e12)
_SECONDS = codecs.number(0.001, 1e6)
_SHARE = codecs.number(0, 1)
_COUNT = codecs.integer(1, 1_000_000)
_RATE = codecs.number(0, 1e9)
_LOAD = codecs.number(0.01, 1)
_COPIES = codecs.integer(0, 100_000)


@dataclass(frozen=True)
class Field:
    """Describe a key; it is required if its default is None."""

    key: str
    codec: codecs.Codec
    default: Any = None
    attribute: str = ''

    @property
    def target(self) -> str:
        """Return the name of the attribute that holds the value."""
        return self.attribute or self.key


@dataclass(frozen=True)
class Schema:
    """Describe a kind of section, written `[kind NAME]`."""

    kind: str
    attribute: str
    build: Callable[..., Any]
    fields: tuple[Field, ...]
    read_name: Callable[[str], str] = codecs.read_name
    name_attribute: str = 'name'


GENERAL_FIELDS = (
    Field('preset', codecs.NAME, attribute='preset_in_force'),
    Field('session_ttl_s', _SECONDS, 86_400.0),
    Field('order_key_ttl_s', _SECONDS, 86_400.0),
    Field('stale_after_s', _SECONDS, 30.0),
    Field('draining', codecs.NAMES, ()),
    Field('placement_high_load', _LOAD, 0.8),
    Field('placement_low_load', _LOAD, 0.5),
    Field('placement_hold_s', _SECONDS, 600.0),
    Field('placement_store_bytes_per_s', codecs.number(1, 1e15), 1e9),
)

PRESET = Schema(
    'preset',
    'presets',
    model.Preset,
    (
        Field('confidence', codecs.number(0.5, 0.9999)),
        Field('cascade', codecs.BOOLEAN),
        Field('delay_credits_per_s', _CREDITS),
        Field('region_credits_per_mb', _CREDITS),
        Field('max_load', codecs.number(0.01, 2)),
        Field('retry_ratio', _SHARE),
        Field('max_attempts', codecs.integer(1, 10)),
        Field('explore_share', _SHARE),
        Field('accept_rollouts', codecs.BOOLEAN),
        Field('floor_gap', _SHARE, model.DEFAULT_FLOOR_GAP),
    ),
)

PROVIDER = Schema(
    'provider',
    'providers',
    model.Provider,
    (
        Field('credits', _CREDITS),
        Field('expires', codecs.TIME, attribute='expires_s'),
    ),
)

MODEL = Schema(
    'model',
    'models',
    model.Model,
    (
        Field('state', codecs.choice(model.VersionState)),
        Field('provider', codecs.NAME),
        Field('input_credits_per_mtoken', _CREDITS),
        Field('output_credits_per_mtoken', _CREDITS),
        Field('expected_quality', _SHARE),
        Field('tokens_per_s', codecs.number(0.1, 1e6)),
        Field('first_token_s', _SECONDS),
        Field('withdrawn_since_revision', codecs.integer(0, 2**63 - 1), 0),
        Field('rollout_baseline', codecs.VERSION, ''),
        Field('rollout_max_exposed_weight', _RATE, 0.0),
    ),
    read_name=codecs.read_version,
)

REQUEST_CLASS = Schema(
    'class',
    'classes',
    model.RequestClass,
    (
        Field('exposure_weight', _RATE),
        Field('deadline_s', _SECONDS),
        Field('expected_input_tokens', _COUNT),
        Field('expected_output_tokens', _COUNT),
    ),
)

CUSTOMER = Schema(
    'customer',
    'customers',
    model.Customer,
    (
        Field('key_sha256', codecs.DIGESTS),
        Field('allowed_versions', codecs.VERSIONS),
        Field('quality_target', _SHARE),
        Field('weight', codecs.number(0.001, 1e6)),
        Field('requests_per_s', _RATE),
        Field('tokens_per_s', _RATE),
        Field('move_sessions', codecs.BOOLEAN, default=False),
        Field('max_body_bytes', codecs.integer(1024, 16_777_216), 262_144),
    ),
)

ENGINE = Schema(
    'engine',
    'engines',
    model.Engine,
    (
        Field('address', codecs.ADDRESS),
        Field('region', codecs.TEXT),
        Field('zone', codecs.TEXT),
        Field('versions', codecs.VERSIONS),
        Field('capacity_streams', _COUNT),
        Field('checks_fencing', codecs.BOOLEAN, default=True),
        Field('slots', codecs.integer(0, 1000), 0),
    ),
)

PLACEMENT = Schema(
    'placement',
    'placements',
    model.PlacementBounds,
    (
        Field('min_copies', _COPIES, 0),
        Field('max_copies', _COPIES, 0),
        Field('weight_bytes', codecs.number(0, 1e15), 0.0),
    ),
    read_name=codecs.read_version,
    name_attribute='version',
)

SERVICE = Schema(
    'service',
    'services',
    model.Service,
    (
        Field('addresses', codecs.ADDRESSES),
        Field('idempotent', codecs.NAMES, ()),
        Field('non_idempotent', codecs.NAMES, ()),
        Field('timeout_s', _SECONDS),
        Field('price_credits', _CREDITS, 0.0),
    ),
)

SIGNING_KEY = Schema(
    'key',
    'signing_keys',
    model.SigningKey,
    (Field('secret_hex', codecs.SECRET),),
    name_attribute='key_id',
)

OPERATOR = Schema(
    'operator',
    'operators',
    model.Operator,
    (
        Field('role', codecs.choice(model.Role)),
        Field('key_sha256', codecs.DIGEST),
    ),
)

SCHEMAS = (
    PRESET,
    PROVIDER,
    MODEL,
    REQUEST_CLASS,
    CUSTOMER,
    ENGINE,
    PLACEMENT,
    SERVICE,
    SIGNING_KEY,
    OPERATOR,
)
