"""Detect that the answers of a steady version have become worse."""

from dataclasses import dataclass

from bamboodeck.rollout.betting import (
    CAPITAL_FLOOR,
    STAKES,
    bet_against_good,
    mean_capital,
    start_capitals,
)
from bamboodeck.rollout.evidence import AnswerOutcome, Margins, score_outcome
from bamboodeck.rollout.sequential import SIGNALS

# One false alarm per day in a fleet with 46,000 requests per second.
DEFAULT_ANSWERS_BETWEEN_ALARMS = 4e9
DEFAULT_MARGINS = Margins()


@dataclass(frozen=True, slots=True)
class ChangeAlarm:
    """Report that the answers of a version seem to have become worse."""

    version: str
    e_value: float
    signal: str
    answers: int


class ChangeDetector:
    """Monitor the answers of one version with a Shiryaev-Roberts e-detector.

    While the version stays within the margins, the mean number of answers
    until a false alarm is at least `answers_between_alarms`.
    """

    def __init__(
        self,
        version: str,
        answers_between_alarms: float = DEFAULT_ANSWERS_BETWEEN_ALARMS,
        margins: Margins = DEFAULT_MARGINS,
    ) -> None:
        """Start without evidence."""
        self.version = version
        self.answers = 0
        self._threshold = answers_between_alarms
        self._margins = margins
        self._detectors = [(CAPITAL_FLOOR,) * len(STAKES) for _ in SIGNALS]

    def observe(self, outcome: AnswerOutcome) -> ChangeAlarm | None:
        """Add one answer; return an alarm if the evidence suffices."""
        self.answers += 1
        scores = score_outcome(outcome, self._margins)
        for index, score in enumerate(scores):
            if score is None:
                continue
            # Each answer may be the first after the change, so a new bet starts
            # with it.
            joined = tuple(
                capital + fresh
                for capital, fresh in zip(
                    self._detectors[index],
                    start_capitals(),
                    strict=True,
                )
            )
            self._detectors[index] = bet_against_good(joined, score)
        return self._judge()

    def reset(self) -> None:
        """Discard the evidence, for instance when an operator clears it."""
        self._detectors = [(CAPITAL_FLOOR,) * len(STAKES) for _ in SIGNALS]

    def e_value(self, signal: str) -> float:
        """Return the e-value of one signal."""
        return mean_capital(self._detectors[SIGNALS.index(signal)])

    def _judge(self) -> ChangeAlarm | None:
        e_values = [mean_capital(each) for each in self._detectors]
        e_value = sum(e_values) / len(e_values)
        if e_value < self._threshold:
            return None
        signal = SIGNALS[e_values.index(max(e_values))]
        return ChangeAlarm(self.version, e_value, signal, self.answers)
