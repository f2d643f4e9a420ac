"""Test the messages between processes on one loop."""

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
        """Batch what is sent in one turn."""
        loop = build_loop()
        there = find_free_address()
        sender = build_link(loop, 'a', find_free_address(), b'secret')
        receiver = build_link(loop, 'b', there, b'secret')
        sender.set_peer('b', there)
        heard: list = []
        receiver.on(ConfigurationWanted, lambda who, what: heard.append(what))
        receiver.on(ConfigurationNews, lambda who, what: heard.append(what))
        sender.send('b', ConfigurationWanted(3))
        sender.send('b', ConfigurationNews(4, b'text'))
        run_until(loop, lambda: len(heard) == 2)
        assert heard == [ConfigurationWanted(3), ConfigurationNews(4, b'text')]
        assert receiver.counts.received_frames == 1
        sender.close()
        receiver.close()

    def test_wrong_secret_is_not_heard(self) -> None:
        """Drop frames of strangers."""
        loop = build_loop()
        there = find_free_address()
        stranger = build_link(loop, 'x', find_free_address(), b'other')
        receiver = build_link(loop, 'b', there, b'secret')
        stranger.set_peer('b', there)
        heard: list = []
        receiver.on(ConfigurationWanted, lambda who, what: heard.append(what))
        stranger.send('b', ConfigurationWanted(3))
        run_until(loop, lambda: receiver.counts.dropped_frames == 1)
        assert not heard
        stranger.close()
        receiver.close()

    def test_frame_of_a_stranger(self) -> None:
        """Count a frame without the right hash as dropped, unread."""
        receiver = build_link(build_loop(), 'b', find_free_address(), b'secret')
        body = msgspec.msgpack.encode(Frame('x', (ConfigurationWanted(3),)))
        receiver._read_frame(bytes(DIGEST_SIZE_BYTES) + body)
        assert receiver.counts.dropped_frames == 1
        assert not receiver.counts.received_frames
        receiver.close()

    def test_absent_peer_costs_dropped_frames_only(self) -> None:
        """Keep a bounded queue to a peer that is down."""
        loop = build_loop()
        sender = build_link(loop, 'a', find_free_address(), b'secret')
        sender.set_peer('b', find_free_address())
        for revision in range(300):
            sender.send('b', ConfigurationWanted(revision))
            loop.tick(0)
            loop.tick(0)
        assert sender.counts.dropped_frames > 100
        sender.close()
