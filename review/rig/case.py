"""Run a case and report its result by the exit status."""

import os
import signal
import sys
import traceback
from collections.abc import Callable
from pathlib import Path
from types import FrameType

from review.rig.system import System

HELD = 0
BROKEN = 1
CANNOT_RUN = 2


def is_troubled() -> bool:
    """Tell whether the case runs with its disruption."""
    return os.environ.get('TROUBLE') != '0'


def run_case(script: str, play: Callable[[System], list[str]]) -> None:
    """Play a case in its folder; exit with 1 if it returns violations."""
    # Has the processes ended if the script is stopped by its time limit.
    signal.signal(signal.SIGTERM, _stop)
    status = CANNOT_RUN
    try:
        status = _play(Path(script).parent, play)
    except Exception:
        traceback.print_exc()
    sys.exit(status)


def _stop(number: int, frame: FrameType | None) -> None:
    sys.exit(CANNOT_RUN)


def _play(folder: Path, play: Callable[[System], list[str]]) -> int:
    with System(folder) as system:
        system.record.write('began', trouble=is_troubled())
        violations = play(system)
        system.record_runs()
        for violation in violations:
            system.record.write('broken', violation=violation)
        result = 'broken' if violations else 'held'
        system.record.write('ended', result=result)
    for line in violations or ['the rule held']:
        sys.stdout.write(f'{line}\n')
    return BROKEN if violations else HELD
