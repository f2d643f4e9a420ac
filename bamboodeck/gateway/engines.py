"""Track the registry entry, load, failures and cache of every engine.

Load pattern: many hosts send work to the same engines at the same time. Each
host counts its own load at once and learns that of other hosts with a delay.
"""

from bisect import bisect_right
from collections import OrderedDict, deque
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

import msgspec

from bamboodeck.gateway.limits import NamedLimit
from bamboodeck.gateway.model import (
    EngineEntry,
    EngineState,
    Generation,
    PromptPart,
)

# Weight of the latest outcome in an engine's failure rate, which so covers
# about the last eight requests.
FAILURE_WEIGHT = 0.12
# An unreachable engine is first paused for as long as a crashed process takes
# to restart, and at most for three heartbeats.
INITIAL_PAUSE_S = 0.5
MAX_PAUSE_S = 3.6
# An engine in trouble recovers or is replaced within this time; longer pauses
# would keep a host from it after a mistake in the unit.
MAX_DECLINED_S = 600.0
# Requests to an engine are counted over this time.
SENT_WINDOW_S = 4.0
# Bounds the leaving engines that are remembered.
MAX_LEAVING = 1000
# Bounds the prompt parts tracked over all engines.
MAX_CACHED_PARTS = 50_000


class PeerLoad(msgspec.Struct):
    """Hold the load of another host on an engine."""

    requests: int
    prefill_ms: float
    reported_s: float
    # Prompt and expected output of the requests.
    tokens: int = 0


@dataclass(slots=True)
class Engine:
    """Hold the state of one incarnation of an engine."""

    entry: EngineEntry
    # Running requests of this host, and their outstanding prefill time.
    requests: int = 0
    prefill_ms: float = 0.0
    # Prompt and expected output of the running requests of this host.
    tokens: int = 0
    peers: dict[str, PeerLoad] = field(default_factory=dict)
    failure_rate: float = 0.0
    pauses: int = 0
    paused_until_s: float = 0.0
    # Until when the engine wants no requests of this host.
    declined_until_s: float = 0.0
    last_progress_s: float = 0.0
    # Set once the registry lists it as draining, or an answer says that it
    # leaves, for the whole incarnation.
    leaving: bool = False
    unlisted: bool = False
    # Whether it had no memory for the last request that it was considered for.
    memory_full: bool = False
    # The limit that it named, if any.
    limit: NamedLimit | None = None
    # What all hosts may send it while it is cold; no more than its limit.
    cold: NamedLimit | None = None
    _sent_s: deque[float] = field(default_factory=deque)

    @property
    def incarnation(self) -> str:
        """Return a name of this start of the engine."""
        return f'{self.entry.engine_id}/{self.entry.started_unix_ms}'

    @property
    def binding_limit(self) -> NamedLimit | None:
        """Return the limit that holds now, if any."""
        return self.limit if self.cold is None else self.cold

    @property
    def available_from_s(self) -> float:
        """Return when the engine's pauses end, by the monotonic clock."""
        return max(self.paused_until_s, self.declined_until_s)

    def is_available(self, now_s: float) -> bool:
        """Tell whether the engine may get new requests."""
        if self.leaving or self.unlisted:
            return False
        if now_s < self.available_from_s:
            return False
        # After a pause, one request at a time probes whether it is back.
        return self.pauses == 0 or self.requests == 0

    def record_sent(self, now_s: float) -> None:
        """Record that this host sends a request to the engine."""
        self._sent_s.append(now_s)
        self.count_sent(now_s)

    def count_sent(self, now_s: float) -> int:
        """Return the requests that this host sent in the last seconds."""
        while self._sent_s and self._sent_s[0] < now_s - SENT_WINDOW_S:
            self._sent_s.popleft()
        return len(self._sent_s)

    def count_sent_since(self, moment_s: float) -> int:
        """Return the requests that this host sent after a time."""
        return len(self._sent_s) - bisect_right(self._sent_s, moment_s)

    def total_requests(self, fresh_after_s: float) -> int:
        """Return the known running requests of all hosts."""
        return self.requests + sum(
            peer.requests
            for peer in self.peers.values()
            if peer.reported_s >= fresh_after_s
        )

    def total_prefill_ms(self, fresh_after_s: float) -> float:
        """Return the known outstanding prefill time of all hosts."""
        return self.prefill_ms + sum(
            peer.prefill_ms
            for peer in self.peers.values()
            if peer.reported_s >= fresh_after_s
        )

    def total_tokens(self, fresh_after_s: float) -> int:
        """Return the tokens of the known running requests of all hosts."""
        return self.tokens + sum(
            peer.tokens
            for peer in self.peers.values()
            if peer.reported_s >= fresh_after_s
        )

    def record_success(self, now_s: float) -> None:
        """Record an answer, which also ends the pauses."""
        self.last_progress_s = now_s
        self.pauses = 0
        self.failure_rate *= 1 - FAILURE_WEIGHT

    def record_failure(self) -> None:
        """Raise the failure rate by a failed request."""
        self.failure_rate += (1 - self.failure_rate) * FAILURE_WEIGHT

    def decline(self, duration_s: float, now_s: float) -> float:
        """Send nothing for as long as the engine asked; return the seconds."""
        declined_s = min(duration_s, MAX_DECLINED_S)
        self.declined_until_s = max(
            self.declined_until_s,
            now_s + declined_s,
        )
        return declined_s

    def pause(self, now_s: float) -> float:
        """Pause an unreachable engine with backoff; return the seconds."""
        self.record_failure()
        if now_s < self.paused_until_s:
            return self.paused_until_s - now_s
        pause_s = min(INITIAL_PAUSE_S * 2**self.pauses, MAX_PAUSE_S)
        self.pauses += 1
        self.paused_until_s = now_s + pause_s
        return pause_s


class EngineTable:
    """Hold all engines by id, and the prompt parts cached on each."""

    def __init__(self) -> None:
        """Start without engines."""
        self._engines: dict[str, Engine] = {}
        self._parts: OrderedDict[tuple[str, str, str], float] = OrderedDict()
        # Incarnations that leave, also while the registry doesn't list them.
        self._leaving: OrderedDict[str, None] = OrderedDict()

    def __iter__(self) -> Iterator[Engine]:
        """Iterate over all known engines."""
        return iter(self._engines.values())

    def find(self, engine_id: str) -> Engine | None:
        """Return an engine by its id."""
        return self._engines.get(engine_id)

    def of_service(self, service: str) -> tuple[Engine, ...]:
        """Return the engines of a service."""
        return tuple(
            engine
            for engine in self._engines.values()
            if engine.entry.service == service
        )

    def upsert(self, entry: EngineEntry) -> bool:
        """Apply a registry entry; return whether anything changed.

        Late entries of an earlier incarnation, or with a lower sequence, are
        ignored. An engine keeps draining for the rest of its incarnation.
        """
        known = self._engines.get(entry.engine_id)
        if known is None or _is_new_incarnation(known.entry, entry):
            engine = Engine(entry)
            engine.leaving = engine.incarnation in self._leaving
            self._engines[entry.engine_id] = engine
            if entry.state is EngineState.DRAINING:
                self.record_leaving(engine.incarnation)
            return True
        if _is_older(known.entry, entry):
            return False
        changed = known.entry != entry or known.unlisted
        known.entry = entry
        known.unlisted = False
        if entry.state is EngineState.DRAINING:
            self.record_leaving(known.incarnation)
        return changed

    def record_leaving(self, incarnation: str) -> Engine | None:
        """Send nothing more to an engine; return it if that is news."""
        self._leaving[incarnation] = None
        if len(self._leaving) > MAX_LEAVING:
            self._leaving.popitem(last=False)
        for engine in self._engines.values():
            if engine.incarnation == incarnation and not engine.leaving:
                engine.leaving = True
                return engine
        return None

    def unlist(self, engine_id: str) -> bool:
        """Stop sending requests to an engine that is no longer listed."""
        engine = self._engines.get(engine_id)
        if engine is None or engine.unlisted:
            return False
        engine.unlisted = True
        return True

    def record_cached_parts(
        self,
        engine_id: str,
        model: str,
        parts: Iterable[PromptPart],
        now_s: float,
    ) -> None:
        """Record the prompt parts that an engine now caches for a model."""
        for part in parts:
            key = (engine_id, model, part.part_id)
            self._parts[key] = now_s
            self._parts.move_to_end(key)
        while len(self._parts) > MAX_CACHED_PARTS:
            self._parts.popitem(last=False)

    def count_cached_tokens(
        self,
        engine_id: str,
        model: str,
        generation: Generation,
        since_s: float,
    ) -> int:
        """Return the prompt tokens that an engine has probably cached."""
        cached = 0
        for part in generation.parts:
            used_s = self._parts.get((engine_id, model, part.part_id))
            if used_s is None or used_s < since_s:
                break
            cached += part.tokens
        return min(cached, generation.prompt_tokens)

    def set_peer_loads(
        self,
        host: str,
        loads: Mapping[str, PeerLoad],
    ) -> None:
        """Replace the loads that another host reported, by engine id."""
        for engine_id, engine in self._engines.items():
            load = loads.get(engine_id)
            if load is None:
                engine.peers.pop(host, None)
            else:
                engine.peers[host] = load

    def drop_peer_loads(self, host: str) -> None:
        """Remove the loads reported by a host."""
        for engine in self._engines.values():
            engine.peers.pop(host, None)

    def remove_unlisted(self) -> None:
        """Remove unlisted engines without running requests."""
        for engine_id, engine in tuple(self._engines.items()):
            if engine.unlisted and engine.requests == 0:
                self._engines.pop(engine_id)


def _is_new_incarnation(known: EngineEntry, entry: EngineEntry) -> bool:
    return entry.started_unix_ms > known.started_unix_ms


def _is_older(known: EngineEntry, entry: EngineEntry) -> bool:
    if entry.started_unix_ms != known.started_unix_ms:
        return entry.started_unix_ms < known.started_unix_ms
    return entry.sequence < known.sequence
