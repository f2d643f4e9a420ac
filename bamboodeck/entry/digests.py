"""Exchange aggregated ratings with the other nodes of the zone."""

from collections.abc import Callable
from dataclasses import replace

import msgspec

from bamboodeck.loop.scheduler import Scheduler
from bamboodeck.peers.link import PeerLink
from bamboodeck.peers.messages import RatingDigest
from bamboodeck.quality.estimator import QualityEstimator
from bamboodeck.quality.messages import QualitySnapshot, RatingCount

DIGEST_PERIOD_S = 5.0
MAX_ROWS = 300
# A digest may be lost, for example when the relay changes.
SEND_COUNT = 3


class RatingExchange:
    """Send ratings to the zone's relay and merge those of other nodes."""

    def __init__(
        self,
        link: PeerLink,
        scheduler: Scheduler,
        source: str,
        relays: Callable[[], tuple[str, ...]],
    ) -> None:
        """Stay idle until an estimator is attached."""
        self.merged_count = 0
        self._link = link
        self._source = source
        self._relays = relays
        self._quality: QualityEstimator | None = None
        self._sent_count = 0
        self._sends_left = 0
        link.on(RatingDigest, self._on_digest)
        scheduler.call_every(DIGEST_PERIOD_S, self.send)

    def attach(self, quality: QualityEstimator) -> None:
        """Exchange the ratings of an estimator."""
        self._quality = quality

    def send(self) -> None:
        """Send a digest if ratings are new; repeat it to survive losses."""
        quality = self._quality
        if quality is None:
            return
        if quality.recorded_count != self._sent_count:
            self._sent_count = quality.recorded_count
            self._sends_left = SEND_COUNT
        if not self._sends_left:
            return
        self._sends_left -= 1
        snapshot = quality.snapshot(self._source)
        # Rows with few ratings carry the least information.
        counts = sorted(snapshot.counts, key=_count_of, reverse=True)
        bounded = replace(snapshot, counts=tuple(counts[:MAX_ROWS]))
        digest = RatingDigest(msgspec.msgpack.encode(bounded))
        for relay in self._relays():
            self._link.send(relay, digest)

    def _on_digest(self, sender: str, digest: RatingDigest) -> None:
        if self._quality is None:
            return
        snapshot = msgspec.msgpack.decode(digest.body, type=QualitySnapshot)
        if snapshot.source != self._source:
            self.merged_count += self._quality.merge(snapshot)


def _count_of(row: RatingCount) -> float:
    return sum(row.bins)
