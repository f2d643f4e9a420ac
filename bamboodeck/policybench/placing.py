"""Simulate version placement while demand shifts between versions."""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, replace

from bamboodeck.configuration.model import Configuration, PlacementBounds
from bamboodeck.controller.placement_needs import ZoneDemand
from bamboodeck.entry.demand import VersionDemand
from bamboodeck.placement.state import (
    EngineReport,
    LoadVersion,
    PlacementOrder,
    UnloadVersion,
)
from bamboodeck.policybench import events
from bamboodeck.policybench.building import build_configuration
from bamboodeck.policybench.engine import Attempt
from bamboodeck.policybench.outcome import Outcome
from bamboodeck.policybench.placers import Placer, StoreBusy, build_placer
from bamboodeck.policybench.policies import Routed
from bamboodeck.policybench.scenario import Request, draw_requests
from bamboodeck.policybench.serving import Serving
from bamboodeck.policybench.simulation import Simulation
from bamboodeck.policybench.workload import CustomerSpec, Workload
from bamboodeck.routing.messages import RouteChosen

SLOTS_PER_ENGINE = 2
DEMAND_CYCLE_S = 3600.0  # a day, compressed to one hour
DEMAND_AMPLITUDE = 0.4
# (time in s, share of requests of `desk` that come from `desk-moved`, which
# uses the new version)
MIGRATION_STEPS = ((3600.0, 0.5), (4500.0, 1.0))
WEIGHT_BYTES = 2e10
STORE_BYTES_PER_S = 1e9
MAX_CONCURRENT_LOADS = 2
ENGINE_LOAD_S = 10.0
PLACEMENT_PERIOD_S = 5.0
PLACEMENT_HOLD_S = 120.0
ROUTING_POLICY = Routed(cascade=False, explore=False, safety=False)


@dataclass(frozen=True, slots=True)
class PlacementDue:
    """Trigger a placement round."""


@dataclass(frozen=True, slots=True)
class VersionLoaded:
    """Signal that an engine has finished loading a version."""

    order: LoadVersion


@dataclass(frozen=True)
class PlacementOutcome:
    """Store the results of one placement run."""

    placement: str
    loads: int
    unloads: int
    missed: int
    outcome: Outcome


class NodeTimers:
    """Provide the virtual time to a node's demand meter."""

    def __init__(self, clock: events.VirtualClock) -> None:
        """Use the clock of the run."""
        self._clock = clock

    def now_s(self) -> float:
        """Return the virtual time in seconds."""
        return self._clock.now_s

    def call_every(self, period_s: float, call) -> None:
        """Schedule nothing; the simulation polls the meter."""


class PlacementServing(Serving):
    """Retry requests whose engine has not loaded the version."""

    def __init__(self, *parts) -> None:
        """Start with the versions that the configuration lists as loaded."""
        super().__init__(*parts)
        self.missed = 0
        self.loaded = {
            name: set(engine.engine.versions)
            for name, engine in self.platform.engines.items()
        }

    def _dispatch(
        self,
        attempt: Attempt,
        decision: RouteChosen,
        excluded: frozenset[str],
    ) -> None:
        if decision.version in self.loaded[decision.engine]:
            super()._dispatch(attempt, decision, excluded)
            return
        self.missed += 1
        attempt.engine = decision.engine
        self._retry(attempt, excluded | {decision.engine})


class PlacementSimulation(Simulation):
    """Run placement rounds in addition to serving requests."""

    def __init__(self, workload: Workload, placement: str, seed: int) -> None:
        """Create the request generator, nodes, engines and placer."""
        super().__init__(workload, ROUTING_POLICY, seed)
        configuration = _build_configuration(workload)
        rng = random.Random(seed + 1)
        self.serving = PlacementServing(
            workload, configuration, ROUTING_POLICY, rng
        )
        self._clock = self.serving.clock
        self._requests = draw_shifting_requests(workload, seed)
        self.loads = 0
        self.unloads = 0
        self._zone = configuration.engines[0].zone
        self._placer: Placer = build_placer(
            placement, configuration, self._zone
        )
        self._store_free_s = 0.0
        self._loading: set[LoadVersion] = set()
        timers = NodeTimers(self._clock)
        self._meters = []
        for node in self.serving.nodes:
            meter = VersionDemand(None, timers, tuple)
            node.router.on_decided = meter.on_decided
            self._meters.append(meter)

    def build_reports(self) -> tuple[EngineReport, ...]:
        """Return the versions now loaded on each engine."""
        return tuple(
            EngineReport(
                name,
                self._zone,
                int(self._clock.now_s),
                SLOTS_PER_ENGINE,
                engine.engine.capacity_streams,
                tuple(sorted(self.serving.loaded[name])),
            )
            for name, engine in self.serving.platform.engines.items()
        )

    def _schedule_initial_events(self) -> None:
        super()._schedule_initial_events()
        self._clock.at(PLACEMENT_PERIOD_S, PlacementDue())

    def _handle(self, event: events.Event) -> None:
        match event:
            case PlacementDue():
                self._run_placement_round()
                self._clock.after(PLACEMENT_PERIOD_S, PlacementDue())
            case VersionLoaded(order):
                self._loading.discard(order)
                self.serving.loaded[order.engine].add(order.version)
            case events.LoadsReported():
                super()._handle(event)
                self._report_versions()
            case _:
                super()._handle(event)

    def _report_versions(self) -> None:
        for node in self.serving.nodes:
            for engine, versions in self.serving.loaded.items():
                node.router.on_versions_held(engine, frozenset(versions))

    def _run_placement_round(self) -> None:
        now_s = self._clock.now_s
        reports = self.build_reports()
        for order in self._placer.place(reports, self._sum_demand(), now_s):
            self._execute(order)

    def _sum_demand(self) -> dict[str, ZoneDemand]:
        demands: dict[str, ZoneDemand] = {}
        for meter in self._meters:
            for row in meter.rows():
                known = demands.get(row.version, ZoneDemand())
                demands[row.version] = ZoneDemand(
                    known.streams + row.streams,
                    known.sessions + row.sessions,
                )
        return demands

    def _execute(self, order: PlacementOrder) -> None:
        match order:
            case UnloadVersion(engine, version):
                self.unloads += 1
                self.serving.loaded[engine].discard(version)
            case LoadVersion():
                self._start_load(order)

    def _start_load(self, order: LoadVersion) -> None:
        now_s = self._clock.now_s
        if order in self._loading or self._is_full(order.engine):
            return
        if len(self._loading) >= MAX_CONCURRENT_LOADS:
            self._placer.on_store_busy(StoreBusy(order, self._store_free_s))
            return
        self.loads += 1
        self._loading.add(order)
        self._store_free_s = max(self._store_free_s, now_s)
        self._store_free_s += WEIGHT_BYTES / STORE_BYTES_PER_S
        self._clock.at(self._store_free_s + ENGINE_LOAD_S, VersionLoaded(order))

    def _is_full(self, engine: str) -> bool:
        loading = sum(each.engine == engine for each in self._loading)
        return len(self.serving.loaded[engine]) + loading >= SLOTS_PER_ENGINE


def run_placement(
    workload: Workload, placement: str, seed: int
) -> PlacementOutcome:
    """Run a placer on a workload and return the results."""
    run = PlacementSimulation(workload, placement, seed)
    tally = run.run()
    return PlacementOutcome(
        placement,
        run.loads,
        run.unloads,
        run.serving.missed,
        tally.finish(workload.name, placement, seed),
    )


def draw_shifting_requests(workload: Workload, seed: int) -> Iterator[Request]:
    """Draw requests of shifting demand, the same for all placers."""
    rng = random.Random(seed + 2)
    desk, moved, writers = workload.customers
    for request in draw_requests(workload, seed):
        share = 0.5 + DEMAND_AMPLITUDE * math.sin(
            2 * math.pi * request.at_s / DEMAND_CYCLE_S
        )
        customer = desk if rng.random() < share else writers
        if customer is desk and rng.random() < _migrated_share(request.at_s):
            customer = moved
        yield _assign_customer(request, customer)


def _assign_customer(request: Request, customer: CustomerSpec) -> Request:
    session = request.session and f'{customer.name}-{request.session}'
    return replace(request, customer=customer, session=session)


def _migrated_share(now_s: float) -> float:
    return max(
        (share for at_s, share in MIGRATION_STEPS if now_s >= at_s), default=0.0
    )


def _build_configuration(workload: Workload) -> Configuration:
    configuration = build_configuration(workload, workload.preset)
    return replace(
        configuration,
        engines=tuple(
            replace(engine, slots=SLOTS_PER_ENGINE)
            for engine in configuration.engines
        ),
        placements=tuple(
            PlacementBounds(model.name, weight_bytes=WEIGHT_BYTES)
            for model in configuration.models
        ),
        placement_hold_s=PLACEMENT_HOLD_S,
        placement_store_bytes_per_s=STORE_BYTES_PER_S,
    )
