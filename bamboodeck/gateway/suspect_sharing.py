"""Tell the other hosts which prompt parts were on engines that broke off.

Load pattern: requests with a part that crashes engines come at any host, one
after the other, so a host alone sees too few crashes to tell it from the parts
beside it. What a host saw is published for some seconds, since messages may be
lost. A host that knows a reported part to be harmless, or the engine to run on,
answers once.
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

# How long a crash is published by the host that saw it.
PUBLISH_S = 5.0
# How often the crashes of blamed parts are published again, for hosts that have
# started since.
REPUBLISH_PERIOD_S = 2.0
# Bound a message to what fits a datagram.
MAX_PUBLISHED_ENGINES = 50
MAX_PUBLISHED_PARTS = 200

_MILLISECONDS_PER_S = 1000


class _OwnCrash(msgspec.Struct, frozen=True):
    crashed_s: float
    # Until when it is published.
    until_s: float
    parts: tuple[SuspectPart, ...]


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
        parts = crash.parts if known is None else (*known.parts, *crash.parts)
        self._own[crash.incarnation] = _OwnCrash(
            crash.crashed_s,
            self._context.now_s() + PUBLISH_S,
            tuple(dict.fromkeys(parts)),
        )

    def build_update(self, *, is_first: bool) -> SuspectUpdate | None:
        """Return what to publish now; `is_first` is set on one host a zone."""
        now_s = self._context.now_s()
        self._clear_engines()
        self._own = {
            incarnation: crash
            for incarnation, crash in self._own.items()
            if crash.until_s > now_s and incarnation not in self._alive
        }
        crashes = [
            EngineCrash(incarnation, crash.crashed_s, crash.parts)
            for incarnation, crash in self._own.items()
        ]
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
            suspects.record_alive(
                notice.incarnation,
                now_s - notice.age_ms / _MILLISECONDS_PER_S,
            )
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
