"""Find the engines that may run a request now."""

from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.engines import Engine
from bamboodeck.gateway.exchange import Exchange
from bamboodeck.gateway.model import Route
from bamboodeck.gateway.placement import (
    PEER_LOAD_MAX_AGE_S,
    CostEstimate,
    rendezvous_hash,
)
from bamboodeck.gateway.rollout_coordinator import RolloutCoordinator
from bamboodeck.gateway.rollouts import VersionChoice

# A server's queue beyond its slots is used up to this many times its slots,
# so that an urgent request needn't wait behind a long queue there.
REQUESTS_PER_SLOT = 2.0
# Connections to an engine that a host may open in any case.
MIN_CONNECTIONS = 2


class Candidates:
    """Choose engines by version, health, places and connections."""

    def __init__(
        self, context: GatewayContext, rollouts: RolloutCoordinator
    ) -> None:
        """Keep what is known of engines and roll-outs."""
        self.hosts = 1
        self._context = context
        self._rollouts = rollouts

    def find(self, exchange: Exchange) -> list[Engine]:
        """Return the open engines of the versions that a request may use."""
        now_s = self._context.now_s()
        pinned = None
        if exchange.request.session is not None:
            pinned = self._context.sessions.find(
                exchange.service,
                exchange.request.session,
                now_s,
            )
        choice = self._rollouts.choose(
            exchange.service,
            exchange.version_key,
            pinned,
        )
        if choice.only in exchange.failed_versions and pinned is None:
            # A version on trial that has failed gets no second chance here.
            choice = VersionChoice(excluded=choice.only)
        usable = [
            engine
            for engine in self._context.engines.of_service(exchange.service)
            if engine.is_available(now_s)
        ]
        fitting = [engine for engine in usable if _matches(engine, choice)]
        if not (fitting or choice.strict):
            fitting = usable
        # An engine that failed this request is better than none.
        return [each for each in fitting if exchange.may_use(each)] or fitting

    def estimate(self, exchange: Exchange, model: str) -> CostEstimate | None:
        """Price the best engine for another model."""
        return self._context.placer.choose(
            exchange.request,
            self.find(exchange),
            model,
            self._context.now_s(),
        )

    def has_capacity(self, engine: Engine) -> bool:
        """Tell whether an engine has a place, as far as known."""
        fresh_s = self._context.now_s() - PEER_LOAD_MAX_AGE_S
        places = engine.entry.slots * REQUESTS_PER_SLOT
        return engine.total_requests(fresh_s) < places

    def may_connect(self, engine: Engine) -> bool:
        """Tell whether this host has a connection to an engine left."""
        address = engine.entry.address
        client = self._context.client
        if client.has_idle(address):
            return True
        service = self._context.configuration.services.get(engine.entry.service)
        if service is None:
            return True
        share = max(
            service.max_connections // max(self.hosts, 1),
            MIN_CONNECTIONS,
        )
        return client.open_counts[address] < share

    def may_recover_in_time(self, exchange: Exchange) -> bool:
        """Tell whether a paused engine may be back in time."""
        horizon_s = exchange.target_s
        return any(
            not engine.leaving
            and not engine.unlisted
            and engine.paused_until_s < horizon_s
            for engine in self._context.engines.of_service(exchange.service)
        )


def choose_service(route: Route, key: str) -> str | None:
    """Choose among the services of a route by their weights."""
    total = sum(each.weight for each in route.services)
    if not route.services:
        return None
    point = rendezvous_hash(key, route.name) * total
    for each in route.services:
        point -= each.weight
        if point < 0:
            return each.service
    return route.services[-1].service


def _matches(engine: Engine, choice: VersionChoice) -> bool:
    version = engine.entry.version
    if version == choice.excluded:
        return False
    return choice.only is None or version == choice.only
