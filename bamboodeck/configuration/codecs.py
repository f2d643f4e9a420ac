"""Convert the values of the configuration from and to INI text."""

import datetime
import enum
import re
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol

from bamboodeck.errors import InputError
from bamboodeck.http.messages import parse_address
from bamboodeck.settings import values
from bamboodeck.settings.limits import FloatRange, IntRange

_NAME = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,63}', re.ASCII)
_VERSION = re.compile(f'{_NAME.pattern}@{_NAME.pattern}', re.ASCII)
_TIME_FORMAT = '%Y-%m-%dT%H:%M:%SZ'


class Codec(Protocol):
    """Convert text into a value and back."""

    placeholder: Any

    def read(self, text: str) -> Any:
        """Parse a value; raise `InputError`."""

    def render(self, content: Any) -> str:
        """Format a value so that `read` returns it."""


@dataclass(frozen=True)
class ScalarCodec:
    """Convert a single value."""

    read: Callable[[str], Any]
    placeholder: Any = ''
    render: Callable[[Any], str] = str


@dataclass(frozen=True)
class ListCodec:
    """Convert a list of items; several are written one per line."""

    read_item: Callable[[str], str]
    may_be_empty: bool = True
    placeholder: tuple[str, ...] = ()

    def read(self, text: str) -> tuple[str, ...]:
        """Parse the items; raise `InputError`, also for duplicates."""
        names = values.read_names(text)
        if not (names or self.may_be_empty):
            raise InputError('at least one item is required')
        return tuple(self.read_item(name) for name in names)

    def render(self, content: tuple[str, ...]) -> str:
        """Format the items, one per line."""
        return '\n  '.join(content)


def read_name(text: str) -> str:
    """Return a valid name; raise `InputError`."""
    if not _NAME.fullmatch(text):
        raise InputError(
            f'name "{text}" is not 1 to 64 of: letters, digits, ".", "_", '
            '"-", starting with a letter or digit',
        )
    return text


def read_version(text: str) -> str:
    """Return a valid version name; raise `InputError`."""
    if not _VERSION.fullmatch(text):
        raise InputError(f'"{text}" is not of the form MODEL@VERSION')
    return text


def read_time_s(text: str) -> float:
    """Parse a UTC time as Unix time in seconds; raise `InputError`."""
    try:
        moment = datetime.datetime.strptime(text, _TIME_FORMAT)
    except ValueError:
        raise InputError(
            f'"{text}" is not a time like 2027-01-31T00:00:00Z',
        ) from None
    return moment.replace(tzinfo=datetime.UTC).timestamp()


def render_time_s(moment_s: float) -> str:
    """Format a Unix time in seconds as UTC."""
    moment = datetime.datetime.fromtimestamp(moment_s, datetime.UTC)
    # strftime doesn't pad years before 1000 to four digits.
    return f'{moment.replace(tzinfo=None, microsecond=0).isoformat()}Z'


def integer(lowest: int, highest: int) -> ScalarCodec:
    """Build a codec for an integer in a range."""
    return ScalarCodec(IntRange(lowest, highest).read, 0)


def number(lowest: float, highest: float) -> ScalarCodec:
    """Build a codec for a finite number in a range."""
    return ScalarCodec(FloatRange(lowest, highest).read, float(lowest), repr)


def choice(choices: type[enum.Enum]) -> ScalarCodec:
    """Build a codec for a member of an enum."""
    return ScalarCodec(
        partial(values.read_choice, choices),
        next(iter(choices)),
        lambda member: str(member.value),
    )


def _read_address(text: str) -> str:
    return str(parse_address(text))


def _render_boolean(content: bool) -> str:
    return values.TRUE_TEXT if content else values.FALSE_TEXT


TEXT = ScalarCodec(values.read_text)
NAME = ScalarCodec(read_name)
VERSION = ScalarCodec(read_version)
TIME = ScalarCodec(read_time_s, float(0), render_time_s)
BOOLEAN = ScalarCodec(
    values.read_boolean, placeholder=False, render=_render_boolean
)
ADDRESS = ScalarCodec(_read_address)
SECRET = ScalarCodec(values.read_secret)
DIGEST = ScalarCodec(values.read_sha256)
NAMES = ListCodec(read_name)
VERSIONS = ListCodec(read_version, may_be_empty=False)
ADDRESSES = ListCodec(_read_address, may_be_empty=False)
DIGESTS = ListCodec(values.read_sha256, may_be_empty=False)
