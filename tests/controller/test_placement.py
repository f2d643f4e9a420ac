"""Test when a controller sends placement orders and when not."""

import io
from dataclasses import replace
from importlib.resources import files
from types import MappingProxyType, SimpleNamespace

import pytest

from bamboodeck.configuration.model import Configuration, PlacementBounds
from bamboodeck.configuration.parsing import parse_configuration
from bamboodeck.controller.placement import ZonePlacement
from bamboodeck.http.messages import HttpReply
from bamboodeck.logs import build_event_log
from bamboodeck.placement.state import LoadVersion
from bamboodeck.external.weight_store import WeightsFetched

TERM = 5
LOAD_MEDIUM = LoadVersion('flanders-1', 'medium@1')
REPORTS = MappingProxyType(
    {
        '/load': b'{"versions": ["small@1", "small@2"]}',
        '/orders': b'{}',
    }
)


class StubReplica:
    """Provide a configuration that is fresh or stale."""

    def __init__(self, configuration: Configuration) -> None:
        """Start fresh."""
        self.configuration = configuration
        self.stale = False

    def is_stale(self, now_s: float) -> bool:
        """Return the state set by the test."""
        return self.stale


class Lease:
    """Stand in for a lease that is held or not."""

    def __init__(self) -> None:
        """Start as a holder for which no order of another is in flight."""
        self.held = True
        self.settled = True
        self.fencing_number = TERM

    def holds(self, now_s: float) -> bool:
        """Return the state set by the test."""
        return self.held

    def check(self, fencing_number: int, now_s: float) -> bool:
        """Compare the fencing number."""
        return self.held and fencing_number == self.fencing_number

    def may_order(self, engine_checks_fencing: bool, now_s: float) -> bool:
        """Permit engines without fencing only after former orders ended."""
        return self.held and (engine_checks_fencing or self.settled)


class Engines:
    """Answer at once, as the engines and the weight store."""

    def __init__(self) -> None:
        """Start without orders."""
        self.ordered: list[bytes] = []

    def send(self, call, on_outcome) -> None:
        """Answer a poll or an order."""
        if call.path == '/orders':
            self.ordered.append(call.body)
        on_outcome(HttpReply(200, (), REPORTS[call.path]))

    def fetch(self, request, on_reply) -> None:
        """Report that the weights are fetched."""
        on_reply(WeightsFetched(request.version, request.engine, 1))


class Zone:
    """Build a zone placement with its stand-ins."""

    def __init__(self) -> None:
        """Set placement bounds for small@1 and medium@1 only."""
        example = files('bamboodeck.configuration') / 'example.ini'
        draft = parse_configuration(example.read_text(), 'example').draft
        self.configuration = replace(
            draft,
            engines=tuple(
                replace(engine, slots=2, versions=('small@1', 'small@2'))
                for engine in draft.engines[:2]
            ),
            placements=(
                PlacementBounds('small@1'),
                PlacementBounds('medium@1', min_copies=1),
            ),
        )
        self.replica = StubReplica(self.configuration)
        self.lease = Lease()
        self.engines = Engines()
        self.leaving: frozenset[str] = frozenset()
        ports = SimpleNamespace(
            fleet=SimpleNamespace(
                own=SimpleNamespace(zone='flanders-a'),
                in_zone=lambda role: (),
            ),
            messenger=SimpleNamespace(on=lambda *_: None),
            scheduler=SimpleNamespace(
                now_s=lambda: 1000.0,
                call_every=lambda *_: None,
            ),
            replica=self.replica,
            log=build_event_log(io.StringIO()),
        )
        self.placement = ZonePlacement(
            ports,
            self.engines,
            self.engines,
            self.lease,
            lambda: self.leaving,
        )


@pytest.fixture
def zone() -> Zone:
    """Build a zone whose engines are full."""
    return Zone()


class TestOrders:
    """Send an order only while all its conditions hold."""

    def test_unloads_to_make_room(self, zone: Zone) -> None:
        """Unload one of two copies of small@1 for medium@1."""
        zone.placement.place()
        assert len(zone.engines.ordered) == 1
        assert b'"unload"' in zone.engines.ordered[0]

    def test_new_holder_unloads_nothing(self, zone: Zone) -> None:
        """Wait until a former holder's orders can't arrive any more."""
        zone.lease.settled = False
        zone.placement.place()
        assert not zone.engines.ordered
        zone.lease.settled = True
        zone.placement.place()
        assert zone.engines.ordered

    def test_engine_that_ignores_fencing(self, zone: Zone) -> None:
        """Load nothing either until former orders have ended."""
        zone.replica.configuration = replace(
            zone.configuration,
            engines=tuple(
                replace(each, slots=3, checks_fencing=False)
                for each in zone.configuration.engines
            ),
        )
        zone.lease.settled = False
        zone.placement.place()
        assert not zone.engines.ordered
        zone.lease.settled = True
        zone.placement.place()
        assert b'"load"' in zone.engines.ordered[0]

    @pytest.mark.parametrize('fault', ['stale', 'lease', 'unbounded'])
    def test_nothing_is_ordered(self, zone: Zone, fault: str) -> None:
        """Send nothing without the lease or fresh placement bounds."""
        zone.replica.stale = fault == 'stale'
        zone.lease.held = fault != 'lease'
        if fault == 'unbounded':
            zone.replica.configuration = replace(
                zone.configuration, placements=()
            )
        zone.placement.place()
        assert not zone.engines.ordered

    def test_obstacles(self, zone: Zone) -> None:
        """Check the conditions again before a delayed order is sent."""
        placement = zone.placement
        placement.place()
        assert not placement.find_obstacle(LOAD_MEDIUM, TERM)
        older = placement.find_obstacle(LOAD_MEDIUM, TERM - 1)
        assert older == 'lease is not held'
        zone.leaving = frozenset(('127.0.0.1:7401',))
        leaving = placement.find_obstacle(LOAD_MEDIUM, TERM)
        assert leaving == 'engine is leaving'
        withdrawn = LoadVersion('flanders-2', 'large@1')
        assert placement.find_obstacle(withdrawn, TERM) == (
            'version is withdrawn'
        )
        zone.replica.stale = True
        assert placement.find_obstacle(LOAD_MEDIUM, TERM) == (
            'configuration is stale'
        )
