"""Check that the sections of a configuration are consistent."""

from collections.abc import Iterable

from bamboodeck.configuration.model import (
    Configuration,
    Model,
    Role,
    Service,
    VersionState,
)
from bamboodeck.configuration.placement_checks import check_placement
from bamboodeck.configuration.schema import GENERAL, SCHEMAS
from bamboodeck.orders.keys import MAX_KEY_TTL_S
from bamboodeck.settings.reader import SettingsReader

MAX_SIGNING_KEYS = 8
OPTIONAL_SECTIONS = frozenset(
    ('customers', 'engines', 'services', 'placements')
)


def check_references(draft: Configuration, reader: SettingsReader) -> None:
    """Add a fault for each missing, unknown or conflicting value."""
    _check_presence(draft, reader)
    _check_general(draft, reader)
    _check_versions_in_use(draft, reader)
    _check_keys(draft, reader)
    _check_engine_addresses(draft, reader)
    check_placement(draft, reader)
    for model in draft.models:
        _check_model(draft, model, reader)
    for service in draft.services:
        _check_service(service, reader)


def _check_presence(draft: Configuration, reader: SettingsReader) -> None:
    for schema in SCHEMAS:
        optional = schema.attribute in OPTIONAL_SECTIONS
        if not (optional or getattr(draft, schema.attribute)):
            reader.add_fault(
                f'{schema.kind} NAME',
                '',
                'at least one such section is required',
            )
    administrators = [
        operator
        for operator in draft.operators
        if operator.role is Role.ADMINISTRATOR
    ]
    if draft.operators and not administrators:
        reader.add_fault(
            'operator NAME',
            'role',
            'no operator has the role administrator',
        )
    if len(draft.signing_keys) > MAX_SIGNING_KEYS:
        reader.add_fault(
            'key NAME', '', f'there are more than {MAX_SIGNING_KEYS} keys'
        )


def _check_general(draft: Configuration, reader: SettingsReader) -> None:
    presets = {preset.name for preset in draft.presets}
    _check_known(
        reader,
        (GENERAL, 'preset'),
        'preset',
        [draft.preset_in_force],
        presets,
    )
    if draft.order_key_ttl_s > MAX_KEY_TTL_S:
        reader.add_fault(
            GENERAL,
            'order_key_ttl_s',
            f'exceeds the maximum of {MAX_KEY_TTL_S:g} s',
        )
    engines = {engine.name for engine in draft.engines}
    _check_known(
        reader, (GENERAL, 'draining'), 'engine', draft.draining, engines
    )


def _check_versions_in_use(
    draft: Configuration,
    reader: SettingsReader,
) -> None:
    known = {model.name for model in draft.models}
    for customer in draft.customers:
        location = (f'customer {customer.name}', 'allowed_versions')
        _check_known(
            reader, location, 'version', customer.allowed_versions, known
        )
    for engine in draft.engines:
        location = (f'engine {engine.name}', 'versions')
        _check_known(reader, location, 'version', engine.versions, known)


def _check_keys(draft: Configuration, reader: SettingsReader) -> None:
    owners: dict[str, str] = {}
    key_owners = [
        (f'customer {customer.name}', digest)
        for customer in draft.customers
        for digest in customer.key_sha256
    ]
    key_owners.extend(
        (f'operator {operator.name}', operator.key_sha256)
        for operator in draft.operators
    )
    for section, digest in key_owners:
        owner = owners.setdefault(digest, section)
        if digest and owner != section:
            message = f'the key is already used by [{owner}]'
            reader.add_fault(section, 'key_sha256', message)


def _check_engine_addresses(
    draft: Configuration,
    reader: SettingsReader,
) -> None:
    owners: dict[str, str] = {}
    for engine in draft.engines:
        owner = owners.setdefault(engine.address, engine.name)
        if engine.address and owner != engine.name:
            message = f'{engine.address} is already used by engine "{owner}"'
            reader.add_fault(f'engine {engine.name}', 'address', message)


def _check_model(
    draft: Configuration,
    model: Model,
    reader: SettingsReader,
) -> None:
    section = f'model {model.name}'
    providers = {provider.name for provider in draft.providers}
    location = (section, 'provider')
    _check_known(reader, location, 'provider', [model.provider], providers)
    withdrawn = model.state is VersionState.WITHDRAWN
    if model.withdrawn_since_revision and not withdrawn:
        reader.add_fault(
            section,
            'withdrawn_since_revision',
            'only allowed in state withdrawn',
        )
    if model.state is VersionState.ROLLOUT:
        _check_rollout(draft, model, reader)


def _check_rollout(
    draft: Configuration,
    model: Model,
    reader: SettingsReader,
) -> None:
    section = f'model {model.name}'
    others = {each.name for each in draft.models if each is not model}
    # The baseline may be withdrawn: a roll-out must not block withdrawals.
    if model.rollout_baseline not in others:
        reader.add_fault(
            section,
            'rollout_baseline',
            f'"{model.rollout_baseline}" is not another version',
        )
    if model.rollout_max_exposed_weight <= 0:
        reader.add_fault(
            section,
            'rollout_max_exposed_weight',
            'must be greater than 0 for a version under roll-out',
        )


def _check_service(service: Service, reader: SettingsReader) -> None:
    section = f'service {service.name}'
    for method in service.idempotent:
        if method in service.non_idempotent:
            message = f'"{method}" is also in key "idempotent"'
            reader.add_fault(section, 'non_idempotent', message)
    if not (service.idempotent or service.non_idempotent):
        reader.add_fault(section, 'idempotent', 'the service has no method')


def _check_known(
    reader: SettingsReader,
    location: tuple[str, str],
    kind: str,
    names: Iterable[str],
    known: set[str],
) -> None:
    for name in names:
        if name and name not in known:
            reader.add_fault(*location, f'{kind} "{name}" does not exist')
