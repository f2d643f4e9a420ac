"""Test that a leaving backend server gets no new work."""

import re

from tests.system.harness import System

CHOSEN = re.compile(r'route_decided .*engine=(\S+)')
LATER_REPORTS_S = 2.5


def set_state(system: System, number: int, state: str) -> None:
    """Change the listed state of an engine and wait until a node knows it."""
    order = {'fault': 'set_state', 'name': f'engine-{number}', 'state': state}
    system.inject_fault(system.host_list, order)
    address = str(system.engines[number].stand_in.address)
    leaving = system.entries['host0'].leaving
    system.until(
        lambda: (address in leaving.addresses) == (state == 'leaving'),
    )


def list_chosen(system: System) -> set[str]:
    """Send requests that both engines can run; return the chosen engines."""
    since = len(system.log_stream.getvalue())
    for _ in range(6):
        answer = system.ask(system.host_addresses[0], 'medena-key-2')
        assert answer.status == 200
    return set(CHOSEN.findall(system.log_stream.getvalue()[since:]))


class TestHostList:
    """Apply the host list although the load reports are silent on it."""

    def test_listed_engine_gets_no_new_work_until_it_is_live(self) -> None:
        """Move all work away, and back when the two states are swapped."""
        system = System(zones=1)
        system.configure()
        set_state(system, 1, 'leaving')
        assert list_chosen(system) == {'flanders-1'}
        # Later load reports must not bring the engine back.
        scheduler = system.entries['host0'].loop.scheduler
        end_s = scheduler.now_s() + LATER_REPORTS_S
        system.until(lambda: scheduler.now_s() > end_s)
        assert list_chosen(system) == {'flanders-1'}
        set_state(system, 1, 'live')
        set_state(system, 0, 'leaving')
        assert list_chosen(system) == {'flanders-2'}
