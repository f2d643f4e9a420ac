"""Test applying single changes."""

import pytest

from bamboodeck.configuration.changes import (
    ChangeRefusedError,
    ReplaceDocument,
    RotateKey,
    SetVersionState,
    WithdrawVersion,
    apply_change,
)
from bamboodeck.configuration.model import VersionState

from .examples import EXAMPLE_TEXT, example_configuration


class TestApplyChange:
    """Test changes of the example configuration."""

    def test_withdraw_baseline_of_a_rollout(self) -> None:
        """Withdraw a version that is the baseline of a roll-out."""
        draft = apply_change(
            example_configuration(),
            WithdrawVersion('small@1'),
        ).draft
        states = {model.name: model.state for model in draft.models}
        assert states['small@1'] is VersionState.WITHDRAWN
        assert states['small@2'] is VersionState.ROLLOUT

    def test_withdraw_twice(self) -> None:
        """Keep the revision of the first withdrawal."""
        current = example_configuration(4)
        draft = apply_change(current, WithdrawVersion('large@1')).draft
        large = draft.models_by_name['large@1']
        assert large.withdrawn_since_revision == 4

    def test_rollout_beside_a_withdrawn_version(self) -> None:
        """Refuse a roll-out whose baseline is withdrawn."""
        change = SetVersionState(
            'medium@1',
            VersionState.ROLLOUT,
            'large@1',
            max_exposed_weight=5,
        )
        with pytest.raises(ChangeRefusedError, match='"large@1" is in state'):
            apply_change(example_configuration(), change)

    def test_withdrawn_version_left_out(self) -> None:
        """Refuse a document that leaves out a withdrawn version."""
        start = EXAMPLE_TEXT.index('[model large@1]')
        end = EXAMPLE_TEXT.index('[model large@2]')
        text = EXAMPLE_TEXT[:start] + EXAMPLE_TEXT[end:]
        text = text.replace(', large@1', '')
        current = example_configuration(4)
        with pytest.raises(ChangeRefusedError, match='since revision 4'):
            apply_change(current, ReplaceDocument(text))
        change = ReplaceDocument(text, revive=('large@1',))
        assert (
            'large@1' not in apply_change(current, change).draft.models_by_name
        )

    def test_keys_are_bounded(self) -> None:
        """Drop the oldest signing key above the limit."""
        current = example_configuration()
        for index in range(9):
            change = RotateKey(f'new-{index}', f'{index:064x}')
            current = apply_change(current, change).draft
        ids = [key.key_id for key in current.signing_keys]
        assert ids == [f'new-{index}' for index in range(8, 0, -1)]
        with pytest.raises(ChangeRefusedError, match='"new-8" exists'):
            apply_change(current, RotateKey('new-8', 'ab' * 32))
