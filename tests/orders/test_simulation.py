"""Test orders under random faults, and that the checks can fail."""

import dataclasses
import random
from collections import Counter
from collections.abc import Callable

import pytest

from bamboodeck.orders import refusals
from bamboodeck.orders.book import OrderBook
from bamboodeck.orders.messages import NotRun, OrderCode, OutcomeUnknown
from bamboodeck.orders.pending import PendingChange
from bamboodeck.orders.records import (
    Applied,
    OrderRecord,
    RecordSet,
    RecordState,
)
from tests.orders.simulation import Simulation
from tests.virtual_store import VirtualStore

SEEDS = range(100)
Patch = Callable[[pytest.MonkeyPatch], None]


def run_all() -> Counter[type]:
    """Run all seeds and count the answers by kind."""
    answers: Counter[type] = Counter()
    for seed in SEEDS:
        answers.update(Simulation(seed).run().answers)
    return answers


class TestSimulation:
    """Check answers against the executions of the order service."""

    def test_seeds(self) -> None:
        """Run each order at most once and answer correctly."""
        answers = run_all()
        assert answers[NotRun] > 100
        assert answers[OutcomeUnknown] > 100

    def test_full_values(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Answer correctly when values are full for a while."""
        fill_values(monkeypatch)
        assert run_all()[NotRun] > 100

    def test_settles(self) -> None:
        """Leave nothing pending after the faults."""
        simulation = Simulation(3).run()
        assert not any(each.book.pending_count for each in simulation.processes)


def fill_values(patch: pytest.MonkeyPatch) -> None:
    """Refuse space for records at random."""
    rng = random.Random(5)
    patch.setattr(
        RecordSet,
        '_has_room',
        lambda records, size_bytes: rng.random() < 0.5,
    )


def skip_fingerprint(patch: pytest.MonkeyPatch) -> None:
    """Use the same fingerprint for all bodies."""
    original = OrderBook._locate

    def locate(book: OrderBook, request):
        return dataclasses.replace(original(book, request), fingerprint=b'')

    patch.setattr(OrderBook, '_locate', locate)


def skip_intent(patch: pytest.MonkeyPatch) -> None:
    """Permit a dispatch before the intent is stored."""
    patch.setattr(RecordSet, '_claim', lambda records, claim: Applied())


def replace_intents(patch: pytest.MonkeyPatch) -> None:
    """Claim a key although another attempt has its intent."""

    def claim(records: RecordSet, change) -> Applied:
        records._put(
            OrderRecord(
                change.digest,
                change.fingerprint,
                change.attempt_id,
                RecordState.INTENT,
            ),
        )
        return Applied()

    patch.setattr(RecordSet, '_claim', claim)


def withdraw_any(patch: pytest.MonkeyPatch) -> None:
    """Withdraw the intents of other attempts as well."""

    def withdraw(records: RecordSet, change) -> Applied:
        records._put(
            OrderRecord(
                change.digest,
                change.fingerprint,
                change.attempt_id,
                RecordState.NOT_STARTED,
            ),
        )
        return Applied()

    patch.setattr(RecordSet, '_withdraw', withdraw)


def skip_compare(patch: pytest.MonkeyPatch) -> None:
    """Write without comparing revisions."""
    original = VirtualStore._swap

    def swap(store: VirtualStore, request):
        current = store.entries.get(request.key)
        revision = 0 if current is None else current.revision
        forced = dataclasses.replace(request, expected_revision=revision)
        return original(store, forced)

    patch.setattr(VirtualStore, '_swap', swap)


def answer_not_run(patch: pytest.MonkeyPatch) -> None:
    """Answer not run when the store doesn't reply."""

    def refuse(outcome, fingerprint):
        return NotRun(OrderCode.UNKNOWN, '')

    patch.setattr(refusals, 'decide_refusal', refuse)
    patch.setattr('bamboodeck.orders.book.decide_refusal', refuse)


def ignore_deadline(patch: pytest.MonkeyPatch) -> None:
    """Permit a dispatch after its deadline."""
    original = OrderBook._issue_ticket

    def issue(book: OrderBook, location):
        return dataclasses.replace(
            original(book, location), dispatch_before_s=1e12
        )

    patch.setattr(OrderBook, '_issue_ticket', issue)


def confirm_anything(patch: pytest.MonkeyPatch) -> None:
    """Treat every result of a claim as a stored intent."""
    original = PendingChange.__init__

    def create(pending: PendingChange, change, deadline_s, on_result) -> None:
        def confirm(outcome) -> None:
            on_result(Applied())

        original(pending, change, deadline_s, confirm)

    patch.setattr(PendingChange, '__init__', create)


MUTATIONS = (
    skip_fingerprint,
    skip_intent,
    replace_intents,
    withdraw_any,
    skip_compare,
    answer_not_run,
    ignore_deadline,
    confirm_anything,
)


class TestMutations:
    """Check that the simulation fails without each mechanism."""

    @pytest.mark.parametrize('mutate', MUTATIONS)
    def test_is_detected(
        self,
        mutate: Patch,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Fail at least one check of the simulation."""
        mutate(monkeypatch)
        with pytest.raises(AssertionError):
            run_all()
