"""Faults that can be injected into the key-value service."""

from dataclasses import dataclass

from bamboodeck.fakes.faults import (
    Count,
    Duration,
    Fault,
    InstantFault,
    Ratio,
)


@dataclass(frozen=True)
class LoseAnswers(Fault):
    """Apply a change, then abort the connection without a response."""

    probability: Ratio = 1
    times: Count = 0
    for_s: Duration = 0


@dataclass(frozen=True)
class LateEffects(Fault):
    """Abort the connection and apply the change after a delay."""

    delay_ms: Duration
    times: Count = 1


@dataclass(frozen=True)
class OldReads(Fault):
    """Serve reads with the value before the last change."""

    times: Count = 1


@dataclass(frozen=True)
class MuteWatches(Fault):
    """Send neither events nor progress notifications on watches."""

    for_s: Duration = 0


@dataclass(frozen=True)
class ExpireLease(InstantFault):
    """Expire a lease immediately, or all leases if the id is 0."""

    lease_id: Count = 0


@dataclass(frozen=True)
class BreakWatches(InstantFault):
    """Abort the connections of all watches."""


KEY_VALUE_FAULTS: tuple[type[Fault], ...] = (
    LoseAnswers,
    LateEffects,
    OldReads,
    MuteWatches,
    ExpireLease,
    BreakWatches,
)
