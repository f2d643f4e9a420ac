"""Read a workload from an INI file and report all of its errors."""

import configparser
import dataclasses
from collections.abc import Iterator
from pathlib import Path
from types import MappingProxyType
from typing import Any, get_origin

from bamboodeck.configuration.model import Preset
from bamboodeck.errors import InputError
from bamboodeck.policybench import workload as spec
from bamboodeck.policybench.checking import check_references

_SECTIONS = MappingProxyType(
    {
        'customer': spec.CustomerSpec,
        'class': spec.ClassSpec,
        'version': spec.VersionSpec,
        'engines': spec.EngineSpec,
        'provider': spec.ProviderSpec,
    }
)
_FAULTS = MappingProxyType(
    {
        'version_bad': spec.VersionBad,
        'engines_lost': spec.EnginesLost,
        'rating_out': spec.RatingOut,
        'rating_bias': spec.RatingBias,
        'zone_cut': spec.ZoneCut,
        'load_step': spec.LoadStep,
    }
)
_QUALITY_PREFIX = 'quality.'
_BOOLEANS = configparser.ConfigParser.BOOLEAN_STATES


class WorkloadError(InputError):
    """Report all errors of a workload file."""

    def __init__(self, path: Path, errors: tuple[str, ...]) -> None:
        """Format the errors, one line each."""
        super().__init__('\n'.join(f'{path}: {error}' for error in errors))
        self.errors = errors


def read_workload(path: Path) -> spec.Workload:
    """Read and check a file; raise `WorkloadError` with all errors."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    parser.optionxform = str  # type: ignore[assignment]
    try:
        parser.read_string(path.read_text(), str(path))
    except (configparser.Error, OSError, UnicodeError) as error:
        raise WorkloadError(path, (str(error),)) from error
    reader = _Reader(parser)
    workload = reader.read(path.stem)
    errors = tuple(reader.errors)
    if workload is not None and not errors:
        errors = tuple(check_references(workload))
    if errors or workload is None:
        raise WorkloadError(path, errors)
    return workload


class _Reader:
    def __init__(self, parser: configparser.ConfigParser) -> None:
        self.errors: list[str] = []
        self._parser = parser
        self._specs: dict[str, list[Any]] = {kind: [] for kind in _SECTIONS}
        self._faults: list[Any] = []

    def read(self, name: str) -> spec.Workload | None:
        settings = self._read_single('workload', spec.Settings)
        preset = self._read_single('preset', Preset, name='experiment')
        for section in self._parser.sections():
            self._read_section(section)
        for kind, specs in self._specs.items():
            if not specs and kind != 'provider':
                self.errors.append(f'no section [{kind} NAME]')
        if self.errors:
            return None
        return spec.Workload(
            name,
            settings,
            preset,
            tuple(self._specs['customer']),
            tuple(self._specs['class']),
            tuple(self._specs['version']),
            tuple(self._specs['engines']),
            tuple(self._specs['provider']),
            tuple(self._faults),
        )

    def _read_single(self, section: str, kind: type, **given: str) -> Any:
        if not self._parser.has_section(section):
            self.errors.append(f'section [{section}] is missing')
            return None
        return self._build(section, kind, dict(self._parser[section]), given)

    def _read_section(self, section: str) -> None:
        kind, _, name = section.partition(' ')
        keys = dict(self._parser[section])
        if section in {'workload', 'preset'}:
            return
        if kind == 'fault':
            self._read_fault(section, keys)
            return
        if kind not in _SECTIONS or not name:
            allowed = ', '.join(f'[{each} NAME]' for each in _SECTIONS)
            self.errors.append(
                f'section [{section}] is unknown; allowed: [workload],'
                f' [preset], [fault NAME], {allowed}',
            )
            return
        built = self._build(section, _SECTIONS[kind], keys, {'name': name})
        self._specs[kind].append(built)

    def _read_fault(self, section: str, keys: dict[str, str]) -> None:
        kind = keys.pop('kind', '')
        if kind not in _FAULTS:
            allowed = ', '.join(_FAULTS)
            self.errors.append(
                f'[{section}] kind: "{kind}" is not one of {allowed}',
            )
            return
        self._faults.append(
            self._build(section, _FAULTS[kind], keys, {}),
        )

    def _build(
        self,
        section: str,
        kind: type,
        keys: dict[str, str],
        given: dict[str, str],
    ) -> Any:
        before = len(self.errors)
        arguments: dict[str, Any] = dict(given)
        for field in dataclasses.fields(kind):
            if field.name in given:
                continue
            self._read_field(section, field, keys, arguments)
        for key in keys:
            self.errors.append(f'[{section}] {key}: the key is unknown')
        if len(self.errors) > before:
            return None
        return kind(**arguments)

    def _read_field(
        self,
        section: str,
        field: dataclasses.Field,
        keys: dict[str, str],
        arguments: dict[str, Any],
    ) -> None:
        if get_origin(field.type) is dict:
            arguments[field.name] = dict(
                self._read_qualities(section, field, keys)
            )
            return
        text = keys.pop(field.name, None)
        if text is None:
            if field.default is dataclasses.MISSING:
                self.errors.append(f'[{section}] {field.name}: missing')
            return
        try:
            arguments[field.name] = _convert(text, field)
        except ValueError as error:
            self.errors.append(f'[{section}] {field.name}: {error}')

    def _read_qualities(
        self,
        section: str,
        field: dataclasses.Field,
        keys: dict[str, str],
    ) -> Iterator[tuple[str, float]]:
        names = [key for key in keys if key.startswith(_QUALITY_PREFIX)]
        for key in names:
            text = keys.pop(key)
            try:
                number = _parse_number(text, float, field)
            except ValueError as error:
                self.errors.append(f'[{section}] {key}: {error}')
                continue
            yield key.removeprefix(_QUALITY_PREFIX), number


def _convert(text: str, field: dataclasses.Field) -> Any:
    if field.type is bool:
        if text.lower() not in _BOOLEANS:
            raise ValueError(f'"{text}" is not yes or no')
        return _BOOLEANS[text.lower()]
    if field.type in {int, float}:
        return _parse_number(text, field.type, field)
    if field.type is str:
        return text
    return tuple(part.strip() for part in text.split(',') if part.strip())


def _parse_number(text: str, kind: Any, field: dataclasses.Field) -> float:
    low = field.metadata.get('low', 0)
    high = field.metadata.get('high', 1e9)
    try:
        number = kind(text)
    except ValueError:
        word = 'a whole number' if kind is int else 'a number'
        raise ValueError(f'"{text}" is not {word}') from None
    if not low <= number <= high:
        raise ValueError(f'{text} is not from {low:g} to {high:g}')
    return number
