"""Read typed values from INI text and collect every fault."""

import enum
from collections.abc import Callable, Iterator
from functools import partial
from typing import TypeVar

from bamboodeck.errors import InputError
from bamboodeck.http.messages import Address, parse_address
from bamboodeck.settings.faults import Fault, SettingsError
from bamboodeck.settings.ini import IniSection, parse_ini
from bamboodeck.settings.limits import FloatRange, IntRange
from bamboodeck.settings.values import (
    read_addresses,
    read_boolean,
    read_choice,
    read_names,
    read_secret,
    read_sha256,
    read_text,
)

_NO_ADDRESS = Address('0.0.0.0', 0)
_Choice = TypeVar('_Choice', bound=enum.Enum)
_Value = TypeVar('_Value')


class SettingsReader:
    """Give access to the sections of a text and collect their faults."""

    def __init__(self, text: str, source: str) -> None:
        """Parse a text; `source` identifies it in faults."""
        self.source = source
        document = parse_ini(text, source)
        self._sections = {each.name: each for each in document.sections}
        self._faults = list(document.faults)
        self._readers: dict[str, SectionReader] = {}

    def section(self, name: str, *, required: bool = True) -> 'SectionReader':
        """Return the section with this full name."""
        known = self._readers.get(name)
        if known is not None:
            return known
        found = self._sections.get(name)
        if found is None and required:
            self.add_fault(name, '', 'this section is missing')
        reader = SectionReader(self, found or IniSection(name, ()))
        self._readers[name] = reader
        return reader

    def named_sections(self, kind: str) -> Iterator['SectionReader']:
        """Yield the sections written `[kind NAME]`, in file order."""
        for name in tuple(self._sections):
            head, _, rest = name.partition(' ')
            if head == kind and rest.strip():
                yield self.section(name)

    def add_fault(self, section: str, key: str, message: str) -> None:
        """Record a fault."""
        self._faults.append(Fault(self.source, section, key, message))

    def collect_faults(self) -> tuple[Fault, ...]:
        """Return all faults, including unknown sections and keys."""
        unread = [
            Fault(self.source, name, '', 'this section is unknown')
            for name in self._sections
            if name not in self._readers
        ]
        for reader in self._readers.values():
            unread.extend(
                Fault(self.source, reader.title, key, 'this key is unknown')
                for key in reader.unread_keys()
            )
        return tuple(self._faults + unread)

    def finish(self) -> None:
        """Raise `SettingsError` if there are any faults."""
        faults = self.collect_faults()
        if faults:
            raise SettingsError(faults)


class SectionReader:
    """Read the keys of one section.

    A key without a default is required. After a fault a getter returns a
    placeholder, which is never used because the whole text is rejected.
    """

    def __init__(self, owner: SettingsReader, section: IniSection) -> None:
        """Read from `section`; faults are reported to `owner`."""
        self.title = section.name
        self._owner = owner
        self._texts = {key.name: key.text.strip() for key in section.keys}
        self._read_keys: set[str] = set()

    @property
    def name(self) -> str:
        """Return the name in `[kind NAME]`."""
        return self.title.partition(' ')[2].strip()

    def keys(self) -> tuple[str, ...]:
        """Return the keys in file order."""
        return tuple(self._texts)

    def unread_keys(self) -> tuple[str, ...]:
        """Return the keys that have not been read."""
        return tuple(key for key in self._texts if key not in self._read_keys)

    def add_fault(self, key: str, message: str) -> None:
        """Record a fault of a key."""
        self._owner.add_fault(self.title, key, message)

    def text(self, key: str, default: str | None = None) -> str:
        """Read non-empty text."""
        return self.convert(key, default, read_text, '')

    def names(
        self,
        key: str,
        default: tuple[str, ...] | None = None,
    ) -> tuple[str, ...]:
        """Read distinct names separated by commas or newlines."""
        return self.convert(key, default, read_names, ())

    def integer(
        self,
        key: str,
        limits: IntRange,
        default: int | None = None,
    ) -> int:
        """Read an integer in a range."""
        return self.convert(key, default, limits.read, 0)

    def number(
        self,
        key: str,
        limits: FloatRange,
        default: float | None = None,
    ) -> float:
        """Read a finite number in a range."""
        return self.convert(key, default, limits.read, 0.0)

    def boolean(self, key: str, default: bool | None = None) -> bool:
        """Read `yes` or `no`."""
        return self.convert(key, default, read_boolean, placeholder=False)

    def choice(
        self,
        key: str,
        choices: type[_Choice],
        default: _Choice | None = None,
    ) -> _Choice:
        """Read the value of an enum member."""
        placeholder = next(iter(choices))
        read = partial(read_choice, choices)
        return self.convert(key, default, read, placeholder)

    def address(self, key: str) -> Address:
        """Read an IP:PORT."""
        return self.convert(key, None, parse_address, _NO_ADDRESS)

    def optional_address(self, key: str) -> Address | None:
        """Read an IP:PORT, or None if the key is missing."""
        if key not in self._texts:
            return None
        return self.address(key)

    def addresses(self, key: str) -> tuple[Address, ...]:
        """Read one or more IP:PORT separated by commas or newlines."""
        return self.convert(key, None, read_addresses, ())

    def secret_hex(self, key: str, default: str | None = None) -> str:
        """Read a secret in hex; faults never contain it."""
        return self.convert(key, default, read_secret, '')

    def sha256_hex(self, key: str, default: str | None = None) -> str:
        """Read a SHA-256 digest in hex."""
        return self.convert(key, default, read_sha256, '')

    def convert(
        self,
        key: str,
        default: _Value | None,
        read: Callable[[str], _Value],
        placeholder: _Value,
    ) -> _Value:
        """Read a key with `read`, which raises `InputError` if invalid."""
        self._read_keys.add(key)
        text = self._texts.get(key)
        if text is None:
            if default is None:
                self.add_fault(key, 'this key is missing')
                return placeholder
            return default
        try:
            return read(text)
        except InputError as error:
            self.add_fault(key, str(error))
            return placeholder
