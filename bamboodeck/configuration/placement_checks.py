"""Check the placement limits and the slots of engines."""

from bamboodeck.configuration.model import Configuration, PlacementBounds
from bamboodeck.configuration.schema import GENERAL
from bamboodeck.settings.reader import SettingsReader


def check_placement(draft: Configuration, reader: SettingsReader) -> None:
    """Add a fault for each limit that can't be satisfied."""
    if draft.placement_low_load >= draft.placement_high_load:
        reader.add_fault(
            GENERAL,
            'placement_low_load',
            'must be lower than placement_high_load',
        )
    known = {model.name for model in draft.models}
    for bounds in draft.placements:
        _check_bounds(bounds, known, reader)
    for engine in draft.engines:
        if engine.slots and engine.slots < len(engine.versions):
            reader.add_fault(
                f'engine {engine.name}',
                'slots',
                f'too few slots for {len(engine.versions)} versions',
            )


def _check_bounds(
    bounds: PlacementBounds,
    known: set[str],
    reader: SettingsReader,
) -> None:
    section = f'placement {bounds.version}'
    if bounds.version not in known:
        reader.add_fault(
            section,
            '',
            f'version "{bounds.version}" does not exist',
        )
    if 0 < bounds.max_copies < bounds.min_copies:
        reader.add_fault(
            section, 'max_copies', 'must not be lower than min_copies'
        )
