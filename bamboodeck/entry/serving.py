"""Build the components that need a configuration."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from bamboodeck.chat.context import ChatContext
from bamboodeck.configuration.model import Configuration
from bamboodeck.entry.callers import CallerApi
from bamboodeck.entry.loads import LoadPoller
from bamboodeck.entry.outcomes import OutcomeRecorder
from bamboodeck.entry.ratings import RatingClient
from bamboodeck.external.rating import HttpRating
from bamboodeck.orders.book import OrderBook
from bamboodeck.orders.messages import OrderLimits
from bamboodeck.orders.pending import OrderClock
from bamboodeck.routing.router import Router

_SEED_BITS = 64


@dataclass(frozen=True, slots=True)
class ServingParts:
    """Components that route and answer callers' requests."""

    router: Router
    orders: OrderBook
    loads: LoadPoller
    callers: CallerApi


def build_serving(app, configuration: Configuration) -> ServingParts:
    """Build the serving components from the first configuration."""
    settings = app.settings
    rng = random.Random(app.environment.random.getrandbits(_SEED_BITS))
    router = Router(configuration, settings.region, settings.zone, rng)
    app.control_plane.attach(router)
    app.leaving.attach(router)
    scheduler = app.loop.scheduler
    orders = OrderBook(
        app.store,
        OrderClock(
            scheduler.now_s,
            app.environment.wall_s,
            scheduler.call_after,
        ),
        rng,
        OrderLimits(key_ttl_s=configuration.order_key_ttl_s),
        app.invariants,
    )
    loads = LoadPoller(
        scheduler,
        app.client,
        router,
        app.leaving,
        settings.zone,
        settings.region,
    )
    callers = CallerApi(_build_context(app, router), orders)
    return ServingParts(router, orders, loads, callers)


def _build_context(app, router: Router) -> ChatContext:
    settings = app.settings
    return ChatContext(
        environment=app.environment,
        scheduler=app.loop.scheduler,
        client=app.client,
        router=router,
        bills=app.bills,
        ratings=_build_ratings(app, router),
        outcomes=OutcomeRecorder(
            app.metrics,
            router,
            app.decisions,
            app.control_plane.rollouts,
        ),
        admission=app.admission,
        decisions=app.decisions,
        invariants=app.invariants,
        region=settings.region,
        zone=settings.zone,
        configuration=_read_configuration(app),
        leaving_addresses=lambda: app.leaving.addresses,
    )


def _read_configuration(app) -> Callable[[], Configuration]:
    return lambda: app.replica.configuration


def _build_ratings(app, router: Router) -> RatingClient:
    address = app.settings.rating
    return RatingClient(
        None if address is None else HttpRating(app.client, address),
        app.environment.monotonic_s,
        router.set_rating_delay,
    )
