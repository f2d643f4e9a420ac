"""Test that versions that become worse are withdrawn."""

import random
from dataclasses import replace

from bamboodeck.rollout.change_detector import ChangeAlarm
from bamboodeck.rollout.state import WithdrawVersion
from bamboodeck.rollout.suspicion import (
    ClearSuspicion,
    NodeSuspicion,
    SuspicionState,
    WarnOfCommonCause,
    judge_suspicion,
)
from bamboodeck.rollout.version_monitor import CommonCause, VersionMonitor
from tests.rollout.trials import Behaviour

GOOD = Behaviour()
BAD = Behaviour(rating=0.6)


def find_first(versions: dict[str, Behaviour], seed: int):
    """Return the first finding on 300 answers of each version."""
    rng = random.Random(seed)
    monitor = VersionMonitor()
    for _ in range(300):
        for version, behaviour in versions.items():
            found = monitor.observe(version, behaviour.draw(rng))
            if found is not None:
                return found
    return None


class TestVersionMonitor:
    """Find a bad version or a common cause."""

    def test_one_bad_version(self) -> None:
        """Raise an alarm for the bad version."""
        for seed in range(10):
            found = find_first({'a': GOOD, 'b': BAD, 'c': GOOD}, seed)
            assert isinstance(found, ChangeAlarm)
            assert found.version == 'b'
            assert found.signal == 'rating'

    def test_biased_ratings(self) -> None:
        """Report a common cause when all versions become worse at once."""
        for seed in range(10):
            found = find_first({'a': BAD, 'b': BAD}, seed)
            assert found == CommonCause('rating', ('a', 'b'))

    def test_forgotten_version(self) -> None:
        """Discard the evidence of a version that is gone or cleared."""
        monitor = VersionMonitor()
        failed = replace(BAD, error_rate=1.0).draw(random.Random(1))
        for _ in range(20):
            found = monitor.observe('a', failed)
        assert isinstance(found, ChangeAlarm)
        monitor.reset('a')
        assert monitor.observe('a', failed) is None
        monitor.retain(frozenset())
        assert monitor.observe('b', failed) is None


class TestSuspicion:
    """Withdraw fleet-wide when several nodes agree."""

    def test_two_nodes_withdraw(self) -> None:
        """Withdraw on the second node, not on a duplicate report."""
        state = SuspicionState()
        first = NodeSuspicion('n1', 'a', 'rating', 10)
        for _ in range(2):
            state, effects = judge_suspicion(state, first, 11)
            assert not effects
        second = NodeSuspicion('n2', 'a', 'rating', 20)
        _, effects = judge_suspicion(state, second, 21)
        reason = 'rating turned bad on 2 nodes'
        assert effects == (WithdrawVersion('', 'a', reason),)

    def test_old_suspicion_lapses(self) -> None:
        """Count only recent suspicions."""
        state = SuspicionState()
        first = NodeSuspicion('n1', 'a', 'rating', 10)
        state, _ = judge_suspicion(state, first, 11)
        second = NodeSuspicion('n2', 'a', 'rating', 700)
        assert not judge_suspicion(state, second, 701)[1]

    def test_two_versions_withdraw_nothing(self) -> None:
        """Warn the operators of a common cause."""
        state = SuspicionState()
        for node, version in (('n1', 'a'), ('n2', 'b'), ('n3', 'a')):
            message = NodeSuspicion(node, version, 'rating', 10)
            state, effects = judge_suspicion(state, message, 11)
        assert effects == (WarnOfCommonCause('rating', ('a', 'b')),)
        state, _ = judge_suspicion(state, ClearSuspicion('b'), 12)
        message = NodeSuspicion('n4', 'a', 'rating', 12)
        _, effects = judge_suspicion(state, message, 12)
        assert isinstance(effects[0], WithdrawVersion)
