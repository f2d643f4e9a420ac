"""Simulate roll-outs; `python -m tests.rollout.trials` prints the figures."""

import random
import statistics
from dataclasses import dataclass, replace
from types import MappingProxyType

from bamboodeck.rollout.change_detector import ChangeDetector
from bamboodeck.rollout.evidence import AnswerOutcome, Reference
from bamboodeck.rollout.sequential import (
    Advance,
    Halt,
    SequentialTest,
    TestState,
    Verdict,
)

BASELINE = Reference(0.9, error_rate=0.005, slow_rate=0.05, shortfall=0.043)
BINARY_BASELINE = replace(BASELINE, shortfall=0.1045)
MAX_ANSWERS = 1500


@dataclass(frozen=True)
class Behaviour:
    """Describe the distribution of a version's answers."""

    rating: float = 0.9
    error_rate: float = 0.005
    slow_rate: float = 0.05
    binary: bool = False

    def draw(self, rng: random.Random) -> AnswerOutcome:
        """Draw one answer."""
        failed = rng.random() < self.error_rate
        slow = rng.random() < self.slow_rate
        reference = BINARY_BASELINE if self.binary else BASELINE
        if failed:
            return AnswerOutcome(reference, None, failed=True)
        if self.binary:
            rating = float(rng.random() < self.rating)
        else:
            rating = rng.betavariate(10 * self.rating, 10 * (1 - self.rating))
        return AnswerOutcome(reference, rating, slow=slow)


BEHAVIOURS = MappingProxyType(
    {
        'good': Behaviour(),
        'good, yes/no ratings': Behaviour(binary=True),
        'good, at the tolerated margins': Behaviour(
            0.88, 0.015, 0.1, binary=True
        ),
        'rating 0.9 -> 0.5': Behaviour(rating=0.5),
        'rating 0.9 -> 0.7': Behaviour(rating=0.7),
        'rating 0.9 -> 0.8': Behaviour(rating=0.8),
        'one in five fails': Behaviour(error_rate=0.2),
        'half are slow': Behaviour(slow_rate=0.5),
    }
)


def judge_until(
    behaviour: Behaviour,
    rng: random.Random,
    ends_on: type[Verdict],
    max_answers: int = MAX_ANSWERS,
) -> int | None:
    """Return the answers until the verdict, or None without it."""
    test = SequentialTest()
    state = TestState()
    for answers in range(1, max_answers + 1):
        state = test.observe(state, behaviour.draw(rng))
        if isinstance(test.judge(state), ends_on):
            return answers
    return None


def count_false_halts(behaviour: Behaviour, runs: int, max_answers: int) -> int:
    """Count the halts of a version that is judged after each answer."""
    halts = 0
    for seed in range(runs):
        rng = random.Random(seed)
        halts += judge_until(behaviour, rng, Halt, max_answers) is not None
    return halts


def detect_change(behaviour: Behaviour, rng: random.Random) -> int | None:
    """Return the answers from the change to the alarm, after 500 good ones."""
    detector = ChangeDetector('plan@1')
    for _ in range(500):
        if detector.observe(Behaviour().draw(rng)):
            return None
    for answers in range(1, MAX_ANSWERS):
        if detector.observe(behaviour.draw(rng)):
            return answers
    return None


def _describe(found: list[int | None]) -> str:
    counts = sorted(each for each in found if each is not None)
    if not counts:
        return f'none of {len(found)}'
    return (
        f'{len(counts)} of {len(found)}, median '
        f'{statistics.median(counts):.0f}, worst {counts[-1]}'
    )


def main() -> None:
    """Print false halts, answers until a halt, an advance and an alarm."""
    for name, behaviour in BEHAVIOURS.items():
        if name.startswith('good'):
            halts = count_false_halts(behaviour, 1000, MAX_ANSWERS)
            print(f'{name}: {halts} false halts in 1000')  # noqa: WPS421
            advances = [
                judge_until(behaviour, random.Random(seed), Advance)
                for seed in range(100)
            ]
            print(f'{name}: advances {_describe(advances)}')  # noqa: WPS421
            continue
        halted = [
            judge_until(behaviour, random.Random(seed), Halt)
            for seed in range(200)
        ]
        print(f'{name}: halts {_describe(halted)}')  # noqa: WPS421
        alarms = [
            detect_change(behaviour, random.Random(seed)) for seed in range(50)
        ]
        print(f'{name}: alarms {_describe(alarms)}')  # noqa: WPS421


if __name__ == '__main__':
    main()
