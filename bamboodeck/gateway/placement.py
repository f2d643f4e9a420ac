"""Choose the engine for a request.

Load pattern: bursts and hot customers load engines unevenly, and each host
decides on peer loads that are slightly stale. An engine's cost is the
predicted time to first token: the prefill queued there by all hosts, its
running batch, the uncached part of the prompt, the round trip to it, and a
penalty for its failure rate.
"""

from collections.abc import Iterable, Sequence

import msgspec
import xxhash

from bamboodeck.gateway.engines import Engine, EngineTable
from bamboodeck.gateway.model import CallerRequest, Generation
from bamboodeck.gateway.prefill import MIN_FIRST_TOKEN_MS, PrefillSpeeds

# Added to each step of an engine, and so to the time to first token, by each
# running request.
STEP_MS_PER_REQUEST = 2.0
# Time that a plain call occupies a slot of its backend server.
PLAIN_CALL_MS = 45.0
CROSS_ZONE_RTT_MS = 2.0
CROSS_REGION_RTT_MS = 40.0
# Traffic between zones is billed, so it is charged as delay. At observed
# prices, sending a prompt costs about as much as its prefill.
REMOTE_MS_PER_KB = 25.0
# Headers of a request and of its answer together.
HEADERS_BYTES = 1000
BYTES_PER_TOKEN = 12
# Cost of a failed attempt, besides the engine's time.
FAILURE_COST_MS = 600.0
# Two standard deviations of the failure rate over the last eight requests of
# healthy engines, when one request in seven fails on every engine.
FAILURE_RATE_TOLERANCE = 0.18
# All hosts of a zone prefer the same one of equally good engines for a prompt,
# since another host may already have filled its cache.
AFFINITY_WEIGHT_MS = 60.0
# Reading a shared part again is priced, so a large one is worth a longer wait
# at the engine that holds it. Replayed: docs/design/engine-choice.md.
AFFINITY_MS_PER_SHARED_TOKEN = 0.1
MAX_AFFINITY_MS = 700.0
# Older peer loads are ignored. In larger fleets loads are up to about three
# publishing periods old.
PEER_LOAD_MAX_AGE_S = 2.0


class HostLocation(msgspec.Struct, frozen=True):
    """Locate a host by its zone and the regions of all zones."""

    zone: str
    regions_by_zone: dict[str, str]

    def rtt_ms(self, zone: str) -> float:
        """Return the round-trip time to a zone in milliseconds."""
        if zone == self.zone:
            return 0.0
        own_region = self.regions_by_zone.get(self.zone)
        if self.regions_by_zone.get(zone, zone) == own_region:
            return CROSS_ZONE_RTT_MS
        return CROSS_REGION_RTT_MS


class CostEstimate(msgspec.Struct, frozen=True):
    """Hold the cost and the predicted latency of an engine for a request."""

    engine: Engine
    cost_ms: float
    first_token_ms: float
    # Prefill time that the request adds on the engine.
    prefill_ms: float
    # Known requests of all hosts that run there already.
    running: int = 0
    # Memory that the request takes on a model engine.
    tokens: int = 0


class Placer:
    """Choose engines by estimated cost."""

    def __init__(
        self,
        location: HostLocation,
        engines: EngineTable,
        prefill: PrefillSpeeds,
        cache_retention_s: float,
    ) -> None:
        """Assume prompt parts stay cached for `cache_retention_s`."""
        self._location = location
        self._engines = engines
        self._prefill = prefill
        self._cache_retention_s = cache_retention_s

    def choose(
        self,
        request: CallerRequest,
        candidates: Iterable[Engine],
        model: str | None,
        now_s: float,
    ) -> CostEstimate | None:
        """Return the cheapest engine for a model, if any."""
        best: CostEstimate | None = None
        candidates = tuple(candidates)
        median_rate = find_median_failure_rate(candidates)
        affinity_key = find_affinity_key(request.generation)
        affinity_ms = find_affinity_ms(request.generation)
        for engine in candidates:
            estimate = self._estimate(request, engine, model, now_s)
            excess = engine.failure_rate - median_rate - FAILURE_RATE_TOLERANCE
            cost_ms = estimate.cost_ms + FAILURE_COST_MS * max(excess, 0.0)
            if affinity_key:
                # Affinity isn't worth traffic between zones.
                rank = 1.0
                if engine.entry.zone == self._location.zone:
                    rank = rendezvous_hash(affinity_key, engine.entry.engine_id)
                cost_ms += affinity_ms * rank
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
                request.generation,
                engine,
                model,
                now_s,
            )
            wait_ms = (
                MIN_FIRST_TOKEN_MS
                + prefill_ms
                + engine.total_prefill_ms(fresh_s)
            )
            wait_ms += STEP_MS_PER_REQUEST * running
        rtt_ms = self._location.rtt_ms(engine.entry.zone)
        first_token_ms = wait_ms + rtt_ms
        cost_ms = first_token_ms
        if rtt_ms:
            cost_ms += REMOTE_MS_PER_KB * _count_bytes(request) / 1000
        return CostEstimate(
            engine,
            cost_ms,
            first_token_ms,
            prefill_ms,
            running,
            count_request_tokens(request.generation),
        )

    def _estimate_prefill_ms(
        self,
        generation: Generation,
        engine: Engine,
        model: str,
        now_s: float,
    ) -> float:
        cached = self._engines.count_cached_tokens(
            engine.entry.engine_id,
            model,
            generation,
            now_s - self._cache_retention_s,
        )
        uncached = max(generation.prompt_tokens - cached, 0)
        return self._prefill.estimate_ms(model, uncached)


def find_median_failure_rate(engines: Sequence[Engine]) -> float:
    """Return the median failure rate of the engines of a service."""
    if not engines:
        return 0.0
    rates = sorted(engine.failure_rate for engine in engines)
    return rates[(len(rates) - 1) // 2]


def _count_bytes(request: CallerRequest) -> int:
    count = HEADERS_BYTES + len(request.body)
    if request.generation is not None:
        count += BYTES_PER_TOKEN * request.generation.output_tokens
    return count


def count_request_tokens(generation: Generation | None) -> int:
    """Return the tokens of prompt and expected output of a request."""
    if generation is None:
        return 0
    return generation.prompt_tokens + generation.output_tokens


def find_affinity_key(generation: Generation | None) -> str:
    """Return the id of the prompt part that requests are grouped by."""
    if generation is None or not generation.parts:
        return ''
    # The last part is specific to the request or its session.
    shared = generation.parts[:-1] or generation.parts
    return shared[-1].part_id


def find_affinity_ms(generation: Generation | None) -> float:
    """Return the wait that the engine preferred for a prompt is worth."""
    if generation is None:
        return 0.0
    shared_tokens = sum(part.tokens for part in generation.parts[:-1])
    return min(
        AFFINITY_WEIGHT_MS + AFFINITY_MS_PER_SHARED_TOKEN * shared_tokens,
        MAX_AFFINITY_MS,
    )


def rendezvous_hash(key: str, engine_id: str) -> float:
    """Return a rank from 0 to 1 of an engine for a key; lower is preferred.

    The order of engines is the same on every host and changes little when an
    engine is added or removed.
    """
    digest = xxhash.xxh32_intdigest(f'{key}/{engine_id}'.encode())
    return digest / 0xFFFFFFFF
