"""Test the measurement and reports of demand by version."""

from dataclasses import replace
from importlib.resources import files

import msgspec
import pytest

from bamboodeck.configuration.model import Configuration
from bamboodeck.configuration.parsing import parse_configuration
from bamboodeck.entry.demand import MAX_ROWS, VersionDemand
from bamboodeck.peers.messages import VersionDemandReported
from bamboodeck.routing.eligibility import EligibleVersions
from bamboodeck.routing.messages import (
    RefusalCode,
    RouteChosen,
    RouteRequest,
    RouteRefused,
)

MAX_REPORT_BYTES = 5000
REFUSED = RouteRefused(RefusalCode.NO_ENGINE, 'none', 1, 1)


class Node:
    """Run a meter on a virtual clock."""

    def __init__(self) -> None:
        """Start at 0 s with one relay."""
        self.time_s = 0.0
        self.sent: list[VersionDemandReported] = []
        self.relays = ('relay',)
        self.meter = VersionDemand(self, self, lambda: self.relays)

    def now_s(self) -> float:
        """Return the virtual time."""
        return self.time_s

    def call_every(self, period_s: float, call) -> None:
        """Ignore the timer; tests call `report` themselves."""

    def send(self, node: str, message: VersionDemandReported) -> None:
        """Record a message."""
        self.sent.append(message)


@pytest.fixture
def configuration() -> Configuration:
    """Read the example configuration."""
    example = files('bamboodeck.configuration') / 'example.ini'
    return parse_configuration(example.read_text(), 'example').draft


def build_route_request(
    configuration: Configuration, **changes
) -> RouteRequest:
    """Build a chat request of the first customer."""
    route_request = RouteRequest(
        'r',
        configuration.customers[0],
        configuration.classes_by_name['chat'],
        None,
        None,
        100,
        1,
        stream=False,
        deadline_s=20,
    )
    return replace(route_request, **changes)


def choose(version: str) -> RouteChosen:
    """Build a decision for a version."""
    return RouteChosen(version, 'e', '', 0, 'requested', 0)


class TestDemand:
    """Count engine time by version, for chosen and refused requests."""

    def test_chosen_versions(self, configuration: Configuration) -> None:
        """Converge to request rate times answer duration, and decay."""
        node = Node()
        model = configuration.models_by_name['medium@1']
        eligible = EligibleVersions((model,), (), 0)
        route_request = build_route_request(configuration, opens_session=True)
        for second in range(600):
            node.time_s = second
            node.meter.on_decided(route_request, eligible, choose(model.name))
        node.meter.report()
        row = node.sent[0].rows[0]
        expected = model.first_token_s + 150 / model.tokens_per_s
        assert row.version == 'medium@1'
        assert row.streams == pytest.approx(expected, rel=0.02)
        assert row.sessions > 300
        node.time_s += 1200
        assert node.meter.rows()[0].streams < 0.01

    def test_refused_request(self, configuration: Configuration) -> None:
        """Count a refused request once, for the version it would have used."""
        node = Node()
        eligible = EligibleVersions(configuration.models, (), 0)
        route_request = build_route_request(configuration)
        node.meter.on_decided(route_request, eligible, REFUSED)
        again = replace(route_request, attempt=1)
        node.meter.on_decided(again, eligible, REFUSED)
        versions = [row.version for row in node.meter.rows()]
        # The cheapest version whose expected quality meets the target, 0.92.
        assert versions == ['large@2']

    def test_unchanged_demand(self, configuration: Configuration) -> None:
        """Report when demand or relays change, or the interval has passed."""
        node = Node()
        eligible = EligibleVersions((configuration.models[0],), (), 0)
        route_request = build_route_request(configuration)
        version = configuration.models[0].name
        counts = []
        for second in range(0, 90, 5):
            node.time_s = second
            if second == 0:
                for _ in range(100):
                    node.meter.on_decided(
                        route_request, eligible, choose(version)
                    )
            node.meter.report()
            counts.append(len(node.sent))
        # Demand decays by the tolerance of a fifth in about 15 s.
        assert counts[:4] == [1, 1, 1, 2]
        assert counts[-1] <= 6
        node.relays = ('other',)
        node.meter.report()
        assert len(node.sent) == counts[-1] + 1

    def test_size_of_a_report(self, configuration: Configuration) -> None:
        """Report at most `MAX_ROWS` versions, those with the largest demand."""
        node = Node()
        route_request = build_route_request(configuration)
        for number in range(2 * MAX_ROWS):
            name = f'{"m" * 60}-{number:03}@{"v" * 60}'
            model = replace(configuration.models[0], name=name)
            eligible = EligibleVersions((model,), (), 0)
            for _ in range(number + 1):
                node.meter.on_decided(route_request, eligible, choose(name))
        node.meter.report()
        rows = node.sent[0].rows
        assert len(rows) == MAX_ROWS
        assert rows[0].version.startswith(f'{"m" * 60}-063@')
        assert len(msgspec.msgpack.encode(node.sent[0])) < MAX_REPORT_BYTES
