"""Replay the gateway's choice of engines in a fleet on a virtual clock.

Load pattern: 80 hosts in 6 zones send streams with shared prompt parts to the
same engines, and learn each other's loads only 4 times a second, within their
zone. The hosts use the gateway's own `Placer`; engines are simplified: prompts
are read one after another, a token takes one step however many run, and the
parts read last stay cached in the memory that requests leave free.
"""

import heapq
import random
import statistics
import sys
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from types import MappingProxyType

import msgspec

from bamboodeck.gateway import placement
from bamboodeck.gateway.engine_memory import (
    TURN_S,
    MemoryFit,
    MemoryUse,
    decide_fit,
    find_turn,
)
from bamboodeck.gateway.engines import Engine, EngineTable, PeerLoad
from bamboodeck.gateway.model import (
    CallerRequest,
    EngineEntry,
    EngineState,
    Generation,
    PromptPart,
)
from bamboodeck.gateway.prefill import PrefillSpeeds
from bamboodeck.http.messages import Address

HOSTS = 80
ZONES = tuple(f'zone-{number}' for number in range(6))
# Two zones a region.
REGIONS = MappingProxyType(
    {zone: f'region-{rank // 2}' for rank, zone in enumerate(ZONES)},
)
CUSTOMERS = 24
DURATION_S = 16.0
# Hosts start with empty caches, and learn the speed of engines.
WARM_UP_S = 5.0
PUBLISH_S = 0.25
REUSE_WINDOW_S = 7.0
MEMORY_TOKENS = 100_000
PEER_MAX_AGE_S = placement.PEER_LOAD_MAX_AGE_S
RETRY_S = 0.05
MODEL = 'small'


class Kind(msgspec.Struct, frozen=True):
    """Describe one kind of streams, as in the tables of HARD-LOAD.md."""

    name: str
    shared_tokens: int
    own_tokens: int
    events: int
    per_s: float
    target_s: float


class Deployment(msgspec.Struct, frozen=True):
    """Describe the engines and the load of a deployment."""

    engines: int
    step_s: float
    tokens_per_s: float
    tokens_per_event: int
    kinds: tuple[Kind, ...]
    slots: int = 16


DEPLOYMENTS = MappingProxyType({
    'many-engines': Deployment(
        70, 0.0034, 44_200, 7,
        (
            Kind('spec-review', 6300, 2890, 7, 70.2, 2.035),
            Kind('quote-draft', 568, 1800, 3, 153, 4.019),
            Kind('design-chat', 172, 543, 40, 40.4, 1.515),
        ),
    ),
    'few-engines': Deployment(
        28, 0.00355, 157_000, 8,
        (
            Kind('loan-dossier', 6300, 2890, 7, 152, 1.535),
            Kind('statement-digest', 568, 1800, 3, 93.9, 1.019),
            Kind('member-chat', 172, 543, 35, 23.5, 1.015),
        ),
    ),
})  # fmt: skip


@dataclass
class Figures:
    """Collect the figures of one replay after the warm-up."""

    answered: int = 0
    in_time: int = 0
    waited: int = 0
    reread_tokens: int = 0
    remote_bytes: int = 0
    # Most tokens held by one engine.
    peak_tokens: int = 0
    # Seconds of prompts read, by engine and second.
    busy_s: Counter = field(default_factory=Counter)

    def spread(self, engines: int) -> float:
        """Return the mean ratio of the busiest engine to the mean engine."""
        ratios = []
        for second in range(int(WARM_UP_S), int(DURATION_S)):
            loads = [self.busy_s[each, second] for each in range(engines)]
            ratios.append(max(loads) / max(statistics.mean(loads), 1e-9))
        return statistics.mean(ratios)


@dataclass(slots=True)
class Stream:
    """Hold a request on its way."""

    kind: Kind
    request: CallerRequest
    arrived_s: float
    host: 'Host'
    tokens: int
    engine: int = -1
    prefill_ms: float = 0.0
    predicted_ms: float = 0.0
    sent_s: float = 0.0


class EngineModel:
    """Read prompts one after another, in a number of slots."""

    def __init__(self, deployment: Deployment) -> None:
        """Start idle."""
        self.deployment = deployment
        self.running = 0
        self.held_tokens = 0
        self.waiting: list[Stream] = []
        self._free_s = 0.0
        self._cache: OrderedDict[str, int] = OrderedDict()

    def read(self, stream: Stream, now_s: float) -> tuple[float, float, int]:
        """Return when the prompt is read, its time and the shared tokens."""
        self.running += 1
        part = stream.request.generation.parts[0]
        cached = part.part_id in self._cache
        self._cache[part.part_id] = part.tokens
        self._cache.move_to_end(part.part_id)
        while (
            len(self._cache) > 1
            and sum(self._cache.values()) > MEMORY_TOKENS - self.held_tokens
        ):
            self._cache.popitem(last=False)
        missing = 0 if cached else part.tokens
        tokens = stream.kind.own_tokens + missing
        read_s = tokens / self.deployment.tokens_per_s
        self._free_s = max(self._free_s, now_s) + read_s
        return self._free_s, read_s, missing


class Host:
    """Place requests by the gateway's decisions and this host's knowledge."""

    def __init__(self, number: int, entries: list[EngineEntry]) -> None:
        """Start without knowledge of loads."""
        self.name = f'host-{number}'
        self.zone = ZONES[number % len(ZONES)]
        self.waiting: set[str] = set()
        self.table = EngineTable()
        for entry in entries:
            self.table.upsert(entry)
        self.engines = [self.table.find(each.engine_id) for each in entries]
        self.prefill = PrefillSpeeds()
        self.prefill.add_models((MODEL,))
        self.placer = placement.Placer(
            placement.HostLocation(self.zone, dict(REGIONS)),
            self.table,
            self.prefill,
            2 * REUSE_WINDOW_S,
        )

    def choose(
        self,
        stream: Stream,
        now_s: float,
        narrow: Callable,
    ) -> placement.CostEstimate | None:
        """Return the engine for a request, if one has room."""
        fresh_s = now_s - PEER_MAX_AGE_S
        able = [
            engine
            for engine in self.engines
            if engine.total_requests(fresh_s) < 2 * engine.entry.slots
            and self._has_memory(engine, stream, now_s)
        ]
        return self.placer.choose(
            stream.request,
            narrow(able, self.zone),
            MODEL,
            now_s,
        )

    def _has_memory(
        self,
        engine: Engine,
        stream: 'Stream',
        now_s: float,
    ) -> bool:
        remote = engine.entry.zone != self.zone
        use = MemoryUse(
            MEMORY_TOKENS,
            engine.total_tokens(now_s - PEER_MAX_AGE_S),
            stream.tokens,
            hosts=HOSTS if remote else HOSTS // len(ZONES),
            turn=find_turn(self.name, engine.incarnation, now_s),
            remote=remote,
            sent=engine.count_sent_since(now_s - TURN_S),
            waiting=bool(self.waiting),
        )
        return decide_fit(use) is MemoryFit.FITS

    def list_loads(self, now_s: float) -> dict[str, PeerLoad]:
        """Return what this host tells the others."""
        return {
            each.entry.engine_id: PeerLoad(
                each.requests, each.prefill_ms, now_s, each.tokens
            )
            for each in self.engines
            if each.requests
        }


def keep_all(able: list, zone: str) -> list:
    """Consider all engines."""
    return able


class Replay:
    """Run one deployment's streams through 80 hosts."""

    def __init__(
        self,
        deployment: Deployment,
        scale: float,
        seed: int,
        narrow: Callable = keep_all,
    ) -> None:
        """Scale the rates of all kinds by a factor."""
        self.figures = Figures()
        self._deployment = deployment
        self._scale = scale
        self._random = random.Random(seed)
        self._narrow = narrow
        self._events: list[tuple[float, int, Callable]] = []
        self._number = 0
        self._now_s = 0.0
        self._models = [
            EngineModel(deployment) for _ in range(deployment.engines)
        ]
        entries = [
            EngineEntry(
                str(number),
                'models',
                Address('10.0.0.1', 8000 + number),
                ZONES[number % len(ZONES)],
                'v1',
                deployment.slots,
                EngineState.READY,
            )
            for number in range(deployment.engines)
        ]
        self._hosts = [Host(number, entries) for number in range(HOSTS)]
        self._last_read_s: dict[str, float] = {}

    def run(self) -> Figures:
        """Return the figures of the time after the warm-up."""
        for host in self._hosts:
            self._at(
                self._random.random() * PUBLISH_S,
                partial(self._publish, host),
            )
        for kind in self._deployment.kinds:
            self._at(0.0, partial(self._arrive, kind))
        while self._events:
            moment_s, _, happen = heapq.heappop(self._events)
            self._now_s = moment_s
            if self._now_s > DURATION_S:
                break
            happen()
        return self.figures

    def _at(self, moment_s: float, happen: Callable) -> None:
        self._number += 1
        heapq.heappush(self._events, (moment_s, self._number, happen))

    def _publish(self, host: Host) -> None:
        loads = host.list_loads(self._now_s)
        for other in self._hosts:
            if other.zone == host.zone and other is not host:
                other.table.set_peer_loads(host.name, loads)
        self._at(self._now_s + PUBLISH_S, lambda: self._publish(host))

    def _arrive(self, kind: Kind) -> None:
        rate = kind.per_s * self._scale
        self._at(
            self._now_s + self._random.expovariate(rate),
            lambda: self._arrive(kind),
        )
        # Customers of a rank from 1 on send in inverse proportion to it.
        weights = [1 / rank for rank in range(1, CUSTOMERS + 1)]
        customer = self._random.choices(range(CUSTOMERS), weights)[0]
        output = kind.events * self._deployment.tokens_per_event
        prompt = kind.shared_tokens + kind.own_tokens
        generation = Generation(
            None,
            prompt,
            output,
            (
                PromptPart(f'{kind.name}-{customer}', kind.shared_tokens),
                PromptPart(f'own-{self._number}', kind.own_tokens),
            ),
        )
        request = CallerRequest(
            f'{self._number}', 'POST', '/', '', '/', bytes(4 * prompt), (),
            8.0, None, None, generation, self._now_s,
        )  # fmt: skip
        host = self._random.choice(self._hosts)
        self._place(Stream(kind, request, self._now_s, host, prompt + output))

    def _place(self, stream: Stream) -> None:
        if self._now_s - stream.arrived_s > stream.kind.target_s:
            stream.host.waiting.discard(stream.request.request_id)
            self._count(stream, in_time=False)
            return
        host = stream.host
        estimate = host.choose(stream, self._now_s, self._narrow)
        if estimate is None:
            host.waiting.add(stream.request.request_id)
            self.figures.waited += 1
            self._at(self._now_s + RETRY_S, lambda: self._place(stream))
            return
        host.waiting.discard(stream.request.request_id)
        engine = estimate.engine
        stream.engine = int(engine.entry.engine_id)
        stream.prefill_ms = estimate.prefill_ms
        stream.predicted_ms = estimate.first_token_ms
        stream.sent_s = self._now_s
        engine.requests += 1
        engine.record_sent(self._now_s)
        engine.prefill_ms += stream.prefill_ms
        engine.tokens += stream.tokens
        host.table.record_cached_parts(
            engine.entry.engine_id,
            MODEL,
            stream.request.generation.parts,
            self._now_s,
        )
        if engine.entry.zone != host.zone and self._now_s > WARM_UP_S:
            self.figures.remote_bytes += len(stream.request.body)
        delay_s = (
            placement.HostLocation(host.zone, dict(REGIONS)).rtt_ms(
                engine.entry.zone,
            )
            / 1000
        )
        self._at(self._now_s + delay_s, lambda: self._reach(stream))

    def _reach(self, stream: Stream) -> None:
        model = self._models[stream.engine]
        model.held_tokens += stream.tokens
        if self._now_s > WARM_UP_S:
            self.figures.peak_tokens = max(
                self.figures.peak_tokens,
                model.held_tokens,
            )
        if model.running >= self._deployment.slots:
            model.waiting.append(stream)
            return
        self._begin(stream, model)

    def _begin(self, stream: Stream, model: EngineModel) -> None:
        first_s, read_s, shared = model.read(stream, self._now_s)
        part_id = stream.request.generation.parts[0].part_id
        since_s = self._now_s - self._last_read_s.get(part_id, -99.0)
        if shared:
            self._last_read_s[part_id] = self._now_s
        if self._now_s > WARM_UP_S:
            self.figures.busy_s[stream.engine, int(self._now_s)] += read_s
            if since_s < REUSE_WINDOW_S:
                self.figures.reread_tokens += shared
        tokens = stream.kind.events * self._deployment.tokens_per_event
        first_s += self._deployment.step_s * self._deployment.tokens_per_event
        end_s = first_s + tokens * self._deployment.step_s
        self._at(first_s, lambda: self._start_stream(stream))
        self._at(end_s, lambda: self._end(stream))

    def _start_stream(self, stream: Stream) -> None:
        stream.host.prefill.correct(
            MODEL,
            stream.predicted_ms,
            (self._now_s - stream.sent_s) * 1000,
        )
        stream.host.engines[stream.engine].prefill_ms -= stream.prefill_ms
        late_s = self._now_s - stream.arrived_s
        self._count(stream, in_time=late_s <= stream.kind.target_s)

    def _end(self, stream: Stream) -> None:
        model = self._models[stream.engine]
        model.running -= 1
        model.held_tokens -= stream.tokens
        engine = stream.host.engines[stream.engine]
        engine.requests -= 1
        engine.tokens -= stream.tokens
        if model.waiting:
            self._begin(model.waiting.pop(0), model)

    def _count(self, stream: Stream, *, in_time: bool) -> None:
        if stream.arrived_s > WARM_UP_S:
            self.figures.answered += 1
            self.figures.in_time += in_time


def describe(name: str, scale: float, seed: int) -> str:
    """Return a line with the figures of a replay."""
    deployment = DEPLOYMENTS[name]
    figures = Replay(deployment, scale, seed).run()
    seconds = DURATION_S - WARM_UP_S
    return (
        f'{name} x{scale:g} seed {seed}:'
        f' in time {figures.in_time / max(figures.answered, 1):.3f}'
        f' waited {figures.waited}'
        f' reread {figures.reread_tokens / seconds / 1000:.1f} k tokens/s'
        f' remote {figures.remote_bytes / seconds / 1e6:.2f} MB/s'
        f' spread {figures.spread(deployment.engines):.2f}'
        f' peak {figures.peak_tokens / MEMORY_TOKENS:.2f}'
    )


if __name__ == '__main__':
    for load in sys.argv[1:] or ('1', '4'):
        for known in DEPLOYMENTS:
            line = describe(known, float(load), 1)
            sys.stdout.write(f'{line}\n')
