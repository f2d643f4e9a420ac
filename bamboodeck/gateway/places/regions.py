"""Decide whether a request may use an engine, by the engine's place.

Load pattern: some routes and customers may be served in some regions only. If
those regions are down, full or cut off, the requests are rejected at once
rather than run elsewhere, while requests that may run anywhere are served on.
"""

import enum
from collections.abc import Iterable

from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.engines import Engine
from bamboodeck.gateway.exchange import Exchange
from bamboodeck.gateway.model import AllowedRegions, combine_regions
from bamboodeck.gateway.routes import Resolved


@enum.unique
class Exclusion(enum.Enum):
    """State why a request may not use an engine."""

    NOT_ALLOWED_REGION = 'not-allowed-region'
    EVACUATED = 'evacuated'


class Places:
    """Exclude engines outside a request's regions or in evacuated zones."""

    def __init__(self, context: GatewayContext) -> None:
        """Use the regions of the host's settings and the configuration."""
        self._context = context

    def may_use(self, engine: Engine, exchange: Exchange) -> bool:
        """Tell whether a request may be sent to an engine."""
        return self.find_exclusion(engine, exchange) is None

    def find_exclusion(
        self,
        engine: Engine,
        exchange: Exchange,
    ) -> Exclusion | None:
        """Return why a request may not be sent to an engine, if so."""
        allowed = self._find_allowed(exchange)
        if not is_allowed(self._find_region(engine), allowed):
            return Exclusion.NOT_ALLOWED_REGION
        if self._context.evacuations.covers(engine.entry.zone):
            return Exclusion.EVACUATED
        return None

    def explain(
        self,
        engines: Iterable[Engine],
        exchange: Exchange,
    ) -> Exclusion | None:
        """Return why a request may use none of the listed engines, if so."""
        if self._find_allowed(exchange) == frozenset():
            return Exclusion.NOT_ALLOWED_REGION
        reason = None
        for engine in engines:
            if engine.leaving or engine.unlisted:
                continue
            reason = self.find_exclusion(engine, exchange)
            if reason is None:
                return None
        return reason

    def _find_region(self, engine: Engine) -> str | None:
        regions = self._context.settings.regions_by_zone
        return regions.get(engine.entry.zone)

    def _find_allowed(self, exchange: Exchange) -> AllowedRegions:
        routes = self._context.routes
        if exchange.regions_version == routes.version:
            return exchange.allowed_regions
        # The configuration changed while the request waited or ran. It is kept
        # to what each of the configurations allows.
        exchange.regions_version = routes.version
        resolved = routes.resolve(exchange.request)
        if isinstance(resolved, Resolved):
            exchange.allowed_regions = combine_regions(
                exchange.allowed_regions,
                resolved.allowed_regions,
            )
        return exchange.allowed_regions


def is_allowed(region: str | None, allowed: AllowedRegions) -> bool:
    """Tell whether a region is allowed; an unknown one is so only anywhere."""
    if allowed is None:
        return True
    return bool(region) and region in allowed
