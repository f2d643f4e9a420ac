"""Resolve the route and the customer of a request."""

import msgspec

from bamboodeck.gateway.model import (
    AllowedRegions,
    CallerRequest,
    Customer,
    GatewayConfiguration,
    Route,
    combine_regions,
)


class Resolved(msgspec.Struct, frozen=True):
    """Hold the route and the customer of a request."""

    route: Route
    customer: Customer | None

    @property
    def allowed_regions(self) -> AllowedRegions:
        """Return the regions that both the route and the customer allow."""
        if self.customer is None:
            return self.route.allowed_regions
        return combine_regions(
            self.route.allowed_regions,
            self.customer.allowed_regions,
        )


class NoRoute(msgspec.Struct, frozen=True):
    """Report that no route matches the host and path."""


class UnknownKey(msgspec.Struct, frozen=True):
    """Report that the route requires an API key and it is unknown."""


Resolution = Resolved | NoRoute | UnknownKey


class RouteTable:
    """Hold the routes of one configuration by host and prefix."""

    def __init__(self, configuration: GatewayConfiguration) -> None:
        """Index the routes."""
        self.version = configuration.version
        self._customers = configuration.customers_by_key
        self._routes: dict[tuple[str, str], Route] = {
            (route.host, route.prefix): route for route in configuration.routes
        }

    def resolve(self, request: CallerRequest) -> Resolution:
        """Return the route of the longest matching prefix, and the customer."""
        route = self._find(request.host, request.path)
        if route is None:
            return NoRoute()
        if route.public or self._customers is None:
            return Resolved(route, None)
        customer = self._customers.get(request.api_key or '')
        if customer is None:
            return UnknownKey()
        return Resolved(route, customer)

    def _find(self, host: str, path: str) -> Route | None:
        # Every prefix ends with a slash, so only cuts after a slash can match.
        end = path.rfind('/')
        while end >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None
