"""Test what is read of running processes."""

from bamboodeck.bench.control import compare_readings, parse_reading
from bamboodeck.metrics import Metrics
from tests.system.harness import System

NAMES = (
    'peer_sent_bytes',
    'peer_received_bytes',
    'peer_sent_frames',
    'peer_received_frames',
    'process_cpu_s',
    'resident_bytes',
)


def write_metrics(*numbers: float) -> str:
    """Write the metrics of a process that counts these numbers."""
    metrics = Metrics()
    for name, number in zip(NAMES, numbers, strict=True):
        metrics.set_state(name, number)
    return metrics.render().decode()


class TestReading:
    """Read the metrics of a process twice and compare."""

    def test_rates(self) -> None:
        """Add the headers of the frames to what was sent and received."""
        first = parse_reading(write_metrics(0, 0, 0, 0, 1, 0), 10)
        last = parse_reading(write_metrics(8000, 4000, 30, 20, 1.5, 3e7), 20)
        use = compare_readings('here', first, last)
        assert use.sent_kb_per_s == 1.02
        assert use.received_kb_per_s == 0.62
        assert use.core_percent == 5
        assert use.resident_mb == 30

    def test_metrics_of_something_else(self) -> None:
        """Read nothing where a counter is missing."""
        assert parse_reading('', 0) is None

    def test_running_nodes(self) -> None:
        """Find every counter in what entry hosts and controllers show."""
        system = System(zones=1, hosts_per_zone=1)
        host = system.host_addresses[0]
        for address in (host.admin, host.health):
            text = system.call(address, 'GET', '/metrics').body.decode()
            assert parse_reading(text, 0) is not None
