"""Simulate the key-value service and the scheduler on a virtual clock."""

import enum
import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

from bamboodeck.keyvalue import port


class VirtualClock:
    """Run scheduled callbacks in order of virtual time."""

    def __init__(self, start_s: float = 1_900_000_000.0) -> None:
        """Start with no scheduled callbacks."""
        self.now_s = start_s
        self._order = itertools.count()
        self._heap: list = []

    def read_s(self) -> float:
        """Return the virtual time."""
        return self.now_s

    def call_after(self, delay_s: float, callback: Callable) -> None:
        """Schedule a callback."""
        due_s = self.now_s + delay_s
        heapq.heappush(self._heap, (due_s, next(self._order), callback))

    def run(self, duration_s: float) -> None:
        """Run all callbacks due within a duration."""
        end_s = self.now_s + duration_s
        while self._heap and self._heap[0][0] <= end_s:
            due_s, _, callback = heapq.heappop(self._heap)
            self.now_s = max(self.now_s, due_s)
            callback()
        self.now_s = end_s


class Fault(enum.Enum):
    """Enumerate the faults of a request."""

    NONE = 'none'
    REFUSED = 'refused'
    LOST_BEFORE = 'lost before the effect'
    LOST_AFTER = 'lost after the effect'
    LATE_EFFECT = 'answered as lost, takes effect later'


@dataclass
class _Lease:
    ttl_s: int
    deadline_s: float


class VirtualStore:
    """Simulate a store; `faults` returns the fault of each request."""

    def __init__(
        self,
        clock: VirtualClock,
        rng: random.Random | None = None,
        latency_s: float = 0.002,
    ) -> None:
        """Start empty."""
        self.clock = clock
        self.revision = 0
        self.entries: dict[str, port.Entry] = {}
        self.leases: dict[int, _Lease] = {}
        self.requests: list[port.StoreRequest] = []
        self.faults: Callable[[port.StoreRequest], Fault] = lambda _: Fault.NONE
        self._rng = rng or random.Random(1)
        self.latency_s = latency_s

    def fail_next(self, kind: type, fault: Fault, times: int = 1) -> None:
        """Inject a fault into the next requests of a kind."""
        left = itertools.repeat(fault, times)

        def choose(request: port.StoreRequest) -> Fault:
            if isinstance(request, kind):
                return next(left, Fault.NONE)
            return Fault.NONE

        self.faults = choose

    def submit(self, request: port.StoreRequest, on_reply) -> None:
        """Apply a request after a random delay of up to twice the latency."""
        self.requests.append(request)
        fault = self.faults(request)
        request_delay_s = self._rng.uniform(0, 2 * self.latency_s)
        reply_delay_s = self._rng.uniform(0, 2 * self.latency_s)
        lost = port.StoreUnavailable('timeout', maybe_applied=True)

        def answer(reply) -> None:
            self.clock.call_after(reply_delay_s, lambda: on_reply(reply))

        def execute() -> None:
            match fault:
                case Fault.NONE:
                    answer(self.apply(request))
                case Fault.REFUSED:
                    answer(port.StoreUnavailable('down', maybe_applied=False))
                case Fault.LOST_BEFORE:
                    answer(lost)
                case Fault.LOST_AFTER:
                    self.apply(request)
                    answer(lost)
                case Fault.LATE_EFFECT:
                    answer(lost)
                    effect_delay_s = self._rng.uniform(0, 3)
                    self.clock.call_after(
                        effect_delay_s, lambda: self.apply(request)
                    )

        self.clock.call_after(request_delay_s, execute)

    def apply(self, request: port.StoreRequest) -> port.StoreReply:
        """Apply a request immediately."""
        self._expire()
        match request:
            case port.ReadKey(key=key):
                return port.KeyRead(self.entries.get(key), self.revision)
            case port.ReadRevision(key=key):
                return port.RevisionRead(self._revision_of(key), self.revision)
            case port.ReadPrefix(prefix=prefix):
                found = [
                    self.entries[key]
                    for key in sorted(self.entries)
                    if key.startswith(prefix)
                ]
                return port.PrefixRead(tuple(found), self.revision)
            case port.CompareAndSwap():
                return self._swap(request)
            case port.GrantLease(ttl_s=ttl_s):
                lease_id = len(self.leases) + 1
                self.leases[lease_id] = _Lease(ttl_s, self._end_s(ttl_s))
                return port.LeaseGranted(lease_id, ttl_s)
            case port.KeepLease(lease_id=lease_id):
                lease = self.leases.get(lease_id)
                if lease is None or lease.deadline_s <= self.clock.now_s:
                    return port.LeaseLost(lease_id)
                lease.deadline_s = self._end_s(lease.ttl_s)
                return port.LeaseGranted(lease_id, lease.ttl_s)
            case port.RevokeLease(lease_id=lease_id):
                lease = self.leases.get(lease_id)
                if lease is not None:
                    lease.deadline_s = self.clock.now_s
                    self._expire()
                return port.LeaseLost(lease_id)

    def _swap(self, request: port.CompareAndSwap) -> port.StoreReply:
        current = self.entries.get(request.key)
        if self._revision_of(request.key) != request.expected_revision:
            return port.Conflict(current, self.revision)
        lease = self.leases.get(request.lease_id)
        if request.lease_id and lease.deadline_s <= self.clock.now_s:
            return port.LeaseLost(request.lease_id)
        self.revision += 1
        if request.body is None:
            self.entries.pop(request.key, None)
            return port.Swapped(self.revision)
        self.entries[request.key] = port.Entry(
            request.key,
            request.body,
            self.revision,
            self.revision if current is None else current.created_revision,
            request.lease_id,
        )
        return port.Swapped(self.revision)

    def _revision_of(self, key: str) -> int:
        entry = self.entries.get(key)
        return port.MISSING_REVISION if entry is None else entry.revision

    def _end_s(self, ttl_s: int) -> float:
        return self.clock.now_s + ttl_s

    def _expire(self) -> None:
        for key, entry in list(self.entries.items()):
            lease = self.leases.get(entry.lease_id)
            if lease is not None and lease.deadline_s <= self.clock.now_s:
                self.revision += 1
                self.entries.pop(key)
