"""Test the formats of log lines."""

import io
import json
from dataclasses import dataclass

from bamboodeck.logs import build_event_log


@dataclass(frozen=True)
class RouteChosen:
    """Log a chosen route."""

    version: str
    cost_credits: float


class TestEventLog:
    """Log an event in both formats."""

    def test_key_value_line(self) -> None:
        """Quote values with spaces."""
        stream = io.StringIO()
        build_event_log(stream).emit(RouteChosen('plan large@2', 0.25))
        line = stream.getvalue()
        assert 'event=route_chosen' in line
        assert 'version="plan large@2" cost_credits=0.25\n' in line

    def test_json_line(self) -> None:
        """Keep numbers as numbers."""
        stream = io.StringIO()
        log = build_event_log(stream, as_json=True)
        log.emit(RouteChosen('small@1', 0.5))
        assert json.loads(stream.getvalue())['cost_credits'] == 0.5
