"""Provide streams, clocks and randomness that tests can replace."""

import os
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random, SystemRandom
from typing import TextIO


@dataclass(frozen=True)
class Environment:
    """Provide the external resources of a program."""

    stdin: TextIO = field(default_factory=lambda: sys.stdin)
    stdout: TextIO = field(default_factory=lambda: sys.stdout)
    stderr: TextIO = field(default_factory=lambda: sys.stderr)
    monotonic_s: Callable[[], float] = time.monotonic
    wall_s: Callable[[], float] = time.time
    random: Random = field(default_factory=SystemRandom)
    process_id: int = field(default_factory=os.getpid)
