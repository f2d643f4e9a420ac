"""Check invariants at run time and count checks and violations."""

from collections import Counter
from dataclasses import dataclass

from bamboodeck.errors import BamboodeckError
from bamboodeck.logs import EventLog


class InvariantViolatedError(BamboodeckError):
    """Report a violated invariant."""


@dataclass(frozen=True, slots=True)
class InvariantViolated:
    """Log a violated invariant."""

    invariant: str
    detail: str


class Invariants:
    """Count checks and violations by invariant."""

    def __init__(self, log: EventLog | None, *, raising: bool) -> None:
        """Start with no checks; `raising` makes violations raise."""
        self.checked: Counter[str] = Counter()
        self.violated: Counter[str] = Counter()
        self._log = log
        self._raising = raising

    def check(self, invariant: str, detail: str, *, holds: bool) -> None:
        """Count a check and log a violation.

        With `raising`, a violation also raises `InvariantViolatedError`.
        """
        self.checked[invariant] += 1
        if holds:
            return
        self.violated[invariant] += 1
        if self._log is not None:
            self._log.warn(InvariantViolated(invariant, detail))
        if self._raising:
            raise InvariantViolatedError(f'{invariant}: {detail}')
