"""Compute how many copies of each version a zone needs."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from bamboodeck.configuration.model import (
    Configuration,
    Model,
    VersionState,
)
from bamboodeck.placement.state import EngineReport, VersionNeed

# Demand decays exponentially and never reaches 0.
MIN_STREAMS = 0.01
MIN_SESSIONS = 0.01
TOKENS_PER_MTOKEN = 1_000_000


@dataclass(frozen=True, slots=True)
class ZoneDemand:
    """Describe the demand for a version in a zone.

    `streams` is the mean number of concurrent answers, `sessions` the
    exponentially decayed number of requests in sessions.
    """

    streams: float = 0.0
    sessions: float = 0.0

    @property
    def used(self) -> bool:
        """Return whether there is demand for the version."""
        return self.streams >= MIN_STREAMS or self.sessions >= MIN_SESSIONS


NO_DEMAND = ZoneDemand()


def build_needs(
    configuration: Configuration,
    zone: str,
    demands: Mapping[str, ZoneDemand],
    engines: Iterable[EngineReport],
) -> tuple[VersionNeed, ...]:
    """Return the needs of a zone.

    A version without a need may be unloaded: one that has placement bounds
    and is either withdrawn and unused, or allowed for no customer.
    """
    engines = tuple(engines)
    held = {version for engine in engines for version in engine.loaded}
    builder = _NeedBuilder(configuration, zone, held, len(engines))
    needs = []
    for version in sorted(held | configuration.models_by_name.keys()):
        need = builder.build(version, demands.get(version, NO_DEMAND))
        if need is not None:
            needs.append(need)
    return tuple(needs)


class _NeedBuilder:
    """Compute the need of each version from the shared inputs."""

    def __init__(
        self,
        configuration: Configuration,
        zone: str,
        held: set[str],
        engine_count: int,
    ) -> None:
        self._configuration = configuration
        self._zone = zone
        self._held = held
        self._engine_count = engine_count
        self._allowed = {
            version
            for customer in configuration.customers
            for version in customer.allowed_versions
        }
        self._max_price = max(
            (_price_per_s(model) for model in configuration.models),
            default=0.0,
        )

    def build(self, version: str, demand: ZoneDemand) -> VersionNeed | None:
        bounds = self._configuration.placements_by_version.get(version)
        model = self._configuration.models_by_name.get(version)
        if bounds is None or model is None:
            # Without bounds the permitted number is unknown: keep all copies.
            return self._build_keep_only(version, self._engine_count)
        if model.state is VersionState.WITHDRAWN:
            return self._build_keep_only(version, 1) if demand.used else None
        if version not in self._allowed and not bounds.min_copies:
            return None
        return VersionNeed(
            self._zone,
            version,
            bounds.weight_bytes,
            demand.streams if demand.used else 0.0,
            sessions=int(demand.sessions >= MIN_SESSIONS),
            saved_credits_per_stream_s=self._max_price - _price_per_s(model),
            min_copies=max(bounds.min_copies, self._find_min_copies(model)),
            max_copies=bounds.max_copies,
        )

    def _find_min_copies(self, model: Model) -> int:
        """Keep a zone's last copy; give a version in roll-out its first."""
        if model.name in self._held:
            return 1
        preset = self._configuration.preset
        starts = model.state is VersionState.ROLLOUT and preset.accept_rollouts
        return int(starts)

    def _build_keep_only(self, version: str, copies: int) -> VersionNeed:
        return VersionNeed(
            self._zone,
            version,
            0.0,
            0.0,
            min_copies=copies,
            may_load=False,
        )


def _price_per_s(model: Model) -> float:
    """Return the credits per second that a stream of a version costs."""
    price = model.output_credits_per_mtoken / TOKENS_PER_MTOKEN
    return price * model.tokens_per_s
