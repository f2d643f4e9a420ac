"""Test the store's client against a stand-in that fails on demand."""

from collections.abc import Iterator

import pytest

from bamboodeck.fakes.platform.store import PlatformStoreFake, StoreMood
from bamboodeck.http.client import HttpClient
from bamboodeck.loop.program import Loop
from bamboodeck.platform import store as store_module
from bamboodeck.platform.store import (
    ChangesSeen,
    Committed,
    Condition,
    Conflict,
    HistoryGone,
    Item,
    ItemsRead,
    LeaseGone,
    LeaseGranted,
    PlatformStore,
    Removal,
    StoreFailed,
    StoreReply,
    Write,
)
from tests.http.looping import build_loop, turn_until
from tests.ports import find_free_address

MANY = 120


class Caller:
    """Ask the store and wait for its reply."""

    def __init__(self, loop: Loop, store: PlatformStore) -> None:
        """Keep the client."""
        self.loop = loop
        self.store = store
        self.replies: list[StoreReply] = []

    def wait(self) -> StoreReply:
        """Return the next reply."""
        turn_until(self.loop, lambda: bool(self.replies))
        return self.replies.pop(0)

    def read(self, prefix: str = '') -> StoreReply:
        """Read a prefix."""
        self.store.read_prefix(prefix, self.replies.append)
        return self.wait()

    def commit(self, revision: int, content: bytes, lease: int = 0):
        """Write a key if it has a revision."""
        self.store.commit(
            (Condition('own/key', revision),),
            (Write('own/key', content, lease),),
            self.replies.append,
        )
        return self.wait()


@pytest.fixture
def loop() -> Loop:
    """Build a loop."""
    return build_loop()


@pytest.fixture
def fake(loop: Loop) -> PlatformStoreFake:
    """Run a store."""
    return PlatformStoreFake(loop, find_free_address())


@pytest.fixture
def caller(loop: Loop, fake: PlatformStoreFake) -> Iterator[Caller]:
    """Call the store."""
    client = HttpClient(loop)
    yield Caller(loop, PlatformStore(client, fake.address))
    client.close()


class TestReads:
    """Read prefixes page by page."""

    def test_pages(self, caller: Caller, fake: PlatformStoreFake) -> None:
        """Join all pages."""
        for number in range(MANY):
            fake.put(f'a/{number:04}', b'%d' % number)
        fake.put('b/other', b'x')
        reply = caller.read('a/')
        assert isinstance(reply, ItemsRead)
        assert [item.content for item in reply.items] == [
            b'%d' % number for number in range(MANY)
        ]

    def test_empty(self, caller: Caller) -> None:
        """Read nothing."""
        assert caller.read('nothing/').items == ()

    def test_refused(self, caller: Caller, fake: PlatformStoreFake) -> None:
        """Tell a refusal, after which nothing was done."""
        fake.mood = StoreMood.REFUSES
        reply = caller.read()
        assert reply == StoreFailed('status 503', maybe_done=False)


class TestWatches:
    """Wait for changes."""

    def test_changes(self, caller: Caller, fake: PlatformStoreFake) -> None:
        """See writes and removals after a revision."""
        fake.put('a/1', b'one')
        before = fake.revision
        fake.put('a/2', b'two')
        fake.remove('a/1')
        caller.store.watch('a/', before, 1.0, caller.replies.append)
        reply = caller.wait()
        assert isinstance(reply, ChangesSeen)
        written, removed = reply.changes
        assert isinstance(written, Item)
        assert (written.key, written.content) == ('a/2', b'two')
        assert isinstance(removed, Removal)
        assert removed.key == 'a/1'

    def test_nothing(self, caller: Caller, fake: PlatformStoreFake) -> None:
        """End with no change after the time."""
        caller.store.watch('a/', fake.revision, 0.05, caller.replies.append)
        assert caller.wait() == ChangesSeen((), fake.revision)

    def test_history(self, caller: Caller, fake: PlatformStoreFake) -> None:
        """Tell that changes were forgotten."""
        fake.put('a/1', b'one')
        fake.put('a/2', b'two')
        fake.forget_history()
        caller.store.watch('a/', 1, 1.0, caller.replies.append)
        assert caller.wait() == HistoryGone()

    def test_silent(
        self,
        caller: Caller,
        fake: PlatformStoreFake,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Give a call up that is never answered."""
        monkeypatch.setattr(store_module, 'WATCH_SLACK_S', 0.1)
        fake.mood = StoreMood.SILENT
        caller.store.watch('a/', 0, 0.05, caller.replies.append)
        assert isinstance(caller.wait(), StoreFailed)


class TestCommits:
    """Change keys under conditions."""

    def test_first_writer(self, caller: Caller) -> None:
        """Let one of two writers win."""
        first = caller.commit(0, b'first')
        second = caller.commit(0, b'second')
        assert isinstance(first, Committed)
        assert second == Conflict()
        assert isinstance(caller.commit(first.revision, b'third'), Committed)

    def test_lost_answer(
        self,
        caller: Caller,
        fake: PlatformStoreFake,
    ) -> None:
        """Tell that a change whose answer is lost may have been made."""
        fake.mood = StoreMood.LOSES_ANSWERS
        reply = caller.commit(0, b'done')
        assert isinstance(reply, StoreFailed)
        assert reply.maybe_done
        assert fake.read('own/key') == b'done'


class TestLeases:
    """Bind keys to leases."""

    def test_life(self, caller: Caller, fake: PlatformStoreFake) -> None:
        """Keep a key while its lease is renewed, and no longer."""
        caller.store.grant_lease(5.0, caller.replies.append)
        lease = caller.wait()
        assert isinstance(lease, LeaseGranted)
        caller.commit(0, b'held', lease.lease)
        caller.store.renew_lease(lease, caller.replies.append)
        assert caller.wait() == lease
        fake.end_lease(lease.lease)
        assert fake.read('own/key') is None
        caller.store.renew_lease(lease, caller.replies.append)
        assert caller.wait() == LeaseGone()

    def test_write_after_end(
        self,
        caller: Caller,
        fake: PlatformStoreFake,
    ) -> None:
        """Refuse a write under a lease that has ended."""
        assert caller.commit(0, b'late', lease=999) == LeaseGone()
        assert fake.read('own/key') is None
