"""Acquire and renew one named lease in the key-value store.

Each deadline is counted from the time the request was sent, less a safety
margin, so this process treats its lease as expired before the store can
grant it to another one.
"""

import functools
import random
from collections.abc import Callable
from dataclasses import dataclass

from bamboodeck.keyvalue.port import (
    MISSING_REVISION,
    CompareAndSwap,
    Conflict,
    Entry,
    GrantLease,
    KeepLease,
    KeyRead,
    KeyValuePort,
    LeaseGranted,
    LeaseLost,
    ReadKey,
    RevokeLease,
    StoreReply,
    Swapped,
)
from bamboodeck.leases.messages import (
    KEY_PREFIX,
    LeaseAcquired,
    LeaseClock,
    LeaseEnded,
    LeaseLimits,
    LeaseNews,
)

_CLAIM_BITS = 64


@dataclass(slots=True)
class _Term:
    lease_id: int
    claim: bytes
    deadline_s: float
    fencing_number: int = 0
    acquired_s: float = 0.0


class LeaseHolder:
    """Acquire a lease, renew it and check orders against its term."""

    def __init__(
        self,
        port: KeyValuePort,
        clock: LeaseClock,
        rng: random.Random,
        name: str,
        owner: str,
        limits: LeaseLimits,
        on_news: Callable[[LeaseNews], None] | None = None,
        may_poll: Callable[[], bool] | None = None,
    ) -> None:
        """Prepare without competing for the lease.

        The store is polled for a free lease only while `may_poll` permits it.
        """
        self._port = port
        self._clock = clock
        self._random = rng
        self._name = name
        self._owner = owner
        self._limits = limits
        self._on_news = on_news or _ignore
        self._may_poll = may_poll or _always_true
        self._key = f'{KEY_PREFIX}{name}'
        self._running = False
        self._released = False
        self._term: _Term | None = None

    @property
    def fencing_number(self) -> int:
        """Return the fencing number of the current term, or 0."""
        return 0 if self._term is None else self._term.fencing_number

    def start(self) -> None:
        """Compete for the lease until `release` is called."""
        if not self._running and not self._released:
            self._running = True
            self._poll()

    def holds(self, now_s: float) -> bool:
        """Return whether no other process can hold the lease now."""
        return self._term is not None and now_s < self._term.deadline_s

    def check(self, fencing_number: int, now_s: float) -> bool:
        """Return whether an order of the given term may be sent now."""
        return self.holds(now_s) and fencing_number == self.fencing_number

    def may_order(self, engine_checks_fencing: bool, now_s: float) -> bool:
        """Return whether an order may be sent to an engine now.

        An engine that ignores fencing numbers gets no order until the lease
        of a former holder and its last order in flight must have ended.
        """
        if not self.holds(now_s):
            return False
        if engine_checks_fencing:
            return True
        wait_s = self._limits.ttl_s + self._limits.max_order_s
        return now_s >= self._term.acquired_s + wait_s

    def release(self, on_released: Callable[[], None]) -> None:
        """Revoke the lease and stop competing, when the process stops."""
        self._running = False
        self._released = True
        term = self._term
        if term is None:
            on_released()
            return
        self._end('released')
        self._port.submit(
            RevokeLease(term.lease_id),
            lambda reply: on_released(),
        )

    def _poll(self) -> None:
        if not self._running:
            return
        if self._may_poll():
            self._port.submit(ReadKey(self._key), self._on_polled)
            return
        self._poll_later()

    def _on_polled(self, reply: StoreReply) -> None:
        if not self._running:
            return
        match reply:
            case KeyRead(entry=None):
                sent_s = self._clock.monotonic_s()
                self._port.submit(
                    GrantLease(self._limits.ttl_s),
                    functools.partial(self._on_granted, sent_s),
                )
            case _:
                self._poll_later()

    def _poll_later(self) -> None:
        delay_s = self._limits.poll_interval_s * self._random.uniform(0.5, 1)
        self._clock.call_after(delay_s, self._poll)

    def _on_granted(self, sent_s: float, reply: StoreReply) -> None:
        if not isinstance(reply, LeaseGranted):
            self._poll_later()
            return
        nonce = self._random.getrandbits(_CLAIM_BITS)
        claim = f'{self._owner} {nonce:016x}'.encode()
        deadline_s = self._deadline_s(sent_s, reply.ttl_s)
        self._claim(_Term(reply.lease_id, claim, deadline_s))

    def _claim(self, term: _Term) -> None:
        if not self._running or self._is_expired(term):
            self._abandon(term)
            return
        self._port.submit(
            CompareAndSwap(
                self._key,
                MISSING_REVISION,
                term.claim,
                term.lease_id,
            ),
            functools.partial(self._on_claimed, term),
        )

    def _on_claimed(self, term: _Term, reply: StoreReply) -> None:
        match reply:
            case Swapped(revision=revision):
                self._acquire(term, revision)
            case Conflict(current=current):
                self._check_claim(term, current)
            case LeaseLost():
                self._abandon(term)
            case _:
                self._read_back_later(term)

    def _read_back_later(self, term: _Term) -> None:
        self._clock.call_after(
            self._limits.retry_s,
            lambda: self._port.submit(
                ReadKey(self._key),
                functools.partial(self._on_read_back, term),
            ),
        )

    def _on_read_back(self, term: _Term, reply: StoreReply) -> None:
        match reply:
            case KeyRead(entry=None):
                self._claim(term)
            case KeyRead(entry=entry):
                self._check_claim(term, entry)
            case _ if self._is_expired(term):
                self._abandon(term)
            case _:
                self._read_back_later(term)

    def _check_claim(self, term: _Term, entry: Entry | None) -> None:
        """Acquire the lease if the stored claim is that of the term."""
        if entry is not None and entry.body == term.claim:
            self._acquire(term, entry.created_revision)
            return
        self._abandon(term)

    def _acquire(self, term: _Term, fencing_number: int) -> None:
        if not self._running or self._is_expired(term):
            self._abandon(term)
            return
        term.fencing_number = fencing_number
        term.acquired_s = self._clock.monotonic_s()
        self._term = term
        self._on_news(LeaseAcquired(self._name, fencing_number))
        self._renew_after(term, self._limits.renew_s)

    def _renew_after(self, term: _Term, delay_s: float) -> None:
        self._clock.call_after(delay_s, functools.partial(self._renew, term))

    def _renew(self, term: _Term) -> None:
        if term is not self._term:
            return
        if self._is_expired(term):
            self._lose(term, 'local deadline passed')
            return
        sent_s = self._clock.monotonic_s()
        self._port.submit(
            KeepLease(term.lease_id),
            functools.partial(self._on_renewed, term, sent_s),
        )

    def _on_renewed(
        self,
        term: _Term,
        sent_s: float,
        reply: StoreReply,
    ) -> None:
        if term is not self._term:
            return
        if self._is_expired(term):
            self._lose(term, 'local deadline passed')
            return
        match reply:
            case LeaseGranted(ttl_s=ttl_s):
                term.deadline_s = self._deadline_s(sent_s, ttl_s)
                self._renew_after(term, self._limits.renew_s)
            case LeaseLost():
                self._lose(term, 'lease expired in the key-value store')
            case _:
                self._renew_after(term, self._limits.retry_s)

    def _lose(self, term: _Term, reason: str) -> None:
        self._end(reason)
        self._abandon(term)

    def _end(self, reason: str) -> None:
        number = self.fencing_number
        self._term = None
        self._on_news(LeaseEnded(self._name, number, reason))

    def _abandon(self, term: _Term) -> None:
        """Revoke the store lease of a term that is not held, and poll again."""
        self._port.submit(RevokeLease(term.lease_id), _ignore)
        self._poll_later()

    def _is_expired(self, term: _Term) -> bool:
        return self._clock.monotonic_s() >= term.deadline_s

    def _deadline_s(self, sent_s: float, granted_s: int) -> float:
        """Return the local deadline; the store may grant a shorter lease."""
        ttl_s = min(granted_s, self._limits.ttl_s)
        return sent_s + ttl_s - self._limits.margin_s


def _always_true() -> bool:
    """Permit every poll."""
    return True


def _ignore(message: object) -> None:
    """Ignore a message."""
