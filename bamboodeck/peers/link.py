"""Send typed messages to peers over pynng, one frame per event-loop tick.

Messages may be lost when a peer restarts or its send queue is full; a sender
that needs an answer has to retry. Frames are signed with a keyed hash, and
those of processes without the shared secret are dropped.
"""

import contextlib
import hashlib
import hmac
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
import pynng

from bamboodeck.http.messages import Address
from bamboodeck.logs import EventLog
from bamboodeck.loop.poller import Watch
from bamboodeck.loop.program import Loop
from bamboodeck.loop.scheduler import ScheduledCall
from bamboodeck.peers.messages import Frame, PeerMessage

DIGEST_SIZE_BYTES = 16
MAX_FRAME_BYTES = 4_194_304
SEND_QUEUE_FRAMES = 128
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000
MAX_FRAMES_PER_TICK = 64

OnMessage = Callable[[str, Any], None]


@dataclass(frozen=True, slots=True)
class PeerFrameDropped:
    """Log that a frame could not be sent or decoded."""

    peer: str
    reason: str


@dataclass(slots=True)
class LinkCounts:
    """Count the frames and bytes of a link."""

    sent_frames: int = 0
    sent_bytes: int = 0
    received_frames: int = 0
    received_bytes: int = 0
    dropped_frames: int = 0


class PeerLink:
    """Own the inbound socket of a process and its sockets to peers."""

    def __init__(
        self,
        loop: Loop,
        log: EventLog,
        node: str,
        listen: Address,
        secret: bytes,
    ) -> None:
        """Listen on the address for frames of peers."""
        self.counts = LinkCounts()
        self._loop = loop
        self._log = log
        self._node = node
        self._secret = secret
        self._addresses: dict[str, Address] = {}
        self._senders: dict[str, pynng.Push0] = {}
        self._handlers: dict[type, list[OnMessage]] = defaultdict(list)
        self._outgoing: dict[str, list[PeerMessage]] = defaultdict(list)
        self._flush_call: ScheduledCall | None = None
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Frame)
        self._inbox = pynng.Pull0(recv_max_size=MAX_FRAME_BYTES)
        self._inbox.listen(f'tcp://{listen}')
        self._watch: Watch = loop.poller.watch(
            self._inbox.recv_fd,
            self._receive,
            _ignore,
        )

    @property
    def peers(self) -> tuple[str, ...]:
        """Return the names of the known peers."""
        return tuple(self._addresses)

    def set_peer(self, name: str, address: Address) -> None:
        """Set the address of a peer; close the connection to a former one."""
        if self._addresses.get(name) == address:
            return
        self.remove_peer(name)
        self._addresses[name] = address

    def remove_peer(self, name: str) -> None:
        """Remove a peer and close the connection to it."""
        self._addresses.pop(name, None)
        sender = self._senders.pop(name, None)
        if sender is not None:
            sender.close()

    def on(self, message_type: type, on_message: OnMessage) -> None:
        """Call `on_message` with the sender and each message of a type."""
        self._handlers[message_type].append(on_message)

    def send(self, peer: str, message: PeerMessage) -> None:
        """Queue a message until the end of the tick; ignore unknown peers."""
        if peer not in self._addresses:
            return
        self._outgoing[peer].append(message)
        if self._flush_call is None:
            self._flush_call = self._loop.scheduler.call_after(0, self._flush)

    def close(self) -> None:
        """Flush queued messages and close all sockets."""
        self._flush()
        self._loop.poller.unwatch(self._watch)
        self._inbox.close()
        for name in list(self._senders):
            self._senders.pop(name).close()

    def _flush(self) -> None:
        self._flush_call = None
        outgoing = self._outgoing
        self._outgoing = defaultdict(list)
        for peer, messages in outgoing.items():
            if peer in self._addresses:
                self._send_frame(peer, tuple(messages))

    def _send_frame(self, peer: str, messages: tuple[PeerMessage, ...]) -> None:
        body = self._encoder.encode(Frame(self._node, messages))
        frame = self._sign(body) + body
        try:
            self._sender(peer).send(frame, block=False)
        except pynng.TryAgain:
            self._drop(peer, 'send queue of the peer is full')
            return
        except pynng.NNGException as error:
            self._drop(peer, str(error))
            return
        self.counts.sent_frames += 1
        self.counts.sent_bytes += len(frame)

    def _sender(self, peer: str) -> pynng.Push0:
        sender = self._senders.get(peer)
        if sender is None:
            sender = pynng.Push0(
                send_buffer_size=SEND_QUEUE_FRAMES,
                reconnect_time_min=RECONNECT_MIN_MS,
                reconnect_time_max=RECONNECT_MAX_MS,
            )
            sender.dial(f'tcp://{self._addresses[peer]}', block=False)
            self._senders[peer] = sender
        return sender

    def _receive(self) -> None:
        for _ in range(MAX_FRAMES_PER_TICK):
            try:
                frame = self._inbox.recv(block=False)
            except pynng.TryAgain:
                return
            except pynng.NNGException as error:
                self._drop('', str(error))
                return
            self._read_frame(frame)

    def _read_frame(self, raw: bytes) -> None:
        digest, body = raw[:DIGEST_SIZE_BYTES], raw[DIGEST_SIZE_BYTES:]
        if not hmac.compare_digest(digest, self._sign(body)):
            self._drop('', 'frame signature does not match the shared secret')
            return
        try:
            frame = self._decoder.decode(body)
        except msgspec.DecodeError as error:
            self._drop('', f'frame is malformed: {error}')
            return
        self.counts.received_frames += 1
        self.counts.received_bytes += len(raw)
        for message in frame.messages:
            for on_message in self._handlers.get(type(message), ()):
                on_message(frame.sender, message)

    def _sign(self, body: bytes) -> bytes:
        keyed = hashlib.blake2b(
            body,
            digest_size=DIGEST_SIZE_BYTES,
            key=self._secret,
        )
        return keyed.digest()

    def _drop(self, peer: str, reason: str) -> None:
        self.counts.dropped_frames += 1
        with contextlib.suppress(ValueError):
            self._log.warn(PeerFrameDropped(peer, reason))


def _ignore() -> None:
    """Do nothing; the inbound socket is never written to."""
