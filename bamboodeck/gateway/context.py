"""Hold the state that all requests of a gateway share."""

from dataclasses import dataclass

from bamboodeck.admission.poison import PoisonGuard
from bamboodeck.environment import Environment
from bamboodeck.gateway.budget import RetryBudget
from bamboodeck.gateway.engines import EngineTable
from bamboodeck.gateway.held_bytes import HeldBytes
from bamboodeck.gateway.memory.account import HostMemory, OtherUse
from bamboodeck.gateway.memory.decisions import find_bounds
from bamboodeck.gateway.measures import GatewayMetrics
from bamboodeck.gateway.model import GatewayConfiguration, HostSettings
from bamboodeck.gateway.places.evacuation import EvacuationState
from bamboodeck.gateway.overload.work import WorkTimes
from bamboodeck.gateway.placement import HostLocation, Placer
from bamboodeck.gateway.prefill import PrefillSpeeds
from bamboodeck.gateway.request_queue import RequestQueue
from bamboodeck.gateway.routes import RouteTable
from bamboodeck.gateway.sessions import SessionVersions
from bamboodeck.gateway.suspect_parts import SuspectParts
from bamboodeck.http.client import HttpClient
from bamboodeck.logs import EventLog
from bamboodeck.loop.program import Loop


@dataclass(slots=True)
class GatewayContext:
    """Hold the loop, the log and the state of this host."""

    environment: Environment
    settings: HostSettings
    loop: Loop
    client: HttpClient
    log: EventLog
    metrics: GatewayMetrics
    engines: EngineTable
    prefill: PrefillSpeeds
    work_times: WorkTimes
    placer: Placer
    budget: RetryBudget
    queue: RequestQueue
    sessions: SessionVersions
    poison: PoisonGuard
    suspect_parts: SuspectParts
    held: HeldBytes
    memory: HostMemory
    evacuations: EvacuationState = EvacuationState()
    configuration: GatewayConfiguration | None = None
    routes: RouteTable | None = None
    # When the store last confirmed the known state; initially the start time.
    registry_confirmed_s: float = 0.0

    def now_s(self) -> float:
        """Return the monotonic time in seconds."""
        return self.loop.scheduler.now_s()

    def apply_settings(self, settings: HostSettings) -> None:
        """Apply changed bounds; addresses change only by a restart."""
        self.settings = settings
        bounds = settings.bounds
        self.budget.set_bounds(
            bounds.repeat_ratio,
            bounds.repeat_window_s,
            bounds.repeat_slack,
        )
        self.sessions.session_s = bounds.session_s
        self.held.set_memory(settings.memory_mb)
        self.memory.bounds = find_bounds(
            settings.memory_mb,
            settings.max_descriptors,
        )

    def apply_configuration(self, configuration: GatewayConfiguration) -> None:
        """Put a configuration in force."""
        self.configuration = configuration
        self.routes = RouteTable(configuration)
        for route in configuration.routes:
            self.prefill.add_models(route.models)


def build_context(
    environment: Environment,
    settings: HostSettings,
    loop: Loop,
    log: EventLog,
) -> GatewayContext:
    """Build the shared state of a host."""
    bounds = settings.bounds
    engines = EngineTable()
    prefill = PrefillSpeeds()
    client = HttpClient(loop)
    metrics = GatewayMetrics()
    held = HeldBytes(settings.memory_mb)
    memory = HostMemory(
        loop,
        find_bounds(settings.memory_mb, settings.max_descriptors),
        OtherUse(lambda: held.held_bytes, lambda: client.collected_bytes),
        log,
        metrics,
    )
    position = HostLocation(settings.zone, dict(settings.regions_by_zone))
    return GatewayContext(
        environment=environment,
        settings=settings,
        loop=loop,
        client=client,
        log=log,
        metrics=metrics,
        engines=engines,
        prefill=prefill,
        work_times=WorkTimes(),
        placer=Placer(position, engines, prefill, 2 * bounds.reuse_window_s),
        budget=RetryBudget(
            bounds.repeat_ratio,
            bounds.repeat_window_s,
            bounds.repeat_slack,
        ),
        queue=RequestQueue(),
        sessions=SessionVersions(bounds.session_s),
        poison=PoisonGuard(),
        suspect_parts=SuspectParts(),
        held=held,
        memory=memory,
        registry_confirmed_s=environment.monotonic_s(),
    )
