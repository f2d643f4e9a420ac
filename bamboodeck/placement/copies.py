"""Index the copies of versions on engines."""

from collections import defaultdict

from bamboodeck.placement.state import (
    EngineReport,
    LoadVersion,
    PlacementState,
    UnloadVersion,
)


class CopyIndex:
    """Index the engines, loaded copies and pending orders."""

    def __init__(self, state: PlacementState) -> None:
        """Index the engine reports and pending orders of a state."""
        self.engines = {each.engine: each for each in state.engines}
        self._holders: defaultdict[tuple[str, str], list[EngineReport]]
        self._holders = defaultdict(list)
        self._engines_by_zone: defaultdict[str, list[EngineReport]]
        self._engines_by_zone = defaultdict(list)
        for engine in state.engines:
            if engine.leaving:
                continue
            self._engines_by_zone[engine.zone].append(engine)
            for version in engine.loaded:
                self._holders[engine.zone, version].append(engine)
        self._loading: defaultdict[str, set[str]] = defaultdict(set)
        self._loading_by_zone: defaultdict[str, set[str]] = defaultdict(set)
        self._unloading: set[tuple[str, str]] = set()
        for pending in state.pending:
            self.add_order(pending.order)

    def engines_in(self, zone: str) -> list[EngineReport]:
        """Return the engines of a zone that aren't leaving."""
        return self._engines_by_zone[zone]

    def add_order(self, order: LoadVersion | UnloadVersion) -> None:
        """Count an order as pending."""
        match order:
            case LoadVersion(engine=engine, version=version):
                self._loading[engine].add(version)
                report = self.engines.get(engine)
                if report is not None:
                    self._loading_by_zone[report.zone].add(engine)
            case UnloadVersion(engine=engine, version=version):
                self._unloading.add((engine, version))

    def retained_in_zone(self, version: str, zone: str) -> list[EngineReport]:
        """Return a zone's engines that have a version and no unload order.

        A copy with an unload order no longer counts, however old the order,
        as it may still take effect at any time.
        """
        return [
            engine
            for engine in self._holders.get((zone, version), ())
            if (engine.engine, version) not in self._unloading
        ]

    def retained_copies(self, version: str) -> list[EngineReport]:
        """Return all engines that have a version and no unload order."""
        return [
            engine
            for zone in self._engines_by_zone
            for engine in self.retained_in_zone(version, zone)
        ]

    def copies_in_zone(self, version: str, zone: str) -> list[EngineReport]:
        """Return a zone's engines that retain or are loading a version."""
        copies = self.retained_in_zone(version, zone)
        for name in self._loading_by_zone[zone]:
            engine = self.engines[name]
            if engine.leaving or version in engine.loaded:
                continue
            if version in self._loading[name]:
                copies.append(engine)
        return copies

    def free_slots(self, engine: EngineReport) -> int:
        """Return the number of slots without a loaded or loading version."""
        loading = self._loading.get(engine.engine)
        if not loading:
            return engine.slots - len(engine.loaded)
        return engine.slots - len(loading.union(engine.loaded))

    def count_unloading(self, zone: str) -> int:
        """Count the loaded copies of a zone that have an unload order."""
        return sum(
            engine.zone == zone and version in engine.loaded
            for name, version in self._unloading
            if (engine := self.engines.get(name)) is not None
        )

    def has_copy_or_order(self, engine: str, version: str) -> bool:
        """Return whether an engine has a version loaded or a pending order."""
        if version in self.engines[engine].loaded:
            return True
        if version in self._loading.get(engine, ()):
            return True
        return (engine, version) in self._unloading
