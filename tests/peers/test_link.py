"""Test messages between two links on one event loop."""

import io

import msgspec

from bamboodeck.http.messages import Address
from bamboodeck.logs import build_event_log
from bamboodeck.loop.program import Loop
from bamboodeck.peers.link import DIGEST_SIZE_BYTES, PeerLink
from bamboodeck.peers.messages import (
    ConfigurationNews,
    ConfigurationWanted,
    Frame,
)
from tests.http.looping import build_loop, run_until
from tests.ports import find_free_address


def build_link(loop: Loop, node: str, address: Address, secret: bytes):
    """Build the link of one process."""
    log = build_event_log(io.StringIO())
    return PeerLink(loop, log, node, address, secret)


class TestPeerLink:
    """Send and receive typed messages."""

    def test_messages_arrive_in_order_in_one_frame(self) -> None:
        """Batch the messages of one tick into one frame."""
        loop = build_loop()
        address = find_free_address()
        sender = build_link(loop, 'a', find_free_address(), b'secret')
        receiver = build_link(loop, 'b', address, b'secret')
        sender.set_peer('b', address)
        received: list = []
        receiver.on(
            ConfigurationWanted, lambda _, message: received.append(message)
        )
        receiver.on(
            ConfigurationNews, lambda _, message: received.append(message)
        )
        sender.send('b', ConfigurationWanted(3))
        sender.send('b', ConfigurationNews(4, b'text'))
        run_until(loop, lambda: len(received) == 2)
        assert received == [
            ConfigurationWanted(3),
            ConfigurationNews(4, b'text'),
        ]
        assert receiver.counts.received_frames == 1
        sender.close()
        receiver.close()

    def test_wrong_secret_is_rejected(self) -> None:
        """Drop frames signed with another secret."""
        loop = build_loop()
        address = find_free_address()
        untrusted = build_link(loop, 'x', find_free_address(), b'other')
        receiver = build_link(loop, 'b', address, b'secret')
        untrusted.set_peer('b', address)
        received: list = []
        receiver.on(
            ConfigurationWanted, lambda _, message: received.append(message)
        )
        untrusted.send('b', ConfigurationWanted(3))
        run_until(loop, lambda: receiver.counts.dropped_frames == 1)
        assert not received
        untrusted.close()
        receiver.close()

    def test_unsigned_frame(self) -> None:
        """Drop a frame with a wrong hash without decoding it."""
        receiver = build_link(build_loop(), 'b', find_free_address(), b'secret')
        body = msgspec.msgpack.encode(Frame('x', (ConfigurationWanted(3),)))
        receiver._read_frame(bytes(DIGEST_SIZE_BYTES) + body)
        assert receiver.counts.dropped_frames == 1
        assert not receiver.counts.received_frames
        receiver.close()

    def test_full_queue_drops_frames(self) -> None:
        """Bound the send queue of a peer that is down."""
        loop = build_loop()
        sender = build_link(loop, 'a', find_free_address(), b'secret')
        sender.set_peer('b', find_free_address())
        for revision in range(300):
            sender.send('b', ConfigurationWanted(revision))
            loop.tick(0)
            loop.tick(0)
        assert sender.counts.dropped_frames > 100
        sender.close()
