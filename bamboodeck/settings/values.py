"""Parse single values from INI text."""

import enum
from typing import TypeVar

from bamboodeck.errors import InputError
from bamboodeck.http.messages import Address, parse_address

MIN_SECRET_BYTES = 16
SHA256_HEX_LENGTH = 64
TRUE_TEXT = 'yes'
FALSE_TEXT = 'no'
_Choice = TypeVar('_Choice', bound=enum.Enum)


def split_list(text: str) -> tuple[str, ...]:
    """Split text at commas and newlines, without empty parts."""
    parts = (part.strip() for part in text.replace('\n', ',').split(','))
    return tuple(part for part in parts if part)


def read_sha256(text: str) -> str:
    """Return a valid SHA-256 digest in hex; raise `InputError`."""
    if len(text) != SHA256_HEX_LENGTH or not _is_lower_hex(text):
        raise InputError(
            f'not a SHA-256 digest of {SHA256_HEX_LENGTH} lower-case hex '
            'digits',
        )
    return text


def read_text(text: str) -> str:
    """Return printable text; raise `InputError`."""
    if not text:
        raise InputError('the value is empty')
    if not text.isprintable():
        raise InputError('the value must be one line of printable text')
    return text


def read_names(text: str) -> tuple[str, ...]:
    """Parse a list of distinct names; raise `InputError`."""
    names = split_list(text)
    for name in names:
        if names.count(name) > 1:
            raise InputError(f'"{name}" is listed twice')
    return names


def read_choice(choices: type[_Choice], text: str) -> _Choice:
    """Parse the value of an enum member; raise `InputError`."""
    for each in choices:
        if each.value == text:
            return each
    allowed = ', '.join(choice.value for choice in choices)
    raise InputError(f'"{text}" is not one of: {allowed}')


def read_boolean(text: str) -> bool:
    """Parse `yes` or `no`; raise `InputError`."""
    if text not in {TRUE_TEXT, FALSE_TEXT}:
        raise InputError(f'"{text}" is not one of: {TRUE_TEXT}, {FALSE_TEXT}')
    return text == TRUE_TEXT


def read_addresses(text: str) -> tuple[Address, ...]:
    """Parse one or more IP:PORT; raise `InputError`."""
    parts = split_list(text)
    if not parts:
        raise InputError('at least one IP:PORT is required')
    return tuple(parse_address(part) for part in parts)


def read_secret(text: str) -> str:
    """Return a valid secret in hex; raise `InputError`."""
    if len(text) % 2 or not _is_lower_hex(text):
        raise InputError('the secret is not lower-case hex of whole bytes')
    if len(text) < MIN_SECRET_BYTES * 2:
        raise InputError(f'the secret is shorter than {MIN_SECRET_BYTES} bytes')
    return text


def _is_lower_hex(text: str) -> bool:
    return bool(text) and all(char in '0123456789abcdef' for char in text)
