"""Record the requests and the orders that an engine handled."""

from typing import Any

from bamboodeck.fakes.engine.messages import (
    Attempt,
    EngineOrder,
    RequestRecord,
)

MAX_RECORDED_REQUESTS = 200_000


class EngineRecord:
    """Store the attempts by request id and the executed orders."""

    def __init__(self) -> None:
        """Create an empty record."""
        self.requests: dict[str, RequestRecord] = {}
        self.orders: list[EngineOrder] = []
        self.dropped_count = 0

    def add(self, request_id: str, attempt: Attempt) -> None:
        """Record an attempt; evict the oldest request over the limit."""
        record = self.requests.setdefault(request_id, RequestRecord())
        record.attempts.append(attempt)
        if len(self.requests) > MAX_RECORDED_REQUESTS:
            self.requests.pop(next(iter(self.requests)))
            self.dropped_count += 1

    def describe(self) -> dict[str, Any]:
        """Return the record, with the token total of each request."""
        requests = {}
        for request_id, record in self.requests.items():
            requests[request_id] = {
                'tokens': sum(each.tokens for each in record.attempts),
                'attempts': record.attempts,
            }
        return {
            'requests': requests,
            'orders': self.orders,
            'dropped': self.dropped_count,
        }
