"""Find the parts of prompts that crash the engines that read them.

Load pattern: one part crashes each engine that begins to answer a request with
it, and takes the other requests on the engine with it. Requests with the part
differ in all else and come at any host, while sound ones share their other
parts. A part that an engine has answered is harmless. Of the others, the part
that was on most crashed engines is blamed first, and the crashes that it
explains count for no other part.
"""

import math
from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from bamboodeck.gateway.model import Generation

# Fewer could be a request that was on engines that crashed for other reasons.
CRASHES_TO_BLOCK = 3
# A crash counts, and a part stays harmless, for this long after it was seen.
EXPIRY_S = 600.0
# Reports of one crash arrive over several hosts; only a time that is later by
# more than their delay is a new one.
MIN_TIME_CHANGE_S = 5.0
# A crash counts once other hosts had the time to report that the engine runs.
SETTLE_S = 0.8
# What an engine sent before its crash may be read this much later on a busy
# host.
ALIVE_MARGIN_S = 0.25
# How often blame is assigned anew without news, so that it expires.
REASSIGN_PERIOD_S = 30.0
# Longer ids don't fit a key of the registry.
MAX_PART_ID_CHARS = 128
MAX_CRASHES = 256
MAX_PARTS_PER_CRASH = 100
MAX_HARMLESS_PARTS = 20_000


class SuspectPart(msgspec.Struct, frozen=True, array_like=True):
    """Name a part, and its position in the prompt, of a broken request."""

    part_id: str
    depth: int


class EngineCrash(msgspec.Struct, frozen=True):
    """Hold the parts that were on an engine when it broke off."""

    # The id and the start of the engine.
    incarnation: str
    crashed_s: float
    parts: tuple[SuspectPart, ...]


@dataclass(slots=True)
class _Crash:
    crashed_s: float
    # When a request with a part that is blamed for it last came.
    asked_s: float
    depths: dict[str, int] = field(default_factory=dict)


def list_shared_parts(generation: Generation | None) -> tuple[SuspectPart, ...]:
    """Return the parts that other requests may have too.

    The last part belongs to the request itself or to its session.
    """
    if generation is None:
        return ()
    return tuple(
        SuspectPart(part.part_id, depth)
        for depth, part in enumerate(generation.parts[:-1])
        if len(part.part_id) <= MAX_PART_ID_CHARS
    )


class SuspectParts:
    """Hold the crashes of engines and the parts that are harmless."""

    def __init__(self) -> None:
        """Start without crashes."""
        self._crashes: OrderedDict[str, _Crash] = OrderedDict()
        self._harmless: OrderedDict[str, float] = OrderedDict()
        # When each engine last sent something, as far as it was reported.
        self._alive: OrderedDict[str, float] = OrderedDict()
        # The parts that the registry lists as blamed.
        self.listed: set[str] = set()
        # Those of them that the registry has lost, to be listed again.
        self.lost: set[str] = set()
        self._suspected: set[str] = set()
        self._blamed: frozenset[str] = frozenset()
        self._reassign_s = -math.inf

    @property
    def crashes(self) -> dict[str, float]:
        """Return when the engines broke off, by incarnation."""
        return {
            incarnation: crash.crashed_s
            for incarnation, crash in self._crashes.items()
        }

    def is_harmless(self, part_id: str, now_s: float) -> bool:
        """Tell whether an engine has answered a request with a part."""
        answered_s = self._harmless.get(part_id)
        return answered_s is not None and now_s - answered_s < EXPIRY_S

    def record_alive(self, incarnation: str, alive_s: float) -> bool:
        """Record that an engine sent something; return whether it runs on.

        An engine that does so after it broke a request off lost an answer, but
        has not crashed.
        """
        known_s = self._alive.get(incarnation, -math.inf)
        self._alive[incarnation] = max(alive_s, known_s)
        self._alive.move_to_end(incarnation)
        if len(self._alive) > MAX_CRASHES:
            self._alive.popitem(last=False)
        crash = self._crashes.get(incarnation)
        if crash is None or not self._runs_on(incarnation, crash.crashed_s):
            return False
        self._crashes.pop(incarnation)
        self._reassign_s = -math.inf
        return True

    def record_harmless(self, part_ids: Iterable[str], now_s: float) -> None:
        """Clear parts of suspicion."""
        for part_id in part_ids:
            if part_id in self._suspected:
                self._reassign_s = -math.inf
            self._harmless[part_id] = now_s
            self._harmless.move_to_end(part_id)
        while len(self._harmless) > MAX_HARMLESS_PARTS:
            self._harmless.popitem(last=False)

    def record_crash(
        self,
        crash: EngineCrash,
        now_s: float,
    ) -> tuple[SuspectPart, ...]:
        """Add what was on an engine that broke off; return its suspects."""
        suspects = tuple(
            part
            for part in crash.parts
            if not self.is_harmless(part.part_id, now_s)
        )
        if not suspects or self._runs_on(crash.incarnation, crash.crashed_s):
            return ()
        known = self._crashes.setdefault(
            crash.incarnation,
            _Crash(crash.crashed_s, crash.crashed_s),
        )
        if crash.crashed_s > known.asked_s + MIN_TIME_CHANGE_S:
            known.asked_s = crash.crashed_s
        for suspect in suspects:
            if len(known.depths) < MAX_PARTS_PER_CRASH:
                known.depths.setdefault(suspect.part_id, suspect.depth)
        while len(self._crashes) > MAX_CRASHES:
            self._crashes.popitem(last=False)
        self._suspected.update(part.part_id for part in suspects)
        self._reassign_s = -math.inf
        return suspects

    def add_listed(self, part_id: str) -> None:
        """Blame a part that the registry lists."""
        self.listed.add(part_id)
        self.lost.discard(part_id)
        self._reassign_s = -math.inf

    def drop_listed(self, part_id: str) -> None:
        """Blame a part by its crashes alone."""
        self.listed.discard(part_id)
        self.lost.discard(part_id)
        self._reassign_s = -math.inf

    def list_blamed(self, now_s: float) -> frozenset[str]:
        """Return the parts whose requests are to be refused."""
        if now_s >= self._reassign_s:
            self._drop_answered(now_s)
            self._blamed = self._assign_blame(now_s)
            self._reassign_s = now_s + REASSIGN_PERIOD_S
            for unsettled in self._crashes.values():
                settled_s = unsettled.crashed_s + SETTLE_S
                if settled_s > now_s:
                    self._reassign_s = min(self._reassign_s, settled_s)
        return self._blamed

    def find_blamed(
        self,
        parts: Iterable[SuspectPart],
        now_s: float,
    ) -> str | None:
        """Return the part for which to refuse a request, if any.

        While requests with it come, its crashes don't expire.
        """
        if not (self._crashes or self.listed):
            return None
        blamed = self.list_blamed(now_s)
        for part in parts:
            if part.part_id in blamed:
                self._extend(part.part_id, now_s)
                return part.part_id
        return None

    def list_crashes(
        self,
        part_ids: Iterable[str],
    ) -> tuple[EngineCrash, ...]:
        """Return the crashes that parts explain, to tell other hosts."""
        wanted = set(part_ids)
        found = []
        for incarnation, crash in self._crashes.items():
            parts = tuple(
                SuspectPart(part_id, depth)
                for part_id, depth in crash.depths.items()
                if part_id in wanted
            )
            if parts:
                found.append(EngineCrash(incarnation, crash.asked_s, parts))
        return tuple(found)

    def _extend(self, part_id: str, now_s: float) -> None:
        for crash in self._crashes.values():
            recent = now_s - crash.asked_s <= MIN_TIME_CHANGE_S
            if part_id in crash.depths and not recent:
                crash.asked_s = now_s

    def _runs_on(self, incarnation: str, crashed_s: float) -> bool:
        alive_s = self._alive.get(incarnation, -math.inf)
        return alive_s > crashed_s + ALIVE_MARGIN_S

    def _drop_answered(self, now_s: float) -> None:
        kept: OrderedDict[str, _Crash] = OrderedDict()
        self._suspected = set()
        for incarnation, crash in self._crashes.items():
            crash.depths = {
                part_id: depth
                for part_id, depth in crash.depths.items()
                if not self.is_harmless(part_id, now_s)
            }
            if not crash.depths or now_s - crash.asked_s >= EXPIRY_S:
                continue
            kept[incarnation] = crash
            self._suspected.update(crash.depths)
        self._crashes = kept

    def _assign_blame(self, now_s: float) -> frozenset[str]:
        blamed = {
            listed
            for listed in self.listed
            if not self.is_harmless(listed, now_s)
        }
        unexplained = [
            crash.depths
            for crash in self._crashes.values()
            if now_s >= crash.crashed_s + SETTLE_S
            and blamed.isdisjoint(crash.depths)
        ]
        part_id = _find_most_common(unexplained)
        while part_id is not None:
            blamed.add(part_id)
            unexplained = [
                depths for depths in unexplained if part_id not in depths
            ]
            part_id = _find_most_common(unexplained)
        return frozenset(blamed)


def _find_most_common(crashes: Iterable[dict[str, int]]) -> str | None:
    counts: Counter[str] = Counter()
    depths: dict[str, int] = {}
    for crash in crashes:
        counts.update(crash.keys())
        depths.update(crash)
    if not counts:
        return None
    # Of parts that were always together, the deepest is the most specific.
    found = max(counts, key=lambda each: (counts[each], depths[each], each))
    return found if counts[found] >= CRASHES_TO_BLOCK else None
