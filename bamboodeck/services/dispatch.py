"""Choose a service's backend servers and send calls to them."""

from collections.abc import Callable

from bamboodeck.chat.context import ChatContext
from bamboodeck.http.messages import (
    Address,
    Header,
    HttpCall,
    HttpOutcome,
    parse_address,
)
from bamboodeck.services.call import ServiceCall
from bamboodeck.services.events import ServiceCallDecided


class Dispatcher:
    """Send each attempt of a call to a different backend server."""

    def __init__(self, context: ChatContext, call: ServiceCall) -> None:
        """Start without an attempt."""
        self.attempts = 0
        self._context = context
        self._call = call
        self._tried: set[str] = set()

    @property
    def tried(self) -> bool:
        """Return whether any backend server has been chosen."""
        return bool(self._tried)

    def choose(self) -> Address | None:
        """Choose an untried backend server that is not leaving or draining.

        Return None if none is left.
        """
        leaving = self._context.leaving_addresses().union(
            self._context.configuration().draining,
        )
        available = [
            text
            for text in self._call.service.addresses
            if text not in leaving and text not in self._tried
        ]
        if not available:
            return None
        chosen = self._context.environment.random.choice(available)
        self._tried.add(chosen)
        return parse_address(chosen)

    def send(
        self,
        address: Address,
        on_outcome: Callable[[HttpOutcome], None],
    ) -> None:
        """Log the decision and send the call."""
        call = self._call
        self.attempts += 1
        self._context.decisions.record(
            call.request_id,
            ServiceCallDecided(
                call.request_id,
                call.customer.name,
                call.service.name,
                call.method,
                str(address),
                call.idempotent,
                self.attempts,
            ),
        )
        # The peer may be closing a reused connection, which leaves it unclear
        # whether a call was sent. Calls that can't be repeated therefore use
        # a fresh connection.
        self._context.client.send(
            HttpCall(
                address,
                'POST',
                f'/{call.method}',
                call.request.body,
                _build_headers(call),
                call.service.timeout_s,
            ),
            on_outcome,
            fresh_connection=not call.idempotent,
        )


def _build_headers(call: ServiceCall) -> tuple[Header, ...]:
    headers = [Header('X-Request-Id', call.request_id)]
    if call.key:
        headers.append(Header('Idempotency-Key', call.key))
    content_type = call.request.headers.get('content-type')
    if content_type:
        headers.append(Header('Content-Type', content_type))
    return tuple(headers)
