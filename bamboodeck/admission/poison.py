"""Refuse requests that have crashed engines on several hosts."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from bamboodeck.admission.messages import Refused, RefusalCode

CRASHES_TO_REFUSE = 2
# On one host that restarts, crashes for other reasons are more likely.
RESTARTS_TO_REFUSE = 3
DEFAULT_EXPIRY_S = 600.0
DEFAULT_MAX_FINGERPRINTS = 4096
MAX_FINISHED = 20_000


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Report that a request was in flight on a host whose engine crashed."""

    fingerprint: str
    host: str
    crashed_s: float
    # Tells restarts of the host's engine apart, where they are known.
    incarnation: str = ''


@dataclass(frozen=True, slots=True)
class ClearReport:
    """Report that a suspected request has finished without a crash."""

    fingerprint: str
    cleared_s: float


PoisonReport = CrashReport | ClearReport


@dataclass(frozen=True, slots=True)
class RunningSuspect:
    """Identify a suspected request and the host on which it runs."""

    fingerprint: str
    host: str


@dataclass(slots=True)
class _Suspicion:
    # When each host, and each known incarnation of its engine, crashed.
    crashes: dict[tuple[str, str], float] = field(default_factory=dict)
    cleared_s: float = 0.0
    crash_reported_s: float = 0.0

    def newest_s(self) -> float:
        return max(max(self.crashes.values(), default=0.0), self.cleared_s)

    def add_crash(self, report: CrashReport, now_s: float) -> None:
        if report.crashed_s <= self.cleared_s:
            return
        key = (report.host, report.incarnation)
        if key not in self.crashes:
            self.crash_reported_s = now_s
        known_s = self.crashes.get(key, report.crashed_s)
        self.crashes[key] = max(known_s, report.crashed_s)

    def clear(self, cleared_s: float) -> None:
        self.cleared_s = max(self.cleared_s, cleared_s)
        self.crashes = {
            key: crashed_s
            for key, crashed_s in self.crashes.items()
            if crashed_s > self.cleared_s
        }


class PoisonGuard:
    """Refuse requests that were in flight at crashes on two hosts.

    After crashes on two distinct hosts the fingerprint is refused until
    `expiry_s` after the last crash. Times are wall-clock seconds, as they are
    compared between zones.
    """

    def __init__(
        self,
        expiry_s: float = DEFAULT_EXPIRY_S,
        max_fingerprints: int = DEFAULT_MAX_FINGERPRINTS,
    ) -> None:
        """Start without suspects."""
        self._expiry_s = expiry_s
        self._max_fingerprints = max_fingerprints
        self._in_flight: dict[str, dict[str, int]] = {}
        self._suspicions: dict[str, _Suspicion] = {}
        # When requests last finished, as a crash before may be reported later.
        self._finished: OrderedDict[str, float] = OrderedDict()

    def start(self, fingerprint: str, host: str) -> None:
        """Record the start of an attempt on a host."""
        running = self._in_flight.setdefault(host, {})
        running[fingerprint] = running.get(fingerprint, 0) + 1

    def cancel(self, fingerprint: str, host: str) -> None:
        """Record the end of an unfinished attempt, which clears no suspect."""
        running = self._in_flight.get(host, {})
        left = running.get(fingerprint, 0) - 1
        if left > 0:
            running[fingerprint] = left
            return
        running.pop(fingerprint, None)
        if not running:
            self._in_flight.pop(host, None)

    def finish(
        self,
        fingerprint: str,
        host: str,
        now_s: float,
    ) -> tuple[ClearReport, ...]:
        """Record a complete attempt and clear its request of suspicion."""
        self.cancel(fingerprint, host)
        self._finished[fingerprint] = now_s
        self._finished.move_to_end(fingerprint)
        if len(self._finished) > MAX_FINISHED:
            self._finished.popitem(last=False)
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or not suspicion.crashes:
            return ()
        suspicion.clear(now_s)
        return (ClearReport(fingerprint, now_s),)

    def crash(self, host: str, now_s: float) -> tuple[CrashReport, ...]:
        """Suspect all requests in flight on a host whose engine crashed."""
        running = self._in_flight.pop(host, {})
        reports = tuple(
            CrashReport(fingerprint, host, now_s) for fingerprint in running
        )
        self.merge(reports, now_s)
        return reports

    def merge(self, reports: Iterable[PoisonReport], now_s: float) -> None:
        """Merge reports of other nodes and zones, in any order."""
        for report in reports:
            suspicion = self._suspicions.setdefault(
                report.fingerprint,
                _Suspicion(),
            )
            match report:
                case ClearReport(cleared_s=cleared_s):
                    suspicion.clear(cleared_s)
                case CrashReport(fingerprint=fingerprint, crashed_s=crashed_s):
                    finished_s = self._finished.get(fingerprint, 0.0)
                    suspicion.clear(finished_s if finished_s > crashed_s else 0)
                    suspicion.add_crash(report, now_s)
        self._evict(now_s)

    def reports(
        self,
        now_s: float,
        max_fingerprints: int | None = None,
    ) -> tuple[PoisonReport, ...]:
        """Return the reports to share, suspects with the most hosts first."""
        self._evict(now_s)
        found: list[PoisonReport] = []
        ranked = sorted(self._suspicions, key=self._rank, reverse=True)
        for fingerprint in ranked[:max_fingerprints]:
            suspicion = self._suspicions[fingerprint]
            if suspicion.cleared_s:
                found.append(ClearReport(fingerprint, suspicion.cleared_s))
            found.extend(
                CrashReport(fingerprint, host, crashed_s, incarnation)
                for (host, incarnation), crashed_s in suspicion.crashes.items()
            )
        return tuple(found)

    def check(self, fingerprint: str, now_s: float) -> Refused | None:
        """Refuse a request that was in flight at crashes on two hosts."""
        recent_s = self._recent_crashes(fingerprint, now_s)
        hosts = {host for host, _ in recent_s}
        if len(hosts) < CRASHES_TO_REFUSE and (
            len(recent_s) < RESTARTS_TO_REFUSE
        ):
            return None
        left_s = max(recent_s.values()) + self._expiry_s - now_s
        return Refused(
            RefusalCode.POISON,
            f'the request crashed engines on {len(hosts)} hosts',
            left_s,
        )

    def is_suspect(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a request was in flight at a recent crash."""
        return bool(self._recent_crashes(fingerprint, now_s))

    def crash_reported_s(self, fingerprint: str) -> float:
        """Return when this node learned of a suspect's latest crashed host."""
        suspicion = self._suspicions.get(fingerprint)
        return 0.0 if suspicion is None else suspicion.crash_reported_s

    def crashed_hosts(self, fingerprint: str) -> frozenset[str]:
        """Return the hosts on which a suspect may have crashed engines."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None:
            return frozenset()
        return frozenset(host for host, _ in suspicion.crashes)

    def is_running(self, fingerprint: str, host: str) -> bool:
        """Return whether this node runs the request on a host."""
        return fingerprint in self._in_flight.get(host, {})

    def running_suspects(self, now_s: float) -> tuple[RunningSuspect, ...]:
        """Return the suspects that this node runs, with their hosts."""
        if not self._suspicions:
            return ()
        return tuple(
            RunningSuspect(fingerprint, host)
            for host, running in self._in_flight.items()
            for fingerprint in running
            if self.is_suspect(fingerprint, now_s)
        )

    def _recent_crashes(
        self,
        fingerprint: str,
        now_s: float,
    ) -> dict[tuple[str, str], float]:
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None:
            return {}
        return {
            key: crashed_s
            for key, crashed_s in suspicion.crashes.items()
            if now_s - crashed_s < self._expiry_s
        }

    def _evict(self, now_s: float) -> None:
        stale = [
            fingerprint
            for fingerprint, suspicion in self._suspicions.items()
            if now_s - suspicion.newest_s() >= self._expiry_s
        ]
        for fingerprint in stale:
            self._suspicions.pop(fingerprint)
        excess = len(self._suspicions) - self._max_fingerprints
        if excess <= 0:
            return
        # Evicts the suspects with the fewest and the oldest crashes.
        ranked = sorted(self._suspicions, key=self._rank)
        for fingerprint in ranked[:excess]:
            self._suspicions.pop(fingerprint)

    def _rank(self, fingerprint: str) -> tuple[int, float]:
        suspicion = self._suspicions[fingerprint]
        return len(suspicion.crashes), suspicion.newest_s()
