"""Test the choice of a route and a customer."""

import pytest

from bamboodeck.gateway.candidates import choose_service
from bamboodeck.gateway.model import (
    Customer,
    GatewayConfiguration,
    Route,
    RouteKind,
    WeightedService,
)
from bamboodeck.gateway.routes import (
    NoRoute,
    Resolved,
    RouteTable,
    UnknownKey,
)
from bamboodeck.http.relay_server import CallerLimits
from tests.gateway.samples import build_request

SCHOOL = Customer('school')


def build_route(prefix: str, **fields: object) -> Route:
    """Build a route of the host that all tests use."""
    described = {
        'name': prefix,
        'host': 'desk.example',
        'prefix': prefix,
        'kind': RouteKind.SAFE,
        'services': (WeightedService('shop', 1.0),),
        'timeout_s': 1.0,
        'target_latency_s': 0.25,
        'max_attempts': 2,
        'priority': 1,
        **fields,
    }
    return Route(**described)


def build_table(*routes: Route, customers=None) -> RouteTable:
    """Build a table."""
    configuration = GatewayConfiguration(
        1,
        routes,
        {},
        CallerLimits(),
        customers,
    )
    return RouteTable(configuration)


class TestPrefixes:
    """Choose the longest prefix of the path among the host's routes."""

    @pytest.mark.parametrize(
        ('path', 'expected'),
        [
            ('/a/', '/a/'),
            ('/a/x', '/a/'),
            ('/a/b/', '/a/b/'),
            ('/a/b/c/d', '/a/b/'),
            ('/a/bc', '/a/'),
            ('/', '/'),
            ('/elsewhere', '/'),
        ],
    )
    def test_longest(self, path: str, expected: str) -> None:
        """Match prefixes only at slashes."""
        table = build_table(*map(build_route, ('/', '/a/', '/a/b/')))
        found = table.resolve(build_request(path=path))
        assert found.route.prefix == expected

    @pytest.mark.parametrize('path', ['/a', '/b/', '', '*'])
    def test_none(self, path: str) -> None:
        """Find no route without a matching prefix."""
        found = build_table(build_route('/a/')).resolve(
            build_request(path=path),
        )
        assert found == NoRoute()

    def test_other_host(self) -> None:
        """Find no route on another host."""
        request = build_request(path='/a/', host='other.example')
        assert build_table(build_route('/a/')).resolve(request) == NoRoute()


class TestKeys:
    """Require a key unless the route is public or there are no customers."""

    @pytest.mark.parametrize(
        ('key', 'expected'),
        [('right', SCHOOL), ('wrong', None), (None, None)],
    )
    def test_private(self, key: str | None, expected) -> None:
        """Find the customer of a known key."""
        table = build_table(build_route('/a/'), customers={'right': SCHOOL})
        found = table.resolve(build_request(path='/a/', api_key=key))
        if expected is None:
            assert found == UnknownKey()
        else:
            assert found.customer == expected

    def test_public(self) -> None:
        """Allow anyone on a public route, without a customer."""
        route = build_route('/a/', public=True)
        table = build_table(route, customers={'right': SCHOOL})
        found = table.resolve(build_request(path='/a/', api_key='right'))
        assert found == Resolved(route, None)

    def test_no_customers(self) -> None:
        """Require no key if the configuration has no customers."""
        route = build_route('/a/')
        found = build_table(route).resolve(build_request(path='/a/'))
        assert found == Resolved(route, None)


class TestWeights:
    """Split a route's requests among its services."""

    def test_shares(self) -> None:
        """Follow the weights, and keep a key's service."""
        services = (WeightedService('a', 90.0), WeightedService('b', 10.0))
        route = build_route('/a/', services=services)
        chosen = [
            choose_service(route, f'key-{number}') for number in range(2000)
        ]
        again = [
            choose_service(route, f'key-{number}') for number in range(2000)
        ]
        assert chosen == again
        assert 0.07 < chosen.count('b') / len(chosen) < 0.13

    def test_none(self) -> None:
        """Choose nothing for a route without services."""
        assert choose_service(build_route('/a/', services=()), 'key') is None
