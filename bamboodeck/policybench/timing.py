"""Measure how long a router takes to decide among many engines."""

import random
import timeit
from dataclasses import dataclass, replace
from statistics import median

from bamboodeck.configuration.model import Configuration
from bamboodeck.policybench.building import build_configuration
from bamboodeck.policybench.outcome import percentile
from bamboodeck.policybench.workload import Workload
from bamboodeck.quality.messages import Rating
from bamboodeck.routing.messages import EngineLoad, RouteRequest
from bamboodeck.routing.router import Router

WARM_UP_RATINGS = 60
PREFIXES = 500
MICROSECONDS_PER_S = 1_000_000
_SEED = 7
_NOW_S = 2.0


@dataclass(frozen=True)
class DecisionTime:
    """Store the measured decision times."""

    engines_per_zone: int
    zones: int
    allowed_versions: int
    decisions: int
    rated_between: bool
    median_us: float
    p99_us: float


def time_decisions(
    workload: Workload,
    engines_per_zone: int,
    zones: int,
    decisions: int,
    *,
    rated_between: bool,
) -> DecisionTime:
    """Time decisions for the first customer and all classes of a workload."""
    configuration = _replicate_engines(workload, engines_per_zone, zones)
    first = configuration.engines[0]
    rng = random.Random(_SEED)
    router = Router(configuration, first.region, first.zone, rng)
    for engine in configuration.engines[:engines_per_zone]:
        running = rng.randrange(engine.capacity_streams)
        router.on_load_report(EngineLoad(engine.name, running, 0, 1))
    _record_ratings(router, configuration, rng, WARM_UP_RATINGS)
    times_us = []
    for number in range(decisions):
        if rated_between:
            _record_ratings(router, configuration, rng, 1)
        request = _build_request(configuration, number)
        started_s = timeit.default_timer()
        router.decide(request, _NOW_S)
        elapsed_s = timeit.default_timer() - started_s
        times_us.append(elapsed_s * MICROSECONDS_PER_S)
    return DecisionTime(
        engines_per_zone,
        zones,
        len(configuration.customers[0].allowed_versions),
        decisions,
        rated_between,
        median(times_us),
        percentile(times_us, 0.99),
    )


def _replicate_engines(
    workload: Workload,
    engines_per_zone: int,
    zones: int,
) -> Configuration:
    configuration = build_configuration(workload, workload.preset)
    template = configuration.engines[0]
    engines = tuple(
        replace(
            template,
            name=f'zone-{zone}-engine-{number}',
            region=f'region-{zone % 9}',
            zone=f'zone-{zone}',
        )
        for zone in range(zones)
        for number in range(engines_per_zone)
    )
    return replace(configuration, engines=engines)


def _record_ratings(
    router: Router,
    configuration: Configuration,
    rng: random.Random,
    count: int,
) -> None:
    customer = configuration.customers[0]
    for version in customer.allowed_versions:
        model = configuration.models_by_name[version]
        for _ in range(count):
            request_class = rng.choice(configuration.classes)
            score = min(rng.gauss(model.expected_quality, 0.1), 1)
            router.quality.record(
                Rating(
                    version,
                    customer.name,
                    request_class.name,
                    score,
                    'r',
                ),
            )


def _build_request(configuration: Configuration, number: int) -> RouteRequest:
    request_class = configuration.classes[number % len(configuration.classes)]
    return RouteRequest(
        request_id=f'r{number}',
        customer=configuration.customers[0],
        request_class=request_class,
        session_version=None,
        requested_model=None,
        prompt_tokens=request_class.expected_input_tokens,
        prefix_hash=number % PREFIXES,
        stream=False,
        deadline_s=request_class.deadline_s,
    )
