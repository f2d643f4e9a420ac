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
UNKNOWN_LEASE_ID = 77


class EtcdHarness:
    """Run a stand-in, its control and the adapter in one loop."""

    def __init__(
        self,
        settings: KeyValueSettings | None = None,
        timeout_s: float = 5.0,
        watch_idle_timeout_s: float = 10.0,
    ) -> None:
        """Start the stand-in and the adapter."""
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
            watch_idle_timeout_s,
        )

    def ask(self, request):
        """Return the reply to a request."""
        return ask(self.loop, self.store, request)

    def run_for(self, duration_s: float) -> None:
        """Run the loop for a duration."""
        elapsed: list = []
        self.loop.scheduler.call_after(duration_s, lambda: elapsed.append(True))
        run_until(self.loop, lambda: bool(elapsed))

    def watch(self, prefix: str, from_revision: int = 0) -> list:
        """Start a watch and return the list that its events are added to."""
        events: list = []
        self.store.watch(prefix, from_revision, events.append)
        run_until(self.loop, lambda: bool(events))
        return events


def ask(loop, store, request):
    """Return the one reply to a request."""
    replies: list = []
    store.submit(request, replies.append)
    run_until(loop, lambda: bool(replies))
    assert len(replies) == 1
    return replies[0]


class TestReadsAndSwaps:
    """Test reads and compare-and-swap."""

    def test_missing_key(self) -> None:
        """Reply with the revision of the store."""
        harness = EtcdHarness()
        assert harness.ask(ReadKey('a')) == KeyRead(None, 1)
        assert harness.ask(ReadRevision('a')) == RevisionRead(0, 1)
        assert harness.ask(ReadPrefix('a')) == PrefixRead((), 1)

    def test_create_change_and_delete(self) -> None:
        """Swap at each revision in turn."""
        harness = EtcdHarness()
        created = harness.ask(CREATE)
        assert created == Swapped(2)
        assert harness.ask(CompareAndSwap('a', 2, b'two')) == Swapped(3)
        assert harness.ask(ReadRevision('a')) == RevisionRead(3, 3)
        entry = harness.ask(ReadKey('a')).entry
        assert (entry.body, entry.revision, entry.created_revision) == (
            b'two',
            3,
            2,
        )
        assert harness.ask(CompareAndSwap('a', 3, None)) == Swapped(4)
        assert harness.ask(ReadKey('a')).entry is None

    def test_conflict_shows_current_entry(self) -> None:
        """Show the current entry, or that there is none."""
        harness = EtcdHarness()
        harness.ask(CREATE)
        conflict = harness.ask(CREATE)
        assert isinstance(conflict, Conflict)
        assert conflict.current.body == b'one'
        missing = harness.ask(CompareAndSwap('b', 9, b'x'))
        assert missing == Conflict(None, 2)

    def test_empty_body_and_odd_keys(self) -> None:
        """Store an empty value and a key that is not ASCII."""
        harness = EtcdHarness()
        harness.ask(CompareAndSwap('Štajerska/ключ', 0, b''))
        entry = harness.ask(ReadKey('Štajerska/ключ')).entry
        assert entry.body == b''

    def test_prefix_in_order(self) -> None:
        """Read only the keys with a prefix, sorted."""
        harness = EtcdHarness()
        for key in ('b/2', 'b/1', 'c', 'a', 'b0'):
            harness.ask(CompareAndSwap(key, 0, b''))
        read = harness.ask(ReadPrefix('b/'))
        assert [entry.key for entry in read.entries] == ['b/1', 'b/2']
        everything = harness.ask(ReadPrefix(''))
        assert len(everything.entries) == 5

    def test_value_over_the_size_limit(self) -> None:
        """Refuse the value and report that nothing was changed."""
        harness = EtcdHarness()
        reply = harness.ask(CompareAndSwap('a', 0, b'x' * 1_048_577))
        assert not reply.maybe_applied
        largest = CompareAndSwap('a', 0, b'x' * 1_048_576)
        assert harness.ask(largest) == Swapped(2)

    @pytest.mark.parametrize(
        ('prefix', 'end'),
        [(b'a', b'b'), (b'a\xff', b'b'), (b'\xff', b'\0'), (b'', b'\0')],
    )
    def test_prefix_end(self, prefix, end) -> None:
        """Find the exclusive upper bound of a prefix."""
        assert find_prefix_end(prefix) == end


class TestLeases:
    """Test leases and the keys attached to them."""

    def test_revoked_lease_deletes_its_keys(self) -> None:
        """Delete the keys when the lease is revoked."""
        harness = EtcdHarness()
        lease = harness.ask(GrantLease(30))
        assert lease.ttl_s == 30
        harness.ask(CompareAndSwap('a', 0, b'', lease.lease_id))
        assert harness.ask(ReadKey('a')).entry.lease_id == lease.lease_id
        assert harness.ask(KeepLease(lease.lease_id)) == lease
        lease_lost = LeaseLost(lease.lease_id)
        assert harness.ask(RevokeLease(lease.lease_id)) == lease_lost
        assert harness.ask(ReadKey('a')).entry is None
        assert harness.ask(KeepLease(lease.lease_id)) == lease_lost
        assert harness.ask(RevokeLease(lease.lease_id)) == lease_lost

    def test_lease_expires(self) -> None:
        """Report the deletion of the attached key to a watch."""
        harness = EtcdHarness()
        lease = harness.ask(GrantLease(1))
        harness.ask(CompareAndSwap('a', 0, b'', lease.lease_id))
        events = harness.watch('a')
        run_until(harness.loop, lambda: len(events) > 1)
        assert events[1] == KeyDeleted('a', 3)

    def test_swap_with_a_lost_lease(self) -> None:
        """Reply that the lease is lost and change nothing."""
        harness = EtcdHarness()
        swap = CompareAndSwap('a', 0, b'', UNKNOWN_LEASE_ID)
        assert harness.ask(swap) == LeaseLost(UNKNOWN_LEASE_ID)
        assert harness.ask(ReadKey('a')) == KeyRead(None, 1)

    def test_ordered_expiry(self) -> None:
        """Expire a lease by a control request."""
        harness = EtcdHarness()
        lease = harness.ask(GrantLease(600))
        harness.ask(CompareAndSwap('a', 0, b'', lease.lease_id))
        harness.control.order('expire_lease', lease_id=lease.lease_id)
        assert harness.ask(ReadKey('a')).entry is None


class TestWatches:
    """Test watches of a prefix."""

    def test_events_in_order(self) -> None:
        """Report only puts and deletions of the prefix, in order."""
        harness = EtcdHarness()
        events = harness.watch('a')
        assert events == [WatchStarted(1)]
        harness.ask(CREATE)
        harness.ask(CompareAndSwap('b', 0, b'x'))
        harness.ask(CompareAndSwap('a', 2, None))
        run_until(harness.loop, lambda: len(events) == 3)
        assert isinstance(events[1], KeyPut)
        assert events[1].entry.body == b'one'
        assert events[2] == KeyDeleted('a', 4)

    def test_resume_misses_nothing(self) -> None:
        """Report the changes made while the watch was broken."""
        harness = EtcdHarness()
        events = harness.watch('a')
        harness.control.order('break_watches')
        run_until(harness.loop, lambda: len(events) == 2)
        assert isinstance(events[1], WatchBroken)
        harness.ask(CREATE)
        harness.ask(CompareAndSwap('a', 2, b'two'))
        resumed = harness.watch('a', from_revision=2)
        run_until(harness.loop, lambda: len(resumed) == 3)
        assert [event.entry.body for event in resumed[1:]] == [b'one', b'two']

    def test_long_history_spans_lines(self) -> None:
        """Receive a history longer than one line, in order."""
        harness = EtcdHarness(KeyValueSettings(writes_per_s=10_000))
        for number in range(10):
            body = b'%d' % number + b'x' * 100_000
            harness.ask(CompareAndSwap(f'a{number}', 0, body))
        events = harness.watch('a', from_revision=1)
        run_until(harness.loop, lambda: len(events) == 11)
        keys = [event.entry.key for event in events[1:]]
        assert keys == [f'a{number}' for number in range(10)]

    def test_compacted_history_breaks(self) -> None:
        """Report why a watch cannot be resumed."""
        harness = EtcdHarness()
        harness.service.store.compacted_revision = 5
        events = harness.watch('a', from_revision=3)
        assert events == [WatchBroken('compacted up to revision 5')]

    def test_cancelled_watch_gets_no_events(self) -> None:
        """Report no further events and release the watch at the service."""
        harness = EtcdHarness()
        events: list = []
        handle = harness.store.watch('a', 0, events.append)
        run_until(harness.loop, lambda: bool(events))
        handle.cancel()
        harness.ask(CREATE)
        run_until(harness.loop, lambda: not harness.service.watches.waiting)
        assert len(events) == 1

    def test_idle_watch_breaks(self) -> None:
        """Break a watch that receives nothing within the idle timeout."""
        harness = EtcdHarness(watch_idle_timeout_s=0.1)
        events = harness.watch('a')
        run_until(harness.loop, lambda: len(events) == 2)
        assert isinstance(events[1], WatchBroken)

    def test_progress_keeps_an_idle_watch(self) -> None:
        """Keep a watch that receives only progress notifications."""
        harness = EtcdHarness(watch_idle_timeout_s=0.3)
        events = harness.watch('a')
        for _ in range(6):
            harness.service.watches.send_progress()
            harness.control.call('GET', '/ready')
            harness.run_for(0.1)
        assert len(events) == 1


class TestFailures:
    """Test that failures report whether a change may have been applied."""

    def test_lost_answer_of_a_change(self) -> None:
        """Report that it may have been applied; a read shows the effect."""
        harness = EtcdHarness()
        harness.control.order('lose_answers', times=1)
        reply = harness.ask(CREATE)
        assert isinstance(reply, StoreUnavailable)
        assert reply.maybe_applied
        assert harness.ask(ReadKey('a')).entry.body == b'one'
        assert harness.service.store.revision == 2

    def test_late_effect(self) -> None:
        """Report that it may have been applied when it is applied later."""
        harness = EtcdHarness()
        harness.control.order('late_effects', delay_ms=100)
        assert harness.ask(CREATE).maybe_applied
        assert harness.ask(ReadKey('a')).entry is None
        run_until(
            harness.loop,
            lambda: harness.ask(ReadKey('a')).entry is not None,
        )

    def test_outage(self) -> None:
        """Report only changes as maybe applied, and break the watches."""
        harness = EtcdHarness(timeout_s=0.2)
        events = harness.watch('a')
        harness.control.order('hang_up')
        run_until(harness.loop, lambda: len(events) == 2)
        assert harness.ask(CREATE).maybe_applied
        assert not harness.ask(ReadKey('a')).maybe_applied
        harness.control.order('refuse')
        harness.control.call('POST', '/control', {'clear': 'hang_up'})
        assert harness.ask(CREATE).maybe_applied
        assert not harness.ask(ReadKey('a')).maybe_applied
        harness.control.order('freeze')
        assert harness.ask(CREATE).maybe_applied
        assert harness.service.store.revision == 1

    def test_rate_limit(self) -> None:
        """Refuse a write over the limit and report that nothing changed."""
        harness = EtcdHarness(KeyValueSettings(writes_per_s=1))
        assert harness.ask(CREATE) == Swapped(2)
        refused = harness.ask(CompareAndSwap('b', 0, b''))
        assert isinstance(refused, StoreUnavailable)
        assert not refused.maybe_applied

    def test_old_reads(self) -> None:
        """Return the value before the last change under the fault."""
        harness = EtcdHarness()
        harness.ask(CREATE)
        harness.ask(CompareAndSwap('a', 2, b'two'))
        harness.control.order('old_reads', times=1)
        old = harness.ask(ReadKey('a'))
        assert (old.entry.body, old.store_revision) == (b'one', 2)
        assert harness.ask(ReadKey('a')).entry.body == b'two'

    def test_muted_watch_catches_up(self) -> None:
        """Deliver the delayed events once the fault has ended."""
        harness = EtcdHarness()
        events = harness.watch('a')
        harness.control.order('mute_watches')
        harness.ask(CREATE)
        harness.ask(CompareAndSwap('a', 2, b'two'))
        assert len(events) == 1
        harness.control.call('POST', '/control', {'clear': 'mute_watches'})
        run_until(harness.loop, lambda: len(events) == 3)

    @pytest.mark.parametrize(
        'body',
        [b'', b'[]', b'{}', b'{"header": {}}', b'{"header": {"revision": {}}}'],
    )
    def test_malformed_answer(self, body) -> None:
        """Report a change as maybe applied if its answer is malformed."""
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
    """Test the failover to another address."""

    def build(self):
        """Build a store whose first address refuses connections."""
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
        """Send a change to the next address if no byte of it was sent."""
        _, control, store, closed = self.build()
        assert ask(control.loop, store, CREATE) == Swapped(2)
        closed.close()

    def test_concurrent_failures_switch_address_once(self) -> None:
        """Switch once, however many calls failed on the dead address."""
        service, control, store, closed = self.build()
        replies: list = []
        for number in range(10):
            swap = CompareAndSwap(f'a{number}', 0, b'')
            store.submit(swap, replies.append)
        run_until(control.loop, lambda: len(replies) == 10)
        assert all(isinstance(reply, Swapped) for reply in replies)
        assert store.address == control.address
        closed.close()

    def test_sent_change_is_never_repeated(self) -> None:
        """Report a change as maybe applied rather than send it twice."""
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
        """Read from the next address after an error answer."""
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
        """Refuse to build a store without an address."""
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
