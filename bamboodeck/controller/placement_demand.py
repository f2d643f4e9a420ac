"""Aggregate the demand for versions that a zone's nodes report."""

from collections.abc import Callable
from dataclasses import dataclass

from bamboodeck.controller.placement_needs import ZoneDemand
from bamboodeck.peers.messages import VersionDemandReported
from bamboodeck.peers.messenger import Messenger

REPORT_TTL_S = 90.0


@dataclass(frozen=True, slots=True)
class _ReceivedReport:
    report: VersionDemandReported
    received_s: float


class DemandCollector:
    """Keep the last report of each node until it expires."""

    def __init__(
        self,
        messenger: Messenger,
        entries: tuple[str, ...],
        now_s: Callable[[], float],
    ) -> None:
        """Subscribe to demand reports of the zone's entry processes."""
        self._entries = frozenset(entries)
        self._now_s = now_s
        self._reports: dict[str, _ReceivedReport] = {}
        messenger.on(VersionDemandReported, self._on_reported)

    def sum_demand(self) -> dict[str, ZoneDemand]:
        """Return the total demand for each version."""
        oldest_s = self._now_s() - REPORT_TTL_S
        demands: dict[str, ZoneDemand] = {}
        for received in self._reports.values():
            if received.received_s < oldest_s:
                continue
            for row in received.report.rows:
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
            self._reports[sender] = _ReceivedReport(report, self._now_s())
