"""Test with random failures that each answer is billed exactly once."""

import dataclasses
from collections.abc import Callable
from types import MappingProxyType

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)


from bamboodeck.billing import ledger
from bamboodeck.billing.copier import BillCopier
from bamboodeck.billing.holder import BillHolder
from bamboodeck.billing.sender import BillSender
from bamboodeck.billing.window import SeenWindow, WindowLimits

from tests.billing.simulation import ZONES, BillingSimulation
from tests.random_walk import walk
from tests.virtual_store import VirtualStore

HOSTS = st.integers(0, len(ZONES) - 1)
KILLS = ((True, False), (False, True), (True, True))
FREEZES_S = (0.3, 3, 20)
WAITS_S = (0.05, 0.3, 1, 5)
STORE_SHARES = (0.0, 0.3, 0.6)
LINK_SHARES = (0.0, 0.3, 0.9)
OUTAGES_S = (1, 3600)
ANY_HOST = range(len(ZONES))
STEPS = MappingProxyType(
    {
        'answer': {'host': ANY_HOST, 'count': range(1, 9)},
        'repeat': {'host': ANY_HOST, 'back': range(10)},
        'kill': {'host': ANY_HOST, 'which': KILLS},
        'freeze': {'host': ANY_HOST, 'duration_s': FREEZES_S},
        'wait': {'duration_s': WAITS_S},
        'disturb_store': {'share': STORE_SHARES},
        'disturb_links': {'share': LINK_SHARES},
        'stop_store': {'duration_s': OUTAGES_S},
        'hand_over': {'host': ANY_HOST},
        'leave': {'host': ANY_HOST},
    }
)
WALKS = 40
WALK_STEPS = 40


class BillingMachine(RuleBasedStateMachine):
    """Combine requests, repeats and failures in any order."""

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed: int) -> None:
        """Start the hosts."""
        self.sim = BillingSimulation(seed)
        self.started = 0

    @rule(host=HOSTS, count=st.integers(1, 8))
    def answer(self, host: int, count: int) -> None:
        """Answer new requests."""
        for _ in range(count):
            self.started += 1
            self.sim.answer(host, f'r{self.started}')

    @rule(host=HOSTS, back=st.integers(0, 9))
    def repeat(self, host: int, back: int) -> None:
        """Answer a request again through any host."""
        self.sim.answer(host, f'r{max(self.started - back, 1)}')

    @rule(
        host=HOSTS,
        which=st.sampled_from(KILLS),
    )
    def kill(self, host: int, which: tuple[bool, bool]) -> None:
        """Kill the entry process, the controller or both."""
        self.sim.kill(host, entry=which[0], controller=which[1])

    @rule(host=HOSTS, duration_s=st.sampled_from(FREEZES_S))
    def freeze(self, host: int, duration_s: float) -> None:
        """Freeze a controller."""
        until_s = self.sim.clock.now_s + duration_s
        self.sim.hosts[host].controller.frozen_until_s = until_s

    @rule(duration_s=st.sampled_from(WAITS_S))
    def wait(self, duration_s: float) -> None:
        """Advance the clock."""
        self.sim.clock.run(duration_s)

    @rule(share=st.sampled_from(STORE_SHARES))
    def disturb_store(self, share: float) -> None:
        """Set the share of store requests that fail."""
        self.sim.fault_share = share

    @rule(share=st.sampled_from(LINK_SHARES))
    def disturb_links(self, share: float) -> None:
        """Set the share of messages between hosts that are lost."""
        self.sim.loss_share = share

    @rule(duration_s=st.sampled_from(OUTAGES_S))
    def stop_store(self, duration_s: float) -> None:
        """Make the store unavailable for a while."""
        self.sim.down_until_s = self.sim.clock.now_s + duration_s

    @rule(host=HOSTS)
    def leave(self, host: int) -> None:
        """Stop a host gracefully."""
        self.sim.leave(host)

    @rule(host=HOSTS)
    def hand_over(self, host: int) -> None:
        """Start or end folding on a host, so that two may fold at once."""
        folds = self.sim.hosts[host].folds
        self.sim.hosts[host].folds = not folds

    @invariant()
    def check_now(self) -> None:
        """Check that nothing is billed twice at any time."""
        if hasattr(self, 'sim'):
            self.sim.check()

    def teardown(self) -> None:
        """Check that each answered request is billed once in the end."""
        if hasattr(self, 'sim'):
            self.sim.settle()


SETTINGS = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    stateful_step_count=40,
)
TestBilling = BillingMachine.TestCase
TestBilling.settings = SETTINGS


def walk_all() -> None:
    """Run random walks with fixed seeds."""
    for seed in range(WALKS):
        walk(BillingMachine, STEPS, seed, WALK_STEPS)


class TestOutage:
    """Test that host losses during an outage of the store lose no bill."""

    def test_rolling_restart(self) -> None:
        """Lose no bill when every host is restarted in an outage."""
        sim = BillingSimulation(1)
        sim.down_until_s = sim.clock.now_s + 3600
        for host in ANY_HOST:
            sim.answer(host, f'r{host}')
        sim.clock.run(5)
        for host in ANY_HOST:
            assert sim.leave(host)
        sim.clock.run(3600)
        sim.settle()
        assert sum(sim.count().values()) == len(ZONES)

    def test_second_loss(self) -> None:
        """Survive a second host loss once a lost sender's bills are copied."""
        sim = BillingSimulation(1)
        sim.down_until_s = sim.clock.now_s + 3600
        sim.answer(0, 'r1')
        sim.clock.run(5)
        assert sim.bills['r1'].answered
        assert sim.kill(0, entry=True, controller=True)
        keeping = [at for at in ANY_HOST if sim.hosts[at].holder.record_count]
        assert not sim.kill(keeping[0], entry=True, controller=True)
        sim.clock.run(15)
        assert sim.kill(keeping[0], entry=True, controller=True)
        sim.clock.run(3600)
        sim.settle()


def skip_watermark(patch: pytest.MonkeyPatch) -> None:
    """Fold a record each time it arrives."""
    patch.setattr(ledger.Ledger, 'next_number', lambda *_: 0)


def skip_identity(patch: pytest.MonkeyPatch) -> None:
    """Recognize no repeated bill."""
    patch.setattr(SeenWindow, '__contains__', lambda *_: False)


def skip_window(patch: pytest.MonkeyPatch) -> None:
    """Keep no ids of folded bills."""
    patch.setattr(ledger, 'HOUR_LIMITS', WindowLimits(60, 0))


def skip_compare(patch: pytest.MonkeyPatch) -> None:
    """Swap without comparing the revision."""
    plain = VirtualStore._swap

    def swap(store: VirtualStore, request):
        current = store.entries.get(request.key)
        revision = 0 if current is None else current.revision
        forced = dataclasses.replace(request, expected_revision=revision)
        return plain(store, forced)

    patch.setattr(VirtualStore, '_swap', swap)


def forget_when_held(patch: pytest.MonkeyPatch) -> None:
    """Drop the sender's copy as soon as a peer has one."""
    plain = BillSender.on_ack

    def on_ack(sender: BillSender, peer: str, ack) -> None:
        plain(
            sender,
            peer,
            dataclasses.replace(ack, folded_next=ack.held_next),
        )

    patch.setattr(BillSender, 'on_ack', on_ack)


def answer_at_once(patch: pytest.MonkeyPatch) -> None:
    """Answer before a peer holds the bill."""
    plain = BillSender.poll

    def poll(sender: BillSender, now_s: float, **options):
        held_next = sender._held_next
        sender._held_next = sender._next_number
        sender._notify_held()
        sender._held_next = held_next
        return plain(sender, now_s, **options)

    patch.setattr(BillSender, 'poll', poll)


def ignore_gaps(patch: pytest.MonkeyPatch) -> None:
    """Accept a batch after a gap as if none were missing."""
    plain = BillHolder.receive

    def receive(holder: BillHolder, batch, now_s: float):
        held = holder._held.get(batch.incarnation)
        start = batch.folded_next if held is None else held.held_next
        if batch.first_number > start:
            moved = dataclasses.replace(batch, first_number=start)
            ack = plain(holder, moved, now_s)
            following = batch.first_number + len(batch.records)
            return dataclasses.replace(ack, held_next=following)
        return plain(holder, batch, now_s)

    patch.setattr(BillHolder, 'receive', receive)


def leave_at_once(patch: pytest.MonkeyPatch) -> None:
    """Shut down without copying the held records."""
    patch.setattr(BillCopier, 'poll', lambda *_, leaving: ())
    patch.setattr(BillCopier, 'count_uncopied', lambda *_, leaving: 0)


def trust_old_acks(patch: pytest.MonkeyPatch) -> None:
    """Shut down by earlier acks, though the peer may have restarted."""
    plain = BillSender.poll

    def poll(sender: BillSender, now_s: float, **options):
        sender._draining = True
        return plain(sender, now_s, **options)

    patch.setattr(BillSender, 'poll', poll)


MUTATIONS = (
    leave_at_once,
    trust_old_acks,
    skip_watermark,
    skip_identity,
    skip_window,
    skip_compare,
    forget_when_held,
    answer_at_once,
    ignore_gaps,
)


class TestMutations:
    """Check that the walks detect each disabled mechanism."""

    @pytest.mark.parametrize('mutate', MUTATIONS)
    def test_is_seen(
        self,
        mutate: Callable[[pytest.MonkeyPatch], None],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Fail at least one check."""
        mutate(monkeypatch)
        with pytest.raises(AssertionError):
            walk_all()


class TestWalks:
    """Run the same walks without a mutation."""

    def test_pass(self) -> None:
        """Pass all checks."""
        walk_all()
