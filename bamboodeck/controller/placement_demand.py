"""Sum the demand for versions that a zone's nodes report."""

from collections.abc import Callable
from dataclasses import dataclass

from bamboodeck.controller.placement_needs import ZoneDemand
from bamboodeck.peers.messages import VersionDemandReported
from bamboodeck.peers.messenger import Messenger

FORGET_AFTER_S = 90.0


@dataclass(frozen=True, slots=True)
class _Heard:
    report: VersionDemandReported
    heard_s: float


class DemandCollector:
    """Keep the last report of each node, for a while."""

    def __init__(
        self,
        post: Messenger,
        entries: tuple[str, ...],
        now_s: Callable[[], float],
    ) -> None:
        """Listen to the zone's entry processes."""
        self._entries = frozenset(entries)
        self._now_s = now_s
        self._heard: dict[str, _Heard] = {}
        post.on(VersionDemandReported, self._on_reported)

    def sum_demand(self) -> dict[str, ZoneDemand]:
        """Return the demand for each version."""
        oldest_s = self._now_s() - FORGET_AFTER_S
        demands: dict[str, ZoneDemand] = {}
        for heard in self._heard.values():
            if heard.heard_s < oldest_s:
                continue
            for row in heard.report.rows:
                known = demands.get(row.version, ZoneDemand())
                demands[row.version] = ZoneDemand(
                    known.streams + row.streams,
                    known.sessions + row.sessions,
                )
        return demands

    def _on_reported(
        self,
        sender: str,
        report: VersionDemandReported,
    ) -> None:
        if sender in self._entries:
            self._heard[sender] = _Heard(report, self._now_s())
