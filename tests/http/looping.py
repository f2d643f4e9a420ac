"""Run an event loop inside a test until a condition holds."""

import time
from collections.abc import Callable

from bamboodeck.environment import Environment
from bamboodeck.loop.program import Loop

TIMEOUT_S = 20.0


def build_loop(environment: Environment | None = None) -> Loop:
    """Build a loop whose iterations are run by the test."""
    loop = Loop(environment or Environment())
    loop._running = True
    loop.tick(0)
    return loop


def run_until(loop: Loop, condition: Callable[[], bool]) -> None:
    """Run the loop until the condition holds."""
    deadline_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s, (
            f'condition not met within {TIMEOUT_S} s'
        )
        loop.tick(0.01)
