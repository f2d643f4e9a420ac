"""Exchange messages between hosts over UDP.

Messages are soft state: each replaces the sender's previous one of its type,
and the next one makes up for a lost one. A connection would queue messages and
deliver them when they are out of date.
"""

import contextlib
import socket
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from bamboodeck.environment import Environment
from bamboodeck.gateway.measures import GatewayMetrics
from bamboodeck.gateway.peer_messages import Envelope, PeerMessage
from bamboodeck.http.messages import Address
from bamboodeck.loop.poller import CallbackPoller

MAX_DATAGRAM_BYTES = 60_000

# Receives the sender's host name and the message.
MessageHandler = Callable[[str, Any], None]


class PeerLink:
    """Send messages, and dispatch received ones to handlers by type."""

    def __init__(
        self,
        host: str,
        address: Address,
        environment: Environment,
        poller: CallbackPoller,
        metrics: GatewayMetrics,
    ) -> None:
        """Bind the UDP socket."""
        self._host = host
        self._metrics = metrics
        self._poller = poller
        self._started_unix_ms = int(environment.wall_s() * 1000)
        self._sent = 0
        self._newest: dict[tuple[str, type], tuple[int, int]] = {}
        # The incarnations of hosts that were replaced by later ones.
        self._replaced: dict[str, set[int]] = {}
        self._handlers: dict[type, MessageHandler] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((address.host, address.port))
        self._sock.setblocking(False)
        self._watch = poller.watch(
            self._sock.fileno(),
            self._receive,
            _ignore,
        )

    def handle(self, kind: type, handler: MessageHandler) -> None:
        """Register the handler of a message type."""
        self._handlers[kind] = handler

    def send(self, message: PeerMessage, addresses: Iterable[Address]) -> None:
        """Send a message; drop and count one too large for a datagram."""
        self._sent += 1
        datagram = self._encoder.encode(
            Envelope(self._host, self._started_unix_ms, self._sent, message),
        )
        if len(datagram) > MAX_DATAGRAM_BYTES:
            self._metrics.count('news_too_large')
            return
        for address in addresses:
            with contextlib.suppress(OSError):
                # The next message makes up for a lost one.
                self._sock.sendto(datagram, (address.host, address.port))

    def forget(self, host: str) -> None:
        """Forget the sequence numbers of a host."""
        for key in tuple(self._newest):
            if key[0] == host:
                self._newest.pop(key)
        self._replaced.pop(host, None)

    def close(self) -> None:
        """Close the socket."""
        self._poller.unwatch(self._watch)
        self._sock.close()

    def _receive(self) -> None:
        while True:
            try:
                datagram = self._sock.recv(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                # No more datagrams are pending.
                return
            try:
                envelope = self._decoder.decode(datagram)
            except (msgspec.MsgspecError, RecursionError):
                self._metrics.count('news_unreadable')
                continue
            self._on_message(envelope)

    def _on_message(self, envelope: Envelope) -> None:
        handler = self._handlers.get(type(envelope.message))
        if handler is None or envelope.host == self._host:
            return
        if self._is_newest(envelope):
            handler(envelope.host, envelope.message)

    def _is_newest(self, envelope: Envelope) -> bool:
        # The start time only names an incarnation: a host's clock may have
        # been set back before it started again.
        key = (envelope.host, type(envelope.message))
        started_unix_ms, number = self._newest.get(key, (0, 0))
        replaced = self._replaced.setdefault(envelope.host, set())
        if envelope.started_unix_ms in replaced:
            return False
        if envelope.started_unix_ms == started_unix_ms:
            if envelope.number <= number:
                return False
        elif started_unix_ms:
            replaced.add(started_unix_ms)
        self._newest[key] = (envelope.started_unix_ms, envelope.number)
        return True


def _ignore() -> None:
    """Ignore writability, as datagrams are sent at once or dropped."""
