"""Define operators' changes and apply them to a configuration."""

from dataclasses import dataclass, replace
from typing import Any

from bamboodeck.configuration.checks import MAX_SIGNING_KEYS
from bamboodeck.configuration.model import (
    Configuration,
    Model,
    SigningKey,
    VersionState,
)
from bamboodeck.configuration.parsing import (
    ConfigurationDocument,
    parse_configuration,
)
from bamboodeck.configuration.rendering import render_configuration
from bamboodeck.errors import InputError

CHANGE_SOURCE = 'change'


class ChangeRefusedError(InputError):
    """Signal a change that the current configuration doesn't allow."""


@dataclass(frozen=True, slots=True)
class SetPreset:
    """Put a preset in force."""

    preset: str


@dataclass(frozen=True, slots=True)
class WithdrawVersion:
    """Withdraw a version, so that it gets no new work."""

    version: str


@dataclass(frozen=True, slots=True)
class SetVersionState:
    """Change a version's state; a roll-out has a baseline and a limit.

    `revive` allows a withdrawn version to return.
    """

    version: str
    state: VersionState
    baseline: str = ''
    max_exposed_weight: float = 0.0
    revive: bool = False


@dataclass(frozen=True, slots=True)
class DrainEngine:
    """Drain an engine, so that it gets no new work."""

    engine: str


@dataclass(frozen=True, slots=True)
class UndrainEngine:
    """Stop draining an engine, so that it gets work again."""

    engine: str


@dataclass(frozen=True, slots=True)
class RotateKey:
    """Add a new signing key in front of the existing ones."""

    key_id: str
    secret_hex: str


@dataclass(frozen=True, slots=True)
class ReplaceDocument:
    """Replace the whole document; `revive` lists versions to bring back.

    All other withdrawn versions must stay withdrawn in the new document.
    """

    text: str
    source: str = CHANGE_SOURCE
    revive: tuple[str, ...] = ()


ConfigurationChange = (
    SetPreset
    | WithdrawVersion
    | SetVersionState
    | DrainEngine
    | UndrainEngine
    | RotateKey
    | ReplaceDocument
)


def apply_change(
    current: Configuration | None,
    change: ConfigurationChange,
) -> ConfigurationDocument:
    """Return the document after a change; raise `InputError`."""
    if isinstance(change, ReplaceDocument):
        return _replace_document(current, change)
    if current is None:
        raise ChangeRefusedError('there is no configuration to change yet')
    text = render_configuration(_apply_edit(current, change))
    return parse_configuration(text, CHANGE_SOURCE)


def summarize_change(change: ConfigurationChange) -> str:
    """Describe a change in one line without secrets."""
    match change:
        case SetPreset(preset):
            return f'set preset {preset}'
        case WithdrawVersion(version):
            return f'withdraw version {version}'
        case SetVersionState(version, state):
            return f'set version {version} to {state.value}'
        case DrainEngine(engine):
            return f'drain engine {engine}'
        case UndrainEngine(engine):
            return f'undrain engine {engine}'
        case RotateKey(key_id):
            return f'rotate to signing key {key_id}'
        case ReplaceDocument(_, source):
            return f'apply {source}'


def commutes(
    change: ConfigurationChange,
    seen: Configuration | None,
    current: Configuration | None,
) -> bool:
    """Return whether a change may be applied after a concurrent one.

    It may if the part that it changes is as the operator saw it; a
    withdrawal always may.
    """
    if seen is None or current is None:
        return False
    match change:
        case WithdrawVersion():
            return True
        case SetVersionState(version):
            return _find_model(seen, version) == _find_model(current, version)
        case DrainEngine(engine) | UndrainEngine(engine):
            return (engine in seen.draining) == (engine in current.draining)
        case SetPreset():
            return seen.preset_in_force == current.preset_in_force
        case RotateKey():
            return seen.signing_keys == current.signing_keys
        case ReplaceDocument():
            return False


def _apply_edit(
    current: Configuration, change: ConfigurationChange
) -> Configuration:
    match change:
        case SetPreset(preset):
            return replace(current, preset_in_force=preset)
        case WithdrawVersion(version):
            return _withdraw(current, version)
        case SetVersionState():
            return _set_version_state(current, change)
        case DrainEngine(engine):
            _require_exists(engine in current.engines_by_name, 'engine', engine)
            others = _without(current.draining, engine)
            return replace(current, draining=(*others, engine))
        case UndrainEngine(engine):
            _require_exists(engine in current.engines_by_name, 'engine', engine)
            return replace(current, draining=_without(current.draining, engine))
        case RotateKey(key_id, secret_hex):
            return _rotate_key(current, SigningKey(key_id, secret_hex))
    raise TypeError(change)


def _withdraw(current: Configuration, version: str) -> Configuration:
    model = _find_model(current, version)
    if model.state is VersionState.WITHDRAWN:
        return current
    return _replace_model(current, _with_state(model, VersionState.WITHDRAWN))


def _set_version_state(
    current: Configuration, change: SetVersionState
) -> Configuration:
    model = _find_model(current, change.version)
    if change.state is VersionState.WITHDRAWN:
        return _withdraw(current, change.version)
    if model.state is VersionState.WITHDRAWN and not change.revive:
        raise ChangeRefusedError(_describe_withdrawal(model))
    if change.state is VersionState.ROLLOUT:
        _require_steady_baseline(current, change.baseline)
    return _replace_model(
        current,
        replace(
            _with_state(model, change.state),
            rollout_baseline=change.baseline,
            rollout_max_exposed_weight=change.max_exposed_weight,
        ),
    )


def _require_steady_baseline(current: Configuration, baseline: str) -> None:
    state = _find_model(current, baseline).state
    if state is not VersionState.STEADY:
        raise ChangeRefusedError(
            f'baseline "{baseline}" is in state {state.value}, not steady',
        )


def _replace_document(
    current: Configuration | None,
    change: ReplaceDocument,
) -> ConfigurationDocument:
    document = parse_configuration(change.text, change.source)
    if current is None:
        return document
    withdrawn = [
        model
        for model in current.models
        if model.state is VersionState.WITHDRAWN
    ]
    draft = document.draft
    for model in withdrawn:
        draft = _keep_withdrawn(draft, model, change.revive)
    if draft == document.draft:
        return document
    return parse_configuration(render_configuration(draft), change.source)


def _keep_withdrawn(
    draft: Configuration,
    withdrawn: Model,
    revive: tuple[str, ...],
) -> Configuration:
    new_model = draft.models_by_name.get(withdrawn.name)
    if new_model is None or new_model.state is not VersionState.WITHDRAWN:
        if withdrawn.name in revive:
            return draft
        raise ChangeRefusedError(
            f'{_describe_withdrawal(withdrawn)} and would not stay so',
        )
    since_revision = withdrawn.withdrawn_since_revision
    return _replace_model(
        draft,
        replace(new_model, withdrawn_since_revision=since_revision),
    )


def _rotate_key(current: Configuration, key: SigningKey) -> Configuration:
    for known in current.signing_keys:
        if known.key_id == key.key_id:
            raise ChangeRefusedError(f'signing key "{key.key_id}" exists')
    kept = current.signing_keys[: MAX_SIGNING_KEYS - 1]
    return replace(current, signing_keys=(key, *kept))


def _with_state(model: Model, state: VersionState) -> Model:
    return replace(
        model,
        state=state,
        withdrawn_since_revision=0,
        rollout_baseline='',
        rollout_max_exposed_weight=0.0,
    )


def _replace_model(current: Configuration, changed: Model) -> Configuration:
    models = tuple(
        changed if model.name == changed.name else model
        for model in current.models
    )
    return replace(current, models=models)


def _find_model(current: Configuration, version: str) -> Model:
    model = current.models_by_name.get(version)
    if model is None:
        raise ChangeRefusedError(f'version "{version}" does not exist')
    return model


def _require_exists(condition: Any, kind: str, name: str) -> None:
    if not condition:
        raise ChangeRefusedError(f'{kind} "{name}" does not exist')


def _without(names: tuple[str, ...], excluded: str) -> tuple[str, ...]:
    return tuple(name for name in names if name != excluded)


def _describe_withdrawal(model: Model) -> str:
    since_revision = model.withdrawn_since_revision
    return (
        f'version "{model.name}" is withdrawn since revision {since_revision}'
    )
