"""Choose an engine for a version by expected delay and traffic cost."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from bamboodeck.configuration.model import Model, Preset
from bamboodeck.routing.fleet import GLOBAL_TIER, Fleet, Subset
from bamboodeck.routing.messages import RouteRequest
from bamboodeck.routing.prefixes import PrefixIndex
from bamboodeck.routing.tracked_engine import TrackedEngine

PREFILL_TOKENS_PER_S = 8000.0
BYTES_PER_TOKEN = 5
STREAM_BYTES_PER_TOKEN = 180
BYTES_PER_MB = 1_000_000
REGION_DELAY_S = 0.06


class EngineChoice(NamedTuple):
    """Hold the expected delay and price of running on an engine."""

    tracked: TrackedEngine
    wait_s: float
    answer_s: float
    price_credits: float
    rank: tuple[float, float]


class EngineChooser:
    """Compare two random engines and those that cache the prompt's prefix."""

    def __init__(
        self,
        fleet: Fleet,
        prefixes: PrefixIndex,
        rng: random.Random,
    ) -> None:
        """Sample with `rng`."""
        self._fleet = fleet
        self._prefixes = prefixes
        self._random = rng

    def prepare(
        self,
        request: RouteRequest,
        preset: Preset,
        now_s: float,
    ) -> 'EngineChoiceInputs':
        """Compute the inputs that all versions of a request share."""
        cached_probabilities = {
            holder.engine: self._prefixes.cached_probability(holder, now_s)
            for holder in self._prefixes.holders(request.prefix_hash)
        }
        return EngineChoiceInputs(
            request.excluded_engines,
            request.request_class.expected_output_tokens,
            preset.max_load,
            preset.delay_credits_per_s,
            now_s,
            request.prompt_tokens / PREFILL_TOKENS_PER_S,
            cached_probabilities,
            traffic_credits(request, preset),
        )

    def choose(
        self, model: Model, inputs: 'EngineChoiceInputs'
    ) -> EngineChoice | None:
        """Return the best sampled engine; go to the next tier if it queues."""
        best: EngineChoice | None = None
        for subset in self._fleet.subsets(model.name, inputs.now_s):
            best = _best_of(self._sample(subset, inputs), model, inputs, best)
            # All sampled engines may be full while others have room.
            if best is None:
                best = _best_of(subset, model, inputs, best)
            if best is not None and best.wait_s <= 0:
                return best
        return best

    def _sample(
        self,
        subset: Subset,
        inputs: 'EngineChoiceInputs',
    ) -> Sequence[TrackedEngine]:
        size = len(subset)
        if size <= 2:
            return subset
        start = int(self._random.random() * size)
        step = 1 + int(self._random.random() * (size - 1))
        sample = [subset[start], subset[(start + step) % size]]
        for engine in inputs.cached_probabilities:
            tracked = self._fleet.find(engine)
            if tracked in subset:
                sample.append(tracked)
        return sample


@dataclass(frozen=True, slots=True)
class EngineChoiceInputs:
    """Bundle the inputs that don't depend on the version or the engine."""

    excluded: frozenset[str]
    output_tokens: int
    max_load: float
    delay_credits_per_s: float
    now_s: float
    prefill_s: float
    cached_probabilities: dict[str, float]
    traffic_credits: float


def traffic_credits(request: RouteRequest, preset: Preset) -> float:
    """Return the cost of a request's traffic if it crosses regions."""
    output_tokens = request.request_class.expected_output_tokens
    token_bytes = STREAM_BYTES_PER_TOKEN if request.stream else BYTES_PER_TOKEN
    total_bytes = (
        request.prompt_tokens * BYTES_PER_TOKEN + output_tokens * token_bytes
    )
    return total_bytes / BYTES_PER_MB * preset.region_credits_per_mb


def _best_of(
    engines: Sequence[TrackedEngine],
    model: Model,
    inputs: EngineChoiceInputs,
    best: EngineChoice | None,
) -> EngineChoice | None:
    run_s = model.first_token_s + inputs.output_tokens / model.tokens_per_s
    for tracked in engines:
        load = tracked.load(inputs.now_s)
        if load >= tracked.capacity * inputs.max_load:
            continue
        if tracked.name in inputs.excluded:
            continue
        choice = _evaluate(tracked, load, run_s, inputs)
        if best is None or choice.rank < best.rank:
            best = choice
    return best


def _evaluate(
    tracked: TrackedEngine,
    load: int,
    run_s: float,
    inputs: EngineChoiceInputs,
) -> EngineChoice:
    capacity = tracked.capacity
    wait_s = 0.0
    if load >= capacity:
        wait_s = (load + 1 - capacity) * run_s / capacity
    uncached_share = 1 - inputs.cached_probabilities.get(tracked.name, 0)
    answer_s = run_s + wait_s + uncached_share * inputs.prefill_s
    traffic = 0.0
    if tracked.tier == GLOBAL_TIER:
        answer_s += REGION_DELAY_S
        traffic = inputs.traffic_credits
    price_credits = answer_s * inputs.delay_credits_per_s + traffic
    rank = (price_credits, load / capacity)
    return EngineChoice(tracked, wait_s, answer_s, price_credits, rank)
