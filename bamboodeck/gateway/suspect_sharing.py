"""Tell the other hosts which prompt parts were on engines that broke off.

Load pattern: requests with a part that crashes engines come at any host, one
after the other, so a host alone sees too few crashes to tell it from the parts
beside it. A crash is published a few times, since messages may be lost, but not
in each period: in a large fleet the requests of one engine come from many
hosts, and each of their messages reaches every host. A host that knows a
reported part to be harmless, or the engine to run on, answers once.
"""

from collections.abc import Iterable, Iterator

import msgspec

from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.peer_messages import (
    AliveNotice,
    CrashedParts,
    SuspectUpdate,
)
from bamboodeck.gateway.suspect_parts import EngineCrash, SuspectPart

# When a host publishes a crash that it saw, after it learned of its parts.
PUBLISH_AFTER_S = (0.0, 0.25, 1.0, 3.0)
# How often the crashes of blamed parts are published again, for hosts that have
# started since.
REPUBLISH_PERIOD_S = 2.0
# Bound a message to what fits a datagram.
MAX_PUBLISHED_ENGINES = 50
MAX_PUBLISHED_PARTS = 200

_MILLISECONDS_PER_S = 1000


class _OwnCrash(msgspec.Struct, frozen=True):
    crashed_s: float
    parts: tuple[SuspectPart, ...]
    # When the last of the parts was added, and how often they were published.
    reported_s: float
    published: int = 0

    def is_due(self, now_s: float) -> bool:
        """Tell whether to publish the crash now."""
        return now_s >= self.reported_s + PUBLISH_AFTER_S[self.published]


class SuspectSharing:
    """Build and apply the messages about suspected parts."""

    def __init__(self, context: GatewayContext) -> None:
        """Start without reports."""
        self._context = context
        # What this host saw, by engine.
        self._own: dict[str, _OwnCrash] = {}
        # Reported parts that this host knows to be harmless.
        self._harmless: dict[str, None] = {}
        # Engines that ran on after a crash was reported, and when.
        self._alive: dict[str, float] = {}
        self._republished_s = 0.0

    def report(self, crash: EngineCrash) -> None:
        """Publish the suspects of a crash that this host saw."""
        known = self._own.get(crash.incarnation)
        known_parts = () if known is None else known.parts
        parts = tuple(dict.fromkeys((*known_parts, *crash.parts)))
        if parts == known_parts:
            return
        self._own[crash.incarnation] = _OwnCrash(
            crash.crashed_s,
            parts,
            self._context.now_s(),
        )

    def build_update(self, *, is_first: bool) -> SuspectUpdate | None:
        """Return what to publish now; `is_first` is set on one host a zone."""
        now_s = self._context.now_s()
        self._clear_engines()
        crashes = list(self._take_due(now_s))
        if is_first and now_s - self._republished_s >= REPUBLISH_PERIOD_S:
            self._republished_s = now_s
            suspects = self._context.suspect_parts
            crashes.extend(suspects.list_crashes(suspects.list_blamed(now_s)))
        harmless = tuple(self._harmless)[:MAX_PUBLISHED_PARTS]
        self._harmless.clear()
        alive = tuple(
            AliveNotice(incarnation, _age_ms(now_s, alive_s))
            for incarnation, alive_s in self._alive.items()
        )
        self._alive.clear()
        if not (crashes or harmless or alive):
            return None
        return SuspectUpdate(
            tuple(self._build_crashes(crashes, now_s)),
            harmless,
            alive[:MAX_PUBLISHED_ENGINES],
        )

    def apply(self, update: SuspectUpdate) -> None:
        """Apply what another host has published."""
        now_s = self._context.now_s()
        suspects = self._context.suspect_parts
        for part_id in update.harmless:
            self._harmless.pop(part_id, None)
        suspects.record_harmless(update.harmless, now_s)
        for notice in update.alive:
            alive_s = now_s - notice.age_ms / _MILLISECONDS_PER_S
            if suspects.record_alive(notice.incarnation, alive_s):
                self._own.pop(notice.incarnation, None)
        for crash in update.crashes:
            for part in crash.parts:
                if suspects.is_harmless(part.part_id, now_s):
                    self._harmless[part.part_id] = None
            suspects.record_crash(
                EngineCrash(
                    crash.incarnation,
                    now_s - crash.age_ms / _MILLISECONDS_PER_S,
                    crash.parts,
                ),
                now_s,
            )

    def _clear_engines(self) -> None:
        suspects = self._context.suspect_parts
        crashes = suspects.crashes
        if not crashes:
            return
        for engine in self._context.engines:
            if engine.incarnation not in crashes:
                continue
            if suspects.record_alive(
                engine.incarnation,
                engine.last_progress_s,
            ):
                self._alive[engine.incarnation] = engine.last_progress_s
                self._own.pop(engine.incarnation, None)

    def _take_due(self, now_s: float) -> Iterator[EngineCrash]:
        for incarnation, crash in tuple(self._own.items()):
            if not crash.is_due(now_s):
                continue
            yield EngineCrash(incarnation, crash.crashed_s, crash.parts)
            published = crash.published + 1
            if published == len(PUBLISH_AFTER_S):
                self._own.pop(incarnation)
                continue
            self._own[incarnation] = msgspec.structs.replace(
                crash,
                published=published,
            )

    def _build_crashes(
        self,
        crashes: Iterable[EngineCrash],
        now_s: float,
    ) -> Iterator[CrashedParts]:
        suspects = self._context.suspect_parts
        left = MAX_PUBLISHED_PARTS
        for crash in crashes:
            parts = [
                part
                for part in crash.parts
                if not suspects.is_harmless(part.part_id, now_s)
            ]
            age_ms = _age_ms(now_s, crash.crashed_s)
            if parts and left > 0:
                yield CrashedParts(
                    crash.incarnation,
                    age_ms,
                    tuple(parts[:left]),
                )
            left -= len(parts)


def _age_ms(now_s: float, happened_s: float) -> int:
    return max(int((now_s - happened_s) * _MILLISECONDS_PER_S), 0)
