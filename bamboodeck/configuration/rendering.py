"""Render a configuration as INI text."""

from collections.abc import Iterator
from typing import Any

from bamboodeck.configuration.model import Configuration
from bamboodeck.configuration.schema import (
    GENERAL,
    GENERAL_FIELDS,
    SCHEMAS,
    Field,
)


def render_configuration(configuration: Configuration) -> str:
    """Return the text from which `parse_configuration` restores it."""
    lines = [f'[{GENERAL}]']
    lines.extend(_render_fields(configuration, GENERAL_FIELDS))
    for schema in SCHEMAS:
        for member in getattr(configuration, schema.attribute):
            name = getattr(member, schema.name_attribute)
            lines.extend(('', f'[{schema.kind} {name}]'))
            lines.extend(_render_fields(member, schema.fields))
    return '\n'.join((*lines, ''))


def _render_fields(member: Any, fields: tuple[Field, ...]) -> Iterator[str]:
    for field in fields:
        content = getattr(member, field.target)
        if content == field.default:
            continue
        yield f'{field.key} = {field.codec.render(content)}'
