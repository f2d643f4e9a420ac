"""Count answers during roll-outs, on this host and on other hosts."""

from collections import deque
from collections.abc import Collection, Iterable, Mapping

import msgspec

from bamboodeck.gateway.answer_counts import (
    SLOW_RATIOS,
    AnswerCounts,
    Cell,
    CellCounts,
    add_cells,
    read_load,
    subtract_counts,
)
from bamboodeck.gateway.peer_messages import (
    BaselineCounts,
    EvidenceReport,
    TrialCounts,
)

RECENT_S = 2.0
RECENT_STEP_S = 0.25

# Counts by engine or by service.
CountsByName = dict[str, dict[Cell, AnswerCounts]]
TakenCounts = tuple[float, Mapping[str, CellCounts]]


class PeerCounts(msgspec.Struct, frozen=True):
    """Hold the counts reported by another host."""

    # By engine of a version on trial.
    trial: CountsByName
    # By service, summed over its other versions.
    baseline: CountsByName


class ServiceEngines(msgspec.Struct, frozen=True):
    """List the engines of a service that has a version on trial."""

    service: str
    trial: Collection[str]
    baseline: Collection[str]


class Evidence:
    """Hold the counts of each service since its latest roll-out order."""

    def __init__(self) -> None:
        """Start without answers."""
        # By service.
        self._own: dict[str, CountsByName] = {}
        self._peers: dict[str, PeerCounts] = {}

    def forget(self, service: str) -> None:
        """Remove what is known of a service."""
        self._own.pop(service, None)
        for counts in self._peers.values():
            counts.baseline.pop(service, None)

    def record(
        self,
        service: str,
        engine_id: str,
        cell: Cell,
        *,
        failed: bool,
        time_ratio: float,
    ) -> None:
        """Count an answer by its ratio of observed to predicted time."""
        own = self._own.setdefault(service, {}).setdefault(engine_id, {})
        counts = own.get(cell, AnswerCounts())
        own[cell] = counts.add(failed=failed, time_ratio=time_ratio)

    def merge(self, host: str, report: EvidenceReport) -> None:
        """Replace the counts of another host since the order."""
        trial: CountsByName = {}
        for each in report.trial:
            cells = trial.setdefault(each.engine_id, {})
            cells[Cell(each.route, read_load(each.load))] = _read_counts(each)
        baseline: CountsByName = {}
        for each in report.baseline:
            cells = baseline.setdefault(each.service, {})
            cells[Cell(each.route, read_load(each.load))] = _read_counts(each)
        self._peers[host] = PeerCounts(trial, baseline)

    def build_report(
        self,
        services: Collection[ServiceEngines],
        hosts: Collection[str] = (),
    ) -> EvidenceReport:
        """Return the counts of this host and of `hosts`."""
        trial = []
        baseline = []
        for engines in services:
            for engine_id, cells in self.count_trial(engines, hosts).items():
                trial.extend(
                    TrialCounts(
                        engine_id,
                        *_as_tuple(counts),
                        cell.route,
                        int(cell.load),
                    )
                    for cell, counts in cells.items()
                )
            baseline.extend(
                BaselineCounts(
                    engines.service,
                    *_as_tuple(counts),
                    cell.route,
                    int(cell.load),
                )
                for cell, counts in self.count_baseline(engines, hosts).items()
            )
        return EvidenceReport(tuple(trial), tuple(baseline))

    def count_trial(
        self,
        engines: ServiceEngines,
        hosts: Collection[str] | None = None,
    ) -> dict[str, CellCounts]:
        """Return the counts by engine on trial.

        The counts of `hosts`, by default all, are added to this host's.
        """
        own = self._own.get(engines.service, {})
        peers = [each.trial for each in self._select_peers(hosts)]
        summed = {}
        for engine_id in engines.trial:
            found = _find_all((own, *peers), engine_id)
            if found:
                summed[engine_id] = add_cells(found)
        return summed

    def count_baseline(
        self,
        engines: ServiceEngines,
        hosts: Collection[str] | None = None,
    ) -> CellCounts:
        """Return the counts of the versions that aren't on trial.

        The counts of `hosts`, by default all, are added to this host's.
        """
        own = self._own.get(engines.service, {})
        peers = [each.baseline for each in self._select_peers(hosts)]
        return add_cells(
            [
                *(own[each] for each in engines.baseline if each in own),
                *_find_all(peers, engines.service),
            ],
        )

    def _select_peers(self, hosts: Collection[str] | None) -> list[PeerCounts]:
        return [
            counts
            for host, counts in self._peers.items()
            if hosts is None or host in hosts
        ]


def _find_all(
    sources: Iterable[Mapping[str, CellCounts]],
    name: str,
) -> list[CellCounts]:
    return [source[name] for source in sources if name in source]


def _as_tuple(
    counts: AnswerCounts,
) -> tuple[int, int, int, tuple[int, ...]]:
    first, *others = counts.slow
    # Most counts are of few answers, none of them slow.
    slower = tuple(others) if any(others) else ()
    return (counts.answers, counts.failed, first, slower)


def _read_counts(reported: TrialCounts | BaselineCounts) -> AnswerCounts:
    slow = (reported.slow, *reported.slower)[: len(SLOW_RATIOS)]
    # A host of another version may count by fewer ratios.
    missing = len(SLOW_RATIOS) - len(slow)
    return AnswerCounts(
        reported.answers,
        reported.failed,
        slow + (0,) * missing,
    )


class RecentCounts:
    """Tell the answers of the last seconds from those before.

    A version that turns bad after many good answers shows in these alone.
    """

    def __init__(self) -> None:
        """Start without counts."""
        # Counts by engine, and when they were taken.
        self._taken: deque[TakenCounts] = deque()

    def take(
        self,
        now_s: float,
        counts: Mapping[str, CellCounts],
    ) -> dict[str, CellCounts]:
        """Record the counts by engine; return what was added recently."""
        taken = self._taken
        if not taken or now_s >= taken[-1][0] + RECENT_STEP_S:
            taken.append((now_s, counts))
        while len(taken) > 1 and taken[1][0] <= now_s - RECENT_S:
            taken.popleft()
        before = taken[0][1]
        return {
            engine_id: _subtract(cells, before.get(engine_id, {}))
            for engine_id, cells in counts.items()
        }


def _subtract(after: CellCounts, before: CellCounts) -> CellCounts:
    # A host that was restarted counts anew, so that sums may fall.
    return {
        cell: subtract_counts(counts, before.get(cell, AnswerCounts()))
        for cell, counts in after.items()
    }
