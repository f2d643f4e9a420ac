"""Test the sequential test and the change detector."""

import random

from bamboodeck.rollout.evidence import (
    AnswerOutcome,
    Reference,
    pair_outcome,
)
from bamboodeck.rollout.sequential import (
    Advance,
    Continue,
    Halt,
    SequentialTest,
    TestState,
)
from tests.rollout.trials import (
    BEHAVIOURS,
    Behaviour,
    count_false_halts,
    detect_change,
    judge_until,
)


class TestSequentialVerdict:
    """Check the verdict after every answer."""

    def test_no_answer_no_verdict(self) -> None:
        """Continue without evidence."""
        assert SequentialTest().judge(TestState()) == Continue()

    def test_good_versions_are_rarely_halted(self) -> None:
        """Keep the rate of false halts at the tolerated margins."""
        behaviour = BEHAVIOURS['good, at the tolerated margins']
        assert count_false_halts(behaviour, 1000, 200) <= 10

    def test_bad_versions_are_halted(self) -> None:
        """Halt each kind of bad version and name the signal."""
        for name, behaviour in BEHAVIOURS.items():
            if name.startswith('good'):
                continue
            assert judge_until(behaviour, random.Random(1), Halt), name

    def test_signal_is_named(self) -> None:
        """Name the errors as signal if every answer fails."""
        test, state = SequentialTest(), TestState()
        outcome = AnswerOutcome(Reference(0.9, 0.01, 0.05), None, failed=True)
        for _ in range(3):
            state = test.observe(state, outcome)
        verdict = test.judge(state)
        assert isinstance(verdict, Halt)
        assert verdict.signal == 'errors'

    def test_good_version_advances(self) -> None:
        """Advance a version that is shown not to be harmful."""
        assert judge_until(Behaviour(), random.Random(2), Advance)

    def test_harmful_versions_rarely_advance(self) -> None:
        """Keep the rate of false advances at the harmful margin."""
        behaviour = Behaviour(rating=0.8, binary=True)
        advanced = [
            judge_until(behaviour, random.Random(seed), Advance, 300)
            for seed in range(100)
        ]
        assert sum(each is not None for each in advanced) <= 5

    def test_bias_cancels_against_a_control(self) -> None:
        """Halt no version when the rating service rates all answers low."""
        test, state = SequentialTest(), TestState()
        reference = Reference(0.9, 0.005, 0.05)
        rng = random.Random(3)
        for _ in range(300):
            candidate = AnswerOutcome(reference, rng.uniform(0.4, 0.6))
            control = AnswerOutcome(reference, rng.uniform(0.4, 0.6))
            state = test.observe(state, pair_outcome(candidate, control))
        assert not isinstance(test.judge(state), Halt)


class TestChangeDetector:
    """Detect a steady version that becomes worse."""

    def test_change_is_found_soon(self) -> None:
        """Raise an alarm after a change, and none before."""
        for seed in range(10):
            answers = detect_change(Behaviour(rating=0.5), random.Random(seed))
            assert answers is not None
            assert answers < 100
