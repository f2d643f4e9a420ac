"""Track changes to records until they are stored."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from bamboodeck.keyvalue.port import KeyValuePort
from bamboodeck.orders.messages import OrderLimits
from bamboodeck.orders.records import ApplyResult, Change, Withdraw


@dataclass(frozen=True, slots=True)
class OrderClock:
    """Provide the clocks and the timer of the event loop, in seconds."""

    monotonic_s: Callable[[], float]
    wall_s: Callable[[], float]
    call_after: Callable[[float, Callable[[], None]], Any]


@dataclass(frozen=True, slots=True)
class WriterContext:
    """Bundle the dependencies that all writers share."""

    port: KeyValuePort
    clock: OrderClock
    random: random.Random
    limits: OrderLimits
    counters: Counter[str]


@dataclass(frozen=True, slots=True)
class ProvenNotRun:
    """Report that the value just read has no started attempt."""


@dataclass(frozen=True, slots=True)
class Unconfirmed:
    """Report that it is unknown whether a change is in the value."""


@dataclass(frozen=True, slots=True)
class Unreadable:
    """Report that the value has no valid records."""

    reason: str


ChangeResult = ApplyResult | ProvenNotRun | Unconfirmed | Unreadable
OnResult = Callable[[ChangeResult], None]


class PendingChange:
    """Track one change until it is stored."""

    __slots__ = (
        'abandoned',
        'change',
        'failures',
        'deadline_s',
        'on_result',
        'sent',
    )

    def __init__(
        self,
        change: Change,
        deadline_s: float,
        on_result: OnResult,
    ) -> None:
        """Start with an unsent change."""
        self.change = change
        self.deadline_s = deadline_s
        self.on_result = on_result
        self.sent = False
        self.failures = 0
        self.abandoned = False

    def abandon(self, deadline_s: float) -> None:
        """Abandon a claim; if it was sent, it will be withdrawn."""
        self.abandoned = True
        self.deadline_s = deadline_s

    def next_change(self) -> Change | None:
        """Return the next change to write, if any."""
        if not self.abandoned:
            return self.change
        if not self.sent:
            return None
        claim = self.change
        return Withdraw(claim.digest, claim.fingerprint, claim.attempt_id)
