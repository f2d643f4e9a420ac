"""Select a bounded subset of engines for each version."""

import random
from collections.abc import Iterable, Iterator
from itertools import islice

import xxhash

from bamboodeck.configuration.model import Configuration, Engine
from bamboodeck.routing.tracked_engine import TrackedEngine

ZONE_TIER = 0
REGION_TIER = 1
GLOBAL_TIER = 2
TIERS = (ZONE_TIER, REGION_TIER, GLOBAL_TIER)
SUBSET_SIZES = (24, 12, 12)

Subset = tuple[TrackedEngine, ...]
Subsets = tuple[Subset, ...]
_Tiers = list[list[TrackedEngine]]


class Fleet:
    """Index the engines by version and by distance from this node."""

    def __init__(self, region: str, zone: str, rng: random.Random) -> None:
        """Draw the salt with which each node ranks the engines differently."""
        self._region = region
        self._zone = zone
        self._salt = rng.getrandbits(32)
        self._engines: dict[str, TrackedEngine] = {}
        self._draining: frozenset[str] = frozenset()
        self._ranked: dict[str, Subsets] = {}
        self._subsets: dict[str, Subsets] = {}

    def apply_configuration(self, configuration: Configuration) -> None:
        """Replace the engines, keeping the state of those that stay."""
        previous = self._engines
        self._engines = {}
        for engine in sorted(configuration.engines, key=self._rank):
            tracked = TrackedEngine(
                engine, self._tier(engine.region, engine.zone)
            )
            known = previous.get(engine.name)
            if known is not None:
                tracked.adopt(known)
            self._engines[engine.name] = tracked
        self._draining = frozenset(configuration.draining)
        self._rank_engines()

    def set_versions(
        self, tracked: TrackedEngine, versions: frozenset[str]
    ) -> None:
        """Set an engine's versions, unless its placement isn't managed."""
        if not tracked.engine.slots or versions == set(tracked.versions):
            return
        tracked.versions = tuple(sorted(versions))
        self._rank_engines()

    def engines(self) -> Subset:
        """Return all engines."""
        return tuple(self._engines.values())

    def find(self, engine: str) -> TrackedEngine | None:
        """Return an engine by name, or nothing if it isn't configured."""
        return self._engines.get(engine)

    def subsets(self, version: str, now_s: float) -> Subsets:
        """Return the usable engines of a version by tier, nearest first."""
        found = self._subsets.get(version)
        if found is not None:
            return found
        ranked = self._ranked.get(version, ())
        found = tuple(
            tuple(islice(_usable(engines, now_s), size))
            for engines, size in zip(ranked, SUBSET_SIZES, strict=False)
        )
        self._subsets[version] = found
        return found

    def invalidate_subsets(self, tracked: TrackedEngine) -> None:
        """Drop the cached subsets of an engine's versions."""
        for version in tracked.versions:
            self._subsets.pop(version, None)

    def _rank_engines(self) -> None:
        self._ranked = _rank_by_version(self._engines.values(), self._draining)
        self._subsets.clear()

    def _rank(self, engine: Engine) -> int:
        return xxhash.xxh32_intdigest(engine.name.encode(), self._salt)

    def _tier(self, region: str, zone: str) -> int:
        if (region, zone) == (self._region, self._zone):
            return ZONE_TIER
        return REGION_TIER if region == self._region else GLOBAL_TIER


def _rank_by_version(
    engines: Iterable[TrackedEngine],
    draining: frozenset[str],
) -> dict[str, Subsets]:
    tiers: dict[str, _Tiers] = {}
    for tracked in engines:
        if tracked.engine.name in draining:
            continue
        for version in tracked.versions:
            by_tier = tiers.setdefault(version, [[] for _ in TIERS])
            by_tier[tracked.tier].append(tracked)
    return {name: tuple(map(tuple, each)) for name, each in tiers.items()}


def _usable(ranked: Subset, now_s: float) -> Iterator[TrackedEngine]:
    for tracked in ranked:
        if tracked.usable(now_s):
            yield tracked
