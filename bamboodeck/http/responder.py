"""Respond to requests, at once or as a stream."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Protocol

from circuits.web.wrappers import Response

from bamboodeck.http.connection import Connection
from bamboodeck.http.messages import ApiResponse

_SERVER_ERROR = 500
_END_OF_CHUNKS = b'0\r\n\r\n'
_NO_HEADERS: Mapping[str, str] = MappingProxyType({})


class ClientLike(Protocol):
    """Provide the connection on which a response is sent."""

    connection: Connection


class ExchangeOwner(Protocol):
    """Continue with a connection when a response is finished."""

    stopping: bool

    def finish_exchange(self, client: Any, *, close: bool) -> None:
        """Serve the next request of the connection, or close it."""


class Responder:
    """Respond to a request, at once or as a stream."""

    def __init__(
        self,
        owner: ExchangeOwner,
        client: ClientLike,
        response: Response,
    ) -> None:
        """Start with nothing sent."""
        self.on_aborted: Callable[[], None] | None = None
        self._owner = owner
        self._client = client
        self._response = response
        self._chunked = False
        self._done = False

    @property
    def done(self) -> bool:
        """Return whether the response is finished or its caller is gone."""
        return self._done

    @property
    def congested(self) -> bool:
        """Return whether the send buffer is above its high-water mark."""
        return self._client.connection.congested

    @property
    def pending_bytes(self) -> int:
        """Return the number of bytes in the send buffer."""
        return self._client.connection.pending_bytes

    def respond(self, api_response: ApiResponse) -> None:
        """Send a complete response."""
        if self._done:
            return
        response = self._response
        self._fill_head(
            api_response.status, api_response.content_type, api_response.headers
        )
        response.body = api_response.body
        response.prepare()
        # The body property converts empty bytes to a list.
        response.headers['Content-Length'] = str(len(api_response.body))
        head = bytes(response) + bytes(response.headers)
        self._client.connection.write(head + api_response.body)
        self._finish()

    def start_stream(
        self,
        status: int,
        content_type: str,
        headers: Mapping[str, str] = _NO_HEADERS,
    ) -> None:
        """Send the head of a response whose body is streamed with `send`."""
        if self._done:
            return
        response = self._response
        self._fill_head(status, content_type, headers)
        response.prepare()
        response.headers.pop('Content-Length', None)
        self._chunked = response.protocol == 'HTTP/1.1'
        if self._chunked:
            response.headers['Transfer-Encoding'] = 'chunked'
        else:
            response.close = True
        head = bytes(response) + bytes(response.headers)
        self._client.connection.write(head)

    def send(self, chunk: bytes) -> None:
        """Send the next bytes of the body."""
        if self._done or not chunk:
            return
        if self._chunked:
            chunk = b'%x\r\n%b\r\n' % (len(chunk), chunk)
        self._client.connection.write(chunk)

    def end(self) -> None:
        """Finish a streamed body."""
        if self._done:
            return
        if self._chunked:
            self._client.connection.write(_END_OF_CHUNKS)
        self._finish()

    def fail(self, body: bytes) -> None:
        """Respond with a server error, or abort a response that has started."""
        if self._client.connection.closed or self._response.done:
            return
        if self._chunked:
            self.abort()
            return
        self.respond(ApiResponse(_SERVER_ERROR, body))

    def abort(self) -> None:
        """Close the connection so that the response is seen as incomplete."""
        if self._done:
            return
        self._done = True
        self.on_aborted = None
        self._client.connection.abort()

    def close_incomplete(self) -> None:
        """Send the buffered data, then close without ending the response."""
        if self._done:
            return
        self._done = True
        self.on_aborted = None
        self._client.connection.close()

    def on_drained(self, callback: Callable[[], None] | None) -> None:
        """Set the callback to run each time the send buffer has drained."""
        self._client.connection.on_drained = callback

    def handle_closed(self) -> None:
        """Handle a connection that the caller has closed."""
        if self._done:
            return
        self._done = True
        if self.on_aborted is not None:
            self.on_aborted()

    def _fill_head(
        self,
        status: int,
        content_type: str,
        headers: Mapping[str, str],
    ) -> None:
        self._response.status = status
        self._response.headers['Content-Type'] = content_type
        for name, text in headers.items():
            self._response.headers[name] = text
        if self._owner.stopping:
            self._response.close = True

    def _finish(self) -> None:
        self._done = True
        self._response.done = True
        self._client.connection.on_drained = None
        self._owner.finish_exchange(self._client, close=self._response.close)
