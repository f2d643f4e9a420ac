"""Test that payments run at most once despite failures."""

from dataclasses import replace

import pytest

from bamboodeck.http.messages import HttpFailed
from tests.system.harness import System, build_order_key, read_error


@pytest.fixture(scope='module')
def system() -> System:
    """Start two zones with two hosts each."""
    built = System(zones=2)
    built.configure()
    return built


class TestRefusedRetry:
    """Refuse a retry before its intent is looked up."""

    def pay_first(self, system: System) -> str:
        """Pay on the first host and return the key."""
        key = build_order_key()
        assert system.pay(system.host_addresses[0], key).status == 200
        return key

    def check(self, system: System, key: str, refused, code: str) -> None:
        """Check the run state "unknown": the first attempt ran elsewhere."""
        assert read_error(refused)['code'] == code
        assert read_error(refused)['run'] == 'unknown'
        assert system.count_runs(key) == 1

    def test_host_without_configuration(self, system, monkeypatch) -> None:
        """Do not answer "not-run" on a host that has just started.

        A host without a configuration answered "not-run" to the retry of a
        payment that had run on another host; a long run found this.
        """
        key = self.pay_first(system)
        host = system.host_addresses[1]
        replica = system.entries[host.name].replica
        monkeypatch.setattr(replica, 'is_ready', lambda now_s: False)
        self.check(system, key, system.pay(host, key), 'no_configuration')

    def test_key_of_no_customer(self, system: System) -> None:
        """Do not answer "not-run" on a stale host without the API key."""
        key = self.pay_first(system)
        refused = system.call(
            system.host_addresses[1].callers,
            'POST',
            '/v1/services/orders/take-payment',
            {'amount_cents': 100},
            {'Authorization': 'Bearer other', 'Idempotency-Key': key},
        )
        self.check(system, key, refused, 'invalid_api_key')


class TestKilledEntry:
    """Kill the entry process that runs a payment."""

    def kill_at_dispatch(self, system: System, host, key: str) -> None:
        """Kill the process between the intent and the dispatch."""
        system.entries[host.name].orders.check_dispatch = lambda ticket: (
            system.kill(f'{host.name}.entry')
        )
        outcome = system.wait(system.send_payment(host, key))
        assert isinstance(outcome, HttpFailed)
        system.start_entry(host)
        system.until(system.entries[host.name].is_ready)

    def test_before_dispatch(self, system: System) -> None:
        """Answer the retry with "unknown" and run nothing."""
        key = build_order_key()
        self.kill_at_dispatch(system, system.host_addresses[0], key)
        for host in (system.host_addresses[3], system.host_addresses[0]):
            retried = system.pay(host, key)
            assert retried.status == 409
            assert read_error(retried)['run'] == 'unknown'
        assert system.count_runs(key) == 0

    def test_after_dispatch(self, system: System) -> None:
        """Run once and answer the retry with "unknown".

        Without the stored intent, the retry runs a second time.
        """
        key = build_order_key()
        host = system.host_addresses[1]
        system.inject_fault(system.orders, {'fault': 'slow', 'delay_ms': 100})
        sent = system.send_payment(host, key)
        arrived = system.orders.stand_in.server
        system.until(lambda: arrived.active_count > 0)
        system.kill(f'{host.name}.entry')
        system.until(lambda: system.count_runs(key) == 1)
        assert isinstance(system.wait(sent), HttpFailed)
        system.inject_fault(system.orders, {'clear': 'all'})
        retried = system.pay(system.host_addresses[2], key)
        assert read_error(retried)['run'] == 'unknown'
        system.start_entry(host)
        system.until(system.entries[host.name].is_ready)
        assert read_error(system.pay(host, key))['run'] == 'unknown'
        assert system.count_runs(key) == 1


class TestFrozenEntry:
    """Freeze the entry process and resume it later."""

    def test_wakes_past_its_dispatch_time(self, system: System) -> None:
        """Send nothing late: a retry was answered in the meantime.

        Without the check in `check_dispatch`, the payment still runs.
        """
        key = build_order_key()
        host = system.host_addresses[0]
        node = f'{host.name}.entry'
        orders = system.entries[host.name].orders
        decided = orders._claim

        def claim(ticket, on_decision) -> None:
            # The intent is stored; the process is frozen before the dispatch.
            decided(ticket, lambda decision: on_later(decision, on_decision))

        held = []

        def on_later(decision, on_decision) -> None:
            held.append(lambda: on_decision(decision))
            system.frozen.add(node)

        orders._claim = claim
        sent = system.send_payment(host, key)
        system.until(lambda: node in system.frozen)
        retried = system.pay(system.host_addresses[3], key)
        assert read_error(retried)['run'] == 'unknown'
        limits = orders._limits
        window_s = limits.claim_timeout_s + limits.dispatch_window_s
        system.run_for(window_s + 0.1)
        orders._claim = decided
        system.frozen.discard(node)
        held[0]()
        late = system.wait(sent)
        assert late.status == 503
        assert read_error(late)['run'] == 'not-run'
        assert system.count_runs(key) == 0


class TestLostAnswers:
    """Lose answers after the operation took effect."""

    def test_of_the_key_value_service(self, system: System) -> None:
        """Run once, as the node recognises its own intent."""
        key = build_order_key()
        lost = {'fault': 'lose_answers', 'probability': 1, 'times': 2}
        system.inject_fault(system.store, lost)
        answer = system.pay(system.host_addresses[0], key)
        system.inject_fault(system.store, {'clear': 'all'})
        assert answer.status == 200
        assert system.count_runs(key) == 1

    def test_of_the_order_service(self, system: System) -> None:
        """Answer "unknown" and do not run the retry."""
        key = build_order_key()
        system.inject_fault(system.orders, {'fault': 'lose_answer', 'times': 1})
        first = system.pay(system.host_addresses[0], key)
        assert (first.status, read_error(first)['run']) == (502, 'unknown')
        retried = system.pay(system.host_addresses[2], key)
        assert read_error(retried)['run'] == 'unknown'
        assert system.count_runs(key) == 1

    def test_of_a_service_that_says_it_did_not_start(self, system) -> None:
        """Answer "not-run", and run the retry."""
        key = build_order_key()
        fault = {'fault': 'refuse_unstarted', 'times': 1}
        system.inject_fault(system.orders, fault)
        first = system.pay(system.host_addresses[0], key)
        assert read_error(first)['run'] == 'not-run'
        assert system.count_runs(key) == 0
        # Until the withdrawal is stored, a retry is answered with "unknown".
        orders = system.entries[system.host_addresses[0].name].orders
        system.until(lambda: orders.pending_count == 0)
        assert system.pay(system.host_addresses[2], key).status == 200
        assert system.count_runs(key) == 1


class TestOutage:
    """Cut a zone from the key-value service."""

    def test_new_and_old_payments_are_refused(self, system: System) -> None:
        """Never answer "not-run" for a payment that ran."""
        done = build_order_key()
        assert system.pay(system.host_addresses[0], done).status == 200
        zone = system.host_addresses[2].zone
        system.cut_from_platform(zone)
        fresh = build_order_key()
        answers = [
            system.pay(system.host_addresses[2], key) for key in (done, fresh)
        ]
        system.rejoin_platform(zone)
        for answer in answers:
            error = read_error(answer)
            assert error['run'] == 'unknown', error
            assert error['code'] == 'order_store_unavailable', error
        assert system.count_runs(done) == 1
        assert system.count_runs(fresh) == 0


class TestRepeatedOutcome:
    """Replay a stored outcome."""

    def test_long_body_is_not_kept(self, system: System) -> None:
        """Set a header that says that the body was not kept."""
        key = build_order_key()
        for app in system.entries.values():
            store = app.orders._context
            limits = replace(store.limits, max_body_bytes=4)
            app.orders._context = replace(store, limits=limits)
        first = system.pay(system.host_addresses[0], key)
        assert first.status == 200
        system.until(lambda: system.entries['host0'].orders.pending_count == 0)
        again = system.pay(system.host_addresses[3], key)
        marks = {each.name.lower(): each.text for each in again.headers}
        assert (again.status, again.body) == (200, b'')
        assert marks['x-bamboodeck-body'] == 'not-kept'
        assert system.count_runs(key) == 1
