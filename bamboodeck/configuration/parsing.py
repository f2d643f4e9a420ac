"""Parse the operators' configuration from INI text."""

from dataclasses import dataclass, replace
from typing import Any

from bamboodeck.configuration.checks import check_references
from bamboodeck.configuration.model import Configuration, VersionState
from bamboodeck.configuration.schema import (
    GENERAL,
    GENERAL_FIELDS,
    SCHEMAS,
    Field,
    Schema,
)
from bamboodeck.errors import InputError
from bamboodeck.settings.faults import Fault, FaultsError
from bamboodeck.settings.reader import SectionReader, SettingsReader

MAX_TEXT_BYTES = 900_000
_NO_REVISION = 0


class ConfigurationFaultsError(FaultsError):
    """Signal all faults of the operators' configuration."""


@dataclass(frozen=True)
class ConfigurationDocument:
    """Pair a valid text with its parsed form, which has no revision yet."""

    text: str
    draft: Configuration


def parse_configuration(text: str, source: str) -> ConfigurationDocument:
    """Parse and check a text; raise `ConfigurationFaultsError`."""
    _check_size(text, source)
    reader = SettingsReader(text, source)
    sections = {
        schema.attribute: _read_sections(reader, schema) for schema in SCHEMAS
    }
    draft = Configuration(
        revision=_NO_REVISION,
        change_id='',
        changed_by='',
        **_read_fields(reader.section(GENERAL), GENERAL_FIELDS),
        **sections,
    )
    check_references(draft, reader)
    faults = reader.collect_faults()
    if faults:
        raise ConfigurationFaultsError(faults)
    return ConfigurationDocument(text, draft)


def build_configuration(
    document: ConfigurationDocument,
    revision: int,
    change_id: str,
    changed_by: str,
) -> Configuration:
    """Build the configuration of a document at a revision.

    Newly withdrawn versions get it as their `withdrawn_since_revision`.
    """
    models = tuple(
        replace(model, withdrawn_since_revision=revision)
        if model.state is VersionState.WITHDRAWN
        and model.withdrawn_since_revision == _NO_REVISION
        else model
        for model in document.draft.models
    )
    return replace(
        document.draft,
        revision=revision,
        change_id=change_id,
        changed_by=changed_by,
        models=models,
    )


def _check_size(text: str, source: str) -> None:
    size_bytes = len(text.encode('utf-8', 'surrogatepass'))
    if size_bytes > MAX_TEXT_BYTES:
        message = (
            f'text of {size_bytes} bytes exceeds the maximum of '
            f'{MAX_TEXT_BYTES}'
        )
        raise ConfigurationFaultsError((Fault(source, '', '', message),))


def _read_sections(reader: SettingsReader, schema: Schema) -> tuple[Any, ...]:
    members: list[Any] = []
    names: set[str] = set()
    for section in reader.named_sections(schema.kind):
        name = _read_section_name(section, schema)
        if name in names:
            section.add_fault('', f'{schema.kind} "{name}" is defined twice')
        names.add(name)
        fields = _read_fields(section, schema.fields)
        fields[schema.name_attribute] = name
        members.append(schema.build(**fields))
    return tuple(members)


def _read_section_name(section: SectionReader, schema: Schema) -> str:
    try:
        return schema.read_name(section.name)
    except InputError as error:
        section.add_fault('', str(error))
        return section.name


def _read_fields(
    section: SectionReader,
    fields: tuple[Field, ...],
) -> dict[str, Any]:
    return {
        field.target: section.convert(
            field.key,
            field.default,
            field.codec.read,
            field.codec.placeholder,
        )
        for field in fields
    }
