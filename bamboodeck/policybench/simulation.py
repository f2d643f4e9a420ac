"""Run the routing code against simulated engines on a virtual clock."""

import random
from collections.abc import Callable

from bamboodeck.policybench import events
from bamboodeck.policybench.building import build_configuration
from bamboodeck.policybench.clairvoyant import run_clairvoyant
from bamboodeck.policybench.outcome import Outcome, Tally
from bamboodeck.policybench.policies import (
    Clairvoyant,
    Policy,
    adapt_preset,
)
from bamboodeck.policybench.scenario import draw_requests
from bamboodeck.policybench.serving import Serving
from bamboodeck.policybench.workload import Fault, Workload, ZoneCut
from bamboodeck.routing.messages import EngineLoad

CONTROL_PERIOD_S = 5.0

Progress = Callable[[float], None]


class Simulation:
    """Process the events of one run in the order of their times."""

    def __init__(
        self,
        workload: Workload,
        policy: Policy,
        seed: int,
    ) -> None:
        """Create the request generator, the nodes and the engines."""
        self._workload = workload
        preset = adapt_preset(workload.preset, policy)
        configuration = build_configuration(workload, preset)
        rng = random.Random(seed + 1)
        self.serving = Serving(workload, configuration, policy, rng)
        self._clock = self.serving.clock
        self._requests = draw_requests(workload, seed)
        self._arrivals_pending = True

    def run(self, progress: Progress | None = None) -> Tally:
        """Run until every request has ended."""
        self._schedule_initial_events()
        while self._arrivals_pending or self.serving.in_flight_count:
            event = self._clock.next_event()
            self._handle(event)
            if progress is not None and isinstance(event, events.LoadsDue):
                progress(self._clock.now_s)
        return self.serving.tally

    def _schedule_initial_events(self) -> None:
        self._schedule_arrival()
        self._clock.at(0, events.LoadsDue())
        settings = self._workload.settings
        self._clock.at(settings.relay_period_s, events.RelayDue())
        self._clock.at(CONTROL_PERIOD_S, events.ControlDue())
        for fault in self._workload.faults:
            self._clock.at(fault.at_s, events.FaultChanged(fault, begins=True))
            if fault.until_s < settings.duration_s:
                ended = events.FaultChanged(fault, begins=False)
                self._clock.at(fault.until_s, ended)

    def _schedule_arrival(self) -> None:
        request = next(self._requests, None)
        if request is None:
            self._arrivals_pending = False
            return
        self._clock.at(request.at_s, events.RequestArrived(request))

    def _handle(self, event: events.Event) -> None:
        match event:
            case events.RequestArrived(request):
                self._schedule_arrival()
                self.serving.on_arrived(request)
            case events.AnswerGenerated(engine, attempt):
                self.serving.on_generated(engine, attempt)
            case events.StepRated(attempt, outcome):
                self.serving.on_step_rated(attempt, outcome)
            case events.AnswerRated(node, rating):
                self.serving.on_rating(node, rating)
            case _:
                self._handle_platform(event)

    def _handle_platform(self, event: events.PlatformEvent) -> None:
        match event:
            case events.LoadsDue():
                self._on_loads_due()
            case events.LoadsReported(loads):
                for load in loads:
                    self._broadcast_load(load)
            case events.CacheChanged(cache_event):
                for node in self.serving.nodes:
                    node.router.on_cache_event(cache_event, self._clock.now_s)
            case events.RelayDue():
                self._on_relay_due()
            case events.ControlDue():
                self._on_control_due()
            case events.FaultChanged(fault, begins):
                self._on_fault(fault, begins=begins)

    def _broadcast_load(self, load: EngineLoad) -> None:
        for node in self.serving.nodes:
            node.router.on_load_report(load)

    def _on_loads_due(self) -> None:
        settings = self._workload.settings
        loads = self.serving.platform.report_loads(self._clock.now_s)
        self._clock.after(settings.load_lag_s, events.LoadsReported(loads))
        self._clock.after(settings.load_period_s, events.LoadsDue())

    def _on_control_due(self) -> None:
        if self.serving.controller is None:
            return
        connected = [
            number
            for number, node in enumerate(self.serving.nodes)
            if not self.serving.platform.is_cut(node.zone)
        ]
        self.serving.controller.on_tick(connected, self._clock.now_s)
        self._clock.after(CONTROL_PERIOD_S, events.ControlDue())

    def _on_relay_due(self) -> None:
        connected = [
            node
            for node in self.serving.nodes
            if not self.serving.platform.is_cut(node.zone)
        ]
        snapshots = [
            node.router.quality.snapshot(str(index))
            for index, node in enumerate(connected)
        ]
        for index, node in enumerate(connected):
            node.on_snapshots(
                (*snapshots[:index], *snapshots[index + 1 :]),
            )
        period_s = self._workload.settings.relay_period_s
        self._clock.after(period_s, events.RelayDue())

    def _on_fault(self, fault: Fault, *, begins: bool) -> None:
        if begins:
            for engine, dropped in self.serving.platform.begin(fault):
                self.serving.retry_dropped(engine, dropped)
        else:
            self.serving.platform.end(fault)
        if not isinstance(fault, ZoneCut):
            return
        for node in self.serving.nodes:
            if node.zone == fault.zone:
                node.router.set_fresh(not begins)


def run_policy(
    workload: Workload,
    policy_name: str,
    policy: Policy,
    seed: int,
    progress: Progress | None = None,
) -> Outcome:
    """Simulate a policy, or compute a clairvoyant bound."""
    match policy:
        case Clairvoyant(by_class):
            tally = run_clairvoyant(workload, seed, by_class=by_class)
        case _:
            tally = Simulation(workload, policy, seed).run(progress)
    return tally.finish(workload.name, policy_name, seed)
