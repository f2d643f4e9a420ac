"""Play a case, write its record, and exit with its result."""

import os
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path

from review.rig3.fleet import CannotRunError, Fleet

HELD = 0
BROKEN = 1
CANNOT_RUN = 2


class Record:
    """Write what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        """Replace the record of an earlier run."""
        self._lines: list[str] = []
        self._path = path

    def add(self, line: str) -> None:
        """Add a line."""
        self._lines.append(line)

    def tell(self, line: str) -> None:
        """Add a line, and print it."""
        self.add(line)
        sys.stdout.write(f'{line}\n')
        sys.stdout.flush()

    def save(self) -> None:
        """Write the file."""
        self._path.write_text(''.join(f'{line}\n' for line in self._lines))


# Plays the case on a fleet and tells whether the rule was broken.
Play = Callable[[Fleet, Record, bool], bool]


def run_case(folder: Path, fleet: Fleet, play: Play) -> None:
    """Play a case with or without its disruption, and exit."""
    record = Record(folder / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record.tell(f'trouble={trouble} unix_s={time.time():.3f}')
    signal.signal(signal.SIGTERM, _end_early)
    status = CANNOT_RUN
    try:
        status = BROKEN if play(fleet, record, trouble) else HELD
    except CannotRunError as error:
        record.tell(f'could not run: {error}')
    finally:
        fleet.end()
    record.tell(f'exit={status}')
    record.save()
    sys.exit(status)


def _end_early(signal_number: int, stack: object) -> None:
    raise CannotRunError('the time was over')
