"""Write results as tables or as JSON."""

import datetime
from collections.abc import Sequence
from typing import TextIO

import msgspec

_GAP = '  '
_UNKNOWN = '-'


def write_json(stream: TextIO, content: object) -> None:
    """Write a value as indented JSON."""
    body = msgspec.json.format(msgspec.json.encode(content), indent=2)
    stream.write(f'{body.decode()}\n')


def write_table(
    stream: TextIO,
    headings: Sequence[str],
    rows: Sequence[Sequence[str]],
) -> None:
    """Write headings and rows in aligned columns."""
    widths = [
        max(len(text) for text in column)
        for column in zip(headings, *rows, strict=True)
    ]
    for cells in (headings, *rows):
        padded = [
            text.ljust(width) for text, width in zip(cells, widths, strict=True)
        ]
        line = _GAP.join(padded).rstrip()
        stream.write(f'{line}\n')


def format_time(unix_s: float) -> str:
    """Format a Unix time in seconds as ISO 8601 in UTC."""
    time = datetime.datetime.fromtimestamp(unix_s, datetime.UTC)
    return time.strftime('%Y-%m-%dT%H:%M:%SZ')


def format_age(age_s: float | None) -> str:
    """Format an age in seconds, or a dash if it is unknown."""
    return _UNKNOWN if age_s is None else f'{age_s:.1f} s'


def format_credits(amount: float) -> str:
    """Format an amount of credits."""
    return f'{amount:,.4f}'
