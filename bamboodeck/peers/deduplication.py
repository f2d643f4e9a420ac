"""Suppress unchanged messages, except for periodic resends."""

from dataclasses import dataclass
from typing import Protocol

from bamboodeck.loop.scheduler import Scheduler
from bamboodeck.peers.messages import PeerMessage

RESEND_PERIOD_S = 4.0


class Sender(Protocol):
    """Send messages to nodes by name."""

    def send(self, node: str, message: PeerMessage) -> None:
        """Queue a message."""


@dataclass(frozen=True, slots=True)
class _MessageKey:
    node: str
    message_type: type
    name: str


@dataclass(frozen=True, slots=True)
class _Sent:
    message: PeerMessage
    sent_s: float


class DeduplicatingSender:
    """Send a message only if it changed or its resend is due.

    Resends make up for lost frames and for peers that have restarted.
    """

    def __init__(
        self,
        sender: Sender,
        scheduler: Scheduler,
        resend_period_s: float = RESEND_PERIOD_S,
    ) -> None:
        """Start without a record of sent messages."""
        self._sender = sender
        self._scheduler = scheduler
        self._period_s = resend_period_s
        self._sent: dict[_MessageKey, _Sent] = {}

    def send(self, node: str, message: PeerMessage, name: str = '') -> None:
        """Send a message unless the node was sent the same one recently.

        The last message is remembered by node, type and `name`, which
        distinguishes messages of the same type.
        """
        now_s = self._scheduler.now_s()
        key = _MessageKey(node, type(message), name)
        sent = self._sent.get(key)
        if sent is not None and sent.message == message:
            # Allow for timer jitter: a periodic caller may be slightly early.
            if now_s - sent.sent_s < self._period_s - self._period_s / 8:
                return
        self._sent[key] = _Sent(message, now_s)
        self._sender.send(node, message)

    def reset(self) -> None:
        """Forget all sent messages, so that each is sent again."""
        self._sent = {}
