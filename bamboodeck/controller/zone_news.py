"""Pass on to a zone's nodes what others tell all of them."""

from collections.abc import Callable

from bamboodeck.loop.scheduler import Scheduler
from bamboodeck.peers.fleet import FleetMap
from bamboodeck.peers.messages import CreditNews, RatingDigest
from bamboodeck.peers.messenger import Messenger
from bamboodeck.settings.process import PeerRole

PASS_ON_PERIOD_S = 2.0


class ZoneNews:
    """Pass on ratings and the last known prices while being the relay."""

    def __init__(
        self,
        post: Messenger,
        fleet: FleetMap,
        scheduler: Scheduler,
        acting: Callable[[], bool],
    ) -> None:
        """Listen to the zone's nodes and the fleet's holder."""
        self._post = post
        self._entries = fleet.in_zone(PeerRole.ENTRY)
        self._acting = acting
        self._credits: CreditNews | None = None
        post.on(RatingDigest, self._on_digest)
        post.on(CreditNews, self._on_credits)
        scheduler.call_every(PASS_ON_PERIOD_S, self._pass_on)

    def _on_digest(self, sender: str, digest: RatingDigest) -> None:
        if sender not in self._entries or not self._acting():
            return
        for node in self._entries:
            if node != sender:
                self._post.send(node, digest)

    def _on_credits(self, sender: str, news: CreditNews) -> None:
        known = self._credits
        if known is None or news.fencing_number >= known.fencing_number:
            self._credits = news

    def _pass_on(self) -> None:
        if self._credits is None or not self._acting():
            return
        for node in self._entries:
            self._post.send(node, self._credits)
