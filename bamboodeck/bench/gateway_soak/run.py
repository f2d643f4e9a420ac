"""Run load and faults, let the system settle, and check what was seen."""

import re
from collections import Counter
from contextlib import closing
from functools import partial
from pathlib import Path
from random import Random

import msgspec

from bamboodeck.bench.gateway_soak.checks import (
    StartedRun,
    Violation,
    check_run,
)
from bamboodeck.bench.gateway_soak.faults import LONGEST_FAULT_S, FaultInjector
from bamboodeck.bench.gateway_soak.load import KINDS, SoakLoad
from bamboodeck.bench.gateway_soak.record import RunRecord, Sent
from bamboodeck.bench.gateway_soak.system import (
    GRACE_S,
    FindAddress,
    SoakSystem,
    find_free_address,
)
from bamboodeck.http.client import HttpClient
from bamboodeck.http.messages import HttpCall, HttpOutcome, HttpReply
from bamboodeck.loop.program import Loop
from bamboodeck.platform import protocol

WATCH_PERIOD_S = 0.2
# Callers and engines run on the soak's own loop: while it stands still for
# longer than this, as on a busy machine, what they see is late.
LONGEST_TURN_S = 0.3
# The balancer asks once a second.
READY_PERIOD_S = 0.5
# Engines' requests that hang end with the callers' deadlines.
SETTLE_S = LONGEST_FAULT_S + 10.0
# After all is healed, each host has to serve each kind within this.
RECOVERY_S = 12.0
_OK = 200
_FAILURE_LINE = re.compile('handler_failed|Traceback')


class SoakReport(msgspec.Struct, frozen=True):
    """Tell how a run went."""

    seed: int
    requests: int
    statuses: dict[str, int]
    faults: dict[str, int]
    violations: list[Violation]
    trace: list[str]


class GatewaySoak:
    """Own the parts of one run."""

    def __init__(
        self,
        loop: Loop,
        folder: Path,
        seed: int,
        hosts: int,
        find_address: FindAddress = find_free_address,
    ) -> None:
        """Start the system."""
        self.record = RunRecord()
        self._seed = seed
        self._folder = folder
        self._loop = loop
        self._system = SoakSystem(loop, folder, hosts, find_address)
        random = Random(seed)
        self._load = SoakLoad(self._system, self.record, random)
        self._faults = FaultInjector(self._system, self.record, random)
        self._client = HttpClient(loop)
        self._finals: list[Sent] = []
        self._started = False
        self._watched_s = 0.0
        # A host that is starting is calm only once it was ready.
        for host in self._system.hosts:
            self._faults.note_start(host)

    def run(self, duration_s: float) -> SoakReport:
        """Run for a time after all hosts are ready; end what was started."""
        self._duration_s = duration_s
        scheduler = self._loop.scheduler
        scheduler.call_every(WATCH_PERIOD_S, self._watch)
        scheduler.call_every(READY_PERIOD_S, self._ask_ready)
        with closing(self._system):
            self._loop.run()
        return self._report()

    def _watch(self) -> None:
        now_s = self._loop.scheduler.now_s()
        watched_s = self._watched_s
        self._watched_s = now_s
        if watched_s and now_s - watched_s > WATCH_PERIOD_S + LONGEST_TURN_S:
            self.record.note_stall(watched_s, now_s)
        for host in self._system.hosts.values():
            ended = host.process.restart_if_ended()
            if ended is not None:
                self.record.exits.append(ended)
                self._faults.note_start(ended.host)

    def _ask_ready(self) -> None:
        for name, host in self._system.hosts.items():
            call = HttpCall(
                host.ready,
                'GET',
                protocol.READY_PATH,
                timeout_s=READY_PERIOD_S,
            )
            self._client.send(
                call,
                partial(self._take_ready, name),
                fresh_connection=True,
            )

    def _take_ready(self, host: str, outcome: HttpOutcome) -> None:
        if not isinstance(outcome, HttpReply) or outcome.status != _OK:
            return
        self._faults.note_ready(host)
        if not self._started and self._faults.all_ready:
            self._started = True
            self._load.start()
            self._faults.start()
            scheduler = self._loop.scheduler
            scheduler.call_after(self._duration_s, self._heal)

    def _heal(self) -> None:
        self._faults.stop()
        self._load.stop()
        self._loop.scheduler.call_after(SETTLE_S + GRACE_S, self._ask_all)

    def _ask_all(self) -> None:
        for host in self._system.hosts:
            for kind, method, path in KINDS:
                client = HttpClient(self._loop)
                self._finals.append(
                    self._load.send(host, client, kind, method, path),
                )
        self._loop.scheduler.call_after(RECOVERY_S, self._finish)

    def _finish(self) -> None:
        if self._load.open_count:
            open_count = self._load.open_count
            self.record.unsettled.append(f'{open_count} requests are open')
        for sent in self._finals:
            if sent.status != _OK or not sent.whole:
                self.record.unsettled.append(
                    f'{sent.host} answers {sent.kind.value} with '
                    f'{sent.status} {sent.failure}',
                )
        self._loop.finish()

    def _report(self) -> SoakReport:
        engines = (*self._system.engines.values(), *self._system.gone)
        runs = [
            StartedRun(engine.engine_id, run)
            for engine in engines
            for run in engine.runs
        ]
        statuses = Counter(
            str(sent.status or 'none') for sent in self.record.sent
        )
        return SoakReport(
            self._seed,
            len(self.record.sent),
            dict(sorted(statuses.items())),
            dict(sorted(self.record.faults.items())),
            check_run(self.record, runs, self._find_failures()),
            self.record.trace,
        )

    def _find_failures(self) -> list[str]:
        return [
            line
            for log in sorted(self._folder.glob('*.log'))
            for line in log.read_text(errors='replace').splitlines()
            if _FAILURE_LINE.search(line)
        ]
