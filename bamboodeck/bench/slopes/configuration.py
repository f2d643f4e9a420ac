"""Measure what a change of the configuration costs."""

import functools
import random

from bamboodeck.bench.slopes import samples
from bamboodeck.bench.slopes.plan import (
    BYTES,
    MICROSECONDS,
    CountedPlan,
    MemoryPlan,
    Plan,
    Subject,
    TimedPlan,
    Work,
)
from bamboodeck.bench.slopes.wire import build_frame
from bamboodeck.configuration.records import read_configuration
from bamboodeck.configuration.replica import ConfigurationReplica
from bamboodeck.invariants import Invariants
from bamboodeck.peers.messages import ConfigurationNews
from bamboodeck.routing.router import Router

ENGINE_COUNTS = (30, 120, 240, 480)
FLEET_COUNTS = (1000, 3000, 6000, 12_000)
CUSTOMER_COUNTS = (10, 50, 100, 200)
ENGINES = 'engines'
CUSTOMERS = 'customers'


def build_plans() -> tuple[Plan, ...]:
    """Return what is measured of the configuration."""
    return (*_plan_bytes(), *_plan_times())


def _plan_bytes() -> tuple[Plan, ...]:
    return (
        CountedPlan(
            Subject(
                'configuration_bytes',
                'size of the stored document',
                ENGINES,
                BYTES,
            ),
            ENGINE_COUNTS,
            lambda engines: len(samples.build_body(engines)),
        ),
        CountedPlan(
            Subject(
                'configuration_bytes_by_customers',
                'size of the stored document',
                CUSTOMERS,
                BYTES,
            ),
            CUSTOMER_COUNTS,
            lambda customers: len(samples.build_body(10, customers)),
        ),
        CountedPlan(
            Subject(
                'configuration_news_bytes',
                'frame that carries the document to a peer',
                ENGINES,
                BYTES,
            ),
            ENGINE_COUNTS,
            _count_news_bytes,
        ),
        MemoryPlan(
            Subject(
                'configuration_memory',
                'document, parsed configuration and router',
                ENGINES,
                BYTES,
            ),
            ENGINE_COUNTS,
            _build_kept,
        ),
    )


def _plan_times() -> tuple[Plan, ...]:
    return (
        TimedPlan(
            Subject(
                'configuration_offer',
                'parse, check and accept a document',
                ENGINES,
                MICROSECONDS,
            ),
            ENGINE_COUNTS,
            _prepare_offer,
        ),
        TimedPlan(
            Subject(
                'configuration_apply',
                'put a configuration in force in the router',
                ENGINES,
                MICROSECONDS,
            ),
            ENGINE_COUNTS,
            _prepare_apply,
        ),
        TimedPlan(
            Subject(
                'configuration_apply_fleet',
                'put the configuration of a large fleet in force',
                ENGINES,
                MICROSECONDS,
            ),
            FLEET_COUNTS,
            _prepare_apply,
        ),
    )


def _count_news_bytes(engines: int) -> int:
    body = samples.build_body(engines)
    return len(build_frame(ConfigurationNews(samples.REVISION, body)))


def _prepare_offer(engines: int) -> Work:
    replica = ConfigurationReplica(Invariants(None, raising=True), 0)
    body = samples.build_body(engines)
    return functools.partial(samples.put_in_force, replica, body)


def _prepare_apply(engines: int) -> Work:
    configuration = samples.build_configuration(engines)
    router = _build_router(configuration)
    return functools.partial(router.apply_configuration, configuration)


def _build_kept(engines: int) -> object:
    # A copy, as the sample itself may be built already.
    body = bytes(bytearray(samples.build_body(engines)))
    configuration = read_configuration(samples.REVISION, body)
    return body, configuration, _build_router(configuration)


def _build_router(configuration) -> Router:
    return Router(
        configuration,
        samples.OWN_REGION,
        samples.OWN_ZONE,
        random.Random(1),
    )
