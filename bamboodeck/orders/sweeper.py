"""Delete the records of orders whose keys have expired."""

import functools
import itertools
from collections import Counter

import msgspec

from bamboodeck.keyvalue.port import (
    MISSING_REVISION,
    CompareAndSwap,
    Conflict,
    Entry,
    KeyRead,
    KeyValuePort,
    PrefixRead,
    ReadKey,
    ReadPrefix,
    StoreReply,
    Swapped,
)
from bamboodeck.orders.keys import expired_prefixes, last_expired_bucket

SWEPT_KEY = '/bamboodeck/orders-swept'
MAX_BUCKETS_PER_SWEEP = 20


class _Swept(msgspec.Struct, frozen=True, array_like=True):
    bucket: int


class OrderSweeper:
    """Delete expired buckets in order and store the progress.

    Several sweepers may run concurrently.
    """

    def __init__(self, port: KeyValuePort) -> None:
        """Start with no sweep in progress."""
        self.counters: Counter[str] = Counter()
        self._port = port
        self._busy = False
        self._last_bucket = 0
        self._progress: Entry | None = None
        self._prefixes: list[str] = []
        self._pending_deletes = 0
        self._delete_failed = False

    def sweep(self, now_s: float) -> None:
        """Delete some expired buckets unless a sweep is already running."""
        if self._busy:
            return
        self._busy = True
        self._port.submit(
            ReadKey(SWEPT_KEY),
            functools.partial(self._on_progress, now_s),
        )

    def _on_progress(self, now_s: float, reply: StoreReply) -> None:
        match reply:
            case KeyRead(entry=entry):
                self._progress = entry
            case _:
                self._busy = False
                return
        self._last_bucket = last_expired_bucket(now_s)
        swept = _read_bucket(entry, self._last_bucket)
        self._last_bucket = min(
            self._last_bucket, swept + MAX_BUCKETS_PER_SWEEP
        )
        if entry is not None and self._last_bucket <= swept:
            self._busy = False
            return
        expired = expired_prefixes(now_s, swept)
        self._prefixes = list(itertools.islice(expired, MAX_BUCKETS_PER_SWEEP))
        self._sweep_next_bucket()

    def _sweep_next_bucket(self) -> None:
        if self._prefixes:
            prefix = self._prefixes.pop(0)
            self._port.submit(ReadPrefix(prefix), self._on_bucket)
            return
        revision = MISSING_REVISION
        if self._progress is not None:
            revision = self._progress.revision
        packed = msgspec.msgpack.encode(_Swept(self._last_bucket))
        self._port.submit(
            CompareAndSwap(SWEPT_KEY, revision, packed),
            self._on_recorded,
        )

    def _on_bucket(self, reply: StoreReply) -> None:
        match reply:
            case PrefixRead(entries=entries):
                self._delete(entries)
            case _:
                self._busy = False

    def _delete(self, entries: tuple[Entry, ...]) -> None:
        if not entries:
            self._sweep_next_bucket()
            return
        self._pending_deletes = len(entries)
        self._delete_failed = False
        for entry in entries:
            self._port.submit(
                CompareAndSwap(entry.key, entry.revision, None),
                self._on_deleted,
            )

    def _on_deleted(self, reply: StoreReply) -> None:
        self._pending_deletes -= 1
        match reply:
            case Swapped():
                self.counters['deleted'] += 1
            case Conflict(current=None):
                self.counters['already_deleted'] += 1
            case _:
                self._delete_failed = True
        if self._pending_deletes:
            return
        if self._delete_failed:
            self._busy = False
            return
        self._sweep_next_bucket()

    def _on_recorded(self, reply: StoreReply) -> None:
        self._busy = False
        if isinstance(reply, Swapped):
            self.counters['sweeps'] += 1


def _read_bucket(entry: Entry | None, last: int) -> int:
    if entry is None:
        return last
    try:
        return msgspec.msgpack.decode(entry.body, type=_Swept).bucket
    except msgspec.DecodeError:
        return last
