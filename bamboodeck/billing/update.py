"""Update a stored value by compare-and-swap, retrying until it succeeds."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from bamboodeck.billing.messages import BillingLimits, LedgerFormatError
from bamboodeck.keyvalue.backoff import backoff_s
from bamboodeck.keyvalue.port import (
    MISSING_REVISION,
    CompareAndSwap,
    Conflict,
    Entry,
    KeyRead,
    KeyValuePort,
    ReadKey,
    StoreReply,
    Swapped,
)


@dataclass(frozen=True, slots=True)
class BillingClock:
    """Provide the wall clock and the timer of the event loop, in seconds."""

    wall_s: Callable[[], float]
    call_after: Callable[[float, Callable[[], None]], Any]


@dataclass(frozen=True, slots=True)
class UpdateContext:
    """Group the dependencies that all updates share."""

    port: KeyValuePort
    clock: BillingClock
    random: random.Random
    limits: BillingLimits
    counters: Counter[str]


class ValueUpdate:
    """Apply an idempotent change, so that it can be retried.

    The change gets the stored value and returns the new one, or None if
    it is already applied.
    """

    def __init__(
        self,
        context: UpdateContext,
        key: str,
        change: Callable[[bytes | None], bytes | None],
        on_done: Callable[[], None],
    ) -> None:
        """Prepare a change; `on_done` is called once it is applied."""
        self._context = context
        self._key = key
        self._change = change
        self._on_done = on_done
        self._failures = 0

    def start(self) -> None:
        """Read the value, then swap in the changed one."""
        self._context.counters['reads'] += 1
        self._context.port.submit(ReadKey(self._key), self._on_read)

    def _on_read(self, reply: StoreReply) -> None:
        match reply:
            case KeyRead(entry=entry):
                self._swap(entry)
            case _:
                self._retry()

    def _swap(self, entry: Entry | None) -> None:
        try:
            body = self._change(None if entry is None else entry.body)
        except LedgerFormatError:
            self._context.counters['unreadable_values'] += 1
            self._retry()
            return
        if body is None:
            self._on_done()
            return
        self._context.counters['writes'] += 1
        revision = MISSING_REVISION if entry is None else entry.revision
        self._context.port.submit(
            CompareAndSwap(self._key, revision, body),
            self._on_swap,
        )

    def _on_swap(self, reply: StoreReply) -> None:
        match reply:
            case Swapped():
                self._on_done()
            case Conflict():
                self._context.counters['conflicts'] += 1
                self._retry()
            case _:
                self._context.counters['lost_answers'] += 1
                self._retry()

    def _retry(self) -> None:
        """Start again after a random delay that grows with the failures."""
        self._failures += 1
        limits = self._context.limits
        self._context.clock.call_after(
            backoff_s(
                self._failures,
                limits.retry_base_s,
                limits.retry_max_s,
                self._context.random,
            ),
            self.start,
        )
