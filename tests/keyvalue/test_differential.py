"""Compare the etcd adapter under faults with a naive store."""

from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from bamboodeck.fakes.key_value.server import (
    KeyValueService,
    KeyValueSettings,
)
from bamboodeck.fakes.key_value.store import KeyRange
from bamboodeck.http.client import HttpClient
from bamboodeck.keyvalue.etcd import EtcdKeyValue
from bamboodeck.keyvalue.port import (
    CompareAndSwap,
    Conflict,
    KeyRead,
    ReadKey,
    StoreReply,
    StoreUnavailable,
    Swapped,
)
from tests.fakes.peers import Peer, start_peer
from tests.http.looping import run_until

KEYS = ('a', 'b')
FAULTS = st.sampled_from(
    (
        None,
        {'fault': 'lose_answers', 'times': 1},
        {'fault': 'hang_up', 'times': 1},
        {'fault': 'refuse', 'times': 1, 'status': 503},
        {'fault': 'refuse', 'times': 1, 'status': 429},
        {'fault': 'old_reads', 'times': 1},
    )
)
STEPS = st.lists(
    st.tuples(
        FAULTS,
        st.sampled_from(KEYS),
        st.sampled_from(('read', 'fresh', 'stale')),
        st.sampled_from((b'x', b'', None)),
    ),
    max_size=15,
)


@dataclass
class NaiveStore:
    """Apply changes to a dictionary, one revision after the other."""

    revision: int = 1
    entries: dict[str, tuple[int, bytes]] = field(default_factory=dict)

    def swap(self, request: CompareAndSwap) -> bool:
        """Change the key if it is at the expected revision."""
        if self.revision_of(request.key) != request.expected_revision:
            return False
        if request.body is None:
            if self.entries.pop(request.key, None) is not None:
                self.revision += 1
            return True
        self.revision += 1
        self.entries[request.key] = (self.revision, request.body)
        return True

    def revision_of(self, key: str) -> int:
        """Return the revision of a key, 0 if it is missing."""
        return self.entries.get(key, (0, b''))[0]


def ask(peer: Peer, store: EtcdKeyValue, request) -> StoreReply:
    """Return the one reply to a request."""
    replies: list = []
    store.submit(request, replies.append)
    run_until(peer.loop, lambda: bool(replies))
    return replies[0]


def read_stored(service: KeyValueService) -> dict[str, tuple[int, bytes]]:
    """Return the entries stored in the stand-in."""
    entries = service.store.read(KeyRange(b'a', b'z'))
    return {
        entry.key.decode(): (entry.mod_revision, entry.body)
        for entry in entries
    }


class TestAgainstNaiveStore:
    """Test that replies match the stored state under faults."""

    @given(steps=STEPS)
    @settings(max_examples=40, deadline=None, derandomize=True)
    def test_replies_match_what_happened(self, steps) -> None:
        """Match state, outcomes and unknown outcomes after each step."""
        service, peer = start_peer(KeyValueService, KeyValueSettings())
        store = EtcdKeyValue(HttpClient(peer.loop), (peer.address,), 5.0)
        naive = NaiveStore()
        for fault, key, kind, body in steps:
            if fault is not None:
                peer.call('POST', '/control', fault)
            if kind == 'read':
                reply = ask(peer, store, ReadKey(key))
                self.check_read(reply, key, naive, fault)
            else:
                expected = naive.revision_of(key) + (kind == 'stale')
                swap = CompareAndSwap(key, expected, body)
                reply = ask(peer, store, swap)
                self.check_swap(reply, swap, naive, fault)
            peer.call('POST', '/control', {'clear': 'all'})
            assert read_stored(service) == naive.entries
            assert service.store.revision == naive.revision

    def check_read(self, reply, key, naive, fault) -> None:
        """Check a read, including one answered with a stale value."""
        if isinstance(reply, StoreUnavailable):
            assert fault is not None
            assert not reply.maybe_applied
            return
        assert isinstance(reply, KeyRead)
        if fault is not None and fault['fault'] == 'old_reads':
            assert reply.store_revision < naive.revision
            return
        assert reply.store_revision == naive.revision
        found = reply.entry.revision if reply.entry else 0
        assert found == naive.revision_of(key)

    def check_swap(self, reply, swap, naive, fault) -> None:
        """Check a swap and apply it to the naive store if it took effect."""
        match reply:
            case Swapped(revision=revision):
                assert naive.swap(swap)
                assert revision == naive.revision
            case Conflict(current=current):
                assert not naive.swap(swap)
                found = current.revision if current else 0
                assert found == naive.revision_of(swap.key)
            case StoreUnavailable(maybe_applied=True):
                if fault['fault'] == 'lose_answers':
                    naive.swap(swap)
            case StoreUnavailable(maybe_applied=False):
                assert fault['status'] == 429
