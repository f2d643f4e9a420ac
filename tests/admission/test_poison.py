"""Test that poison requests are refused."""

from hypothesis import given, settings, strategies

from bamboodeck.admission.messages import RefusalCode
from bamboodeck.admission.poison import (
    ClearReport,
    CrashReport,
    PoisonGuard,
    PoisonReport,
    RunningSuspect,
)
from bamboodeck.admission.trials import TRIAL_LEASE_S, Trial, TrialLeases

SETTINGS = settings(derandomize=True, max_examples=200, deadline=None)
EXPIRY_S = 50.0
REPORTS = strategies.lists(
    strategies.one_of(
        strategies.builds(
            CrashReport,
            strategies.sampled_from('pq'),
            strategies.sampled_from('ABC'),
            strategies.integers(1, 100),
        ),
        strategies.builds(
            ClearReport,
            strategies.sampled_from('pq'),
            strategies.integers(1, 100),
        ),
    ),
    max_size=12,
)


def is_poison(
    fingerprint: str,
    reports: list[PoisonReport],
    now_s: float,
) -> bool:
    """Decide from the full list of reports."""
    own = [each for each in reports if each.fingerprint == fingerprint]
    cleared_s = max(
        (each.cleared_s for each in own if isinstance(each, ClearReport)),
        default=0,
    )
    hosts = {
        each.host
        for each in own
        if isinstance(each, CrashReport)
        and each.crashed_s > max(cleared_s, now_s - EXPIRY_S)
    }
    return len(hosts) > 1


@SETTINGS
@given(REPORTS, strategies.randoms(use_true_random=False))
def check_against_naive_guard(reports, rng) -> None:
    """Agree in any order, with duplicates, and after a hand-over."""
    shuffled = reports + reports[: len(reports) // 2]
    rng.shuffle(shuffled)
    guard = PoisonGuard(expiry_s=EXPIRY_S)
    for report in shuffled:
        guard.merge([report], 100)
    successor = PoisonGuard(expiry_s=EXPIRY_S)
    successor.merge(guard.reports(100), 100)
    for fingerprint in 'pq':
        expected = is_poison(fingerprint, reports, 100)
        assert bool(guard.check(fingerprint, 100)) == expected
        assert bool(successor.check(fingerprint, 100)) == expected


class TestPoisonGuard:
    """Refuse the poison request, and no other request."""

    def test_crashes_on_two_hosts(self) -> None:
        """Refuse after crashes on two hosts, until they expire."""
        guard = PoisonGuard(expiry_s=EXPIRY_S)
        for host, now_s in (('A', 1), ('B', 2)):
            assert guard.check('p', now_s) is None
            guard.start('p', host)
            guard.crash(host, now_s)
        refused = guard.check('p', 3)
        assert refused is not None
        assert refused.code is RefusalCode.POISON
        assert refused.retry_after_s == 49
        assert guard.check('p', 52) is None

    def test_crashes_of_one_host(self) -> None:
        """Refuse nothing after repeated crashes of the same host."""
        guard = PoisonGuard()
        for now_s in (1, 2, 3):
            guard.start('p', 'A')
            guard.crash('A', now_s)
        assert guard.check('p', 4) is None

    def test_others_are_cleared(self) -> None:
        """Run suspects on separate engines, and clear those that finish."""
        guard = PoisonGuard()
        leases = TrialLeases(opened_s=-TRIAL_LEASE_S)
        for fingerprint in ('p', 'x', 'y'):
            guard.start(fingerprint, 'A')
        guard.crash('A', 1)
        assert guard.crashed_hosts('x') == {'A'}
        assert leases.acquire(Trial('B', 'p', 'host'), 1)
        guard.start('p', 'B')
        assert guard.running_suspects(2) == (RunningSuspect('p', 'B'),)
        assert not leases.acquire(Trial('B', 'x', 'host'), 2)
        assert not guard.is_suspect('new', 2)
        assert leases.acquire(Trial('C', 'x', 'host'), 2)
        guard.start('x', 'C')
        guard.crash('B', 3)
        assert guard.finish('x', 'C', 4) == (ClearReport('x', 4),)
        assert guard.check('p', 5)
        assert not guard.check('x', 5)
        assert not guard.is_suspect('x', 5)

    def test_cancelled_attempt(self) -> None:
        """Suspect only requests in flight at the crash."""
        guard = PoisonGuard()
        guard.start('p', 'A')
        guard.cancel('p', 'A')
        assert not guard.crash('A', 1)

    def test_against_naive_guard(self) -> None:
        """Agree in any order, with duplicates, and after a hand-over."""
        check_against_naive_guard()

    def test_clock_of_another_host(self) -> None:
        """Record by the local clock when a crash was first reported."""
        guard = PoisonGuard()
        for now_s in (100, 101):
            guard.merge([CrashReport('p', 'A', 400)], now_s)
        assert guard.crash_reported_s('p') == 100
        guard.merge([CrashReport('p', 'B', 1)], 102)
        assert guard.crash_reported_s('p') == 102

    def test_memory_is_bounded(self) -> None:
        """Keep the suspects with crashes on the most hosts."""
        guard = PoisonGuard(max_fingerprints=10)
        guard.merge([CrashReport('p', host, 1) for host in 'AB'], 1)
        many = [CrashReport(f'x{index}', 'C', 2) for index in range(100)]
        guard.merge(many, 2)
        assert guard.check('p', 2)
        assert len(guard.reports(2)) == 11

    def test_bounded_reports(self) -> None:
        """Report the suspects with crashes on the most hosts first."""
        guard = PoisonGuard()
        guard.merge([CrashReport(each, 'A', 9) for each in 'xyz'], 9)
        guard.merge([CrashReport('p', host, 1) for host in 'AB'], 9)
        reports = guard.reports(9, max_fingerprints=1)
        assert {each.fingerprint for each in reports} == {'p'}
