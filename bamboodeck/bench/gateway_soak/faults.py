"""Draw faults by a seed, and bring them about from outside the processes."""

import signal
from collections.abc import Callable
from random import Random

from bamboodeck.bench.gateway_soak.record import (
    Disturbance,
    EngineLeft,
    RouteChange,
    RunRecord,
)
from bamboodeck.bench.gateway_soak.system import SoakSystem
from bamboodeck.fakes.links import LinkState, Relay, SetLink
from bamboodeck.fakes.platform.engine import EngineFault
from bamboodeck.fakes.platform.store import StoreMode

# Series of faults follow each other at random within this, and so overlap.
LONGEST_GAP_S = 1.2
SHORTEST_FAULT_S = 0.3
LONGEST_FAULT_S = 4.0
# Engines whose entries aren't renewed lapse after three heartbeats of 1.2 s.
LAPSE_S = 3.6
# Engines that leave serve on a little longer than they have to.
LINGER_S = 3.5
MOST_ENGINE_FAULTS = 12
# All hosts are killed at once less often than other faults come.
KILL_ALL_PART = 0.5
DELAYS_MS = (20.0, 80.0, 300.0)


class FaultInjector:
    """Bring faults about, and note what each disturbs."""

    def __init__(
        self,
        system: SoakSystem,
        record: RunRecord,
        random: Random,
    ) -> None:
        """Disturb nothing yet."""
        self._system = system
        self._record = record
        self._random = random
        self._stopped = False
        self._routes: tuple[str, ...] = ()
        # Hosts that haven't been ready since their last start.
        self._starting: dict[str, Disturbance] = {}
        self._ended: set[str] = set()
        self._faults: tuple[Callable[[], None], ...] = (
            self.kill_host,
            self.stop_host,
            self.reload_host,
            self.pause_host,
            self.cut_host,
            self.cut_store,
            self.fail_engine,
            self.crash_engine,
            self.drain_engine,
            self.link_engine,
            self.change_routes,
            self.change_routes,
            self.disturb_store,
            self.forget_history,
            self.kill_all,
        )

    def start(self) -> None:
        """Begin the series."""
        self._plan()

    def stop(self) -> None:
        """Bring about nothing more; what lasts ends by itself."""
        self._stopped = True
        for engine in self._system.engines.values():
            engine.faults.clear()

    @property
    def all_ready(self) -> bool:
        """Tell whether no host is starting."""
        return not self._starting

    def note_start(self, host: str) -> None:
        """Learn that a host starts, and is calm only once it is ready."""
        self._ended.add(host)
        if host not in self._starting:
            self._starting[host] = self._disturb(host, 'start')

    def note_ready(self, host: str) -> None:
        """Learn that a host has answered that it is ready."""
        if host not in self._ended:
            return
        self._ended.discard(host)
        starting = self._starting.pop(host, None)
        if starting is not None:
            starting.until_s = self._now_s()

    def kill_host(self) -> None:
        """Kill a process."""
        self._signal(self._any_host(), signal.SIGKILL)

    def kill_all(self) -> None:
        """Kill all processes at once."""
        if self._random.random() >= KILL_ALL_PART:
            return
        for host in self._system.hosts:
            self._signal(host, signal.SIGKILL)

    def stop_host(self) -> None:
        """Stop a process gracefully."""
        self._signal(self._any_host(), signal.SIGTERM)

    def reload_host(self) -> None:
        """Have a process read its settings again, which disturbs nothing."""
        host = self._any_host()
        process = self._system.hosts[host].process
        if process.outlives(signal.SIGHUP):
            process.send(signal.SIGHUP)
            self._note('reload', host)

    def pause_host(self) -> None:
        """Freeze a process for a while."""
        host = self._any_host()
        process = self._system.hosts[host].process
        process.send(signal.SIGSTOP)
        self._last(
            self._disturb(host, 'pause'),
            lambda: process.send(signal.SIGCONT),
        )

    def cut_host(self) -> None:
        """Cut, hold, delay or silence one way the callers' link of a host."""
        host = self._any_host()
        self._link(self._system.hosts[host].callers, host, 'callers')

    def cut_store(self) -> None:
        """Do so with a host's link to the store."""
        host = self._any_host()
        self._link(self._system.hosts[host].store, host, 'store')

    def fail_engine(self) -> None:
        """Have an engine do something wrong with its next requests."""
        engine = self._system.engines[self._any_engine()]
        fault = self._random.choice(tuple(EngineFault))
        count = self._random.randint(1, MOST_ENGINE_FAULTS)
        engine.faults.extend(fault for _ in range(count))
        self._note(f'engine-{fault.value}', engine.engine_id)

    def crash_engine(self) -> None:
        """Crash an engine; its entry lapses, and another one starts."""
        engine_id = self._any_engine()
        self._system.replace_engine(engine_id)
        self._system.end_engine(engine_id)
        self._system.loop.scheduler.call_after(
            LAPSE_S,
            lambda: self._system.unlist_engine(engine_id),
        )
        self._note('engine-crash', engine_id)

    def drain_engine(self) -> None:
        """Have an engine leave, and another one come."""
        engine_id = self._any_engine()
        self._system.replace_engine(engine_id)
        self._system.drain_engine(engine_id)
        self._record.left.append(EngineLeft(engine_id, self._now_s()))
        self._note('engine-drain', engine_id)

        def leave() -> None:
            self._system.unlist_engine(engine_id)
            if engine_id in self._system.engines:
                self._system.end_engine(engine_id)

        self._system.loop.scheduler.call_after(LINGER_S, leave)

    def link_engine(self) -> None:
        """Disturb the link to an engine."""
        engine_id = self._any_engine()
        state, delay_ms = self._draw_link()
        self._system.link_engine(engine_id, state, delay_ms)
        self._note(f'engine-link-{state.value}', engine_id)
        self._system.loop.scheduler.call_after(
            self._draw_duration_s(),
            lambda: self._system.link_engine(engine_id, LinkState.UP, 0),
        )

    def change_routes(self) -> None:
        """Add a route, and remove the oldest of those that were added."""
        prefix = f'/extra-{self._system.version}/'
        now_s = self._now_s()
        routes = (*self._routes, prefix)
        if len(routes) > 2:
            self._record.routes.append(RouteChange(routes[0], False, now_s))
            routes = routes[1:]
        self._routes = routes
        self._record.routes.append(RouteChange(prefix, True, now_s))
        self._system.configure(routes)
        self._note('configuration', prefix)

    def disturb_store(self) -> None:
        """Have the store refuse calls, lose its answers or say nothing."""
        moods = [mood for mood in StoreMode if mood is not StoreMode.SERVES]
        store = self._system.store
        if store.mode is not StoreMode.SERVES:
            return
        store.mode = self._random.choice(moods)

        def heal() -> None:
            store.mode = StoreMode.SERVES

        self._last(self._disturb('', f'store-{store.mode.value}'), heal)

    def forget_history(self) -> None:
        """Have the store forget what it has listed before."""
        self._system.store.compact_history()
        self._disturb('', 'store-forgets').until_s = self._now_s()

    def _plan(self) -> None:
        self._system.loop.scheduler.call_after(
            self._random.random() * LONGEST_GAP_S,
            self._inject,
        )

    def _inject(self) -> None:
        if self._stopped:
            return
        self._random.choice(self._faults)()
        self._plan()

    def _signal(self, host: str, number: signal.Signals) -> None:
        self._system.hosts[host].process.send(number)
        disturbance = self._disturb(host, number.name)
        # It ends with the next start, once the host is ready.
        known = self._starting.setdefault(host, disturbance)
        if known is not disturbance:
            disturbance.until_s = disturbance.from_s

    def _link(self, relay: Relay, host: str, what: str) -> None:
        state, delay_ms = self._draw_link()
        name = relay.route.name
        relay.apply(SetLink(name, state, delay_ms))
        self._last(
            self._disturb(host, f'{what}-{state.value}'),
            lambda: relay.apply(SetLink(name)),
        )

    def _draw_link(self) -> tuple[LinkState, float]:
        state = self._random.choice(tuple(LinkState))
        if state is LinkState.UP:
            return (state, self._random.choice(DELAYS_MS))
        return (state, 0.0)

    def _disturb(self, host: str, cause: str) -> Disturbance:
        disturbance = Disturbance(host, cause, self._now_s())
        self._record.disturbances.append(disturbance)
        self._note(cause, host)
        return disturbance

    def _last(
        self,
        disturbance: Disturbance,
        heal: Callable[[], None],
    ) -> None:
        def end() -> None:
            heal()
            disturbance.until_s = self._now_s()

        self._system.loop.scheduler.call_after(self._draw_duration_s(), end)

    def _draw_duration_s(self) -> float:
        return self._random.uniform(SHORTEST_FAULT_S, LONGEST_FAULT_S)

    def _any_host(self) -> str:
        return self._random.choice(tuple(self._system.hosts))

    def _any_engine(self) -> str:
        return self._random.choice(tuple(self._system.engines))

    def _note(self, kind: str, what: str) -> None:
        faults = self._record.faults
        faults[kind] = faults.get(kind, 0) + 1
        self._record.trace.append(f'{self._now_s():.3f} {kind} {what}')

    def _now_s(self) -> float:
        return self._system.loop.scheduler.now_s()
