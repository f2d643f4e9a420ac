"""Define ranges for the numbers in INI text."""

import math
from dataclasses import dataclass

from bamboodeck.errors import InputError

_MAX_DIGITS = 30


@dataclass(frozen=True, slots=True)
class IntRange:
    """Accept integers between two bounds, both included."""

    lowest: int
    highest: int

    def read(self, text: str) -> int:
        """Parse an integer; raise `InputError` if it is out of range."""
        try:
            number = int(text[:_MAX_DIGITS])
        except ValueError:
            raise InputError(f'"{text}" is not an integer; {self}') from None
        if not self.lowest <= number <= self.highest or len(text) > _MAX_DIGITS:
            raise InputError(f'{text} is out of range; {self}')
        return number

    def __str__(self) -> str:
        """Describe the range for error messages."""
        return f'must be from {self.lowest} to {self.highest}'


@dataclass(frozen=True, slots=True)
class FloatRange:
    """Accept finite numbers between two bounds, both included."""

    lowest: float
    highest: float

    def read(self, text: str) -> float:
        """Parse a number; raise `InputError` if it is out of range."""
        try:
            number = float(text)
        except ValueError:
            raise InputError(f'"{text}" is not a number; {self}') from None
        in_range = self.lowest <= number <= self.highest
        if not (math.isfinite(number) and in_range):
            raise InputError(f'{text} is out of range; {self}')
        return number

    def __str__(self) -> str:
        """Describe the range for error messages."""
        return f'must be from {self.lowest:g} to {self.highest:g}'
