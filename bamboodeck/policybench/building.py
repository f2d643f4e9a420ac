"""Build the configuration of a workload."""

from bamboodeck.configuration.model import (
    Configuration,
    Customer,
    Engine,
    Model,
    Preset,
    Provider,
    RequestClass,
    VersionState,
)
from bamboodeck.policybench.workload import (
    EngineSpec,
    VersionSpec,
    Workload,
)

SESSION_TTL_S = 3600.0
STALE_AFTER_S = 9.0


def build_configuration(workload: Workload, preset: Preset) -> Configuration:
    """Return the configuration with `preset` as its preset in force."""
    return Configuration(
        revision=1,
        change_id='experiment',
        changed_by='experiment',
        preset_in_force=preset.name,
        presets=(preset,),
        customers=tuple(build_customers(workload).values()),
        models=tuple(map(_build_model, workload.versions)),
        classes=tuple(build_classes(workload).values()),
        engines=tuple(
            engine
            for each in workload.engines
            for engine in _build_engines(each)
        ),
        services=(),
        providers=tuple(
            Provider(each.name, each.credits, each.expires_s)
            for each in workload.providers
        ),
        signing_keys=(),
        operators=(),
        session_ttl_s=SESSION_TTL_S,
        order_key_ttl_s=SESSION_TTL_S,
        stale_after_s=STALE_AFTER_S,
    )


def build_customers(workload: Workload) -> dict[str, Customer]:
    """Return the customers by name."""
    return {
        each.name: Customer(
            name=each.name,
            key_sha256=(),
            allowed_versions=each.versions,
            quality_target=each.quality_target,
            weight=each.weight,
            requests_per_s=workload.settings.requests_per_s,
            tokens_per_s=workload.settings.requests_per_s * 1000,
            move_sessions=True,
        )
        for each in workload.customers
    }


def build_classes(workload: Workload) -> dict[str, RequestClass]:
    """Return the request classes by name."""
    return {
        each.name: RequestClass(
            each.name,
            each.exposure_weight,
            each.deadline_s,
            each.input_tokens,
            each.output_tokens,
        )
        for each in workload.classes
    }


def _build_model(version: VersionSpec) -> Model:
    state = VersionState.STEADY
    if version.rollout_baseline:
        state = VersionState.ROLLOUT
    return Model(
        name=version.name,
        state=state,
        provider=version.provider,
        input_credits_per_mtoken=version.input_credits_per_mtoken,
        output_credits_per_mtoken=version.output_credits_per_mtoken,
        expected_quality=version.expected_quality,
        tokens_per_s=version.tokens_per_s,
        first_token_s=version.first_token_s,
        rollout_baseline=version.rollout_baseline,
        rollout_max_exposed_weight=version.rollout_max_exposed_weight,
    )


def _build_engines(spec: EngineSpec) -> list[Engine]:
    return [
        Engine(
            f'{spec.name}-{index}',
            f'{spec.name}-{index}',
            spec.region,
            spec.zone,
            spec.versions,
            spec.streams,
        )
        for index in range(spec.count)
    ]
