"""Test leases under pauses, network cuts and lost replies."""

import functools
from collections.abc import Callable
from types import MappingProxyType

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
)

from bamboodeck.leases.holder import LeaseHolder
from tests.leases.simulation import PROCESSES, Competitor, LeaseWorld
from tests.random_walk import walk
from tests.virtual_store import VirtualStore

DURATIONS_S = (0.2, 2, 6, 8, 12)
SHARES = (0.0, 0.2, 0.6)
PROCESS = st.integers(0, PROCESSES - 1)
DURATION_S = st.sampled_from(DURATIONS_S)
STEPS = MappingProxyType(
    {
        'wait': {'duration_s': DURATIONS_S},
        'stop_holder': {
            'duration_s': DURATIONS_S,
            'cut_s': DURATIONS_S,
            'wait_s': DURATIONS_S,
        },
        'cut': {
            'at': range(PROCESSES),
            'cut_s': DURATIONS_S,
            'wait_s': DURATIONS_S,
        },
        'kill': {'at': range(PROCESSES)},
        'release': {'at': range(PROCESSES)},
        'disturb': {'share': SHARES},
    }
)
WALKS = 120
WALK_STEPS = 25


class LeaseMachine(RuleBasedStateMachine):
    """Freeze, cut off, kill and release processes in any order."""

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed: int) -> None:
        """Start the competitors."""
        self.world = LeaseWorld(seed)

    @rule(duration_s=DURATION_S)
    def wait(self, duration_s: float) -> None:
        """Advance time."""
        self.world.run(duration_s)

    @rule(duration_s=DURATION_S, cut_s=DURATION_S, wait_s=DURATION_S)
    def stop_holder(
        self,
        duration_s: float,
        cut_s: float,
        wait_s: float,
    ) -> None:
        """Freeze the holder and cut it off when it resumes."""
        holder = self.world.find_holder()
        if holder is not None:
            now_s = self.world.clock.now_s
            holder.frozen_until_s = now_s + duration_s
            self.world.clock.call_after(
                duration_s,
                functools.partial(holder.disconnect, cut_s),
            )
        self.world.run(wait_s)

    @rule(at=PROCESS, cut_s=DURATION_S, wait_s=DURATION_S)
    def cut(self, at: int, cut_s: float, wait_s: float) -> None:
        """Cut a process off from the store."""
        self.world.competitors[at].disconnect(cut_s)
        self.world.run(wait_s)

    @rule(at=PROCESS)
    def kill(self, at: int) -> None:
        """Replace a process."""
        self.world.competitors[at].alive = False
        seed = self.world.rng.randrange(2**16)
        self.world.competitors[at] = Competitor(self.world, seed)

    @rule(at=PROCESS)
    def release(self, at: int) -> None:
        """Stop a process gracefully."""
        competitor = self.world.competitors[at]
        competitor.run(lambda: competitor.holder.release(self.released))

    def released(self) -> None:
        """Count a released lease."""
        self.world.releases += 1

    @rule(share=st.sampled_from(SHARES))
    def disturb(self, share: float) -> None:
        """Set the share of store requests that fail."""
        self.world.fault_share = share

    def check_now(self) -> None:
        """Assert that there is at most one holder."""
        self.world.check()

    def teardown(self) -> None:
        """Assert that a holder emerges once all faults are cleared."""
        if hasattr(self, 'world'):
            self.kill(0)
            self.world.settle()


SETTINGS = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=30,
    stateful_step_count=20,
)
TestLeases = LeaseMachine.TestCase
TestLeases.settings = SETTINGS


def walk_all() -> None:
    """Take the same random steps on every run."""
    for seed in range(WALKS):
        walk(LeaseMachine, STEPS, seed, WALK_STEPS)


def skip_deadline(patch: pytest.MonkeyPatch) -> None:
    """Hold the lease until the store reports its loss."""
    patch.setattr(LeaseHolder, '_deadline_s', lambda *_: 1e12)


def count_from_reply(patch: pytest.MonkeyPatch) -> None:
    """Count the deadline from the reply's arrival, without a margin."""

    def deadline_s(holder: LeaseHolder, *_) -> float:
        return holder._clock.monotonic_s() + holder._limits.ttl_s

    patch.setattr(LeaseHolder, '_deadline_s', deadline_s)


def skip_fencing_check(patch: pytest.MonkeyPatch) -> None:
    """Send orders that were queued in an earlier term."""

    def check(holder: LeaseHolder, fencing_number: int, now_s: float) -> bool:
        return True

    patch.setattr(LeaseHolder, 'check', check)
    patch.setattr(LeaseHolder, 'may_order', lambda *_: True)


def skip_wait(patch: pytest.MonkeyPatch) -> None:
    """Send at once to engines that ignore fencing numbers."""
    patch.setattr(
        LeaseHolder,
        'may_order',
        lambda holder, checks, now_s: holder.holds(now_s),
    )


def skip_compare(patch: pytest.MonkeyPatch) -> None:
    """Let a claim overwrite that of another process."""
    plain = VirtualStore._swap

    def swap(store: VirtualStore, request):
        store.entries.pop(request.key, None)
        return plain(store, request)

    patch.setattr(VirtualStore, '_swap', swap)


class TestMutations:
    """Show that disabling any mechanism is detected."""

    @pytest.mark.parametrize(
        'mutate',
        [
            skip_deadline,
            count_from_reply,
            skip_fencing_check,
            skip_wait,
            skip_compare,
        ],
    )
    def test_is_detected(
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
        """Never have two holders."""
        walk_all()
