"""Simulate a model engine with its batch, queue and prefix cache."""

from collections import OrderedDict, deque
from dataclasses import dataclass

from bamboodeck.configuration.model import Engine, Model
from bamboodeck.policybench.scenario import Request
from bamboodeck.routing.engine_choice import PREFILL_TOKENS_PER_S
from bamboodeck.routing.messages import CacheEvent, EngineLoad, RouteChosen


@dataclass(slots=True)
class Attempt:
    """Track one run of a request on an engine."""

    request: Request
    model: Model
    chosen: RouteChosen
    step: int
    node: int
    engine: str = ''
    retries: int = 0
    started_s: float = 0.0
    first_token_s: float = 0.0
    alive: bool = True

    @property
    def role(self) -> str:
        """Return the cost role of an attempt whose answer is not held."""
        if self.step:
            return 'cascade_last'
        if self.request.session and self.chosen.reason != 'session':
            return 'session_start'
        return self.chosen.reason


class FakeEngine:
    """Run attempts at their model's speed, up to the stream limit."""

    def __init__(self, engine: Engine, cached_prefixes: int) -> None:
        """Start idle, with an empty prefix cache."""
        self.engine = engine
        self.lost = False
        self.running: dict[int, Attempt] = {}
        self._queue: deque[Attempt] = deque()
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._cached_prefixes = cached_prefixes
        self._sequence = 0

    def enqueue(self, attempt: Attempt) -> None:
        """Add an attempt to the queue."""
        self._queue.append(attempt)

    def start_next(self, now_s: float) -> tuple[Attempt, float] | None:
        """Start a queued attempt; return it and its end time in seconds."""
        if not self._queue or len(self.running) >= self._stream_count():
            return None
        attempt = self._queue.popleft()
        self.running[id(attempt)] = attempt
        prompt_tokens = attempt.request.input_tokens
        if attempt.request.prefix_hash in self._cache:
            prompt_tokens = 0
        attempt.started_s = now_s
        attempt.first_token_s = (
            now_s
            + attempt.model.first_token_s
            + prompt_tokens / PREFILL_TOKENS_PER_S
        )
        run_s = attempt.request.output_tokens / attempt.model.tokens_per_s
        return attempt, attempt.first_token_s + run_s

    def finish(self, attempt: Attempt) -> None:
        """Free the stream of an attempt."""
        self.running.pop(id(attempt), None)

    def cache_prefix(self, prefix_hash: int) -> list[CacheEvent]:
        """Cache a prefix; return the resulting cache events."""
        events = []
        if prefix_hash not in self._cache:
            events.append(self._event(prefix_hash, stored=True))
        self._cache[prefix_hash] = None
        self._cache.move_to_end(prefix_hash)
        if len(self._cache) > self._cached_prefixes:
            evicted, _ = self._cache.popitem(last=False)
            events.append(self._event(evicted, stored=False))
        return events

    def fail(self) -> list[Attempt]:
        """Fail and clear the cache; return all running and queued attempts."""
        self.lost = True
        dropped = [*self.running.values(), *self._queue]
        self.running.clear()
        self._queue.clear()
        self._cache.clear()
        return dropped

    def report_load(self, now_s: float) -> EngineLoad:
        """Return a load report."""
        return EngineLoad(
            self.engine.name,
            len(self.running),
            len(self._queue),
            now_s,
        )

    def _stream_count(self) -> int:
        return self.engine.capacity_streams

    def _event(self, prefix_hash: int, *, stored: bool) -> CacheEvent:
        self._sequence += 1
        return CacheEvent(
            self.engine.name,
            self._sequence,
            prefix_hash,
            stored,
        )
