"""Share reports of requests that crash engines between entry processes."""

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
from bamboodeck.entry.trials import OnChange, TrialCoordinator
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

CRASH_REPORT_DELAY_S = 0.2
TURN_RETRY_S = 0.2
DIGEST_PERIOD_S = 5.0
MAX_DIGEST_FINGERPRINTS = 64
MAX_QUERIED_PEERS = 3


@dataclass(frozen=True, slots=True)
class EngineCrashed:
    """Log an engine crash and how many requests of this node ran there."""

    engine: str
    suspects: int


@dataclass(frozen=True, slots=True)
class RequestStopped:
    """Log that a request is refused because it crashed engines."""

    fingerprint: str
    engines: str


class PoisonExchange:
    """Exchange crash reports and run suspected requests one per engine."""

    def __init__(
        self,
        environment: Environment,
        link: PeerLink,
        fleet: FleetMap,
        scheduler: Scheduler,
        log: EventLog,
    ) -> None:
        """Subscribe to reports and ask some peers for theirs."""
        self.guard = PoisonGuard()
        self.crash_count = 0
        self.stopped_count = 0
        self._environment = environment
        self._link = link
        self._fleet = fleet
        self._scheduler = scheduler
        self._log = log
        self.trials = TrialCoordinator(
            link,
            scheduler,
            fleet,
            log,
            self._list_running,
        )
        link.on(PoisonReports, self._on_reports)
        link.on(PoisonReportsWanted, self._on_wanted)
        scheduler.call_every(DIGEST_PERIOD_S, self._send_to_random_peer)
        self._query_peers()

    @property
    def counters(self) -> dict[str, int]:
        """Return the counters, by metric name."""
        counts = self.trials.counts
        return {
            'engine_crashes': self.crash_count,
            'stopped_requests': self.stopped_count,
            'trials_granted': counts.granted,
            'trials_denied': counts.denied,
            'trials_unanswered': counts.unanswered,
        }

    def apply_configuration(self, configuration: Configuration) -> None:
        """Update the engines and their arbiters."""
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
        """Return the engines where a crash could not be attributed."""
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
        """Return whether a request may run on an engine now.

        If not, `on_change` is called once the request should be routed again:
        after the reports of its last crash or the arbiter's answer.
        """
        if not self._is_suspect(fingerprint):
            return True
        if engine in self.trials.held_engines(fingerprint):
            return True
        delay_s = self._report_delay_left_s(fingerprint)
        if delay_s > 0:
            self._scheduler.call_after(delay_s, on_change)
            return False
        self.trials.ask(RunningSuspect(fingerprint, engine), on_change)
        return False

    def wait(self, fingerprint: str, on_change: OnChange) -> bool:
        """Return whether a suspect without an engine has to wait for one.

        If so, `on_change` is called when it should be routed again.
        """
        if not self._is_suspect(fingerprint):
            return False
        held = self.trials.held_engines(fingerprint)
        self.trials.release_unused(fingerprint)
        if not held and not self.trials.busy_engines():
            return False
        self._scheduler.call_after(TURN_RETRY_S, on_change)
        return True

    def start(self, fingerprint: str, engine: str) -> None:
        """Record the start of an attempt."""
        self.guard.start(fingerprint, engine)
        if self._is_suspect(fingerprint):
            self.trials.report_running()

    def cancel(self, fingerprint: str, engine: str) -> None:
        """Record an attempt that ended early, which clears no suspicion."""
        self.guard.cancel(fingerprint, engine)
        if self._is_suspect(fingerprint):
            self.trials.report_running()

    def finish(self, fingerprint: str, engine: str) -> None:
        """Record a completed attempt, which clears its request."""
        suspected = self._is_suspect(fingerprint)
        now_s = self._environment.wall_s()
        reports = self.guard.finish(fingerprint, engine, now_s)
        if suspected:
            self._send(reports)

    def crash(self, engine: str) -> None:
        """Mark all requests that ran on a crashed engine as suspects."""
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

    def _query_peers(self) -> None:
        peers = self._fleet.in_zone(PeerRole.ENTRY) or self._fleet.entries()
        count = min(len(peers), MAX_QUERIED_PEERS)
        for peer in self._environment.random.sample(peers, count):
            self._link.send(peer, PoisonReportsWanted())

    def _send_to_random_peer(self) -> None:
        # Repairs nodes that missed reports while they were partitioned.
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

    def _report_delay_left_s(self, fingerprint: str) -> float:
        """Return the seconds for which crash reports may be in flight."""
        reported_s = self.guard.crash_reported_s(fingerprint)
        age_s = self._environment.wall_s() - reported_s
        return min(CRASH_REPORT_DELAY_S - age_s, CRASH_REPORT_DELAY_S)

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
