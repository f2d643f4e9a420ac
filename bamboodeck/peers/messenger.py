"""Send messages to nodes by name, including the own process."""

import functools
from collections import defaultdict

from bamboodeck.loop.scheduler import Scheduler
from bamboodeck.peers.link import OnMessage, PeerLink
from bamboodeck.peers.messages import PeerMessage

HOLDER_SEPARATOR = '#'


class Messenger:
    """Send messages to peers, or to local handlers for the own node."""

    def __init__(self, link: PeerLink, scheduler: Scheduler, own: str) -> None:
        """Start without local handlers; `own` is the name of this node."""
        self.own = own
        self._link = link
        self._scheduler = scheduler
        self._handlers: dict[type, list[OnMessage]] = defaultdict(list)

    def on(self, message_type: type, on_message: OnMessage) -> None:
        """Call `on_message` with the sender and each message of a type."""
        self._handlers[message_type].append(on_message)
        self._link.on(message_type, on_message)

    def send(self, node: str, message: PeerMessage) -> None:
        """Queue a message for a peer or for the local handlers."""
        if node != self.own:
            self._link.send(node, message)
            return
        for on_message in self._handlers[type(message)]:
            self._scheduler.call_after(
                0,
                functools.partial(on_message, self.own, message),
            )


def build_holder_id(node: str, incarnation: int) -> str:
    """Build the holder id of one incarnation of a node."""
    return f'{node}{HOLDER_SEPARATOR}{incarnation}'


def node_of(holder: str) -> str:
    """Return the node name in a holder id."""
    return holder.partition(HOLDER_SEPARATOR)[0]
