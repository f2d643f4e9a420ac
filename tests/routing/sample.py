"""Build small configurations and route requests for the routing tests."""

import random
from dataclasses import replace

from bamboodeck.configuration.model import (
    Configuration,
    Customer,
    Engine,
    Model,
    Preset,
    RequestClass,
    VersionState,
)
from bamboodeck.quality.messages import Rating
from bamboodeck.routing.messages import RouteRequest
from bamboodeck.routing.router import Router

SMALL = 'small@1'
LARGE = 'large@1'
REGION = 'gorenjska'
ZONE = 'g1'


def model(name: str, quality: float, credits_per_mtoken: float) -> Model:
    """Build a steady version."""
    return Model(
        name=name,
        state=VersionState.STEADY,
        provider='main',
        input_credits_per_mtoken=credits_per_mtoken,
        output_credits_per_mtoken=credits_per_mtoken,
        expected_quality=quality,
        tokens_per_s=50,
        first_token_s=0.2,
    )


def engine(name: str, zone: str = ZONE, region: str = REGION) -> Engine:
    """Build an engine that serves both versions."""
    return Engine(name, f'{name}:80', region, zone, (SMALL, LARGE), 4)


def customer(**changes) -> Customer:
    """Build a customer that may use both versions."""
    built = Customer('co-op', (), (SMALL, LARGE), 0.8, 2.0, 10, 1000)
    return replace(built, **changes)


PRESET = Preset(
    name='ordinary',
    confidence=0.9,
    cascade=False,
    delay_credits_per_s=0.0,
    region_credits_per_mb=1.0,
    max_load=2.0,
    retry_ratio=0.1,
    max_attempts=2,
    explore_share=0.0,
    accept_rollouts=True,
)
BLURB = RequestClass('blurb', 3.0, 20, 100, 200)


def configuration(**changes) -> Configuration:
    """Build a configuration of two versions and two engines."""
    built = Configuration(
        revision=3,
        change_id='c',
        changed_by='test',
        preset_in_force='ordinary',
        presets=(PRESET,),
        customers=(customer(),),
        models=(model(SMALL, 0.5, 1), model(LARGE, 0.98, 20)),
        classes=(BLURB,),
        engines=(engine('e1'), engine('e2')),
        services=(),
        providers=(),
        signing_keys=(),
        operators=(),
        session_ttl_s=60,
        order_key_ttl_s=60,
        stale_after_s=9,
    )
    return replace(built, **changes)


def with_small(state: VersionState, **changes) -> Configuration:
    """Build a configuration with the small version in a given state."""
    small, large = configuration().models
    return configuration(
        models=(replace(small, state=state, **changes), large),
    )


def router(built: Configuration, seed: int = 1) -> Router:
    """Build a router in the first zone."""
    return Router(built, REGION, ZONE, random.Random(seed))


def route_request(**changes) -> RouteRequest:
    """Build a route request without a session."""
    built = RouteRequest(
        request_id='r1',
        customer=customer(),
        request_class=BLURB,
        session_version=None,
        requested_model=None,
        prompt_tokens=100,
        prefix_hash=7,
        stream=False,
        deadline_s=20,
    )
    return replace(built, **changes)


def rate(built: Router, version: str, score: float, count: int) -> None:
    """Record ratings of a version for the sample customer and class."""
    for index in range(count):
        built.quality.record(
            Rating(version, 'co-op', 'blurb', score, f'r{index}'),
        )
