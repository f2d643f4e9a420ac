"""Track the load and availability of one engine."""

from collections import deque

from bamboodeck.configuration.model import Engine
from bamboodeck.routing.messages import EngineLoad

REPORT_TTL_S = 10.0
LOST_BACKOFF_S = 5.0
MAX_UNREPORTED_CHANGES = 512


class TrackedEngine:
    """Estimate an engine's load from reports and this node's dispatches.

    Reports are delayed, so this node's dispatches and completions since the
    measurement are added to the reported load.
    """

    __slots__ = (
        '_base',
        '_changes',
        '_delta',
        '_estimate',
        '_measured_s',
        '_outstanding',
        'capacity',
        'engine',
        'leaving',
        'lost_until_s',
        'name',
        'tier',
        'versions',
    )

    def __init__(self, engine: Engine, tier: int) -> None:
        """Start without load."""
        self.engine = engine
        self.name = engine.name
        self.capacity = engine.capacity_streams
        self.tier = tier
        self.versions = engine.versions
        self.leaving = False
        self.lost_until_s = 0.0
        self._base = 0
        self._estimate = 0
        self._delta = 0
        self._measured_s = 0.0
        self._changes: deque[tuple[float, int]] = deque(
            maxlen=MAX_UNREPORTED_CHANGES
        )
        self._outstanding: set[str] = set()

    def adopt(self, previous: 'TrackedEngine') -> None:
        """Copy the state of this engine from before a new revision."""
        self.leaving = previous.leaving
        if self.engine.slots and previous.engine.slots:
            self.versions = previous.versions
        self.lost_until_s = previous.lost_until_s
        self._base = previous._base
        self._estimate = previous._estimate
        self._delta = previous._delta
        self._measured_s = previous._measured_s
        self._changes = previous._changes
        self._outstanding = previous._outstanding

    def usable(self, now_s: float) -> bool:
        """Return whether the engine may get new requests."""
        return not self.leaving and now_s >= self.lost_until_s

    def load(self, now_s: float) -> int:
        """Estimate the requests that run or queue on the engine.

        Without a recent report, only this node's requests are counted.
        """
        if now_s - self._measured_s > REPORT_TTL_S:
            return len(self._outstanding)
        return self._estimate

    def on_load_report(self, report: EngineLoad) -> None:
        """Apply a report unless a later one is known.

        A report measured after the engine was lost makes it usable again.
        """
        if report.measured_s < self._measured_s:
            return
        self._base = report.running + report.queued
        self._measured_s = report.measured_s
        while self._changes and self._changes[0][0] <= report.measured_s:
            self._changes.popleft()
        self._delta = sum(change for _, change in self._changes)
        self._update_estimate()
        if report.measured_s > self.lost_until_s - LOST_BACKOFF_S:
            self.lost_until_s = 0.0

    def on_dispatched(self, request_id: str, now_s: float) -> None:
        """Count a request as in flight; ignore one that already is."""
        if request_id in self._outstanding:
            return
        self._outstanding.add(request_id)
        self._change(now_s, 1)

    def on_finished(self, request_id: str, now_s: float) -> None:
        """Count a request as ended; ignore one that isn't in flight."""
        if request_id not in self._outstanding:
            return
        self._outstanding.discard(request_id)
        self._change(now_s, -1)

    def on_lost(self, now_s: float) -> None:
        """Make the engine unusable for a while, or until it reports."""
        self.lost_until_s = now_s + LOST_BACKOFF_S

    def _change(self, now_s: float, change: int) -> None:
        self._changes.append((now_s, change))
        self._delta += change
        self._update_estimate()

    def _update_estimate(self) -> None:
        self._estimate = max(
            self._base + self._delta,
            len(self._outstanding),
        )
