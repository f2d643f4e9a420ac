"""Log routing decisions and keep the latest ones for explanations."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import fields

from bamboodeck.logs import EventLog, event_name
from bamboodeck.peers.messages import ExplainedDecision

MAX_REQUESTS = 5000
MAX_DECISIONS_PER_REQUEST = 20


class DecisionHistory:
    """Keep a bounded history of decisions, by request."""

    def __init__(
        self,
        log: EventLog,
        node: str,
        wall_s: Callable[[], float],
    ) -> None:
        """Create an empty history; `wall_s` stamps its entries."""
        self._log = log
        self._node = node
        self._wall_s = wall_s
        self._events: OrderedDict[str, list] = OrderedDict()

    def record(self, request_id: str, event) -> None:
        """Log a decision and add it to the history."""
        self._log.emit(event)
        events = self._events.get(request_id)
        if events is None:
            events = []
            self._events[request_id] = events
            if len(self._events) > MAX_REQUESTS:
                self._events.popitem(last=False)
        if len(events) < MAX_DECISIONS_PER_REQUEST:
            events.append((self._wall_s(), event))

    def explain(self, request_id: str) -> tuple[ExplainedDecision, ...]:
        """Return the decisions on a request, oldest first."""
        return tuple(
            ExplainedDecision(
                time_s,
                self._node,
                event_name(type(event)),
                getattr(event, 'version', ''),
                getattr(event, 'reason', ''),
                _describe(event),
            )
            for time_s, event in self._events.get(request_id, ())
        )


def _describe(event) -> str:
    return ' '.join(
        f'{spec.name}={getattr(event, spec.name)}' for spec in fields(event)
    )
