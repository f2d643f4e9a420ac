"""Queue requests until an engine has capacity.

Load pattern: more requests arrive than engines can run. The order and the
rejections are decided in `bamboodeck.gateway.overload.admission`.

A queued request belongs to the queue. Only who has taken it may send or end it.
"""

from collections.abc import Callable
from typing import Any

from bamboodeck.gateway.overload.admission import (
    Progress,
    WaitingRequest,
    arrange,
    find_level,
    find_order_key,
)


class RequestQueue:
    """Hold the queued requests of all services."""

    def __init__(self) -> None:
        """Start empty."""
        # By service and ticket.
        self._queued: dict[str, dict[Any, WaitingRequest]] = {}

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return sum(len(queued) for queued in self._queued.values())

    def count(self, service: str) -> int:
        """Return the number of queued requests of a service."""
        return len(self._queued.get(service, ()))

    def services(self) -> tuple[str, ...]:
        """Return the services that have queued requests."""
        return tuple(
            service for service, queued in self._queued.items() if queued
        )

    def list_waiting(self, service: str) -> tuple[WaitingRequest, ...]:
        """Return the queued requests of a service in order of arrival."""
        return tuple(self._queued.get(service, {}).values())

    def add(self, service: str, request: WaitingRequest) -> None:
        """Enqueue a request."""
        self._queued.setdefault(service, {})[request.ticket] = request

    def holds(self, service: str, ticket: Any) -> bool:
        """Tell whether a request is queued."""
        return ticket in self._queued.get(service, ())

    def take(self, service: str, ticket: Any) -> WaitingRequest | None:
        """Dequeue a request to send or end it; `None` if it isn't queued."""
        return self._queued.get(service, {}).pop(ticket, None)

    def take_overdue(self, now_s: float) -> list[WaitingRequest]:
        """Dequeue all requests that can no longer be answered in time."""
        overdue = []
        for service, queued in self._queued.items():
            for request in tuple(queued.values()):
                if request.latest_start_s < now_s:
                    self.take(service, request.ticket)
                    overdue.append(request)
        return overdue

    def take_all(self) -> list[WaitingRequest]:
        """Dequeue all requests."""
        waiting = []
        for queued in self._queued.values():
            waiting.extend(queued.values())
            queued.clear()
        return waiting

    def peek(
        self,
        service: str,
        progress: Progress,
        now_s: float,
        may_go: Callable[[WaitingRequest], bool] | None = None,
    ) -> WaitingRequest | None:
        """Return the request to dequeue next, if any."""
        waiting = self._queued.get(service)
        if not waiting:
            return None
        return min(
            filter(may_go, waiting.values()),
            key=lambda request: find_order_key(
                request,
                find_level(request, progress),
                now_s,
            ),
            default=None,
        )

    def arrange(
        self,
        service: str,
        progress: Progress,
        now_s: float,
    ) -> list[WaitingRequest]:
        """Return the queued requests in the expected order of their starts."""
        return arrange(self.list_waiting(service), progress, now_s)
