"""Assemble the gateway and shut it down gracefully."""

import time
from collections.abc import Callable
from types import MappingProxyType

import msgspec

from bamboodeck.environment import Environment
from bamboodeck.gateway.context import GatewayContext, build_context
from bamboodeck.gateway.discovery import Discovery
from bamboodeck.gateway.early import Listeners
from bamboodeck.gateway.events import (
    GatewayStarted,
    GatewayStopped,
    GatewayStopping,
    LinesLeftOut,
)
from bamboodeck.gateway.fleet import Fleet
from bamboodeck.gateway.memory.decisions import count_callers
from bamboodeck.gateway.model import HostSettings
from bamboodeck.gateway.output import BoundedOutput
from bamboodeck.gateway.ports import ExchangeCodec, Registry
from bamboodeck.gateway.reload import SettingsSource, SettingsWatch
from bamboodeck.gateway.rollout_coordinator import RolloutCoordinator
from bamboodeck.gateway.traffic import Traffic
from bamboodeck.http.client import HttpClient
from bamboodeck.http.messages import Header
from bamboodeck.http.relay_server import (
    CallerLimits,
    RelayExchange,
    RelayServer,
)
from bamboodeck.http.request_parser import ParsedRequest
from bamboodeck.logs import EventLog, build_event_log
from bamboodeck.loop.program import Loop

# Probes arrive every second; one that leaves connections open must not block
# the next one.
PROBE_CONNECTIONS = 64
PROBE_LIMITS = CallerLimits(idle_timeout_s=10.0)
# The balancer checks once a second and removes a host after two failures, so
# new connections arrive for this long after SIGTERM.
BALANCER_REMOVAL_S = 2.4
# Unfinished requests are answered this long before the platform kills the
# process, and the process exits once the answers were sent.
KILL_MARGIN_S = 0.4
FLUSH_S = 0.15
STOP_CHECK_S = 0.05
DRAIN_LOG_S = 0.1
LOG_SECOND_S = 1.0
# A new process delays connections until its first configuration is read, which
# takes milliseconds, but at most by an eighth of a short latency target.
MAX_CONFIGURATION_WAIT_S = 0.2
# By then a restarted host has served the callers that were waiting.
LOAD_METRICS_AFTER_S = 5.0

NO_LISTENERS: Listeners = MappingProxyType({})

_OK = 200
_UNAVAILABLE = 503
_PLAIN = (Header('Content-Type', 'text/plain; charset=utf-8'),)


class Platform(msgspec.Struct, frozen=True):
    """Hold the adapter to the platform."""

    codec: ExchangeCodec
    build_registry: Callable[[HttpClient, HostSettings], Registry]


class GatewayApp:
    """Run a gateway process."""

    def __init__(
        self,
        environment: Environment,
        settings: HostSettings,
        platform: Platform,
        output: BoundedOutput,
        source: SettingsSource | None = None,
        listeners: Listeners = NO_LISTENERS,
    ) -> None:
        """Start listening; callers wait until there is a configuration.

        `listeners` holds already listening sockets by address.
        """
        self._began_s = time.perf_counter()
        self.output = output
        self.loop = Loop(environment)
        self.log: EventLog = build_event_log(output)
        self.context: GatewayContext = build_context(
            environment,
            settings,
            self.loop,
            self.log,
        )
        registry = platform.build_registry(self.context.client, settings)
        self.fleet = Fleet(self.context, registry, self._on_hosts_changed)
        members = self.fleet.members
        self.rollouts = RolloutCoordinator(
            self.context,
            registry,
            members.find_rank,
        )
        self.traffic = Traffic(
            self.context,
            platform.codec,
            self.rollouts,
            self.fleet,
        )
        self.discovery = Discovery(
            self.context,
            registry,
            self.rollouts,
            self.fleet.apply_peer,
            self._on_configuration,
            members.find_zone_rank,
        )
        self._codec = platform.codec
        self._source = source
        self.stopping_since_s: float | None = None
        self._broken_off = 0
        callers = settings.callers_listen
        ready = settings.ready_listen
        self.callers = RelayServer(
            self.loop,
            callers,
            self.traffic.handle,
            max_connections=count_callers(settings.max_descriptors),
            accepting=False,
            listener=listeners.get(msgspec.structs.astuple(callers)),
            account=self.context.memory,
        )
        self.ready = RelayServer(
            self.loop,
            ready,
            self._answer_ready,
            max_connections=PROBE_CONNECTIONS,
            listener=listeners.get(msgspec.structs.astuple(ready)),
        )
        self.ready.limits = PROBE_LIMITS
        self.metrics = RelayServer(
            self.loop,
            settings.metrics_listen,
            self._answer_metrics,
            max_connections=PROBE_CONNECTIONS,
        )
        self.metrics.limits = PROBE_LIMITS

    def is_ready(self) -> bool:
        """Tell whether the host accepts callers."""
        if self.stopping_since_s is not None or self.context.routes is None:
            return False
        return any(not engine.unlisted for engine in self.context.engines)

    def run(self) -> None:
        """Serve until the process receives a stop signal."""
        self.start()
        self.loop.run()

    def start(self) -> None:
        """Follow the store, join the fleet, and handle signals."""
        settings = self.context.settings
        self.loop.set_stop_handler(self.stop)
        if self._source is not None:
            watch = SettingsWatch(
                self.context,
                self._source,
                self.context.apply_settings,
            )
            self.loop.set_reload_handler(lambda: watch.reload('signal'))
        self.discovery.start()
        self.loop.scheduler.call_after(
            MAX_CONFIGURATION_WAIT_S,
            self.callers.start_accepting,
        )
        self.fleet.start(self.rollouts, self.discovery)
        scheduler = self.loop.scheduler
        scheduler.call_every(DRAIN_LOG_S, self.output.drain)
        scheduler.call_every(LOG_SECOND_S, self._bound_log)
        scheduler.call_after(LOAD_METRICS_AFTER_S, self.context.metrics.load)
        self.log.emit(
            GatewayStarted(
                settings.host,
                settings.zone,
                str(self.callers.address),
                str(self.ready.address),
                str(settings.peer_listen),
                str(self.metrics.address),
                str(settings.store),
                (time.perf_counter() - self._began_s) * 1000,
            ),
        )
        self.output.drain()

    def stop(self) -> None:
        """Start a graceful shutdown: drain running requests, then exit."""
        if self.stopping_since_s is not None:
            return
        now_s = self.context.now_s()
        self.stopping_since_s = now_s
        grace_s = self.context.settings.bounds.grace_s
        self.log.emit(
            GatewayStopping(
                len(self.traffic.running),
                len(self.context.queue),
                grace_s,
            ),
        )
        # Answers now close their connections; new connections still arrive.
        self.callers.stopping = True
        scheduler = self.loop.scheduler
        scheduler.call_after(BALANCER_REMOVAL_S, self.callers.stop_accepting)
        scheduler.call_after(BALANCER_REMOVAL_S, self._exit_if_idle)
        answer_after_s = max(grace_s - KILL_MARGIN_S, 0.0)
        self.traffic.stop_by(now_s + answer_after_s)
        scheduler.call_after(answer_after_s, self._end_running)

    def _exit_if_idle(self) -> None:
        if not self.callers.connections:
            self._exit()
            return
        self.loop.scheduler.call_after(STOP_CHECK_S, self._exit_if_idle)

    def _end_running(self) -> None:
        self._broken_off = sum(
            exchange.responder.started for exchange in self.traffic.running
        )
        self.traffic.end_running()
        self.loop.scheduler.call_after(FLUSH_S, self._exit)

    def _exit(self) -> None:
        ran_s = time.perf_counter() - self._began_s
        self.log.emit(GatewayStopped(self._broken_off, ran_s))
        self.output.drain()
        self.loop.finish()

    def _on_hosts_changed(self, hosts: int) -> None:
        self.traffic.candidates.hosts = hosts
        self.context.budget.hosts = hosts
        self.rollouts.hosts = max(self.rollouts.hosts, hosts)
        self.rollouts.heard_hosts = hosts

    def _on_configuration(self) -> None:
        self.callers.limits = self.context.configuration.limits
        # Deferred until the engines of the same snapshot are applied.
        self.loop.scheduler.call_after(0, self.callers.start_accepting)

    def _bound_log(self) -> None:
        dropped = self.output.start_second()
        if dropped:
            self.context.metrics.count('log_lines_left_out', dropped)
            self.log.warn(LinesLeftOut(dropped, LOG_SECOND_S))

    def _answer_ready(
        self,
        parsed: ParsedRequest,
        responder: RelayExchange,
    ) -> None:
        if not self._codec.is_ready_check(parsed):
            responder.respond(404)
            return
        responder.respond(_OK if self.is_ready() else _UNAVAILABLE)

    def _answer_metrics(
        self,
        parsed: ParsedRequest,
        responder: RelayExchange,
    ) -> None:
        context = self.context
        now_s = context.now_s()
        states = {
            'configuration_version': (
                context.configuration.version if context.configuration else 0
            ),
            'registry_era': self.discovery.position.era,
            'registry_revision': self.discovery.revision,
            'registry_age_s': now_s - context.registry_confirmed_s,
            'registry_asked_age_s': now_s - self.discovery.calls.began_s,
            'registry_call_in_flight': int(self.discovery.calls.in_flight),
            'hosts': self.fleet.members.hosts,
            'engines': sum(not each.unlisted for each in context.engines),
            'engines_open': sum(
                each.is_available(now_s) for each in context.engines
            ),
            'engines_limited': sum(
                each.limit is not None for each in context.engines
            ),
            'engines_cold': sum(
                each.cold is not None for each in context.engines
            ),
            'zones_evacuated': len(context.evacuations.zones),
            'running': len(self.traffic.running),
            'waiting': len(context.queue),
            'caller_connections': len(self.callers.connections),
            'ready': int(self.is_ready()),
            **context.memory.list_states(),
        }
        for name, number in states.items():
            context.metrics.set_state(name, number)
        responder.respond(_OK, _PLAIN, context.metrics.render())
