"""Prefix cache of an engine, with delayed and incomplete cache events."""

from collections import OrderedDict, deque
from random import Random

import xxhash

from bamboodeck.fakes.engine.messages import CacheEvent, EngineSettings

PREFIX_BLOCK_CHARACTERS = 256
MAX_EVENTS = 4096


def hash_prefixes(prompt: str) -> list[str]:
    """Hash each prefix made of complete blocks, the shortest first."""
    digest = xxhash.xxh64()
    prefixes = []
    whole = len(prompt) // PREFIX_BLOCK_CHARACTERS * PREFIX_BLOCK_CHARACTERS
    for start in range(0, whole, PREFIX_BLOCK_CHARACTERS):
        block = prompt[start : start + PREFIX_BLOCK_CHARACTERS]
        digest.update(block.encode())
        prefixes.append(digest.hexdigest())
    return prefixes


class PrefixCache:
    """Cache the most recently used prefixes, evicting the oldest ones."""

    def __init__(self, settings: EngineSettings, random: Random) -> None:
        """Create an empty cache; `random` selects the events to omit."""
        self._settings = settings
        self._random = random
        self._entries: OrderedDict[tuple[str, str], None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(
            maxlen=MAX_EVENTS,
        )
        self._last_number = 0

    def access(self, version: str, prompt: str, now_s: float) -> float:
        """Cache the prefixes of a prompt; return its cached share, 0 to 1."""
        prefixes = hash_prefixes(prompt)
        hits = 0
        for prefix in prefixes:
            key = (version, prefix)
            if key in self._entries:
                hits += 1
                self._entries.move_to_end(key)
                continue
            self._entries[key] = None
            self._record_event(now_s, 'stored', version, prefix)
        while len(self._entries) > self._settings.cache_prefixes:
            (old_version, old_prefix), _ = self._entries.popitem(last=False)
            self._record_event(now_s, 'evicted', old_version, old_prefix)
        return hits / len(prefixes) if prefixes else 0

    def list_events(self, after: int, now_s: float) -> list[CacheEvent]:
        """Return the events after a number that are past the lag."""
        newest_s = now_s - self._settings.cache_lag_s
        return [
            event
            for published_s, event in self._events
            if event.number > after and published_s <= newest_s
        ]

    def _record_event(
        self,
        now_s: float,
        kind: str,
        version: str,
        prefix: str,
    ) -> None:
        self._last_number += 1
        if self._random.random() < self._settings.cache_gap_ratio:
            return
        event = CacheEvent(self._last_number, kind, version, prefix)
        self._events.append((now_s, event))
