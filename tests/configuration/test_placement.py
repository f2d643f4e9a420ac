"""Test the checks of placement limits."""

import pytest

from bamboodeck.configuration.model import PlacementBounds
from bamboodeck.configuration.parsing import (
    ConfigurationFaultsError,
    parse_configuration,
)
from bamboodeck.configuration.rendering import render_configuration

from .examples import EXAMPLE_TEXT

BOUNDS = '[placement small@1]\nmin_copies = 2\nmax_copies = 4\n'


def faults_of(text: str) -> str:
    """Return the faults of a text."""
    with pytest.raises(ConfigurationFaultsError) as caught:
        parse_configuration(text, 'new.ini')
    return '\n'.join(str(fault) for fault in caught.value.faults)


class TestBounds:
    """Test valid and invalid placement limits."""

    def test_round_trip(self) -> None:
        """Parse limits and slots and restore them from rendered text."""
        text = EXAMPLE_TEXT.replace(
            '[engine flanders-1]\n',
            '[engine flanders-1]\nslots = 3\n',
        )
        text = text.replace(
            '[general]\n',
            '[general]\nplacement_hold_s = 60\n',
        )
        draft = parse_configuration(f'{text}\n{BOUNDS}', 'new.ini').draft
        assert draft.placements == (PlacementBounds('small@1', 2, 4),)
        assert draft.engines_by_name['flanders-1'].slots == 3
        assert draft.placement_hold_s == 60
        again = parse_configuration(render_configuration(draft), 'again.ini')
        assert again.draft == draft

    def test_default(self) -> None:
        """Default to no placement and no slots."""
        draft = parse_configuration(EXAMPLE_TEXT, 'new.ini').draft
        assert not draft.placements
        assert {engine.slots for engine in draft.engines} == {0}

    def test_unknown_version(self) -> None:
        """Refuse a version that does not exist."""
        text = f'{EXAMPLE_TEXT}\n[placement huge@1]\n'
        assert 'version "huge@1" does not exist' in faults_of(text)

    def test_bounds_that_exclude_each_other(self) -> None:
        """Refuse an upper limit below the lower one."""
        bounds = BOUNDS.replace('max_copies = 4', 'max_copies = 1')
        faults = faults_of(f'{EXAMPLE_TEXT}\n{bounds}')
        assert '[placement small@1] max_copies' in faults

    def test_too_few_slots(self) -> None:
        """Refuse an engine that lists more versions than fit."""
        text = EXAMPLE_TEXT.replace(
            '[engine flanders-1]\n',
            '[engine flanders-1]\nslots = 1\n',
        )
        assert 'too few slots for 2 versions' in faults_of(text)

    def test_loads_without_hysteresis(self) -> None:
        """Refuse a low load threshold that isn't below the high one."""
        text = EXAMPLE_TEXT.replace(
            '[general]\n',
            '[general]\nplacement_low_load = 0.8\n',
        )
        assert 'placement_low_load' in faults_of(text)
