"""Run a state machine with steps that depend on a seed alone.

The steps that Hypothesis chooses also depend on the loaded modules. Tests that
a mutation is detected need the same steps on every run.
"""

import random
from collections.abc import Mapping, Sequence
from typing import Any

from hypothesis.stateful import RuleBasedStateMachine

Choices = Mapping[str, Sequence[Any]]


def walk(
    machine_type: type[RuleBasedStateMachine],
    steps: Mapping[str, Choices],
    seed: int,
    count: int,
) -> None:
    """Run `count` random steps of a machine from a seed."""
    rng = random.Random(seed)
    machine = machine_type()
    machine.start(seed=seed)
    names = list(steps)
    for _ in range(count):
        name = rng.choice(names)
        chosen = {
            argument: rng.choice(choices)
            for argument, choices in steps[name].items()
        }
        getattr(machine, name)(**chosen)
        machine.check_now()
    machine.teardown()
