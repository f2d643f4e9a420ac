"""Test that suspected requests run on an engine one at a time."""

import random

from hypothesis import given, settings, strategies

from bamboodeck.admission.poison import PoisonGuard
from bamboodeck.admission.trials import (
    TRIAL_LEASE_S,
    Trial,
    TrialLeases,
    choose_arbiter,
)

SETTINGS = settings(derandomize=True, max_examples=200, deadline=None)
TRIALS = strategies.builds(
    Trial,
    strategies.sampled_from('AB'),
    strategies.sampled_from('pqr'),
    strategies.sampled_from(('host0', 'host1')),
)
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(('acquire', 'renew', 'release', 'evict')),
        TRIALS,
        strategies.sampled_from((0.0, 0.5, 1.0, TRIAL_LEASE_S)),
    ),
    max_size=30,
)
HOSTS = 4
ENGINES = 12


class NaiveLeases:
    """Decide from the full history of events."""

    def __init__(self) -> None:
        """Start without events."""
        self.events: list[tuple[float, str, Trial]] = []

    def acquire(self, trial: Trial, now_s: float) -> bool:
        """Refuse while another request holds an unexpired lease."""
        if now_s < TRIAL_LEASE_S:
            return False
        last = {other: (at_s, what) for at_s, what, other in self.events}
        for other, (at_s, what) in last.items():
            if other.engine != trial.engine or what == 'release':
                continue
            if other.fingerprint != trial.fingerprint:
                if now_s < at_s + TRIAL_LEASE_S:
                    return False
        self.events.append((now_s, 'run', trial))
        return True


class Fleet:
    """Run requests from several hosts on engines; no report is lost."""

    def __init__(self, seed: int, *, exclusive: bool = True) -> None:
        """Start the poison request and eight others on the first engine."""
        self.rng = random.Random(seed)
        self.exclusive = exclusive
        self.now_s = 0.0
        self.guards = [PoisonGuard() for _ in range(HOSTS)]
        self.leases = [TrialLeases(-TRIAL_LEASE_S) for _ in range(HOSTS)]
        self.engines = [str(number) for number in range(ENGINES)]
        self.crashed: set[str] = set()
        self.refused: set[str] = set()
        names = ['p', *(f'n{number}' for number in range(8))]
        self.host_of = {name: self.rng.randrange(HOSTS) for name in names}
        self.running = dict.fromkeys(names, '0')
        self.waiting: set[str] = set()
        for name in names:
            self.guards[self.host_of[name]].start(name, '0')

    def run(self) -> None:
        """Let the poison request crash engines until all requests end."""
        while self.running or self.waiting:
            self.now_s += 1
            engine = self.running.get('p')
            if engine is not None and self.rng.random() < 0.5:
                self._crash(engine)
            names = sorted(self.waiting)
            self.rng.shuffle(names)
            for name in names:
                self._retry(name)
            self._finish_some()

    def _crash(self, engine: str) -> None:
        self.crashed.add(engine)
        lost = {name for name, at in self.running.items() if at == engine}
        for guard in self.guards:
            reports = guard.crash(engine, self.now_s)
            for other in self.guards:
                other.merge(reports, self.now_s)
        for name in lost:
            self._end(name)
            self.waiting.add(name)

    def _retry(self, name: str) -> None:
        guard = self.guards[self.host_of[name]]
        if guard.check(name, self.now_s):
            self.waiting.discard(name)
            self.refused.add(name)
            return
        # All hosts prefer the same engine, so their requests compete for it.
        for engine in self.engines:
            if engine not in self.crashed and self._acquire(name, engine):
                guard.start(name, engine)
                self.running[name] = engine
                self.waiting.discard(name)
                return

    def _acquire(self, name: str, engine: str) -> bool:
        if not self.exclusive:
            return True
        arbiter = choose_arbiter(engine, map(str, range(HOSTS)))
        trial = Trial(engine, name, str(self.host_of[name]))
        return self.leases[int(arbiter)].acquire(trial, self.now_s)

    def _finish_some(self) -> None:
        for name in sorted(self.running):
            engine = self.running[name]
            if name != 'p' and engine != '0' and self.rng.random() < 0.3:
                guard = self.guards[self.host_of[name]]
                guard.finish(name, engine, self.now_s)
                self._end(name)
                continue
            arbiter = choose_arbiter(engine, map(str, range(HOSTS)))
            trial = Trial(engine, name, str(self.host_of[name]))
            self.leases[int(arbiter)].renew(trial, self.now_s)

    def _end(self, name: str) -> None:
        engine = self.running.pop(name)
        arbiter = choose_arbiter(engine, map(str, range(HOSTS)))
        trial = Trial(engine, name, str(self.host_of[name]))
        self.leases[int(arbiter)].release(trial)


def check_only_poison_is_refused(*, exclusive: bool = True) -> None:
    """Check for many seeds that only the poison request is refused."""
    for seed in range(60):
        fleet = Fleet(seed, exclusive=exclusive)
        fleet.run()
        assert fleet.refused == {'p'}, seed
        assert len(fleet.crashed) == 2, seed


@SETTINGS
@given(STEPS)
def check_against_naive_leases(steps) -> None:
    """Agree on any order of acquiring, renewing, releasing and expiry."""
    leases, naive = TrialLeases(0.0), NaiveLeases()
    now_s = 0.0
    for kind, trial, pause_s in steps:
        now_s += pause_s
        match kind:
            case 'acquire':
                assert leases.acquire(trial, now_s) == naive.acquire(
                    trial, now_s
                )
            case 'renew':
                leases.renew(trial, now_s)
                naive.events.append((now_s, 'run', trial))
            case 'release':
                leases.release(trial)
                naive.events.append((now_s, 'release', trial))
            case 'evict':
                leases.evict_expired(now_s)


class TestTrialLeases:
    """Lease an engine to one suspected request at a time."""

    def test_against_naive_leases(self) -> None:
        """Agree on any order of acquiring, renewing, releasing and expiry."""
        check_against_naive_leases()

    def test_no_lease_after_restart(self) -> None:
        """Grant no lease until running trials have been reported."""
        leases = TrialLeases(opened_s=10)
        assert not leases.acquire(Trial('A', 'p', 'host'), 12.9)
        leases.renew(Trial('A', 'q', 'host'), 12.9)
        assert not leases.acquire(Trial('A', 'p', 'host'), 13)
        assert leases.acquire(Trial('A', 'p', 'host'), 16)

    def test_arbiter_is_stable(self) -> None:
        """Keep the arbiter when any other node leaves."""
        nodes = [f'host{number}' for number in range(6)]
        for number in range(100):
            engine = f'engine-{number}'
            arbiter = choose_arbiter(engine, nodes)
            assert choose_arbiter(engine, reversed(nodes)) == arbiter
            for left in nodes:
                if left != arbiter:
                    rest = [each for each in nodes if each != left]
                    assert choose_arbiter(engine, rest) == arbiter


class TestSuspectIsolation:
    """Refuse only the poison request, whichever hosts the others came from."""

    def test_only_poison_is_refused(self) -> None:
        """Refuse it after two crashes, and let all other requests finish.

        Without leases, other requests run beside the poison request on the
        second engine and are suspected of both crashes.
        """
        check_only_poison_is_refused()
