"""Test that stopping processes get no new work and finish what runs."""

import pytest

from tests.system.harness import System

DESK = 'medena-key-2'
LEAVING_BOUND_S = 3.0


@pytest.fixture
def system() -> System:
    """Start two zones with two hosts each."""
    built = System(zones=2)
    built.configure()
    return built


def send_streams(system: System, host, count: int, tokens: int = 100):
    """Send streamed requests and wait until all are running."""
    sent = [
        system.send_chat(
            host,
            DESK,
            stream=True,
            max_tokens=tokens,
            text=f'Question {number} on {host.name}',
        )
        for number in range(count)
    ]
    server = system.entries[host.name].server
    system.until(lambda: server.active_count >= count)
    return sent


def assert_whole(system: System, sent) -> None:
    """Wait for streamed answers and check that each is complete."""
    for each in sent:
        answer = system.wait(each)
        assert answer.status == 200, answer
        assert answer.body.endswith(b'data: [DONE]\n\n'), answer


class TestLeavingEngine:
    """Route no new work to a leaving engine."""

    def test_no_new_work_although_the_list_lags(self, system: System) -> None:
        """Finish running requests and route new ones elsewhere."""
        leaving = system.engines[0]
        sent = send_streams(system, system.host_addresses[0], 8, 300)
        system.inject_fault(leaving, {'fault': 'leaving'})
        system.run_for(LEAVING_BOUND_S)
        before = len(leaving.record.requests)
        calls = leaving.stand_in.calls
        chat_calls = calls['POST /v1/chat/completions']
        for number in range(20):
            answer = system.ask(system.host_addresses[number % 4], DESK)
            assert answer.status == 200, answer.body
        assert len(leaving.record.requests) == before
        assert calls['POST /v1/chat/completions'] == chat_calls
        assert_whole(system, sent)


class TestStoppedProcess:
    """Stop processes gracefully under load."""

    def test_entry_process(self, system: System) -> None:
        """Finish every stream and bill each once."""
        host = system.host_addresses[0]
        sent = send_streams(system, host, 10)
        system.stop(f'{host.name}.entry')
        assert_whole(system, sent)
        stopped = 'event=process_stopped'
        shown = system.log_stream.getvalue()
        assert 'cut_off_requests=0' in shown or '"cut_off_requests": 0' in shown
        assert stopped in shown or '"process_stopped"' in shown
        system.start_entry(host)
        system.until(system.entries[host.name].is_ready)
        system.wait_for_bills({'medena-desk': 10})

    def test_entry_process_in_an_outage(self, system: System) -> None:
        """Lose no bill while the key-value service is unreachable."""
        host = system.host_addresses[0]
        system.cut_from_platform(host.zone)
        sent = send_streams(system, host, 10)
        system.stop(f'{host.name}.entry')
        assert_whole(system, sent)
        system.rejoin_platform(host.zone)
        system.start_entry(host)
        system.until(system.entries[host.name].is_ready)
        system.wait_for_bills({'medena-desk': 10})

    def test_rolling_restart(self, system: System) -> None:
        """Lose and duplicate no answer or bill while all hosts restart."""
        sent = []
        for host in system.host_addresses:
            sent.extend(send_streams(system, host, 5))
            system.restart(host)
        assert_whole(system, sent)
        system.wait_for_bills({'medena-desk': 20})
