"""Test requests end to end, from a caller to an engine and back."""

import msgspec
import pytest

from tests.system.harness import System, build_order_key

SESSION = 'X-Bamboodeck-Session'


@pytest.fixture(scope='module')
def system() -> System:
    """Start two zones with two hosts each."""
    built = System(zones=2)
    built.configure()
    return built


class TestChat:
    """Answer chat completions."""

    def test_whole_answer_names_its_version(self, system: System) -> None:
        """Return usage and the version that ran."""
        answer = system.ask(system.host_addresses[0], 'school-key-1')
        body = msgspec.json.decode(answer.body)
        assert answer.status == 200
        assert body['model'] in {'medium@1', 'large@2'}
        assert body['usage']['completion_tokens'] == 12

    def test_streamed_answer_ends_with_usage_and_done(self, system) -> None:
        """Stream events and finish with the end marker."""
        answer = system.ask(
            system.host_addresses[1], 'medena-key-2', stream=True
        )
        events = answer.body.decode().split('\n\n')
        assert events[-2] == 'data: [DONE]'
        assert '"usage"' in events[-3]
        chunks = [
            msgspec.json.decode(event.removeprefix('data: '))
            for event in events[:-2]
        ]
        text = ''.join(
            chunk['choices'][0]['delta'].get('content', '') for chunk in chunks
        )
        assert len(text.split()) == 12

    def test_unknown_key_is_refused(self, system: System) -> None:
        """Answer that the request did not run."""
        answer = system.ask(system.host_addresses[0], 'stranger')
        error = msgspec.json.decode(answer.body)['error']
        assert answer.status == 401
        assert error['run'] == 'not-run'

    def test_version_that_is_not_allowed(self, system: System) -> None:
        """Refuse a model that the customer may not use."""
        answer = system.ask(
            system.host_addresses[0],
            'medena-key-2',
            model='large@2',
        )
        assert answer.status == 403

    def test_session_keeps_its_version_in_another_zone(self, system) -> None:
        """Accept the token on a host of another zone."""
        first = system.ask(
            system.host_addresses[0],
            'school-key-1',
            headers={SESSION: 'new'},
            model='medium@1',
        )
        headers = {each.name: each.text for each in first.headers}
        second = system.ask(
            system.host_addresses[3],
            'school-key-1',
            headers={SESSION: headers[SESSION]},
        )
        assert msgspec.json.decode(second.body)['model'] == 'medium@1'

    def test_foreign_session_is_refused(self, system: System) -> None:
        """Refuse a token of another customer."""
        first = system.ask(
            system.host_addresses[0],
            'school-key-1',
            headers={SESSION: 'new'},
        )
        headers = {each.name: each.text for each in first.headers}
        second = system.ask(
            system.host_addresses[0],
            'school-key-2',
            headers={SESSION: headers[SESSION]},
        )
        assert second.status == 403


class TestOrders:
    """Run non-idempotent calls at most once."""

    def test_retry_through_another_zone(self, system: System) -> None:
        """Run once and replay the outcome or refuse the retry."""
        key = build_order_key()
        first = system.pay(system.host_addresses[0], key)
        assert first.status == 200
        second = system.pay(system.host_addresses[3], key)
        assert second.status in {200, 409}
        assert system.count_runs(key) == 1

    def test_two_at_once(self, system: System) -> None:
        """Run one of two concurrent calls in two zones."""
        key = build_order_key()
        headers = {
            'Authorization': 'Bearer school-key-1',
            'Idempotency-Key': key,
        }
        path = '/v1/services/orders/take-payment'
        sent = [
            system.send(host.callers, 'POST', path, {'a': 1}, headers)
            for host in (system.host_addresses[0], system.host_addresses[3])
        ]
        statuses = sorted(system.wait(each).status for each in sent)
        assert statuses == [200, 409]
        assert system.count_runs(key) == 1

    def test_missing_key_does_not_run(self, system: System) -> None:
        """Refuse a payment without a key."""
        answer = system.pay(system.host_addresses[0], '')
        error = msgspec.json.decode(answer.body)['error']
        assert (answer.status, error['run']) == (400, 'not-run')


class TestBills:
    """Bill each answered request once."""

    def test_bills_reach_the_store(self, system: System) -> None:
        """Bill a repeated request once."""
        headers = {'X-Request-Id': 'billed-once'}
        for host in (system.host_addresses[0], system.host_addresses[2]):
            answer = system.ask(host, 'medena-key-2', headers=headers)
            assert answer.status == 200

        def count() -> int:
            reply = system.call_admin('GET', '/admin/v1/bills')
            rows = msgspec.json.decode(reply.body)['bills']
            return sum(
                row['requests']
                for row in rows
                if row['customer'] == 'medena-desk'
            )

        # One bill is from the streaming test, one from the repeated request.
        system.until(lambda: count() >= 2)
        assert count() == 2
