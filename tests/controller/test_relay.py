"""Test how a relay notices new configurations in the store."""

import io

import pytest

from bamboodeck.bench.slopes.stand_ins import CountingLink
from bamboodeck.configuration.records import (
    CURRENT_KEY,
    StoredConfiguration,
    encode_record,
)
from bamboodeck.configuration.replica import ConfigurationReplica
from bamboodeck.controller.relay import CONFIRM_PERIOD_S, ConfigurationRelay
from bamboodeck.invariants import Invariants
from bamboodeck.keyvalue.port import (
    CompareAndSwap,
    ReadKey,
    ReadRevision,
    WatchStarted,
)
from bamboodeck.logs import build_event_log
from bamboodeck.peers.feed import ConfigurationFeed
from tests.configuration.examples import EXAMPLE_TEXT
from tests.controller.virtual_loop import VirtualScheduler
from tests.virtual_store import Fault, VirtualClock, VirtualStore

STALE_S = 3 * CONFIRM_PERIOD_S
PEERS = ('host2.entry', 'host2.controller')


class SilentWatchStore(VirtualStore):
    """Start watches that never report a change."""

    def watch(self, prefix: str, from_revision: int, on_event) -> None:
        """Report only that the watch started."""
        self.clock.call_after(0, lambda: on_event(WatchStarted(0)))


class Relay:
    """Run a relay with a store whose watches never report a change."""

    def __init__(self) -> None:
        """Write a first configuration and start the relay."""
        self.clock = VirtualClock()
        self.store = SilentWatchStore(self.clock)
        self.link = CountingLink()
        scheduler = VirtualScheduler(self.clock)
        log = build_event_log(io.StringIO())
        self.replica = ConfigurationReplica(Invariants(log, raising=True), 0)
        feed = ConfigurationFeed(
            self.replica,
            self.link,
            scheduler,
            log,
            lambda _: None,
        )
        self.change()
        self.relay = ConfigurationRelay(
            self.store,
            feed,
            scheduler,
            log,
            lambda: PEERS,
        )
        self.relay.start()
        self.clock.run(STALE_S)

    def change(self) -> None:
        """Write the example configuration as a new revision."""
        record = StoredConfiguration('first', 'ada', 0, '', EXAMPLE_TEXT)
        swap = CompareAndSwap(
            CURRENT_KEY,
            self.store.revision,
            encode_record(record),
        )
        self.store.apply(swap)

    def count(self, kind: type) -> int:
        """Count the store requests of a type."""
        return sum(isinstance(each, kind) for each in self.store.requests)


@pytest.fixture
def relay() -> Relay:
    """Start a relay that has the first configuration."""
    started = Relay()
    assert started.replica.revision == 1
    return started


class TestConfirmation:
    """Confirm the configuration in force once per period."""

    def test_confirms_by_revision_only(self, relay) -> None:
        """Stay fresh by reading only the revision, not the value."""
        read = relay.count(ReadKey)
        relay.clock.run(10 * CONFIRM_PERIOD_S)
        assert relay.count(ReadKey) == read
        assert relay.count(ReadRevision) >= 10
        assert relay.replica.age_s(relay.clock.now_s) <= STALE_S

    def test_change_missed_by_watch(self, relay) -> None:
        """Read the newer value and send it to the zone."""
        relay.change()
        relay.clock.run(2 * CONFIRM_PERIOD_S)
        assert relay.replica.revision == 2
        assert relay.link.sent == 2 * len(PEERS)

    def test_outage(self, relay) -> None:
        """Become stale while the store does not answer."""
        relay.store.faults = lambda _: Fault.REFUSED
        relay.clock.run(10 * CONFIRM_PERIOD_S)
        assert relay.replica.age_s(relay.clock.now_s) > 9 * CONFIRM_PERIOD_S

    def test_old_revision(self, relay) -> None:
        """Do not count an older revision as a confirmation."""
        relay.change()
        relay.clock.run(2 * CONFIRM_PERIOD_S)
        old = relay.store.entries[CURRENT_KEY]
        relay.store.entries[CURRENT_KEY] = type(old)(old.key, old.body, 1)
        relay.clock.run(10 * CONFIRM_PERIOD_S)
        assert relay.replica.revision == 2
        assert relay.replica.age_s(relay.clock.now_s) > 9 * CONFIRM_PERIOD_S
