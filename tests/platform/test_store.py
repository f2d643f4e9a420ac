"""Test the store client against a fake store with injected failures."""

from collections.abc import Iterator

import pytest

from bamboodeck.fakes.platform.store import PlatformStoreFake, StoreMode
from bamboodeck.http.client import HttpClient
from bamboodeck.loop.program import Loop
from bamboodeck.platform import store as store_module
from bamboodeck.platform.store import (
    ChangesRead,
    Committed,
    Condition,
    Conflict,
    HistoryCompacted,
    Item,
    ItemsRead,
    LeaseExpired,
    LeaseGranted,
    PlatformStore,
    Removal,
    StoreFailed,
    StoreReply,
    Write,
)
from tests.http.looping import build_loop, run_until
from tests.ports import find_free_address

ITEM_COUNT = 120

# Of a stand-in that was never restored.
ERA = 1


class StoreCaller:
    """Call the store and wait for its reply."""

    def __init__(self, loop: Loop, store: PlatformStore) -> None:
        """Use a loop and a store client."""
        self.loop = loop
        self.store = store
        self.replies: list[StoreReply] = []

    def wait(self) -> StoreReply:
        """Return the next reply."""
        run_until(self.loop, lambda: bool(self.replies))
        return self.replies.pop(0)

    def read(self, prefix: str = '') -> StoreReply:
        """Read all items under a prefix."""
        self.store.read_prefix(prefix, self.replies.append)
        return self.wait()

    def commit(self, revision: int, content: bytes, lease: int = 0):
        """Write a key if its revision matches."""
        self.store.commit(
            (Condition('own/key', revision),),
            (Write('own/key', content, lease),),
            self.replies.append,
        )
        return self.wait()


@pytest.fixture
def loop() -> Loop:
    """Return a loop."""
    return build_loop()


@pytest.fixture
def fake(loop: Loop) -> PlatformStoreFake:
    """Run a fake store."""
    return PlatformStoreFake(loop, find_free_address())


@pytest.fixture
def caller(loop: Loop, fake: PlatformStoreFake) -> Iterator[StoreCaller]:
    """Yield a caller of the fake store."""
    client = HttpClient(loop)
    yield StoreCaller(loop, PlatformStore(client, fake.address))
    client.close()


class TestReads:
    """Read prefixes page by page."""

    def test_pages(self, caller: StoreCaller, fake: PlatformStoreFake) -> None:
        """Combine the items of all pages."""
        for number in range(ITEM_COUNT):
            fake.put(f'a/{number:04}', b'%d' % number)
        fake.put('b/other', b'x')
        reply = caller.read('a/')
        assert isinstance(reply, ItemsRead)
        assert [item.content for item in reply.items] == [
            b'%d' % number for number in range(ITEM_COUNT)
        ]

    def test_empty(self, caller: StoreCaller) -> None:
        """Return no items for an unused prefix."""
        assert caller.read('nothing/').items == ()

    def test_refused(
        self, caller: StoreCaller, fake: PlatformStoreFake
    ) -> None:
        """Report a 503 as a call that was not applied."""
        fake.mode = StoreMode.REFUSES
        reply = caller.read()
        assert reply == StoreFailed('status 503', maybe_applied=False)


class TestWatches:
    """Wait for changes."""

    def test_changes(
        self, caller: StoreCaller, fake: PlatformStoreFake
    ) -> None:
        """Return the writes and removals after a revision."""
        fake.put('a/1', b'one')
        before = fake.revision
        fake.put('a/2', b'two')
        fake.remove('a/1')
        caller.store.watch('a/', before, 1.0, caller.replies.append)
        reply = caller.wait()
        assert isinstance(reply, ChangesRead)
        written, removed = reply.changes
        assert isinstance(written, Item)
        assert (written.key, written.content) == ('a/2', b'two')
        assert isinstance(removed, Removal)
        assert removed.key == 'a/1'

    def test_nothing(
        self, caller: StoreCaller, fake: PlatformStoreFake
    ) -> None:
        """Return no changes when the wait ends."""
        caller.store.watch('a/', fake.revision, 0.05, caller.replies.append)
        assert caller.wait() == ChangesRead((), fake.revision, ERA)

    def test_history(
        self, caller: StoreCaller, fake: PlatformStoreFake
    ) -> None:
        """Report that the requested history was compacted."""
        fake.put('a/1', b'one')
        fake.put('a/2', b'two')
        fake.compact_history()
        caller.store.watch('a/', 1, 1.0, caller.replies.append)
        assert caller.wait() == HistoryCompacted(ERA)

    def test_silent(
        self,
        caller: StoreCaller,
        fake: PlatformStoreFake,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Time out when the store never responds."""
        monkeypatch.setattr(store_module, 'WATCH_SLACK_S', 0.1)
        fake.mode = StoreMode.SILENT
        caller.store.watch('a/', 0, 0.05, caller.replies.append)
        assert isinstance(caller.wait(), StoreFailed)


class TestCommits:
    """Commit conditional writes."""

    def test_first_writer(self, caller: StoreCaller) -> None:
        """Reject the second write for the same revision."""
        first = caller.commit(0, b'first')
        second = caller.commit(0, b'second')
        assert isinstance(first, Committed)
        assert second == Conflict()
        assert isinstance(caller.commit(first.revision, b'third'), Committed)

    def test_lost_answer(
        self,
        caller: StoreCaller,
        fake: PlatformStoreFake,
    ) -> None:
        """Report a write with a lost response as possibly applied."""
        fake.mode = StoreMode.LOSES_ANSWERS
        reply = caller.commit(0, b'done')
        assert isinstance(reply, StoreFailed)
        assert reply.maybe_applied
        assert fake.read('own/key') == b'done'


class TestLeases:
    """Attach keys to leases."""

    def test_life(self, caller: StoreCaller, fake: PlatformStoreFake) -> None:
        """Keep a key until its lease ends."""
        caller.store.grant_lease(5.0, caller.replies.append)
        lease = caller.wait()
        assert isinstance(lease, LeaseGranted)
        caller.commit(0, b'held', lease.lease)
        caller.store.renew_lease(lease, caller.replies.append)
        assert caller.wait() == lease
        fake.end_lease(lease.lease)
        assert fake.read('own/key') is None
        caller.store.renew_lease(lease, caller.replies.append)
        assert caller.wait() == LeaseExpired()

    def test_write_after_end(
        self,
        caller: StoreCaller,
        fake: PlatformStoreFake,
    ) -> None:
        """Reject a write under an expired lease."""
        assert caller.commit(0, b'late', lease=999) == LeaseExpired()
        assert fake.read('own/key') is None


class TestSilentConnections:
    """Leave connections that may be silent for good."""

    def test_second_silent_connection(
        self,
        fake: PlatformStoreFake,
        caller: StoreCaller,
    ) -> None:
        """Don't retry a lost call on another connection of the same age."""
        for _ in range(3):
            caller.store.read_prefix('', caller.replies.append)
        for _ in range(3):
            assert isinstance(caller.wait(), ItemsRead)
        fake.silence_connections()
        assert isinstance(caller.read(), StoreFailed)
        assert isinstance(caller.read(), ItemsRead)
