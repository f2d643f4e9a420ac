"""Send requests as the users' callers do, and record their answers."""

import time
from collections.abc import Callable, Iterable

from bamboodeck.fakes.platform.documents import HOST, KEY
from bamboodeck.http.client import HttpClient
from bamboodeck.http.messages import (
    Address,
    Header,
    HttpCall,
    HttpFailed,
    ReplyHead,
)
from bamboodeck.platform import protocol


class Asked:
    """Record one request and what came back."""

    def __init__(self, request_id: str, gateway: str) -> None:
        """Start without an answer."""
        self.request_id = request_id
        self.gateway = gateway
        self.sent_s = time.monotonic()
        self.ended_s: float | None = None
        self.status = 0
        self.failure = ''
        self.body = b''
        self.on_ended: Callable[[], None] | None = None

    @property
    def took_s(self) -> float | None:
        """Return the time to the end of the answer, if it ended."""
        return None if self.ended_s is None else self.ended_s - self.sent_s

    def on_head(self, head: ReplyHead) -> None:
        """Record the status."""
        self.status = head.status

    def on_data(self, chunk: bytes) -> None:
        """Record the body."""
        self.body += chunk

    def on_end(self) -> None:
        """Record the end of a complete answer."""
        self.ended_s = time.monotonic()
        if self.on_ended is not None:
            self.on_ended()

    def on_failed(self, failure: HttpFailed) -> None:
        """Record that the answer broke off, or that none came."""
        self.failure = failure.reason
        self.on_end()

    def describe(self, start_s: float) -> str:
        """Return a line for the record."""
        took = '-' if self.ended_s is None else f'{self.took_s:.3f}'
        return (
            f'sent={self.sent_s - start_s:.3f} id={self.request_id} '
            f'gateway={self.gateway} status={self.status} took_s={took} '
            f'failure={self.failure!r}'
        )


class Callers:
    """Send requests to gateways; each has an id of its own."""

    def __init__(
        self, client: HttpClient, gateways: dict[str, Address]
    ) -> None:
        """Use the gateways in turn."""
        self.asked: list[Asked] = []
        self.client = client
        self.gateways = gateways

    def send(
        self,
        path: str,
        headers: Iterable[Header] = (),
        *,
        method: str = 'POST',
        body: bytes = b'',
        budget_ms: int = 2500,
        gateway: str = '',
    ) -> Asked:
        """Send a request on a kept or a new channel."""
        names = list(self.gateways)
        name = gateway or names[len(self.asked) % len(names)]
        asked = Asked(f'r{len(self.asked)}', name)
        self.asked.append(asked)
        call = HttpCall(
            self.gateways[name],
            method,
            path,
            body,
            (
                Header(protocol.REQUEST_ID, asked.request_id),
                Header(protocol.DEADLINE_MS, str(budget_ms)),
                Header(protocol.API_KEY, KEY),
                *headers,
            ),
            timeout_s=30.0,
            host=HOST,
        )
        self.client.stream(call, asked)
        return asked
