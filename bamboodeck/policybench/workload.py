"""Define the workload of an experiment."""

from dataclasses import dataclass, field

from bamboodeck.configuration.model import Preset

FOREVER_S = 1e12


def _bounded(low: float, high: float, default=None):
    metadata = {'low': low, 'high': high}
    if default is None:
        return field(metadata=metadata)
    return field(default=default, metadata=metadata)


@dataclass(frozen=True)
class Settings:
    """Set the size of a run and the behaviour of the platform."""

    duration_s: float = _bounded(1, 1e7)
    requests_per_s: float = _bounded(1e-3, 1e5)
    nodes_per_zone: int = _bounded(1, 100, 2)
    prefixes: int = _bounded(1, 1e6, 200)
    session_share: float = _bounded(0, 1, 0.2)
    session_s: float = _bounded(1, 1e6, 300)
    difficulty_share: float = _bounded(0, 1, 0.5)
    score_spread: float = _bounded(0.01, 10, 1.5)
    rating_delay_s: float = _bounded(0, 600, 0.4)
    rating_noise: float = _bounded(0, 1, 0.03)
    rated_share: float = _bounded(0, 1, 1)
    relay_period_s: float = _bounded(0.1, 3600, 30)
    load_period_s: float = _bounded(0.1, 60, 1)
    load_lag_s: float = _bounded(0, 60, 0.5)
    cache_lag_s: float = _bounded(0, 60, 1)
    cache_gap_share: float = _bounded(0, 1, 0.05)
    cached_prefixes: int = _bounded(1, 1e5, 60)


@dataclass(frozen=True)
class CustomerSpec:
    """Describe a customer and its share of the requests."""

    name: str
    share: float = _bounded(0, 1e6)
    quality_target: float = _bounded(0, 1)
    versions: tuple[str, ...] = ()
    weight: float = _bounded(0, 1e6, 1)
    quality_offset: float = _bounded(-1, 1, 0)


@dataclass(frozen=True)
class ClassSpec:
    """Describe a request class; token counts are means."""

    name: str
    share: float = _bounded(0, 1e6)
    deadline_s: float = _bounded(0.1, 1e5)
    input_tokens: int = _bounded(1, 1e6)
    output_tokens: int = _bounded(1, 1e6)
    exposure_weight: float = _bounded(0, 1e6, 1)
    stream_share: float = _bounded(0, 1, 0)


@dataclass(frozen=True)
class VersionSpec:
    """Describe a version; `quality` holds its true mean score by class."""

    name: str
    provider: str
    input_credits_per_mtoken: float = _bounded(0, 1e6)
    output_credits_per_mtoken: float = _bounded(0, 1e6)
    tokens_per_s: float = _bounded(0.1, 1e5)
    first_token_s: float = _bounded(0, 100)
    expected_quality: float = _bounded(0, 1)
    quality: dict[str, float] = _bounded(0, 1)
    rollout_baseline: str = ''
    rollout_max_exposed_weight: float = _bounded(0, 1e9, 0)


@dataclass(frozen=True)
class EngineSpec:
    """Describe identical engines in one zone."""

    name: str
    region: str
    zone: str
    versions: tuple[str, ...]
    count: int = _bounded(1, 20_000)
    streams: int = _bounded(1, 10_000)


@dataclass(frozen=True)
class ProviderSpec:
    """Describe a provider's initial credits and when they expire."""

    name: str
    credits: float = _bounded(0, 1e12)
    expires_s: float = _bounded(0, 1e12)


@dataclass(frozen=True)
class VersionBad:
    """Override the mean score of a version."""

    version: str
    quality: float = _bounded(0, 1)
    at_s: float = _bounded(0, 1e12)
    until_s: float = _bounded(0, 1e12, FOREVER_S)


@dataclass(frozen=True)
class EnginesLost:
    """Take down engines of a zone; their attempts fail."""

    zone: str
    count: int = _bounded(1, 20_000)
    at_s: float = _bounded(0, 1e12)
    until_s: float = _bounded(0, 1e12, FOREVER_S)


@dataclass(frozen=True)
class RatingOut:
    """Take down the rating service."""

    at_s: float = _bounded(0, 1e12)
    until_s: float = _bounded(0, 1e12, FOREVER_S)


@dataclass(frozen=True)
class RatingBias:
    """Add a bias to all ratings."""

    bias: float = _bounded(-1, 1)
    at_s: float = _bounded(0, 1e12)
    until_s: float = _bounded(0, 1e12, FOREVER_S)


@dataclass(frozen=True)
class ZoneCut:
    """Cut a zone off from the others and from the platform."""

    zone: str
    at_s: float = _bounded(0, 1e12)
    until_s: float = _bounded(0, 1e12, FOREVER_S)


@dataclass(frozen=True)
class LoadStep:
    """Multiply the arrival rate."""

    factor: float = _bounded(0, 1000)
    at_s: float = _bounded(0, 1e12)
    until_s: float = _bounded(0, 1e12, FOREVER_S)


Fault = VersionBad | EnginesLost | RatingOut | RatingBias | ZoneCut | LoadStep


@dataclass(frozen=True)
class Workload:
    """Describe an experiment, apart from policy and seed."""

    name: str
    settings: Settings
    preset: Preset
    customers: tuple[CustomerSpec, ...]
    classes: tuple[ClassSpec, ...]
    versions: tuple[VersionSpec, ...]
    engines: tuple[EngineSpec, ...]
    providers: tuple[ProviderSpec, ...]
    faults: tuple[Fault, ...]
