"""Test that changes are sent at once and the rest only periodically."""

import pytest

from bamboodeck.bench.slopes.stand_ins import CountingLink
from bamboodeck.peers.deduplication import RESEND_PERIOD_S, DeduplicatingSender
from bamboodeck.peers.messages import ConfigurationWanted, ShareGranted
from bamboodeck.peers.messenger import Messenger
from tests.controller.virtual_loop import VirtualScheduler
from tests.virtual_store import VirtualClock

NODE = 'host1.entry'


class SendingNode:
    """Send over a link that counts messages."""

    def __init__(self) -> None:
        """Start with nothing sent."""
        self.clock = VirtualClock()
        self.link = CountingLink()
        scheduler = VirtualScheduler(self.clock)
        messenger = Messenger(self.link, scheduler, 'host2.controller')
        self.sender = DeduplicatingSender(messenger, scheduler)

    def send_each_second(self, message, duration_s: int) -> int:
        """Send a message each second; return how many left."""
        before = self.link.sent
        for _ in range(duration_s):
            self.sender.send(NODE, message)
            self.clock.run(1)
        return self.link.sent - before


@pytest.fixture
def sending() -> SendingNode:
    """Start with nothing sent."""
    return SendingNode()


class TestDeduplicatingSender:
    """Suppress and resend messages."""

    def test_unchanged(self, sending) -> None:
        """Resend an unchanged message once per period."""
        sent = sending.send_each_second(ConfigurationWanted(1), 12)
        assert sent == 12 / RESEND_PERIOD_S

    def test_change(self, sending) -> None:
        """Send each change at once, also one back to an earlier message."""
        for revision in (1, 2, 1):
            message = ConfigurationWanted(revision)
            assert sending.send_each_second(message, 2) == 1

    def test_message_keys(self, sending) -> None:
        """Remember messages separately by node, type and name."""
        granted = ShareGranted('r1', 'a', 'h', 1, 's')
        sending.sender.send(NODE, granted, 'a')
        sending.sender.send(NODE, granted, 'b')
        sending.sender.send(NODE, ConfigurationWanted(1))
        sending.sender.send('host3.entry', granted, 'a')
        assert sending.link.sent == 4

    def test_new_term(self, sending) -> None:
        """Send a message again after a reset."""
        assert sending.send_each_second(ConfigurationWanted(1), 2) == 1
        sending.sender.reset()
        assert sending.send_each_second(ConfigurationWanted(1), 2) == 1
