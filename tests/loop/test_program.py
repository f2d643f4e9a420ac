"""Test the event loop of a program."""

from bamboodeck.environment import Environment
from bamboodeck.loop.program import Loop

LATER_S = 2.0


class TestFinish:
    """End the loop."""

    def test_scheduled_finish_waits_for_no_later_call(self) -> None:
        """End immediately, not when the next scheduled call is due."""
        loop = Loop(Environment())
        later: list[str] = []
        loop.scheduler.call_after(LATER_S, lambda: later.append('ran'))
        loop.scheduler.call_after(0, loop.finish)
        loop.run()
        assert loop.scheduler.run_due() is not None
        assert not later
