"""Track which engines probably cache which prompt prefixes."""

from collections import OrderedDict
from dataclasses import dataclass

from bamboodeck.routing.messages import CacheEvent

MAX_PREFIXES = 20_000
MAX_HOLDERS = 3
ENTRY_TTL_S = 600.0
GAP_PROBABILITY = 0.5


@dataclass(frozen=True, slots=True)
class Holder:
    """Record when an engine was last known to cache a prefix."""

    engine: str
    seen_s: float


class PrefixIndex:
    """Map a bounded number of prefixes to engines."""

    def __init__(self) -> None:
        """Start empty."""
        self._holders: OrderedDict[int, tuple[Holder, ...]] = OrderedDict()
        self._sequences: dict[str, int] = {}
        self._gap_seen_s: dict[str, float] = {}

    def on_cache_event(self, event: CacheEvent, now_s: float) -> None:
        """Apply an event; ignore old and duplicate ones, and note gaps."""
        known = self._sequences.get(event.engine)
        if known is not None and event.sequence <= known:
            return
        if known is not None and event.sequence > known + 1:
            self._gap_seen_s[event.engine] = now_s
        self._sequences[event.engine] = event.sequence
        if event.stored:
            self.add(event.prefix_hash, event.engine, now_s)
            return
        self._remove(event.prefix_hash, event.engine)

    def add(self, prefix_hash: int, engine: str, now_s: float) -> None:
        """Record that an engine caches a prefix; keep the latest holders."""
        others = tuple(
            holder
            for holder in self._holders.get(prefix_hash, ())
            if holder.engine != engine
        )
        self._holders[prefix_hash] = (
            Holder(engine, now_s),
            *others[: MAX_HOLDERS - 1],
        )
        self._holders.move_to_end(prefix_hash)
        if len(self._holders) > MAX_PREFIXES:
            self._holders.popitem(last=False)

    def holders(self, prefix_hash: int) -> tuple[Holder, ...]:
        """Return the engines that may cache a prefix, the latest first."""
        return self._holders.get(prefix_hash, ())

    def cached_probability(self, holder: Holder, now_s: float) -> float:
        """Return the probability that the prefix is still cached."""
        if now_s - holder.seen_s > ENTRY_TTL_S:
            return 0
        if self._gap_seen_s.get(holder.engine, -1) >= holder.seen_s:
            return GAP_PROBABILITY
        return 1

    def invalidate_engine(self, engine: str) -> None:
        """Lower the probabilities of all prefixes of a lost engine."""
        self._sequences.pop(engine, None)
        self._gap_seen_s[engine] = float('inf')

    def restore_engine(self, engine: str) -> None:
        """Undo `invalidate_engine` once the engine is back."""
        if self._gap_seen_s.get(engine) == float('inf'):
            self._gap_seen_s.pop(engine)

    def _remove(self, prefix_hash: int, engine: str) -> None:
        remaining = tuple(
            holder
            for holder in self._holders.get(prefix_hash, ())
            if holder.engine != engine
        )
        if remaining:
            self._holders[prefix_hash] = remaining
            return
        self._holders.pop(prefix_hash, None)
