"""Test that the shares of a fleet-wide limit follow demand."""

import re

from tests.system.harness import System

DESK_KEY = 'medena-key-2'
DESK = 'medena-desk'
LIMIT_PER_S = 12
NODES = 4


def edit(text: str) -> str:
    """Give every customer a low request limit."""
    limit = f'requests_per_s = {LIMIT_PER_S}'
    return re.sub('requests_per_s = .*', limit, text)


def read_share(app) -> float:
    """Return a node's share of the limit of `DESK`."""
    buckets = app.admission._admission._buckets
    return buckets[DESK].requests.rate_per_s


def read_sum(system: System) -> float:
    """Return the sum of the shares of all nodes."""
    return sum(read_share(app) for app in system.entries.values())


class TestLimits:
    """Distribute a limit by demand."""

    def test_share_follows_demand(self) -> None:
        """Shift most of the limit to one node; never exceed it in total.

        Without controllers, the last share stays in force.
        """
        system = System(zones=2)
        system.configure(edit)
        busy = system.entries['host0']
        assert read_share(busy) == LIMIT_PER_S / NODES
        sums = []
        give_up_s = system.now_s() + 30
        while read_share(busy) < 0.7 * LIMIT_PER_S:
            assert system.now_s() < give_up_s, system.log_stream.getvalue()
            system.ask(system.host_addresses[0], DESK_KEY)
            sums.append(read_sum(system))
        assert max(sums) <= LIMIT_PER_S * (1 + 1e-6)
        share = read_share(busy)
        for host in tuple(system.controllers):
            system.kill(f'{host}.controller')
        until_s = system.now_s() + 4
        system.until(lambda: system.now_s() > until_s)
        assert read_share(busy) == share
