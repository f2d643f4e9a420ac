"""Update one store record by compare-and-swap, one write at a time."""

from collections.abc import Callable

from bamboodeck.keyvalue.port import (
    CompareAndSwap,
    Conflict,
    KeyRead,
    KeyValuePort,
    ReadKey,
    StoreReply,
    Swapped,
)
from bamboodeck.loop.scheduler import Scheduler

RELOAD_DELAY_S = 1.0

OnDurable = Callable[[], None]
OnRead = Callable[[bytes], None]


class Record:
    """Own a store key while this process holds the lease for it."""

    def __init__(
        self,
        store: KeyValuePort,
        scheduler: Scheduler,
        key: str,
        on_read: OnRead,
    ) -> None:
        """Prepare to load; `on_read` gets the body, empty if there is none."""
        self.loaded = False
        self.writing = False
        self._store = store
        self._scheduler = scheduler
        self._key = key
        self._on_read = on_read
        self._revision = 0
        self._closed = False

    def load(self) -> None:
        """Reload the record; unwritten state is discarded."""
        self.loaded = False
        self._store.submit(ReadKey(self._key), self._on_read_reply)

    def write(self, body: bytes, on_durable: OnDurable) -> None:
        """Write the record; reload it unless the write is known to succeed."""
        self.writing = True

        def on_reply(reply: StoreReply) -> None:
            self.writing = False
            if self._closed:
                return
            match reply:
                case Swapped(revision):
                    self._revision = revision
                    on_durable()
                case Conflict(current) if current and current.body == body:
                    self._revision = current.revision
                    on_durable()
                case _:
                    self.load()

        self._store.submit(
            CompareAndSwap(self._key, self._revision, body),
            on_reply,
        )

    def close(self) -> None:
        """Ignore all further replies, when the term ends."""
        self._closed = True

    def _on_read_reply(self, reply: StoreReply) -> None:
        if self._closed:
            return
        match reply:
            case KeyRead(entry):
                self._revision = entry.revision if entry else 0
                self.loaded = True
                self._on_read(entry.body if entry else b'')
            case _:
                self._scheduler.call_after(RELOAD_DELAY_S, self.load)
