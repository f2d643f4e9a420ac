"""Test the etcd adapter against the key-value stand-in."""

import socket

import pytest

from bamboodeck.fakes.key_value.server import (
    KeyValueService,
    KeyValueSettings,
)
from bamboodeck.http.client import HttpClient
from bamboodeck.http.messages import Address, ApiResponse
from bamboodeck.http.server import HttpServer
from bamboodeck.keyvalue.etcd import EtcdKeyValue, NoAddressError
from bamboodeck.keyvalue.etcd_requests import find_prefix_end
from bamboodeck.keyvalue.port import (
    CompareAndSwap,
    Conflict,
    GrantLease,
    KeepLease,
    KeyDeleted,
    KeyPut,
    KeyRead,
    LeaseLost,
    PrefixRead,
    ReadKey,
    ReadPrefix,
    ReadRevision,
    RevisionRead,
    RevokeLease,
    StoreUnavailable,
    Swapped,
    WatchBroken,
    WatchStarted,
)
from tests.fakes.peers import ANY_PORT, Peer, build_log, start_peer
from tests.http.looping import build_loop, run_until

CREATE = CompareAndSwap('a', 0, b'one')
MADE_UP_LEASE = 77


class Bench:
    """Join a stand-in, its control and the adapter in one loop."""

    def __init__(
        self,
        settings: KeyValueSettings | None = None,
        timeout_s: float = 5.0,
        silence_s: float = 10.0,
    ) -> None:
        """Start all of them."""
        service, control = start_peer(
            KeyValueService,
            settings or KeyValueSettings(),
        )
        self.service = service
        self.control = control
        self.loop = self.control.loop
        self.store = EtcdKeyValue(
            HttpClient(self.loop),
            (self.control.address,),
            timeout_s,
            silence_s,
        )

    def ask(self, request):
        """Return the reply to a request."""
        return ask(self.loop, self.store, request)

    def pause(self, duration_s: float) -> None:
        """Turn the loop for a while."""
        over: list = []
        self.loop.scheduler.call_after(duration_s, lambda: over.append(True))
        run_until(self.loop, lambda: bool(over))

    def watch(self, prefix: str, from_revision: int = 0) -> list:
        """Return the growing list of a watch's news once it has started."""
        news: list = []
        self.store.watch(prefix, from_revision, news.append)
        run_until(self.loop, lambda: bool(news))
        return news


def ask(loop, store, request):
    """Return the one reply to a request."""
    replies: list = []
    store.submit(request, replies.append)
    run_until(loop, lambda: bool(replies))
    assert len(replies) == 1
    return replies[0]


class TestReadsAndSwaps:
    """Read keys and change them at the revision expected."""

    def test_missing_key(self) -> None:
        """Tell the store's revision all the same."""
        bench = Bench()
        assert bench.ask(ReadKey('a')) == KeyRead(None, 1)
        assert bench.ask(ReadRevision('a')) == RevisionRead(0, 1)
        assert bench.ask(ReadPrefix('a')) == PrefixRead((), 1)

    def test_create_change_and_delete(self) -> None:
        """Swap at each revision in turn."""
        bench = Bench()
        created = bench.ask(CREATE)
        assert created == Swapped(2)
        assert bench.ask(CompareAndSwap('a', 2, b'two')) == Swapped(3)
        assert bench.ask(ReadRevision('a')) == RevisionRead(3, 3)
        entry = bench.ask(ReadKey('a')).entry
        assert (entry.body, entry.revision, entry.created_revision) == (
            b'two',
            3,
            2,
        )
        assert bench.ask(CompareAndSwap('a', 3, None)) == Swapped(4)
        assert bench.ask(ReadKey('a')).entry is None

    def test_conflict_shows_what_stands(self) -> None:
        """Show the current entry, or that there is none."""
        bench = Bench()
        bench.ask(CREATE)
        conflict = bench.ask(CREATE)
        assert isinstance(conflict, Conflict)
        assert conflict.current.body == b'one'
        missing = bench.ask(CompareAndSwap('b', 9, b'x'))
        assert missing == Conflict(None, 2)

    def test_empty_body_and_odd_keys(self) -> None:
        """Keep an empty value and a key that isn't ASCII."""
        bench = Bench()
        bench.ask(CompareAndSwap('Štajerska/ключ', 0, b''))
        entry = bench.ask(ReadKey('Štajerska/ключ')).entry
        assert entry.body == b''

    def test_prefix_in_order(self) -> None:
        """Read the keys of a prefix only, sorted."""
        bench = Bench()
        for key in ('b/2', 'b/1', 'c', 'a', 'b0'):
            bench.ask(CompareAndSwap(key, 0, b''))
        read = bench.ask(ReadPrefix('b/'))
        assert [entry.key for entry in read.entries] == ['b/1', 'b/2']
        everything = bench.ask(ReadPrefix(''))
        assert len(everything.entries) == 5

    def test_value_over_the_bound(self) -> None:
        """Refuse it, and say that nothing was changed."""
        bench = Bench()
        reply = bench.ask(CompareAndSwap('a', 0, b'x' * 1_048_577))
        assert not reply.maybe_applied
        largest = CompareAndSwap('a', 0, b'x' * 1_048_576)
        assert bench.ask(largest) == Swapped(2)

    @pytest.mark.parametrize(
        ('prefix', 'end'),
        [(b'a', b'b'), (b'a\xff', b'b'), (b'\xff', b'\0'), (b'', b'\0')],
    )
    def test_prefix_end(self, prefix, end) -> None:
        """Find the first key past a prefix."""
        assert find_prefix_end(prefix) == end


class TestLeases:
    """Hold keys by leases."""

    def test_keys_go_with_the_lease(self) -> None:
        """Delete the keys when the lease is revoked."""
        bench = Bench()
        lease = bench.ask(GrantLease(30))
        assert lease.ttl_s == 30
        bench.ask(CompareAndSwap('a', 0, b'', lease.lease_id))
        assert bench.ask(ReadKey('a')).entry.lease_id == lease.lease_id
        assert bench.ask(KeepLease(lease.lease_id)) == lease
        lost = LeaseLost(lease.lease_id)
        assert bench.ask(RevokeLease(lease.lease_id)) == lost
        assert bench.ask(ReadKey('a')).entry is None
        assert bench.ask(KeepLease(lease.lease_id)) == lost
        assert bench.ask(RevokeLease(lease.lease_id)) == lost

    def test_lease_lapses(self) -> None:
        """Tell a watch that the key went with its lease."""
        bench = Bench()
        lease = bench.ask(GrantLease(1))
        bench.ask(CompareAndSwap('a', 0, b'', lease.lease_id))
        news = bench.watch('a')
        run_until(bench.loop, lambda: len(news) > 1)
        assert news[1] == KeyDeleted('a', 3)

    def test_swap_with_a_lost_lease(self) -> None:
        """Say that the lease is lost and change nothing."""
        bench = Bench()
        swap = CompareAndSwap('a', 0, b'', MADE_UP_LEASE)
        assert bench.ask(swap) == LeaseLost(MADE_UP_LEASE)
        assert bench.ask(ReadKey('a')) == KeyRead(None, 1)

    def test_ordered_expiry(self) -> None:
        """Let a lease lapse by order."""
        bench = Bench()
        lease = bench.ask(GrantLease(600))
        bench.ask(CompareAndSwap('a', 0, b'', lease.lease_id))
        bench.control.order('expire_lease', lease_id=lease.lease_id)
        assert bench.ask(ReadKey('a')).entry is None


class TestWatches:
    """Follow the changes of a prefix."""

    def test_news_in_order(self) -> None:
        """Tell puts and deletions of the prefix only."""
        bench = Bench()
        news = bench.watch('a')
        assert news == [WatchStarted(1)]
        bench.ask(CREATE)
        bench.ask(CompareAndSwap('b', 0, b'x'))
        bench.ask(CompareAndSwap('a', 2, None))
        run_until(bench.loop, lambda: len(news) == 3)
        assert isinstance(news[1], KeyPut)
        assert news[1].entry.body == b'one'
        assert news[2] == KeyDeleted('a', 4)

    def test_resume_misses_nothing(self) -> None:
        """Tell what happened while the watch was broken."""
        bench = Bench()
        news = bench.watch('a')
        bench.control.order('break_watches')
        run_until(bench.loop, lambda: len(news) == 2)
        assert isinstance(news[1], WatchBroken)
        bench.ask(CREATE)
        bench.ask(CompareAndSwap('a', 2, b'two'))
        resumed = bench.watch('a', from_revision=2)
        run_until(bench.loop, lambda: len(resumed) == 3)
        assert [each.entry.body for each in resumed[1:]] == [b'one', b'two']

    def test_long_history_comes_in_lines(self) -> None:
        """Receive more than fits one line, in order."""
        bench = Bench(KeyValueSettings(writes_per_s=10_000))
        for number in range(10):
            body = b'%d' % number + b'x' * 100_000
            bench.ask(CompareAndSwap(f'a{number}', 0, body))
        news = bench.watch('a', from_revision=1)
        run_until(bench.loop, lambda: len(news) == 11)
        keys = [each.entry.key for each in news[1:]]
        assert keys == [f'a{number}' for number in range(10)]

    def test_compacted_history_breaks(self) -> None:
        """Say why a watch can't be resumed."""
        bench = Bench()
        bench.service.store.compacted_revision = 5
        news = bench.watch('a', from_revision=3)
        assert news == [WatchBroken('compacted up to revision 5')]

    def test_cancelled_watch_is_silent(self) -> None:
        """Tell nothing more, and free the watch at the service."""
        bench = Bench()
        news: list = []
        handle = bench.store.watch('a', 0, news.append)
        run_until(bench.loop, lambda: bool(news))
        handle.cancel()
        bench.ask(CREATE)
        run_until(bench.loop, lambda: not bench.service.watches.waiting)
        assert len(news) == 1

    def test_silent_watch_breaks(self) -> None:
        """Notice a watch from which no sign of life comes."""
        bench = Bench(silence_s=0.1)
        news = bench.watch('a')
        run_until(bench.loop, lambda: len(news) == 2)
        assert isinstance(news[1], WatchBroken)

    def test_progress_keeps_a_quiet_watch(self) -> None:
        """Keep a watch whose service shows that it is alive."""
        bench = Bench(silence_s=0.3)
        news = bench.watch('a')
        for _ in range(6):
            bench.service.watches.send_progress()
            bench.control.call('GET', '/ready')
            bench.pause(0.1)
        assert len(news) == 1


class TestFailures:
    """Say whether a change may have taken effect."""

    def test_lost_answer_of_a_change(self) -> None:
        """Leave it open, and let a read show the effect."""
        bench = Bench()
        bench.control.order('lose_answers', times=1)
        lost = bench.ask(CREATE)
        assert isinstance(lost, StoreUnavailable)
        assert lost.maybe_applied
        assert bench.ask(ReadKey('a')).entry.body == b'one'
        assert bench.service.store.revision == 2

    def test_late_effect(self) -> None:
        """Leave it open where the effect comes later."""
        bench = Bench()
        bench.control.order('late_effects', delay_ms=100)
        assert bench.ask(CREATE).maybe_applied
        assert bench.ask(ReadKey('a')).entry is None
        run_until(
            bench.loop,
            lambda: bench.ask(ReadKey('a')).entry is not None,
        )

    def test_outage(self) -> None:
        """Leave changes open and reads not; break the watches."""
        bench = Bench(timeout_s=0.2)
        news = bench.watch('a')
        bench.control.order('hang_up')
        run_until(bench.loop, lambda: len(news) == 2)
        assert bench.ask(CREATE).maybe_applied
        assert not bench.ask(ReadKey('a')).maybe_applied
        bench.control.order('refuse')
        bench.control.call('POST', '/control', {'clear': 'hang_up'})
        assert bench.ask(CREATE).maybe_applied
        assert not bench.ask(ReadKey('a')).maybe_applied
        bench.control.order('freeze')
        assert bench.ask(CREATE).maybe_applied
        assert bench.service.store.revision == 1

    def test_rate_bound(self) -> None:
        """Refuse over the bound, and say that nothing was changed."""
        bench = Bench(KeyValueSettings(writes_per_s=1))
        assert bench.ask(CREATE) == Swapped(2)
        refused = bench.ask(CompareAndSwap('b', 0, b''))
        assert isinstance(refused, StoreUnavailable)
        assert not refused.maybe_applied

    def test_old_reads(self) -> None:
        """Show the value before the last change when so ordered."""
        bench = Bench()
        bench.ask(CREATE)
        bench.ask(CompareAndSwap('a', 2, b'two'))
        bench.control.order('old_reads', times=1)
        old = bench.ask(ReadKey('a'))
        assert (old.entry.body, old.store_revision) == (b'one', 2)
        assert bench.ask(ReadKey('a')).entry.body == b'two'

    def test_muted_watch_catches_up(self) -> None:
        """Tell the news once the fault has ended."""
        bench = Bench()
        news = bench.watch('a')
        bench.control.order('mute_watches')
        bench.ask(CREATE)
        bench.ask(CompareAndSwap('a', 2, b'two'))
        assert len(news) == 1
        bench.control.call('POST', '/control', {'clear': 'mute_watches'})
        run_until(bench.loop, lambda: len(news) == 3)

    @pytest.mark.parametrize(
        'body',
        [b'', b'[]', b'{}', b'{"header": {}}', b'{"header": {"revision": {}}}'],
    )
    def test_answer_of_another_form(self, body) -> None:
        """Leave a change open when its answer can't be read."""
        loop = build_loop()
        server = HttpServer(
            loop,
            ANY_PORT,
            lambda request, responder: responder.respond(
                ApiResponse(200, body),
            ),
        )
        store = EtcdKeyValue(HttpClient(loop), (server.address,), 5.0)
        assert ask(loop, store, CREATE).maybe_applied
        assert not ask(loop, store, ReadKey('a')).maybe_applied
        assert ask(loop, store, GrantLease(5)).maybe_applied


class TestAddresses:
    """Use another address where that is safe."""

    def build(self):
        """Build a store whose first address answers nothing."""
        service, control = start_peer(KeyValueService, KeyValueSettings())
        closed = socket.socket()
        closed.bind(('127.0.0.1', 0))
        refusing = Address('127.0.0.1', closed.getsockname()[1])
        store = EtcdKeyValue(
            HttpClient(control.loop),
            (refusing, control.address),
            5.0,
        )
        return service, control, store, closed

    def test_unsent_change_goes_to_the_next(self) -> None:
        """Send a change elsewhere if no byte of it was sent."""
        _, control, store, closed = self.build()
        assert ask(control.loop, store, CREATE) == Swapped(2)
        closed.close()

    def test_calls_that_fail_together_turn_once(self) -> None:
        """Leave the dead address, however many calls failed on it."""
        service, control, store, closed = self.build()
        replies: list = []
        for number in range(10):
            swap = CompareAndSwap(f'a{number}', 0, b'')
            store.submit(swap, replies.append)
        run_until(control.loop, lambda: len(replies) == 10)
        assert all(isinstance(each, Swapped) for each in replies)
        assert store.address == control.address
        closed.close()

    def test_sent_change_is_never_repeated(self) -> None:
        """Leave a change open rather than send it again elsewhere."""
        _, control = start_peer(KeyValueService, KeyValueSettings())
        second = KeyValueService(
            control.loop,
            ANY_PORT,
            KeyValueSettings(),
            build_log(),
        )
        store = EtcdKeyValue(
            HttpClient(control.loop),
            (control.address, second.stand_in.address),
            5.0,
        )
        control.order('hang_up')
        assert ask(control.loop, store, CREATE).maybe_applied
        assert second.store.revision == 1

    def test_sent_read_is_repeated(self) -> None:
        """Read from the next address after a failure or an error."""
        _, control = start_peer(KeyValueService, KeyValueSettings())
        broken, broken_control = _start_broken(control)
        store = EtcdKeyValue(
            HttpClient(control.loop),
            (broken.stand_in.address, control.address),
            5.0,
        )
        broken_control.order('refuse')
        assert ask(control.loop, store, ReadKey('a')) == KeyRead(None, 1)

    def test_no_address(self) -> None:
        """Refuse to be built without one."""
        with pytest.raises(NoAddressError):
            EtcdKeyValue(HttpClient(build_loop()), (), 1.0)


def _start_broken(control: Peer):
    service = KeyValueService(
        control.loop,
        ANY_PORT,
        KeyValueSettings(),
        build_log(),
    )
    return service, Peer(control.loop, service.stand_in.address)
