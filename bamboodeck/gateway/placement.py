"""Choose the engine for a request.

Load pattern: bursts and hot customers fill engines unevenly while every host
acts on news that is a moment old. An engine is priced by the time until the
first token: reading that is still to be done there by all hosts, its running
batch, the part of the prompt that it doesn't hold yet, its distance, and its
failures.
"""

from collections.abc import Iterable, Sequence

import msgspec
import xxhash

from bamboodeck.gateway.engines import Engine, EngineTable
from bamboodeck.gateway.model import CallerRequest, Generation
from bamboodeck.gateway.prefill import MIN_FIRST_TOKEN_MS, PrefillSpeeds

# What one more running request adds to each step of an engine, and so to the
# time until a first token, in milliseconds.
STEP_MS_PER_REQUEST = 2.0
# What a plain call adds to the wait behind it on one of its server's slots.
PLAIN_CALL_MS = 45.0
# Round trips to another zone, and to one in another region.
CROSS_ZONE_RTT_MS = 2.0
CROSS_REGION_RTT_MS = 40.0
# Bytes between zones are paid for: a KB weighs like so much delay. At the
# prices seen, sending a prompt costs about what it does to read it again.
REMOTE_MS_PER_KB = 25.0
# Heads of a request and its answer, and what one token of an answer takes.
HEADERS_BYTES = 1000
BYTES_PER_TOKEN = 12
# A failed attempt costs about this much, besides its engine's time.
FAILURE_COST_MS = 600.0
# Where a seventh of all requests fails at any engine, the rate of the last
# eight differs by this between sound engines: two standard deviations.
FAILURE_RATE_TOLERANCE = 0.18
# Of equally good engines of a zone its hosts prefer the same one for the same
# prompt, as another host may have had it read there.
AFFINITY_WEIGHT_MS = 60.0
# A larger fleet's news is older: about three times the period of the news.
PEER_LOAD_MAX_AGE_S = 2.0


class HostLocation(msgspec.Struct, frozen=True):
    """Tell where a host is."""

    zone: str
    regions_by_zone: dict[str, str]

    def distance_ms(self, zone: str) -> float:
        """Return the round trip to a zone in milliseconds."""
        if zone == self.zone:
            return 0.0
        own_region = self.regions_by_zone.get(self.zone)
        if self.regions_by_zone.get(zone, zone) == own_region:
            return CROSS_ZONE_RTT_MS
        return CROSS_REGION_RTT_MS


class CostEstimate(msgspec.Struct, frozen=True):
    """Price an engine for a request: the cost decides, the wait is told."""

    engine: Engine
    cost_ms: float
    first_token_ms: float
    # Reading that the request adds there.
    prefill_ms: float


class Placer:
    """Price engines by what is known now."""

    def __init__(
        self,
        position: HostLocation,
        engines: EngineTable,
        prefill: PrefillSpeeds,
        cache_retention_s: float,
    ) -> None:
        """Keep where this host is, and how long engines hold parts."""
        self._position = position
        self._engines = engines
        self._pace = prefill
        self._cache_retention_s = cache_retention_s

    def choose(
        self,
        request: CallerRequest,
        candidates: Iterable[Engine],
        model: str | None,
        now_s: float,
    ) -> CostEstimate | None:
        """Return the cheapest engine for a model, or none."""
        best: CostEstimate | None = None
        candidates = tuple(candidates)
        median_rate = find_median_failure_rate(candidates)
        affinity_key = find_affinity_key(request.generation)
        for engine in candidates:
            estimate = self._estimate(request, engine, model, now_s)
            excess = engine.failure_rate - median_rate - FAILURE_RATE_TOLERANCE
            cost_ms = estimate.cost_ms + FAILURE_COST_MS * max(excess, 0.0)
            if affinity_key:
                # Keeping prompts together isn't worth bytes between zones.
                rank = 1.0
                if engine.entry.zone == self._position.zone:
                    rank = rendezvous_hash(affinity_key, engine.entry.engine_id)
                cost_ms += AFFINITY_WEIGHT_MS * rank
            if best is None or cost_ms < best.cost_ms:
                best = msgspec.structs.replace(estimate, cost_ms=cost_ms)
        return best

    def _estimate(
        self,
        request: CallerRequest,
        engine: Engine,
        model: str | None,
        now_s: float,
    ) -> CostEstimate:
        fresh_s = now_s - PEER_LOAD_MAX_AGE_S
        running = engine.total_requests(fresh_s)
        prefill_ms = 0.0
        if request.generation is None or model is None:
            ahead = max(running + 1 - engine.entry.slots, 0)
            wait_ms = PLAIN_CALL_MS * (1 + ahead / engine.entry.slots)
            wait_ms += running
        else:
            prefill_ms = self._estimate_prefill_ms(
                request.generation, engine, model, now_s
            )
            wait_ms = (
                MIN_FIRST_TOKEN_MS
                + prefill_ms
                + engine.total_prefill_ms(fresh_s)
            )
            wait_ms += STEP_MS_PER_REQUEST * running
        distance_ms = self._position.distance_ms(engine.entry.zone)
        first_token_ms = wait_ms + distance_ms
        cost_ms = first_token_ms
        if distance_ms:
            cost_ms += REMOTE_MS_PER_KB * _count_bytes(request) / 1000
        return CostEstimate(engine, cost_ms, first_token_ms, prefill_ms)

    def _estimate_prefill_ms(
        self,
        generation: Generation,
        engine: Engine,
        model: str,
        now_s: float,
    ) -> float:
        held = self._engines.count_cached_tokens(
            engine.entry.engine_id,
            model,
            generation,
            now_s - self._cache_retention_s,
        )
        unread = max(generation.prompt_tokens - held, 0)
        return self._pace.estimate_ms(model, unread)


def find_median_failure_rate(engines: Sequence[Engine]) -> float:
    """Return the failure rate of the middle engine of a service."""
    if not engines:
        return 0.0
    rates = sorted(engine.failure_rate for engine in engines)
    return rates[(len(rates) - 1) // 2]


def _count_bytes(request: CallerRequest) -> int:
    count = HEADERS_BYTES + len(request.body)
    if request.generation is not None:
        count += BYTES_PER_TOKEN * request.generation.output_tokens
    return count


def find_affinity_key(generation: Generation | None) -> str:
    """Return the part of a prompt by which requests are kept together."""
    if generation is None or not generation.parts:
        return ''
    # The last part belongs to the request or to its session alone.
    shared = generation.parts[:-1] or generation.parts
    return shared[-1].part_id


def rendezvous_hash(key: str, engine_id: str) -> float:
    """Return from 0 to 1 how little an engine suits a prompt part.

    The order of engines is the same on every host and hardly changes when an
    engine comes or goes.
    """
    digest = xxhash.xxh32_intdigest(f'{key}/{engine_id}'.encode())
    return digest / 0xFFFFFFFF
