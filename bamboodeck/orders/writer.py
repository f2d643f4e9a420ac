"""Write changes of one stored value in batches by compare-and-swap."""

from collections.abc import Callable
from dataclasses import dataclass

from bamboodeck.keyvalue.backoff import backoff_s
from bamboodeck.keyvalue.port import (
    MISSING_REVISION,
    CompareAndSwap,
    Conflict,
    Entry,
    KeyRead,
    OnReply,
    ReadKey,
    StoreReply,
    StoreRequest,
    Swapped,
)
from bamboodeck.orders.messages import RecordFormatError
from bamboodeck.orders.pending import (
    PendingChange,
    ProvenNotRun,
    Unconfirmed,
    Unreadable,
    WriterContext,
)
from bamboodeck.orders.records import (
    ApplyResult,
    Blocked,
    Change,
    Claim,
    RecordSet,
    RecordState,
    ValueFull,
)


@dataclass(frozen=True, slots=True)
class _Written:
    pending: PendingChange
    change: Change
    outcome: ApplyResult


class ShardWriter:
    """Write changes of one value, one compare-and-swap at a time."""

    def __init__(
        self,
        context: WriterContext,
        store_key: str,
        on_idle: Callable[[str], None],
    ) -> None:
        """Start idle."""
        self._context = context
        self._store_key = store_key
        self._on_idle = on_idle
        self._waiting: list[PendingChange] = []
        self._written: list[_Written] = []
        self._busy = False
        self._failures = 0
        self._had_conflict = False
        self._submitted_s = 0.0

    @property
    def size(self) -> int:
        """Return the number of unfinished changes."""
        return len(self._waiting) + len(self._written)

    def add(self, pending: PendingChange, linger_s: float = 0) -> None:
        """Queue a change; it waits at most `linger_s` seconds for a batch."""
        self._waiting.append(pending)
        if self._busy:
            return
        if linger_s <= 0:
            self._start()
            return
        self._context.clock.call_after(linger_s, self._start_if_idle)

    def abandon(self, pending: PendingChange) -> None:
        """Abandon a claim, and withdraw it if it was sent."""
        now_s = self._context.clock.monotonic_s()
        pending.abandon(now_s + self._context.limits.record_timeout_s)

    def _start_if_idle(self) -> None:
        if not self._busy and self._waiting:
            self._start()

    def _start(self) -> None:
        self._busy = True
        self._had_conflict = False
        self._context.counters['reads'] += 1
        self._submit(ReadKey(self._store_key), self._on_read)

    def _submit(self, request: StoreRequest, on_reply: OnReply) -> None:
        self._submitted_s = self._context.clock.monotonic_s()
        self._context.port.submit(request, on_reply)

    def _is_fresh(self) -> bool:
        """Return whether the last reply is recent enough to be a proof."""
        age_s = self._context.clock.monotonic_s() - self._submitted_s
        return age_s <= self._context.limits.proof_max_age_s

    def _on_read(self, reply: StoreReply) -> None:
        match reply:
            case KeyRead(entry=entry):
                self._failures = 0
                self._write(entry)
            case _:
                self._retry()

    def _write(self, entry: Entry | None) -> None:
        """Apply all queued changes to a value that was just read."""
        body = None if entry is None else entry.body
        try:
            records = RecordSet(body, self._context.limits)
        except RecordFormatError as error:
            self._fail(str(error))
            return
        self._refuse_failing_claims(records)
        self._written = self._apply_waiting(records)
        if not records.changed:
            self._report_results()
            return
        for written in self._written:
            written.pending.sent = True
        self._context.counters['writes'] += 1
        revision = MISSING_REVISION if entry is None else entry.revision
        self._submit(
            CompareAndSwap(self._store_key, revision, records.pack()),
            self._on_swap,
        )

    def _refuse_failing_claims(self, records: RecordSet) -> None:
        """Answer claims that failed too often, if the read is recent enough."""
        if not self._is_fresh():
            return
        for pending in self._waiting:
            if pending.failures < self._context.limits.max_claim_failures:
                continue
            change = pending.next_change()
            if isinstance(change, Claim) and records.permits(change):
                self.abandon(pending)
                pending.on_result(ProvenNotRun())

    def _apply_waiting(self, records: RecordSet) -> list[_Written]:
        waiting = self._waiting
        self._waiting = []
        batch = []
        for pending in waiting:
            change = pending.next_change()
            if change is None:
                continue
            batch.append(_Written(pending, change, records.apply(change)))
        return batch

    def _on_swap(self, reply: StoreReply) -> None:
        match reply:
            case Swapped():
                self._failures = 0
                self._report_results()
            case Conflict(current=current):
                self._context.counters['conflicts'] += 1
                self._requeue()
                self._on_conflict(current)
            case _:
                self._context.counters['lost_answers'] += 1
                for written in self._written:
                    written.pending.failures += 1
                self._requeue()
                self._retry()

    def _on_conflict(self, current: Entry | None) -> None:
        if self._had_conflict:
            self._retry()
            return
        self._had_conflict = True
        self._write(current)

    def _requeue(self) -> None:
        """Queue the batch again in front; changes are idempotent."""
        batch = [written.pending for written in self._written]
        self._waiting = batch + self._waiting
        self._written = []

    def _retry(self) -> None:
        """Read again after a random delay that grows with the failures."""
        self._failures += 1
        self._drop_overdue()
        if not self._waiting:
            self._continue()
            return
        limits = self._context.limits
        self._context.clock.call_after(
            backoff_s(
                self._failures,
                limits.retry_base_s,
                limits.retry_max_s,
                self._context.random,
            ),
            self._start,
        )

    def _drop_overdue(self) -> None:
        """Drop changes past their deadline; stored intents remain."""
        now_s = self._context.clock.monotonic_s()
        waiting = self._waiting
        self._waiting = []
        for pending in waiting:
            if pending.next_change() is None:
                continue
            if now_s < pending.deadline_s:
                self._waiting.append(pending)
                continue
            self._drop(pending)

    def _drop(self, pending: PendingChange) -> None:
        if pending.abandoned:
            self._context.counters['dropped'] += 1
            return
        if isinstance(pending.change, Claim):
            self.abandon(pending)
            self._waiting.append(pending)
        else:
            self._context.counters['dropped'] += 1
        pending.on_result(Unconfirmed())

    def _fail(self, reason: str) -> None:
        waiting = self._waiting
        self._waiting = []
        for pending in waiting:
            if not pending.abandoned:
                pending.on_result(Unreadable(reason))
        self._continue()

    def _report_results(self) -> None:
        """Report each result; withdraw claims that were abandoned."""
        batch = self._written
        self._written = []
        fresh = self._is_fresh()
        for written in batch:
            if not written.pending.abandoned:
                proven = fresh or not _needs_proof(written.outcome)
                written.pending.on_result(
                    written.outcome if proven else Unconfirmed(),
                )
                continue
            if isinstance(written.change, Claim):
                self._waiting.append(written.pending)
        self._continue()

    def _continue(self) -> None:
        if self._waiting:
            self._start()
            return
        self._busy = False
        self._on_idle(self._store_key)


def _needs_proof(outcome: ApplyResult) -> bool:
    """Return whether a result implies that a key has not run."""
    match outcome:
        case ValueFull():
            return True
        case Blocked(record=record):
            return record.state is RecordState.NOT_STARTED
        case _:
            return False
