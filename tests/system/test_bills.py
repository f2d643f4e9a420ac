"""Test that each answer is billed once, whoever is killed."""

import msgspec
import pytest

from tests.system.harness import System

DESK = 'medena-key-2'


@pytest.fixture
def system() -> System:
    """Start two zones with two hosts each."""
    built = System(zones=2)
    built.configure()
    return built


def ask(system: System, place, request_id: str) -> None:
    """Ask under a request id and see the answer."""
    answer = system.ask(place, DESK, headers={'X-Request-Id': request_id})
    assert answer.status == 200, answer.body


class TestKilledProcesses:
    """Kill one host's process after the other."""

    def test_entry_killed_after_its_answer(self, system: System) -> None:
        """Keep the bill that another host holds; a retry adds none.

        Fails if an answer goes out before its bill is held.
        """
        ask(system, system.places[0], 'r1')
        system.kill('host0.entry')
        system.start_entry(system.places[0])
        system.until(system.entries['host0'].is_ready)
        ask(system, system.places[3], 'r1')
        ask(system, system.places[0], 'r2')
        system.wait_for_bills({'medena-desk': 2})

    def test_controller_killed_in_an_outage(self, system: System) -> None:
        """Send again what the controller held."""
        system.cut_from_platform(system.places[0].zone)
        for number in range(5):
            ask(system, system.places[0], f'r{number}')
        system.kill('host1.controller')
        system.start_controller(system.places[1])
        system.pass_time(1)
        system.join_platform(system.places[0].zone)
        system.wait_for_bills({'medena-desk': 5})

    def test_entry_killed_and_controller_stopped(self, system: System) -> None:
        """Hand over the bills of a dead process in an outage.

        Fails if `ControllerBills.hand_over` does not copy.
        """
        zone = system.places[0].zone
        system.cut_from_platform(zone)
        for number in range(5):
            ask(system, system.places[0], f'r{number}')
        system.kill('host0.entry')
        system.stop('host1.controller')
        system.start_controller(system.places[1])
        system.start_entry(system.places[0])
        system.until(system.entries['host0'].is_ready)
        system.join_platform(zone)
        system.wait_for_bills({'medena-desk': 5})

    def test_answers_of_the_key_value_service_lost(self, system) -> None:
        """Fold again without a doubled bill."""
        lost = {'fault': 'lose_answers', 'probability': 0.5, 'for_s': 2}
        system.control(system.store, lost)
        for number in range(10):
            ask(system, system.places[number % 4], f'r{number}')
        system.wait_for_bills({'medena-desk': 10})

    def test_cut_zone_heals(self, system: System) -> None:
        """Bill once what was asked on both sides of a cut."""
        zone = system.places[2].zone
        system.cut_from_platform(zone)
        system.cut_from_peers.add(zone)
        for place in system.places:
            ask(system, place, 'same')
            ask(system, place, f'by-{place.host}')
        system.cut_from_peers.clear()
        system.join_platform(zone)
        system.wait_for_bills({'medena-desk': 5})


class TestBillLines:
    """Compare bills with answers and with what the engines generated."""

    def test_tokens_and_prices(self, system: System) -> None:
        """Bill what callers received; the cost is what engines generated."""
        received = 0
        for number in range(12):
            answer = system.ask(
                system.places[number % 4],
                'school-key-1',
                max_tokens=5 + number,
                model='medium@1',
            )
            usage = msgspec.json.decode(answer.body)['usage']
            received += usage['completion_tokens']
        generated = sum(each.batch.token_count for each in system.engines)
        system.wait_for_bills({'school-board': 12})
        reply = system.operate('GET', '/admin/v1/bills')
        report = msgspec.json.decode(reply.body)
        billed = sum(row['output_tokens'] for row in report['bills'])
        assert billed == received == generated
