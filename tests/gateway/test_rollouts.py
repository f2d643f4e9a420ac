"""Test the detection of bad versions, and the steps of roll-outs."""

from random import Random

import pytest

from bamboodeck.gateway.rollouts import (
    INITIAL_SLOW_RATIO,
    SLOW_QUANTILE,
    AnswerCounts,
    SlowRatio,
    VersionChoice,
    choose_version,
    is_bad,
    is_complete,
    is_in_share,
    share_at,
    step_due,
)

ENGINES = tuple(f'engine-{number}' for number in range(5))


def count_until_bad(
    seed: int,
    failure_rate: float,
    slow_rate: float,
    answers: int,
) -> int | None:
    """Return the number of answers until a version is found bad, if ever."""
    random = Random(seed)
    old = AnswerCounts(500, 5, 75)
    new: dict[str, AnswerCounts] = {}
    for number in range(answers):
        engine = random.choice(ENGINES)
        known = new.get(engine, AnswerCounts())
        new[engine] = AnswerCounts(
            known.answers + 1,
            known.failed + (random.random() < failure_rate),
            known.slow + (random.random() < slow_rate),
        )
        if is_bad(new, old):
            return number + 1
    return None


class TestBadVersions:
    """Detect a bad version after few answers."""

    @pytest.mark.parametrize('seed', range(20))
    def test_failing(self, seed: int) -> None:
        """Detect a version that fails a third of its requests."""
        found = count_until_bad(seed, 0.33, 0.15, answers=200)
        assert found is not None
        assert found <= 60

    @pytest.mark.parametrize('seed', range(20))
    def test_slow(self, seed: int) -> None:
        """Detect a version with more than half of its answers slow."""
        found = count_until_bad(seed, 0.01, 0.57, answers=400)
        assert found is not None
        assert found <= 120

    def test_good(self) -> None:
        """Stop few good versions although every answer is tested."""
        stopped = [
            seed
            for seed in range(200)
            if count_until_bad(seed, 0.01, 0.15, answers=500) is not None
        ]
        assert len(stopped) <= 4

    def test_one_engine(self) -> None:
        """Don't attribute the failures of one engine to the version."""
        old = AnswerCounts(500, 5, 75)
        new = {engine: AnswerCounts(20, 0, 3) for engine in ENGINES}
        new['engine-0'] = AnswerCounts(40, 40, 0)
        assert not is_bad(new, old)

    def test_everything_fails(self) -> None:
        """Don't attribute failures that the old version has as well."""
        old = AnswerCounts(500, 200, 75)
        new = {engine: AnswerCounts(20, 8, 3) for engine in ENGINES}
        assert not is_bad(new, old)


class TestSlowRatio:
    """Learn what counts as slow."""

    def test_quantile(self) -> None:
        """Converge to the quantile of slow answers."""
        random = Random(2)
        slow = SlowRatio()
        assert slow.ratio == INITIAL_SLOW_RATIO
        ratios = [random.lognormvariate(0, 0.5) for _ in range(4000)]
        for ratio in ratios[:2000]:
            slow.add(ratio)
        below = sum(ratio <= slow.ratio for ratio in ratios) / len(ratios)
        assert abs(below - SLOW_QUANTILE) < 0.07


class TestSteps:
    """Move sessions by steps, most of them in the second half."""

    def test_first_half(self) -> None:
        """Expose a small share in the first half."""
        shares = [share_at(step_due(float(at_s), 24.0)) for at_s in range(13)]
        assert max(shares) <= 0.1

    def test_whole(self) -> None:
        """Move all sessions some time before completion."""
        assert share_at(step_due(17.0, 24.0)) == 1.0
        assert not is_complete(3, 17.0, 24.0)
        assert is_complete(3, 22.0, 24.0)
        assert not is_complete(2, 30.0, 24.0)

    def test_share(self) -> None:
        """Keep all members of the share when it grows."""
        keys = [f'session-{number}' for number in range(3000)]
        few = {key for key in keys if is_in_share(key, 'v2', 0.08)}
        more = {key for key in keys if is_in_share(key, 'v2', 0.3)}
        assert few < more
        assert 0.06 < len(few) / len(keys) < 0.1


class TestVersionChoice:
    """Keep sessions on their version."""

    def choose(self, pinned: str | None, *, share: float, late: bool):
        """Choose for a session between the first version and the second."""
        return choose_version(
            'v2',
            share=share,
            key='session',
            pinned=pinned,
            may_switch=late,
        )

    def test_pinned_to_new(self) -> None:
        """Keep a session on the new version, whatever the share."""
        chosen = self.choose('v2', share=0.0, late=True)
        assert chosen == VersionChoice(only='v2')

    def test_pinned_to_old(self) -> None:
        """Keep a session on the old version in the first half."""
        chosen = self.choose('v1', share=1.0, late=False)
        assert chosen == VersionChoice(excluded='v2', strict=True)

    def test_changing_over(self) -> None:
        """Move a session in the second half once it is in the share."""
        assert self.choose('v1', share=1.0, late=True).only == 'v2'
        assert self.choose('v1', share=0.0, late=True).excluded == 'v2'
