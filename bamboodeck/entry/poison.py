"""Tell other entry processes of requests that crash engines."""

from dataclasses import dataclass

from bamboodeck.admission.messages import Refused
from bamboodeck.admission.poison import (
    ClearReport,
    CrashReport,
    PoisonGuard,
    PoisonReport,
    RunningSuspect,
)
from bamboodeck.configuration.model import Configuration
from bamboodeck.entry.trials import OnChange, TrialKeeper
from bamboodeck.environment import Environment
from bamboodeck.logs import EventLog
from bamboodeck.loop.scheduler import Scheduler
from bamboodeck.peers.fleet import FleetMap
from bamboodeck.peers.link import PeerLink
from bamboodeck.peers.messages import (
    CrashRow,
    PoisonReports,
    PoisonReportsWanted,
)
from bamboodeck.settings.process import PeerRole

SETTLE_S = 0.2
WAIT_S = 0.2
DIGEST_PERIOD_S = 5.0
MAX_DIGEST_FINGERPRINTS = 64
MAX_ASKED_PEERS = 3


@dataclass(frozen=True, slots=True)
class EngineCrashed:
    """Log the requests of this node that were running on a crashed engine."""

    engine: str
    suspects: int


@dataclass(frozen=True, slots=True)
class RequestStopped:
    """Log that a request is refused, as it crashed engines."""

    fingerprint: str
    engines: str


class PoisonExchange:
    """Send this node's reports, merge others and keep suspects apart."""

    def __init__(
        self,
        environment: Environment,
        link: PeerLink,
        fleet: FleetMap,
        scheduler: Scheduler,
        log: EventLog,
    ) -> None:
        """Listen for reports."""
        self.guard = PoisonGuard()
        self.crash_count = 0
        self.stopped_count = 0
        self._environment = environment
        self._link = link
        self._fleet = fleet
        self._scheduler = scheduler
        self._log = log
        self.trials = TrialKeeper(
            link,
            scheduler,
            fleet,
            log,
            self._list_running,
        )
        link.on(PoisonReports, self._on_reports)
        link.on(PoisonReportsWanted, self._on_wanted)
        scheduler.call_every(DIGEST_PERIOD_S, self._send_to_any)
        self._ask_peers()

    @property
    def counters(self) -> dict[str, int]:
        """Return what was counted, by name."""
        counts = self.trials.counts
        return {
            'engine_crashes': self.crash_count,
            'stopped_requests': self.stopped_count,
            'trials_granted': counts.granted,
            'trials_denied': counts.denied,
            'trials_unanswered': counts.unanswered,
        }

    def apply_configuration(self, configuration: Configuration) -> None:
        """Learn the engines and their arbiters."""
        self.trials.apply_configuration(configuration)

    def check(self, fingerprint: str) -> Refused | None:
        """Refuse a request that has crashed two engines."""
        refused = self.guard.check(fingerprint, self._environment.wall_s())
        if refused is not None:
            self.stopped_count += 1
            engines = ','.join(sorted(self.guard.crashed_hosts(fingerprint)))
            self._log.emit(RequestStopped(fingerprint, engines))
        return refused

    def engines_to_avoid(self, fingerprint: str) -> frozenset[str]:
        """Return the engines on which an attempt would blur a crash."""
        if not self._is_suspect(fingerprint):
            return frozenset()
        crashed = self.guard.crashed_hosts(fingerprint)
        held = self.trials.held_engines(fingerprint) - crashed
        if held:
            return self.trials.engines - held
        return crashed | self.trials.busy_engines()

    def reserve(
        self,
        fingerprint: str,
        engine: str,
        on_change: OnChange,
    ) -> bool:
        """Tell whether a request may run on an engine now.

        If not, its arbiter is asked, and `on_change` is called once the
        request should be routed again.
        """
        if not self._is_suspect(fingerprint):
            return True
        if engine in self.trials.held_engines(fingerprint):
            return True
        settle_s = self._settle_s(fingerprint)
        if settle_s > 0:
            self._scheduler.call_after(settle_s, on_change)
            return False
        self.trials.ask(RunningSuspect(fingerprint, engine), on_change)
        return False

    def wait(self, fingerprint: str, on_change: OnChange) -> bool:
        """Let a suspect that found no engine wait for its turn, if it has to.

        Otherwise `on_change` isn't called.
        """
        if not self._is_suspect(fingerprint):
            return False
        held = self.trials.held_engines(fingerprint)
        self.trials.give_back(fingerprint)
        if not held and not self.trials.busy_engines():
            return False
        self._scheduler.call_after(WAIT_S, on_change)
        return True

    def start(self, fingerprint: str, engine: str) -> None:
        """Note an attempt that begins."""
        self.guard.start(fingerprint, engine)
        if self._is_suspect(fingerprint):
            self.trials.report_running()

    def cancel(self, fingerprint: str, engine: str) -> None:
        """Note an attempt that ended early and proves nothing."""
        self.guard.cancel(fingerprint, engine)
        if self._is_suspect(fingerprint):
            self.trials.report_running()

    def finish(self, fingerprint: str, engine: str) -> None:
        """Note an attempt that has finished whole."""
        suspected = self._is_suspect(fingerprint)
        now_s = self._environment.wall_s()
        reports = self.guard.finish(fingerprint, engine, now_s)
        if suspected:
            self._send(reports)

    def crash(self, engine: str) -> None:
        """Suspect all that ran on an engine that crashed."""
        reports = self.guard.crash(engine, self._environment.wall_s())
        if not reports:
            return
        self.crash_count += 1
        self._log.emit(EngineCrashed(engine, len(reports)))
        self._send(reports)

    def _send(self, reports: tuple[PoisonReport, ...]) -> None:
        message = PoisonReports(tuple(_build_row(each) for each in reports))
        for peer in self._fleet.entries():
            self._link.send(peer, message)
        self.trials.report_running()

    def _ask_peers(self) -> None:
        peers = self._fleet.in_zone(PeerRole.ENTRY) or self._fleet.entries()
        asked = min(len(peers), MAX_ASKED_PEERS)
        for peer in self._environment.random.sample(peers, asked):
            self._link.send(peer, PoisonReportsWanted())

    def _send_to_any(self) -> None:
        # Nodes that were cut off have missed reports.
        peers = self._fleet.entries()
        if peers:
            self._send_digest(self._environment.random.choice(peers))

    def _send_digest(self, peer: str) -> None:
        reports = self.guard.reports(
            self._environment.wall_s(),
            MAX_DIGEST_FINGERPRINTS,
        )
        if reports:
            rows = tuple(_build_row(each) for each in reports)
            self._link.send(peer, PoisonReports(rows))

    def _on_wanted(self, sender: str, wanted: PoisonReportsWanted) -> None:
        self._send_digest(sender)

    def _on_reports(self, sender: str, message: PoisonReports) -> None:
        self.guard.merge(
            [_read_row(row) for row in message.rows],
            self._environment.wall_s(),
        )
        self.trials.report_running()

    def _is_suspect(self, fingerprint: str) -> bool:
        return self.guard.is_suspect(fingerprint, self._environment.wall_s())

    def _settle_s(self, fingerprint: str) -> float:
        """Return how long reports of the last crash may still be under way."""
        heard_s = self.guard.crash_reported_s(fingerprint)
        age_s = self._environment.wall_s() - heard_s
        return min(SETTLE_S - age_s, SETTLE_S)

    def _list_running(self) -> tuple[RunningSuspect, ...]:
        return self.guard.running_suspects(self._environment.wall_s())


def _build_row(report: PoisonReport) -> CrashRow:
    match report:
        case CrashReport(fingerprint, host, crashed_s):
            return CrashRow(fingerprint, host, crashed_s)
        case ClearReport(fingerprint, cleared_s):
            return CrashRow(fingerprint, '', cleared_s)


def _read_row(row: CrashRow) -> PoisonReport:
    if row.host:
        return CrashReport(row.fingerprint, row.host, row.time_s)
    return ClearReport(row.fingerprint, row.time_s)
