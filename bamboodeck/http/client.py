"""Call HTTP peers from the loop, with a pool of connections."""

from collections import Counter, defaultdict
from collections.abc import Callable

from bamboodeck.http.client_connection import ClientConnection
from bamboodeck.http.messages import (
    Address,
    HttpCall,
    HttpOutcome,
    StreamSink,
)
from bamboodeck.http.whole_reply import WholeReplySink
from bamboodeck.loop.program import Loop

MAX_IDLE_PER_ADDRESS = 64


class HttpClient:
    """Send calls over pooled connections; nothing is retried here."""

    def __init__(self, loop: Loop) -> None:
        """Start without connections."""
        self.loop = loop
        self.open_counts: Counter[Address] = Counter()
        self._idle: dict[Address, list[ClientConnection]] = defaultdict(list)

    def send(
        self,
        call: HttpCall,
        on_outcome: Callable[[HttpOutcome], None],
        *,
        fresh_connection: bool = False,
    ) -> ClientConnection:
        """Send a call; the function gets the whole answer or the failure."""
        return self.stream(
            call,
            WholeReplySink(on_outcome),
            fresh_connection=fresh_connection,
        )

    def stream(
        self,
        call: HttpCall,
        sink: StreamSink,
        *,
        fresh_connection: bool = False,
        max_idle_s: float | None = None,
    ) -> ClientConnection:
        """Send a call; the sink gets the answer piece by piece.

        The call's `timeout_s` bounds the silence between two pieces. A
        connection that was idle for longer than `max_idle_s` isn't used.
        """
        connection = None
        if not fresh_connection:
            connection = self._take_idle(call.address, max_idle_s)
        if connection is None:
            connection = ClientConnection(self, call.address)
            self.open_counts[call.address] += 1
        connection.start(call, sink)
        return connection

    def has_idle(self, address: Address) -> bool:
        """Tell whether a connection to an address is kept."""
        return bool(self._idle.get(address))

    def release(self, connection: ClientConnection) -> None:
        """Keep a connection for the next call."""
        connection.idle = True
        idle = self._idle[connection.address]
        idle.append(connection)
        if len(idle) > MAX_IDLE_PER_ADDRESS:
            idle[0].cancel()

    def forget(self, connection: ClientConnection) -> None:
        """Drop a closed connection."""
        self.open_counts[connection.address] -= 1
        if self.open_counts[connection.address] <= 0:
            self.open_counts.pop(connection.address)
        idle = self._idle.get(connection.address)
        if idle and connection in idle:
            idle.remove(connection)

    def close(self) -> None:
        """Close the idle connections."""
        for idle in list(self._idle.values()):
            for connection in list(idle):
                connection.cancel()

    def close_idle_to(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for connection in list(self._idle.get(address, ())):
            connection.cancel()

    def _take_idle(
        self,
        address: Address,
        max_idle_s: float | None,
    ) -> ClientConnection | None:
        idle = self._idle.get(address)
        if not idle:
            return None
        connection = idle.pop()
        if max_idle_s is None:
            return connection
        if self.loop.scheduler.now_s() - connection.idle_since_s <= max_idle_s:
            return connection
        # The others have been idle for longer.
        for old in (connection, *idle):
            old.cancel()
        return None
