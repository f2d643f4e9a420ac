"""Call HTTP peers from the event loop over pooled connections."""

import weakref
from collections import Counter, defaultdict
from collections.abc import Callable

from bamboodeck.http.client_connection import ClientConnection
from bamboodeck.http.messages import (
    Address,
    HttpCall,
    HttpFailed,
    HttpOutcome,
    ReplyHead,
    StreamSink,
)
from bamboodeck.http.reply_collector import ReplyCollector
from bamboodeck.loop.program import Loop

MAX_IDLE_PER_ADDRESS = 64


class ConnectSink:
    """Report whether a connection was established, without a call."""

    def __init__(
        self,
        on_connected: Callable[[HttpFailed | None], None],
    ) -> None:
        """Pass the failure, or none, to the callback."""
        self._on_connected = on_connected

    def on_head(self, head: ReplyHead) -> None:
        """Ignore bytes that no call asked for."""

    def on_data(self, chunk: bytes) -> None:
        """Ignore bytes that no call asked for."""

    def on_end(self) -> None:
        """Report the connection as established."""
        self._on_connected(None)

    def on_failed(self, failure: HttpFailed) -> None:
        """Report why there is no connection."""
        self._on_connected(failure)


class HttpClient:
    """Send calls over pooled connections, without retries."""

    def __init__(self, loop: Loop) -> None:
        """Start with an empty pool."""
        self.loop = loop
        self.open_counts: Counter[Address] = Counter()
        # Of calls that were cancelled nobody tells the collector.
        self._collectors: weakref.WeakSet[ReplyCollector] = weakref.WeakSet()
        self._idle: dict[Address, list[ClientConnection]] = defaultdict(list)

    @property
    def collected_bytes(self) -> int:
        """Return what the unfinished responses to `send` hold."""
        return sum(each.size_bytes for each in self._collectors)

    def send(
        self,
        call: HttpCall,
        on_outcome: Callable[[HttpOutcome], None],
        *,
        fresh_connection: bool = False,
    ) -> ClientConnection:
        """Send a call; the callback gets the full response or the failure."""
        collector = ReplyCollector(on_outcome)
        self._collectors.add(collector)
        return self.stream(
            call,
            collector,
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
        """Send a call; the sink receives the response as it arrives.

        The call's `timeout_s` limits the time without received data. A
        connection that was idle for longer than `max_idle_s` isn't reused.
        """
        connection = None
        if not fresh_connection:
            connection = self._take_idle(call.address, max_idle_s)
        if connection is None:
            connection = ClientConnection(self, call.address)
            self.open_counts[call.address] += 1
        connection.start(call, sink)
        return connection

    def connect(
        self,
        address: Address,
        timeout_s: float,
        on_connected: Callable[[HttpFailed | None], None],
    ) -> None:
        """Add a connection to the pool; the callback gets any failure."""
        connection = ClientConnection(self, address)
        self.open_counts[address] += 1
        connection.open(timeout_s, ConnectSink(on_connected))

    def has_idle(self, address: Address) -> bool:
        """Return whether an idle connection to an address is pooled."""
        return bool(self._idle.get(address))

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool."""
        connection.idle = True
        idle = self._idle[connection.address]
        idle.append(connection)
        if len(idle) > MAX_IDLE_PER_ADDRESS:
            idle[0].cancel()

    def discard(self, connection: ClientConnection) -> None:
        """Remove a closed connection from the pool."""
        self.open_counts[connection.address] -= 1
        if self.open_counts[connection.address] <= 0:
            self.open_counts.pop(connection.address)
        idle = self._idle.get(connection.address)
        if idle and connection in idle:
            idle.remove(connection)

    def close(self) -> None:
        """Close all idle connections."""
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
        while idle:
            connection = idle.pop()
            idle_s = self.loop.scheduler.now_s() - connection.idle_since_s
            if max_idle_s is not None and idle_s > max_idle_s:
                # The connections left in the pool have idled longer.
                for old in (connection, *idle):
                    old.cancel()
                return None
            if connection.is_quiet():
                return connection
            connection.cancel()
        return None
