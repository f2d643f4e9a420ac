"""Test that a stall of the test process isn't counted."""

import pytest

from tests.steady_clock import MAX_STEP_S, SteadyClock


class TestSteadyClock:
    """Read a clock that follows another one."""

    def test_short_steps(self) -> None:
        """Follow the other clock."""
        times_s = iter((5.0, 5.02, 5.05, 5.05))
        clock = SteadyClock(lambda: next(times_s))
        readings_s = [clock.read_s() for _ in range(3)]
        assert readings_s == pytest.approx([5.02, 5.05, 5.05])

    def test_stall(self) -> None:
        """Count only the longest step of a stall."""
        times_s = iter((5.0, 65.0, 65.01))
        clock = SteadyClock(lambda: next(times_s))
        readings_s = [clock.read_s() for _ in range(2)]
        expected_s = 5 + MAX_STEP_S
        assert readings_s == pytest.approx([expected_s, expected_s + 0.01])
