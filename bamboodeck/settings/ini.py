"""Parse INI text and recover from syntax errors."""

import configparser
from dataclasses import dataclass

from bamboodeck.settings.faults import Fault

MAX_SYNTAX_FAULTS = 50
_NO_DEFAULT_SECTION = '\n'


@dataclass(frozen=True, slots=True)
class IniKey:
    """Describe a key and its text, with lines joined by newlines."""

    name: str
    text: str


@dataclass(frozen=True, slots=True)
class IniSection:
    """Describe a section and its keys in file order."""

    name: str
    keys: tuple[IniKey, ...]


@dataclass(frozen=True, slots=True)
class IniDocument:
    """Describe the sections of a text and its syntax faults."""

    sections: tuple[IniSection, ...]
    faults: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class _InvalidLine:
    number: int
    section: str
    key: str
    message: str
    whole_section: bool = False


def parse_ini(text: str, source: str) -> IniDocument:
    """Parse a text; drop each invalid line and report it as a fault."""
    lines = text.replace('\r\n', '\n').split('\n')
    faults: list[Fault] = []
    while len(faults) < MAX_SYNTAX_FAULTS:
        parser = _new_parser()
        invalid_lines = _parse(parser, lines)
        if not invalid_lines:
            return IniDocument(_read_sections(parser), tuple(faults))
        for invalid in invalid_lines:
            message = f'line {invalid.number}: {invalid.message}'
            faults.append(Fault(source, invalid.section, invalid.key, message))
            _blank_out(lines, invalid)
    return IniDocument((), tuple(faults[:MAX_SYNTAX_FAULTS]))


def _new_parser() -> configparser.RawConfigParser:
    parser = configparser.RawConfigParser(
        delimiters=('=',),
        comment_prefixes=('#', ';'),
        empty_lines_in_values=False,
        default_section=_NO_DEFAULT_SECTION,
        interpolation=None,
    )
    parser.optionxform = str  # type: ignore[method-assign, assignment]
    return parser


def _parse(
    parser: configparser.RawConfigParser,
    lines: list[str],
) -> tuple[_InvalidLine, ...]:
    try:
        parser.read_string('\n'.join(lines))
    except configparser.DuplicateSectionError as section_error:
        return (
            _InvalidLine(
                section_error.lineno or 1,
                section_error.section,
                '',
                'duplicate section',
                whole_section=True,
            ),
        )
    except configparser.DuplicateOptionError as key_error:
        return (
            _InvalidLine(
                key_error.lineno or 1,
                key_error.section,
                key_error.option,
                'duplicate key',
            ),
        )
    except configparser.ParsingError as parsing_error:
        if isinstance(parsing_error, configparser.MissingSectionHeaderError):
            number = parsing_error.lineno
            return (
                _InvalidLine(number, '', '', 'text before the first section'),
            )
        return tuple(
            _InvalidLine(number, '', '', 'neither "key = ..." nor [section]')
            for number, _ in parsing_error.errors
        )
    return ()


def _blank_out(lines: list[str], invalid: _InvalidLine) -> None:
    index = invalid.number - 1
    lines[index] = ''
    while invalid.whole_section and index + 1 < len(lines):
        index += 1
        if lines[index].startswith('['):
            return
        lines[index] = ''


def _read_sections(
    parser: configparser.RawConfigParser,
) -> tuple[IniSection, ...]:
    return tuple(
        IniSection(
            name,
            tuple(IniKey(key, text) for key, text in parser.items(name)),
        )
        for name in parser.sections()
    )
