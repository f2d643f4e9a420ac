"""Provide the example configuration for the tests."""

from importlib.resources import files

from bamboodeck.configuration.model import Configuration
from bamboodeck.configuration.parsing import (
    build_configuration,
    parse_configuration,
)

EXAMPLE_TEXT = (
    files('bamboodeck.configuration').joinpath('example.ini').read_text('utf-8')
)


def example_configuration(revision: int = 1) -> Configuration:
    """Build the example configuration at a revision."""
    document = parse_configuration(EXAMPLE_TEXT, 'example.ini')
    return build_configuration(document, revision, 'first', 'ada')
