"""Test that a stall of the test process fails no test."""

import time

from tests.system.harness import System

STALL_S = 5.0


class TestStall:
    """Stall all hosts and engines at once."""

    def test_engines_lost_after_stall(self) -> None:
        """Keep serving, as no host has fallen silent for the others.

        Without `SteadyClock`, calls that were open time out together.
        """
        stalls = []
        system = System(
            zones=2,
            source_s=lambda: time.monotonic() + STALL_S * len(stalls),
        )
        system.configure()
        for number in range(30):
            host = system.host_addresses[number % 4]
            outcomes = system.send_chat(host, 'medena-key-2')
            system.tick()
            stalls.append(number)
            assert system.wait(outcomes).status == 200
