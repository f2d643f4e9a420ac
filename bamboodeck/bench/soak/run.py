"""Run a schedule against the system and gather the record of it."""

from collections.abc import Callable

from bamboodeck.bench.soak.actions import Step
from bamboodeck.bench.soak.callers import Surroundings
from bamboodeck.bench.soak.collecting import Collector, find_log_failures
from bamboodeck.bench.soak.injector import FaultInjector
from bamboodeck.bench.soak.load import SoakLoad
from bamboodeck.bench.soak.operators import Operators
from bamboodeck.bench.soak.record import (
    CustomerRules,
    FinalConfiguration,
    RunRecord,
)
from bamboodeck.bench.soak.settling import Settling
from bamboodeck.bench.soak.watcher import Watcher
from bamboodeck.configuration.parsing import parse_configuration

STOP_HEALING_S = 1.0


class SoakRun:
    """Own the parts of one run."""

    def __init__(
        self,
        surroundings: Surroundings,
        seed: int,
        duration_s: float,
        steps: tuple[Step, ...],
    ) -> None:
        """Prepare the run."""
        self._surroundings = surroundings
        self._duration_s = duration_s
        self._steps = steps
        self._watcher = Watcher(surroundings)
        self._operators = Operators(surroundings)
        self._collector = Collector(surroundings)
        self._load = SoakLoad(surroundings, seed)
        self._injector = FaultInjector(
            surroundings,
            self._operators.race,
            self._before_kill,
        )
        self._started_s = 0.0
        self._unsettled = ''
        self._record: RunRecord | None = None

    def run(self) -> RunRecord | None:
        """Return the record; None if the run was interrupted."""
        self._started_s = self._surroundings.wall_s()
        loop = self._surroundings.loop
        self._watcher.start()
        self._load.start()
        for step in self._steps:
            self._plan(step)
        loop.scheduler.call_after(self._duration_s, self._heal)
        loop.set_stop_handler(loop.finish)
        loop.run()
        return self._record

    def _plan(self, step: Step) -> None:
        self._surroundings.loop.scheduler.call_after(
            step.at_s,
            lambda: self._injector.apply(step.action),
        )

    def _before_kill(self, process: str, go_on: Callable[[], None]) -> None:
        if process in self._surroundings.layout.engines:
            self._collector.keep_engine_record(process, go_on)
            return
        go_on()

    def _heal(self) -> None:
        self._load.stop()
        self._injector.heal()
        # Faults ordered just before may have come after the healing.
        self._surroundings.loop.scheduler.call_after(
            STOP_HEALING_S,
            self._settle,
        )

    def _settle(self) -> None:
        self._injector.heal()
        Settling(
            self._surroundings,
            self._watcher,
            self._is_idle,
            self._collect,
        ).check()

    def _is_idle(self) -> bool:
        return not self._load.open_count and not self._operators.open_count

    def _collect(self, unsettled: str) -> None:
        self._unsettled = unsettled
        self._collector.collect(self._finish)

    def _finish(self) -> None:
        reasons = [self._unsettled, *self._collector.missing]
        reason = '; '.join(filter(None, reasons))
        self._record = RunRecord(
            settled=not reason,
            unsettled_reason=reason,
            started_s=self._started_s,
            customers=self._read_customers(),
            chats=tuple(self._load.chats),
            orders=tuple(self._load.orders),
            skipped_count=self._load.skipped_count,
            order_runs=self._collector.order_runs,
            engine_runs=tuple(self._collector.engine_runs.values()),
            changes=tuple(self._operators.outcomes),
            samples=tuple(self._watcher.samples),
            presets=tuple(self._watcher.presets),
            history=tuple(self._watcher.history.values()),
            invariants=self._watcher.count_invariants(),
            billed_ids=self._collector.billed_ids,
            bills=self._collector.bills,
            finals=self._list_finals(),
            stops=tuple(self._injector.stops),
            disturbed=tuple(self._injector.disturbed),
            log_failures=find_log_failures(self._surroundings.layout.folder),
            trace=tuple(self._injector.trace),
            faults=dict(self._injector.counts),
        )
        self._surroundings.loop.finish()

    def _read_customers(self) -> tuple[CustomerRules, ...]:
        texts = [each.text for each in self._collector.finals if each.text]
        if not texts:
            return ()
        configuration = parse_configuration(texts[0], 'run').draft
        return tuple(
            CustomerRules(
                each.name,
                each.allowed_versions,
                each.move_sessions,
            )
            for each in configuration.customers
        )

    def _list_finals(self) -> tuple[FinalConfiguration, ...]:
        controllers = []
        for host in self._surroundings.layout.hosts:
            state = self._watcher.states.get(host.controller)
            revision = int(state.numbers['revision']) if state else 0
            controllers.append(FinalConfiguration(host.controller, revision))
        return (*self._collector.finals, *controllers)
