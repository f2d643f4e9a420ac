"""Select the engines that may run a request now."""

from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.engine_memory import EngineMemory
from bamboodeck.gateway.engines import Engine
from bamboodeck.gateway.exchange import Exchange
from bamboodeck.gateway.limit_tracker import LimitTracker
from bamboodeck.gateway.model import Route
from bamboodeck.gateway.places.regions import Exclusion, Places
from bamboodeck.gateway.placement import (
    PEER_LOAD_MAX_AGE_S,
    CostEstimate,
    rendezvous_hash,
)
from bamboodeck.gateway.rollout_coordinator import RolloutCoordinator
from bamboodeck.gateway.rollouts import VersionChoice

# An engine queues requests beyond its slots only up to this multiple, so that
# an urgent request doesn't wait behind a long queue there.
REQUESTS_PER_SLOT = 2.0
# Connections to an engine that every host may open.
MIN_CONNECTIONS = 2


class Candidates:
    """Select engines by version, health, capacity and connections."""

    def __init__(
        self,
        context: GatewayContext,
        rollouts: RolloutCoordinator,
        limits: LimitTracker,
        places: Places,
    ) -> None:
        """Assume a fleet of one host at first."""
        self._limits = limits
        self._places = places
        self.hosts = 1
        self._context = context
        self._rollouts = rollouts
        self.memory = EngineMemory(context)

    def find(self, exchange: Exchange) -> list[Engine]:
        """Return the available engines of the versions a request may use."""
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
            has_session=exchange.request.session is not None,
            repeated=bool(exchange.failed_versions),
        )
        if choice.only in exchange.failed_versions and pinned is None:
            # Don't retry on a version on trial that failed this request.
            choice = VersionChoice(excluded=choice.only)
        usable = [
            engine
            for engine in self._context.engines.of_service(exchange.service)
            if engine.is_available(now_s)
            and not self._rollouts.is_withdrawn(engine)
            and self._places.may_use(engine, exchange)
        ]
        if choice.engines is not None:
            tried = self._find_tried(usable, choice.engines, exchange)
            if tried:
                return tried
            choice = VersionChoice(excluded=choice.only)
        matching = [engine for engine in usable if _matches(engine, choice)]
        if not (matching or choice.strict):
            matching = usable
        # If all engines have failed this request, try them again.
        return [each for each in matching if exchange.may_use(each)] or matching

    def _find_tried(
        self,
        usable: list[Engine],
        engine_ids: frozenset[str],
        exchange: Exchange,
    ) -> list[Engine]:
        fresh_s = self._context.now_s() - PEER_LOAD_MAX_AGE_S
        return [
            engine
            for engine in usable
            if engine.entry.engine_id in engine_ids
            and engine.total_requests(fresh_s) < engine.entry.slots
            and self.can_send(engine)
            and self.has_memory(engine, exchange)
        ]

    def estimate(self, exchange: Exchange, model: str) -> CostEstimate | None:
        """Return the cost of the best engine for another model."""
        engines = [
            engine
            for engine in self.find(exchange)
            if self._limits.has_room(engine)
            and self.has_memory(engine, exchange)
        ]
        return self._context.placer.choose(
            exchange.request,
            engines,
            model,
            self._context.now_s(),
        )

    def can_send(self, engine: Engine) -> bool:
        """Tell whether an engine may get a request of this host now."""
        return (
            self._limits.has_room(engine)
            and self.has_capacity(engine)
            and self.may_connect(engine)
        )

    def has_memory(self, engine: Engine, exchange: Exchange) -> bool:
        """Tell whether an engine has the memory for a request."""
        return self.memory.has_room(engine, exchange.request, self.hosts)

    def has_capacity(self, engine: Engine) -> bool:
        """Tell whether an engine has capacity by its known load."""
        fresh_s = self._context.now_s() - PEER_LOAD_MAX_AGE_S
        capacity = engine.entry.slots * REQUESTS_PER_SLOT
        return engine.total_requests(fresh_s) < capacity

    def may_connect(self, engine: Engine) -> bool:
        """Tell whether a connection to an engine is idle or may be opened."""
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
        """Tell whether a paused engine may return before the target."""
        horizon_s = exchange.target_s
        return any(
            not engine.leaving
            and not engine.unlisted
            and engine.available_from_s < horizon_s
            and self._places.may_use(engine, exchange)
            for engine in self._context.engines.of_service(exchange.service)
        )

    def explain_exclusion(self, exchange: Exchange) -> Exclusion | None:
        """Return why a request may use no engine of its service, if so."""
        return self._places.explain(
            self._context.engines.of_service(exchange.service),
            exchange,
        )


def choose_service(route: Route, key: str) -> str | None:
    """Choose a service of a route by weight; the same one for equal keys."""
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
