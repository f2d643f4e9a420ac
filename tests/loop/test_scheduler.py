"""Test repeated calls of the scheduler."""

import pytest

from bamboodeck.loop.scheduler import Scheduler
from tests.virtual_store import VirtualClock


class TestRepeatedCalls:
    """Repeat a call, whatever became of the one before."""

    def test_repeated_call_lost_after_error(self) -> None:
        """Go on after a callback that raised."""
        clock = VirtualClock(100.0)
        scheduler = Scheduler(clock.read_s)
        calls = []

        def fail_once() -> None:
            calls.append(clock.now_s)
            if len(calls) == 1:
                raise OverflowError

        scheduler.call_every(1.0, fail_once)
        clock.now_s += 1.5
        with pytest.raises(OverflowError):
            scheduler.run_due()
        clock.now_s += 1.0
        scheduler.run_due()
        assert len(calls) == 2
