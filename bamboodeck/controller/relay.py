"""Watch the configuration in the store and send it to a zone's nodes."""

import functools
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from bamboodeck.configuration.records import CURRENT_KEY
from bamboodeck.keyvalue.port import (
    KeyPut,
    KeyRead,
    KeyValuePort,
    ReadKey,
    ReadRevision,
    RevisionRead,
    StoreReply,
    WatchBroken,
    WatchEvent,
    WatchHandle,
    WatchStarted,
)
from bamboodeck.logs import EventLog
from bamboodeck.loop.scheduler import ScheduledCall, Scheduler
from bamboodeck.peers.feed import ConfigurationFeed

REWATCH_DELAY_S = 1.0
CONFIRM_PERIOD_S = 2.0


@dataclass(frozen=True, slots=True)
class WatchLost:
    """Log that the watch of the configuration ended."""

    reason: str


class ConfigurationRelay:
    """Run the zone's only configuration watch while acting as its relay."""

    def __init__(
        self,
        store: KeyValuePort,
        feed: ConfigurationFeed,
        scheduler: Scheduler,
        log: EventLog,
        peers_of_zone: Callable[[], Iterable[str]],
    ) -> None:
        """Start inactive, without a watch."""
        self.active = False
        self._store = store
        self._feed = feed
        self._scheduler = scheduler
        self._log = log
        self._peers_of_zone = peers_of_zone
        self._watch: WatchHandle | None = None
        self._retry: ScheduledCall | None = None
        scheduler.call_every(CONFIRM_PERIOD_S, self._read_revision)

    def start(self) -> None:
        """Start the watch; the configuration is read once it runs."""
        if self.active:
            return
        self.active = True
        self._start_watch()

    def stop(self) -> None:
        """Cancel the watch and any retry."""
        self.active = False
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None

    def _start_watch(self) -> None:
        self._retry = None
        if not self.active:
            return
        self._watch = self._store.watch(CURRENT_KEY, 0, self._on_watch_event)

    def _on_watch_event(self, news: WatchEvent) -> None:
        if not self.active:
            return
        match news:
            case WatchStarted():
                # The watch does not report what was written before it started.
                self._read()
            case KeyPut(entry):
                self._offer(entry.revision, entry.body, 'watch')
            case WatchBroken(reason):
                self._log.warn(WatchLost(reason))
                self._watch = None
                self._retry = self._scheduler.call_after(
                    REWATCH_DELAY_S,
                    self._start_watch,
                )

    def _read_revision(self) -> None:
        if not self.active:
            return
        self._store.submit(
            ReadRevision(CURRENT_KEY),
            functools.partial(self._on_revision, self._scheduler.now_s()),
        )

    def _on_revision(self, sent_s: float, reply: StoreReply) -> None:
        if not self.active or not isinstance(reply, RevisionRead):
            return
        self._confirm_revision(reply.revision, sent_s)
        # The watch should have reported it, but may be silently broken.
        if reply.revision > self._feed.replica.revision:
            self._read()

    def _read(self) -> None:
        sent_s = self._scheduler.now_s()
        self._store.submit(
            ReadKey(CURRENT_KEY),
            functools.partial(self._on_read, sent_s),
        )

    def _on_read(self, sent_s: float, reply: StoreReply) -> None:
        if not isinstance(reply, KeyRead) or reply.entry is None:
            return
        entry = reply.entry
        self._offer(entry.revision, entry.body, 'store')
        self._confirm_revision(entry.revision, sent_s)

    def _confirm_revision(self, revision: int, sent_s: float) -> None:
        # The store may have read the value as early as the request was sent.
        now_s = self._scheduler.now_s()
        self._feed.replica.confirm_revision(revision, now_s, now_s - sent_s)

    def _offer(self, revision: int, body: bytes, source: str) -> None:
        if self._feed.offer(revision, body, source):
            self._feed.send_to(self._peers_of_zone())
