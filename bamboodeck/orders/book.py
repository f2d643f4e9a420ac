"""Dispatch each order of this process at most once.

The intent is stored before the dispatch. An attempt is dispatched at most once
and never after its deadline. Only a record or its absence, as read from the
store, proves that a key has not run.
"""

import enum
import functools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from bamboodeck.invariants import Invariants
from bamboodeck.keyvalue.port import KeyValuePort
from bamboodeck.orders.keys import RecordLocation, check_age, locate_record
from bamboodeck.orders.messages import (
    AlreadyDone,
    ExpiredKeyError,
    FutureKeyError,
    MalformedKeyError,
    MayDispatch,
    NotRun,
    OrderCode,
    OrderDecision,
    OrderLimits,
    OrderOutcome,
    OrderRequest,
    OrderTicket,
    OutcomeUnknown,
)
from bamboodeck.orders.pending import (
    ChangeResult,
    OrderClock,
    PendingChange,
    Unconfirmed,
    WriterContext,
)
from bamboodeck.orders.records import (
    Applied,
    Change,
    Claim,
    Finish,
    Withdraw,
)
from bamboodeck.orders.refusals import KEY_REUSED, TOO_LATE, decide_refusal
from bamboodeck.orders.writer import ShardWriter

OnDecision = Callable[[OrderDecision], None]

_ATTEMPT_BITS = 128
_RETRY_AFTER_S = 1.0


@enum.unique
class _Step(enum.Enum):
    CLAIMING = 'claiming'
    GRANTED = 'granted'
    DISPATCHED = 'dispatched'
    RECORDING = 'recording'


@dataclass(slots=True)
class _Attempt:
    ticket: OrderTicket
    step: _Step = _Step.CLAIMING
    outcome: OrderOutcome | None = None


class OrderBook:
    """Track the orders in flight in this process."""

    def __init__(
        self,
        port: KeyValuePort,
        clock: OrderClock,
        rng: random.Random,
        limits: OrderLimits,
        invariants: Invariants | None = None,
    ) -> None:
        """Start with no orders in flight."""
        self.counters: Counter[str] = Counter()
        self._context = WriterContext(port, clock, rng, limits, self.counters)
        self._limits = limits
        self._clock = clock
        self._invariants = invariants or Invariants(None, raising=False)
        self._attempts: dict[bytes, _Attempt] = {}
        self._writers: dict[str, ShardWriter] = {}
        self._on_idle: Callable[[], None] | None = None

    @property
    def pending_count(self) -> int:
        """Return the number of unfinished orders and active writers."""
        return len(self._attempts) + len(self._writers)

    def on_idle(self, callback: Callable[[], None]) -> None:
        """Call a function once, as soon as nothing is pending."""
        self._on_idle = callback
        self._notify_idle()

    def begin(self, request: OrderRequest, on_decision: OnDecision) -> None:
        """Decide whether an order may be dispatched by this process."""
        try:
            location = self._locate(request)
        except MalformedKeyError as error:
            on_decision(NotRun(OrderCode.KEY_MALFORMED, str(error)))
        except ExpiredKeyError as error:
            on_decision(OutcomeUnknown(str(error), OrderCode.KEY_EXPIRED))
        except FutureKeyError as error:
            on_decision(OutcomeUnknown(str(error), OrderCode.KEY_IN_FUTURE))
        else:
            self._start_attempt(location, on_decision)

    def check_dispatch(self, ticket: OrderTicket) -> bool:
        """Permit the only dispatch of a ticket before its deadline.

        After the deadline the attempt is recorded as not started.
        """
        attempt = self._find(ticket)
        if attempt is None or attempt.step is not _Step.GRANTED:
            return False
        if self._clock.monotonic_s() >= ticket.dispatch_before_s:
            self._withdraw(attempt)
            return False
        attempt.step = _Step.DISPATCHED
        self.counters['dispatched'] += 1
        return True

    def finish(self, ticket: OrderTicket, outcome: OrderOutcome) -> None:
        """Record the outcome of a dispatched order."""
        attempt = self._find_dispatched(ticket)
        if attempt is None:
            return
        attempt.outcome = outcome
        change = Finish(ticket.digest, ticket.attempt_id, outcome)
        self._record(attempt, change, self._limits.record_linger_s)

    def mark_not_started(self, ticket: OrderTicket, reason: str) -> None:
        """Record that the order of a ticket has not started."""
        attempt = self._find(ticket)
        if attempt is None or attempt.step is _Step.RECORDING:
            return
        self.counters['not_started'] += 1
        self._withdraw(attempt)

    def mark_unknown(self, ticket: OrderTicket, reason: str) -> None:
        """Keep the intent of a dispatched order, as its outcome is unknown."""
        attempt = self._find_dispatched(ticket)
        if attempt is None:
            return
        self.counters['unknown'] += 1
        self._remove(ticket)

    def _locate(self, request: OrderRequest) -> RecordLocation:
        location = locate_record(request)
        now_s = self._clock.wall_s()
        check_age(request.idempotency_key, now_s, self._limits)
        return location

    def _start_attempt(
        self, location: RecordLocation, on_decision: OnDecision
    ) -> None:
        running = self._attempts.get(location.digest)
        if running is not None:
            on_decision(self._decide_duplicate(running, location))
            return
        if self._is_full():
            on_decision(
                OutcomeUnknown(
                    'too many orders are in progress',
                    OrderCode.OVERLOADED,
                    _RETRY_AFTER_S,
                ),
            )
            return
        ticket = self._issue_ticket(location)
        self._attempts[ticket.digest] = _Attempt(ticket)
        self._claim(ticket, on_decision)

    def _decide_duplicate(
        self,
        running: _Attempt,
        location: RecordLocation,
    ) -> OrderDecision:
        if running.ticket.fingerprint != location.fingerprint:
            return KEY_REUSED
        if running.outcome is not None:
            return AlreadyDone(running.outcome)
        return OutcomeUnknown(
            'an order with this key is in progress',
            OrderCode.IN_PROGRESS,
            _RETRY_AFTER_S,
        )

    def _issue_ticket(self, location: RecordLocation) -> OrderTicket:
        attempt_id = self._context.random.getrandbits(_ATTEMPT_BITS)
        wait_s = self._limits.claim_timeout_s + self._limits.dispatch_window_s
        return OrderTicket(
            location.store_key,
            location.digest,
            location.fingerprint,
            attempt_id.to_bytes(_ATTEMPT_BITS // 8),
            self._clock.monotonic_s() + wait_s,
        )

    def _claim(self, ticket: OrderTicket, on_decision: OnDecision) -> None:
        timeout_s = self._limits.claim_timeout_s
        pending = PendingChange(
            Claim(ticket.digest, ticket.fingerprint, ticket.attempt_id),
            self._clock.monotonic_s() + timeout_s,
            functools.partial(self._on_claimed, ticket, on_decision),
        )
        self._clock.call_after(
            timeout_s,
            functools.partial(self._on_timeout, ticket, pending),
        )
        self._writer(ticket.store_key).add(
            pending,
            self._limits.claim_linger_s,
        )

    def _on_timeout(self, ticket: OrderTicket, pending: PendingChange) -> None:
        attempt = self._find(ticket)
        if attempt is None or attempt.step is not _Step.CLAIMING:
            return
        self._writer(ticket.store_key).abandon(pending)
        pending.on_result(Unconfirmed())

    def _on_claimed(
        self,
        ticket: OrderTicket,
        on_decision: OnDecision,
        outcome: ChangeResult,
    ) -> None:
        attempt = self._attempts[ticket.digest]
        if not isinstance(outcome, Applied):
            self._remove(ticket)
            on_decision(decide_refusal(outcome, ticket.fingerprint))
            return
        self.counters['intents'] += 1
        if self._clock.monotonic_s() >= ticket.dispatch_before_s:
            self._withdraw(attempt)
            on_decision(TOO_LATE)
            return
        attempt.step = _Step.GRANTED
        on_decision(MayDispatch(ticket))

    def _withdraw(self, attempt: _Attempt) -> None:
        ticket = attempt.ticket
        change = Withdraw(ticket.digest, ticket.fingerprint, ticket.attempt_id)
        self._record(attempt, change, linger_s=0)

    def _record(
        self,
        attempt: _Attempt,
        change: Change,
        linger_s: float,
    ) -> None:
        """Store the end of an attempt, then drop the attempt."""
        attempt.step = _Step.RECORDING
        now_s = self._clock.monotonic_s()
        pending = PendingChange(
            change,
            now_s + self._limits.record_timeout_s,
            functools.partial(self._on_recorded, attempt.ticket),
        )
        self._writer(attempt.ticket.store_key).add(pending, linger_s)

    def _on_recorded(self, ticket: OrderTicket, outcome: ChangeResult) -> None:
        if not isinstance(outcome, Applied):
            self.counters['unrecorded'] += 1
        self._remove(ticket)

    def _find(self, ticket: OrderTicket) -> _Attempt | None:
        attempt = self._attempts.get(ticket.digest)
        if attempt is None or attempt.ticket != ticket:
            return None
        return attempt

    def _find_dispatched(self, ticket: OrderTicket) -> _Attempt | None:
        attempt = self._find(ticket)
        dispatched = attempt is not None and attempt.step is _Step.DISPATCHED
        self._invariants.check(
            'order_ends_once_after_dispatch',
            ticket.digest.hex(),
            holds=dispatched,
        )
        return attempt if dispatched else None

    def _remove(self, ticket: OrderTicket) -> None:
        self._attempts.pop(ticket.digest, None)
        self._notify_idle()

    def _writer(self, store_key: str) -> ShardWriter:
        writer = self._writers.get(store_key)
        if writer is None:
            writer = ShardWriter(self._context, store_key, self._remove_writer)
            self._writers[store_key] = writer
        return writer

    def _remove_writer(self, store_key: str) -> None:
        self._writers.pop(store_key, None)
        self._notify_idle()

    def _is_full(self) -> bool:
        queued = sum(writer.size for writer in self._writers.values())
        pending = max(len(self._attempts), queued)
        return pending >= self._limits.max_pending

    def _notify_idle(self) -> None:
        if self._on_idle is None or self.pending_count:
            return
        callback = self._on_idle
        self._on_idle = None
        callback()
