"""Request trial leases for suspected requests, and grant them as arbiter."""

import functools
import logging
from collections.abc import Callable
from dataclasses import dataclass

from bamboodeck.admission.poison import RunningSuspect
from bamboodeck.admission.trials import Trial, TrialLeases, choose_arbiter
from bamboodeck.configuration.model import Configuration
from bamboodeck.logs import EventLog
from bamboodeck.loop.scheduler import Scheduler
from bamboodeck.peers.fleet import FleetMap
from bamboodeck.peers.link import PeerLink
from bamboodeck.peers.messages import TrialAnswer, TrialEnded, TrialWanted
from bamboodeck.peers.messenger import Messenger
from bamboodeck.settings.process import PeerRole

ANSWER_TIMEOUT_S = 0.5
BUSY_DURATION_S = 0.3
REPORT_PERIOD_S = 1.0

OnChange = Callable[[], None]


@dataclass(frozen=True, slots=True)
class TrialDecided:
    """Log whether a suspected request may run on an engine.

    The outcome is `granted`, `denied` or `unanswered`.
    """

    fingerprint: str
    engine: str
    arbiter: str
    outcome: str


@dataclass(slots=True)
class TrialCounts:
    """Counts of trial requests, by outcome."""

    granted: int = 0
    denied: int = 0
    unanswered: int = 0


class TrialCoordinator:
    """Reserve an engine for one suspected request at a time."""

    def __init__(
        self,
        link: PeerLink,
        scheduler: Scheduler,
        fleet: FleetMap,
        log: EventLog,
        list_running: Callable[[], tuple[RunningSuspect, ...]],
    ) -> None:
        """Subscribe to trial messages as client and as arbiter."""
        self.counts = TrialCounts()
        self.engines: frozenset[str] = frozenset()
        self._scheduler = scheduler
        self._log = log
        self._list_running = list_running
        self._nodes = tuple(
            each for each in fleet.nodes if each.role is PeerRole.ENTRY
        )
        self._arbiters: dict[str, str] = {}
        self._leases = TrialLeases(scheduler.now_s())
        self._waiting: dict[RunningSuspect, list[OnChange]] = {}
        self._granted_s: dict[RunningSuspect, float] = {}
        self._reported: frozenset[RunningSuspect] = frozenset()
        self._busy_until_s: dict[str, float] = {}
        self._messenger = Messenger(link, scheduler, fleet.own.node)
        self._messenger.on(TrialWanted, self._on_wanted)
        self._messenger.on(TrialAnswer, self._on_answer)
        self._messenger.on(TrialEnded, self._on_ended)
        scheduler.call_every(REPORT_PERIOD_S, self._report_all)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Choose each engine's arbiter, in the engine's zone if possible."""
        self.engines = frozenset(each.name for each in configuration.engines)
        self._arbiters = {
            each.name: choose_arbiter(each.name, self._candidates(each.zone))
            for each in configuration.engines
        }

    def held_engines(self, fingerprint: str) -> frozenset[str]:
        """Return the engines that a suspect runs on or was granted."""
        return frozenset(
            each.host
            for each in (*self._granted_s, *self._reported)
            if each.fingerprint == fingerprint
        )

    def busy_engines(self) -> frozenset[str]:
        """Return the engines that were recently denied or given up."""
        now_s = self._scheduler.now_s()
        return frozenset(
            engine
            for engine, until_s in self._busy_until_s.items()
            if until_s > now_s
        )

    def ask(self, suspect: RunningSuspect, on_change: OnChange) -> None:
        """Request a trial; call back on the answer or on timeout."""
        waiting = self._waiting.get(suspect)
        if waiting is not None:
            waiting.append(on_change)
            return
        self._waiting[suspect] = [on_change]
        self._send_wanted(suspect, running=False)
        self._scheduler.call_after(
            ANSWER_TIMEOUT_S,
            functools.partial(self._complete, suspect, 'unanswered'),
        )

    def release_unused(self, fingerprint: str) -> None:
        """Release the engines granted to a suspect that it does not run on."""
        for suspect in tuple(self._granted_s):
            if suspect.fingerprint == fingerprint:
                self._granted_s.pop(suspect)
                self._set_busy(suspect.host)
                self._send_ended(suspect)

    def report_running(self) -> None:
        """Report suspects that started or ended since the last call."""
        running = frozenset(self._list_running())
        for begun in running - self._reported:
            self._granted_s.pop(begun, None)
            self._send_wanted(begun, running=True)
        for ended in self._reported - running:
            self._send_ended(ended)
        self._reported = running

    def _report_all(self) -> None:
        now_s = self._scheduler.now_s()
        self._leases.evict_expired(now_s)
        self.report_running()
        for suspect in self._reported:
            self._send_wanted(suspect, running=True)
        for unused, granted_s in tuple(self._granted_s.items()):
            if now_s - granted_s >= REPORT_PERIOD_S:
                self._granted_s.pop(unused)
                self._send_ended(unused)

    def _complete(self, suspect: RunningSuspect, outcome: str) -> None:
        waiting = self._waiting.pop(suspect, None)
        if waiting is None:
            return
        now_s = self._scheduler.now_s()
        match outcome:
            case 'granted':
                self.counts.granted += 1
                self._granted_s[suspect] = now_s
            case 'denied':
                self.counts.denied += 1
                self._set_busy(suspect.host)
            case _:
                self.counts.unanswered += 1
                self._set_busy(suspect.host)
        self._log.emit(
            TrialDecided(
                suspect.fingerprint,
                suspect.host,
                self._arbiters.get(suspect.host, ''),
                outcome,
            ),
            logging.DEBUG if outcome == 'denied' else logging.INFO,
        )
        for on_change in waiting:
            on_change()

    def _on_wanted(self, sender: str, wanted: TrialWanted) -> None:
        trial = Trial(wanted.engine, wanted.fingerprint, sender)
        now_s = self._scheduler.now_s()
        if wanted.running:
            self._leases.renew(trial, now_s)
            return
        self._messenger.send(
            sender,
            TrialAnswer(
                wanted.engine,
                wanted.fingerprint,
                self._leases.acquire(trial, now_s),
            ),
        )

    def _on_answer(self, sender: str, answer: TrialAnswer) -> None:
        suspect = RunningSuspect(answer.fingerprint, answer.engine)
        if suspect in self._waiting:
            self._complete(suspect, 'granted' if answer.granted else 'denied')
            return
        known = suspect in self._granted_s or suspect in self._reported
        if answer.granted and not known:
            self._send_ended(suspect)

    def _on_ended(self, sender: str, ended: TrialEnded) -> None:
        self._leases.release(Trial(ended.engine, ended.fingerprint, sender))

    def _send_wanted(self, suspect: RunningSuspect, *, running: bool) -> None:
        self._send(
            suspect,
            TrialWanted(suspect.host, suspect.fingerprint, running),
        )

    def _send_ended(self, suspect: RunningSuspect) -> None:
        self._send(suspect, TrialEnded(suspect.host, suspect.fingerprint))

    def _send(
        self,
        suspect: RunningSuspect,
        message: TrialWanted | TrialEnded,
    ) -> None:
        arbiter = self._arbiters.get(suspect.host)
        if arbiter is not None:
            self._messenger.send(arbiter, message)

    def _set_busy(self, engine: str) -> None:
        self._busy_until_s[engine] = self._scheduler.now_s() + BUSY_DURATION_S

    def _candidates(self, zone: str) -> tuple[str, ...]:
        near = tuple(each.node for each in self._nodes if each.zone == zone)
        return near or tuple(each.node for each in self._nodes)
