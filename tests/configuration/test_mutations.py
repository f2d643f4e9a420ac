"""Disable each mechanism and check that a test fails."""

from collections.abc import Callable
from dataclasses import replace

import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from bamboodeck.configuration import changes
from bamboodeck.configuration.attempt import WriteAttempt
from bamboodeck.configuration.outcomes import ConfigurationUnavailableError
from bamboodeck.configuration.replica import ConfigurationReplica
from bamboodeck.configuration.writer import ConfigurationWriter

from . import test_changes, test_store

QUICK = settings(
    derandomize=True,
    database=None,
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
    phases=(Phase.generate,),
    report_multiple_bugs=False,
)
Patch = pytest.MonkeyPatch
WRITER = test_store.TestConfigurationWriter()
REPLICA = test_store.TestConfigurationReplica()
CHANGE = test_changes.TestApplyChange()


def run_machine() -> None:
    """Run the state machine; raise the first failure."""
    run_state_machine_as_test(test_store.ConfigurationMachine, settings=QUICK)


def take_any_revision(patch: Patch) -> None:
    """Let a node accept a lower revision."""

    def offer(replica, revision: int, body: bytes, source: str):
        replica.configuration = None
        return original(replica, revision, body, source)

    original = ConfigurationReplica.offer
    patch.setattr(ConfigurationReplica, 'offer', offer)


def trust_any_freshness(patch: Patch) -> None:
    """Let confirmation of a revision that a node lacks count as fresh."""

    def confirm_revision(
        replica, store_revision: int, now_s: float, age_s: float = 0
    ):
        replica._confirmed_s = max(replica._confirmed_s, now_s - age_s)

    patch.setattr(ConfigurationReplica, 'confirm_revision', confirm_revision)


def forget_change_ids(patch: Patch) -> None:
    """Don't check whether the stored record already has the change."""
    patch.setattr(
        WriteAttempt, '_finish_if_applied', lambda write, entry: False
    )


def call_lost_undone(patch: Patch) -> None:
    """Report a change whose answer was lost as not made."""

    def count_try(write, reason: str) -> None:
        if write._maybe_applied:
            raise ConfigurationUnavailableError(reason)

    patch.setattr(WriteAttempt, '_count_try', count_try)


def ignore_expected_revision(patch: Patch) -> None:
    """Apply a change regardless of the expected revision."""
    original = ConfigurationWriter.write

    def write(sender, request, on_written) -> None:
        original(sender, replace(request, expected_revision=None), on_written)

    patch.setattr(ConfigurationWriter, 'write', write)


def skip_history(patch: Patch) -> None:
    """Don't save the replaced record to the history."""
    patch.setattr(WriteAttempt, '_save_history', lambda write: write._swap())


def revive_silently(patch: Patch) -> None:
    """Let a document bring a withdrawn version back."""
    patch.setattr(
        changes,
        '_keep_withdrawn',
        lambda draft, model, revive: draft,
    )


def forget_withdrawals_revision(patch: Patch) -> None:
    """Let a repeated withdrawal overwrite the first one's revision."""
    state = changes.VersionState.WITHDRAWN

    def withdraw(current, version: str):
        model = changes._find_model(current, version)
        return changes._replace_model(
            current, changes._with_state(model, state)
        )

    patch.setattr(changes, '_withdraw', withdraw)


def always_commute(patch: Patch) -> None:
    """Let every change be applied after a concurrent one."""
    name = 'bamboodeck.configuration.attempt.commutes'
    patch.setattr(name, lambda *parts: True)


class TestMutations:
    """Check that the tests detect each disabled mechanism."""

    @pytest.mark.parametrize(
        ('mutate', 'check'),
        [
            (take_any_revision, run_machine),
            (trust_any_freshness, REPLICA.test_faulty_newer_document),
            (forget_change_ids, run_machine),
            (call_lost_undone, WRITER.test_late_swap_after_its_answer_was_lost),
            (ignore_expected_revision, run_machine),
            (skip_history, run_machine),
            (revive_silently, run_machine),
            (forget_withdrawals_revision, CHANGE.test_withdraw_twice),
            (always_commute, WRITER.test_racing_presets),
        ],
    )
    def test_is_noticed(
        self,
        mutate: Callable[[Patch], None],
        check: Callable[[], None],
        monkeypatch: Patch,
    ) -> None:
        """Fail under the mutation with an assertion or an expected error."""
        mutate(monkeypatch)
        with pytest.raises(Exception) as caught:
            check()
        assert not isinstance(caught.value, (TypeError, AttributeError))
