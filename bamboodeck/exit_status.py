"""Define the exit statuses of all programs."""

import enum


@enum.unique
class ExitStatus(enum.IntEnum):
    """Define the exit status of a program."""

    SUCCESS = 0
    ERROR = 1
    BAD_INPUT = 2
    CONFLICT = 3
    NOT_CONFIRMED = 4
    UNAVAILABLE = 5
    VIOLATION = 6
    INTERRUPTED = 130
