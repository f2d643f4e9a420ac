"""Detect versions whose answers become worse, and common causes."""

from dataclasses import dataclass

from bamboodeck.rollout.change_detector import (
    DEFAULT_ANSWERS_BETWEEN_ALARMS,
    DEFAULT_MARGINS,
    ChangeAlarm,
    ChangeDetector,
)
from bamboodeck.rollout.evidence import AnswerOutcome, Margins

# A version whose evidence exceeds this power of the alarm threshold is taken to
# share the cause of another version's alarm.
COMMON_CAUSE_POWER = 0.5


@dataclass(frozen=True, slots=True)
class CommonCause:
    """Report that the same signal has become worse in several versions."""

    signal: str
    versions: tuple[str, ...]


class VersionMonitor:
    """Run a change detector for each version.

    If the same signal of another version looks bad during an alarm, the rating
    service or the load is taken for the cause, and no version is blamed.
    """

    def __init__(
        self,
        answers_between_alarms: float = DEFAULT_ANSWERS_BETWEEN_ALARMS,
        margins: Margins = DEFAULT_MARGINS,
    ) -> None:
        """Start without versions."""
        self._threshold = answers_between_alarms
        self._margins = margins
        self._detectors: dict[str, ChangeDetector] = {}

    def observe(
        self,
        version: str,
        outcome: AnswerOutcome,
    ) -> ChangeAlarm | CommonCause | None:
        """Add one answer; return an alarm or a common cause, if any."""
        detector = self._detectors.get(version)
        if detector is None:
            detector = ChangeDetector(version, self._threshold, self._margins)
            self._detectors[version] = detector
        alarm = detector.observe(outcome)
        if alarm is None:
            return None
        suspected = self._suspected_versions(alarm.signal)
        if len(suspected) > 1:
            return CommonCause(alarm.signal, suspected)
        return alarm

    def retain(self, versions: frozenset[str]) -> None:
        """Drop the detectors of all versions except the given ones."""
        for version in self._detectors.keys() - versions:
            self._detectors.pop(version)

    def reset(self, version: str) -> None:
        """Discard the evidence against a version."""
        self._detectors.pop(version, None)

    def _suspected_versions(self, signal: str) -> tuple[str, ...]:
        threshold = self._threshold**COMMON_CAUSE_POWER
        return tuple(
            sorted(
                version
                for version, detector in self._detectors.items()
                if detector.e_value(signal) >= threshold
            ),
        )
