"""Serve HTTP with circuits.web, with streamed and size-limited messages."""

from collections.abc import Callable

from circuits import BaseComponent, handler
from circuits.web.wrappers import Request

from bamboodeck.http.messages import Address, ApiRequest
from bamboodeck.http.protocol import BoundedHttp, CallbackServer
from bamboodeck.http.request_parser import (
    DEFAULT_MAX_BODY_BYTES,
    BadRequestError,
)
from bamboodeck.http.responder import Responder
from bamboodeck.loop.program import Loop

RequestHandler = Callable[[ApiRequest, Responder], None]

SWEEP_PERIOD_S = 1.0
DEFAULT_MAX_CONNECTIONS = 4096


class HttpServer(BaseComponent):
    """Listen on an address and pass complete requests to a handler."""

    channel = 'web'
    secure = False
    display_banner = False

    def __init__(
        self,
        loop: Loop,
        address: Address,
        on_request: RequestHandler,
        *,
        render_error: Callable[[BadRequestError], bytes] | None = None,
        render_failure: Callable[[], bytes] | None = None,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
    ) -> None:
        """Register with the loop and listen; port 0 takes a free port."""
        # A channel per server lets several servers share a loop without
        # receiving each other's requests.
        super().__init__(channel=f'web-{address}-{id(self)}')
        self.max_body_bytes = max_body_bytes
        self.max_connections = max_connections
        self.render_error = render_error or _render_plain_error
        self.render_failure = render_failure or _render_plain_failure
        self._clock_s = loop.scheduler.now_s
        self._on_request = on_request
        self.http = BoundedHttp(self, loop)
        self.http.channel = self.channel
        self.http.register(self)
        self.server = CallbackServer((address.host, address.port), self.http)
        self.server.channel = self.channel
        self.address = Address(address.host, self.server.port)
        self.host = self.address.host
        self.port = self.address.port
        self.server.register(self)
        self.register(loop)
        loop.scheduler.call_every(SWEEP_PERIOD_S, self.http.sweep)

    @property
    def active_count(self) -> int:
        """Return the number of requests in progress."""
        return sum(
            client.exchange is not None
            for client in self.http.connections.values()
        )

    def stop_accepting(self) -> None:
        """Stop accepting; close each connection after its current response."""
        self.http.stopping = True
        self.server.stop_accepting()
        self.http.close_idle()

    @handler('request')
    def _on_web_request(self, event, request: Request, response) -> bool:
        event.stop()
        parsed = request.parsed
        api_request = ApiRequest(
            method=parsed.method,
            path=parsed.path,
            query=parsed.query,
            headers=dict(parsed.headers),
            body=parsed.body,
            peer_ip=request.remote.ip,
            received_s=self._clock_s(),
        )
        try:
            self._on_request(api_request, request.responder)
        except Exception:
            # The caller gets a response; the loop logs the exception.
            request.responder.fail(self.render_failure())
            raise
        # circuits.web sends no response of its own for a boolean.
        return True


def _render_plain_failure() -> bytes:
    return b'{"error": {"message": "the server failed"}}'


def _render_plain_error(error: BadRequestError) -> bytes:
    return b'{"error": {"message": "%b"}}' % str(error).encode()
