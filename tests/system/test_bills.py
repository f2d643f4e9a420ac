"""Test that each answer is billed once, whichever process is killed."""

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


def ask(system: System, host, request_id: str) -> None:
    """Send a chat with a request id and check that it succeeds."""
    answer = system.ask(host, DESK, headers={'X-Request-Id': request_id})
    assert answer.status == 200, answer.body


class TestKilledProcesses:
    """Kill entry and controller processes."""

    def test_entry_killed_after_its_answer(self, system: System) -> None:
        """Keep the replicated bill; a retry does not add one.

        Fails if an answer is sent before another host holds its bill.
        """
        ask(system, system.host_addresses[0], 'r1')
        system.kill('host0.entry')
        system.start_entry(system.host_addresses[0])
        system.until(system.entries['host0'].is_ready)
        ask(system, system.host_addresses[3], 'r1')
        ask(system, system.host_addresses[0], 'r2')
        system.wait_for_bills({'medena-desk': 2})

    def test_controller_killed_in_an_outage(self, system: System) -> None:
        """Resend the bills that the killed controller held."""
        system.cut_from_platform(system.host_addresses[0].zone)
        for number in range(5):
            ask(system, system.host_addresses[0], f'r{number}')
        system.kill('host1.controller')
        system.start_controller(system.host_addresses[1])
        system.run_for(1)
        system.rejoin_platform(system.host_addresses[0].zone)
        system.wait_for_bills({'medena-desk': 5})

    def test_entry_killed_and_controller_stopped(self, system: System) -> None:
        """Hand over the bills of a killed entry process during an outage.

        Fails if `ControllerBills.hand_over` does not copy.
        """
        zone = system.host_addresses[0].zone
        system.cut_from_platform(zone)
        for number in range(5):
            ask(system, system.host_addresses[0], f'r{number}')
        system.kill('host0.entry')
        system.stop('host1.controller')
        system.start_controller(system.host_addresses[1])
        system.start_entry(system.host_addresses[0])
        system.until(system.entries['host0'].is_ready)
        system.rejoin_platform(zone)
        system.wait_for_bills({'medena-desk': 5})

    def test_answers_of_the_key_value_service_lost(self, system) -> None:
        """Retry the fold without duplicating a bill."""
        lost = {'fault': 'lose_answers', 'probability': 0.5, 'for_s': 2}
        system.inject_fault(system.store, lost)
        for number in range(10):
            ask(system, system.host_addresses[number % 4], f'r{number}')
        system.wait_for_bills({'medena-desk': 10})

    def test_cut_zone_heals(self, system: System) -> None:
        """Bill a request once that ran on both sides of a partition."""
        zone = system.host_addresses[2].zone
        system.cut_from_platform(zone)
        system.cut_from_peers.add(zone)
        for host in system.host_addresses:
            ask(system, host, 'same')
            ask(system, host, f'by-{host.name}')
        system.cut_from_peers.clear()
        system.rejoin_platform(zone)
        system.wait_for_bills({'medena-desk': 5})


class TestBillLines:
    """Compare bills with answers and with the generated tokens."""

    def test_tokens_and_prices(self, system: System) -> None:
        """Bill the tokens that callers received and engines generated."""
        received = 0
        for number in range(12):
            answer = system.ask(
                system.host_addresses[number % 4],
                'school-key-1',
                max_tokens=5 + number,
                model='medium@1',
            )
            usage = msgspec.json.decode(answer.body)['usage']
            received += usage['completion_tokens']
        generated = sum(each.batch.token_count for each in system.engines)
        system.wait_for_bills({'school-board': 12})
        reply = system.call_admin('GET', '/admin/v1/bills')
        report = msgspec.json.decode(reply.body)
        billed = sum(row['output_tokens'] for row in report['bills'])
        assert billed == received == generated
