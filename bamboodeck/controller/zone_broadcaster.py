"""Forward ratings and credit prices to the nodes of a zone."""

from collections.abc import Callable

from bamboodeck.loop.scheduler import Scheduler
from bamboodeck.peers.fleet import FleetMap
from bamboodeck.peers.messages import CreditNews, RatingDigest
from bamboodeck.peers.messenger import Messenger
from bamboodeck.settings.process import PeerRole

BROADCAST_PERIOD_S = 2.0


class ZoneBroadcaster:
    """Forward ratings and the latest prices while acting as relay."""

    def __init__(
        self,
        messenger: Messenger,
        fleet: FleetMap,
        scheduler: Scheduler,
        acting: Callable[[], bool],
    ) -> None:
        """Subscribe to rating digests and credit prices."""
        self._messenger = messenger
        self._entries = fleet.in_zone(PeerRole.ENTRY)
        self._acting = acting
        self._credits: CreditNews | None = None
        messenger.on(RatingDigest, self._on_digest)
        messenger.on(CreditNews, self._on_credits)
        scheduler.call_every(BROADCAST_PERIOD_S, self._broadcast)

    def _on_digest(self, sender: str, digest: RatingDigest) -> None:
        if sender not in self._entries or not self._acting():
            return
        for node in self._entries:
            if node != sender:
                self._messenger.send(node, digest)

    def _on_credits(self, sender: str, news: CreditNews) -> None:
        known = self._credits
        if known is None or news.fencing_number >= known.fencing_number:
            self._credits = news

    def _broadcast(self) -> None:
        if self._credits is None or not self._acting():
            return
        for node in self._entries:
            self._messenger.send(node, self._credits)
