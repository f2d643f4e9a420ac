"""Test a version sequentially, with bounded error rates."""

from dataclasses import dataclass, field, replace

from bamboodeck.rollout.betting import (
    Capitals,
    bet_against_good,
    bet_against_harmful,
    mean_capital,
    start_capitals,
)
from bamboodeck.rollout.evidence import AnswerOutcome, Margins, score_outcome

SIGNALS = ('rating', 'errors', 'latency')


@dataclass(frozen=True, slots=True)
class Continue:
    """Continue to collect answers."""


@dataclass(frozen=True, slots=True)
class Halt:
    """Halt the version; report the e-value and the strongest signal."""

    e_value: float
    signal: str
    answers: int


@dataclass(frozen=True, slots=True)
class Advance:
    """Expose the version to more callers."""

    answers: int


Verdict = Continue | Halt | Advance


def _start_signals() -> tuple[Capitals, ...]:
    return (start_capitals(),) * len(SIGNALS)


@dataclass(frozen=True, slots=True)
class TestState:
    """Record the capitals of the bets by signal, to resume the test."""

    __test__ = False

    answers: int = 0
    rated: int = 0
    against_good: tuple[Capitals, ...] = field(default_factory=_start_signals)
    against_harmful: tuple[Capitals, ...] = field(
        default_factory=_start_signals,
    )


@dataclass(frozen=True, slots=True)
class SequentialTest:
    """Compare a version with its baseline on three signals at once.

    A version within the tolerated margins is halted with a probability of at
    most `false_halt_rate`, however often `judge` is called; one beyond a
    harmful margin advances with one of at most `false_advance_rate`.
    """

    false_halt_rate: float = 0.01
    false_advance_rate: float = 0.05
    margins: Margins = Margins()

    def observe(self, state: TestState, outcome: AnswerOutcome) -> TestState:
        """Return the state after adding one answer."""
        against_good = []
        against_harmful = []
        scores = score_outcome(outcome, self.margins)
        for index, score in enumerate(scores):
            good = state.against_good[index]
            harmful = state.against_harmful[index]
            if score is not None:
                good = bet_against_good(good, score)
                harmful = bet_against_harmful(harmful, score)
            against_good.append(good)
            against_harmful.append(harmful)
        return replace(
            state,
            answers=state.answers + 1,
            rated=state.rated + (outcome.rating is not None),
            against_good=tuple(against_good),
            against_harmful=tuple(against_harmful),
        )

    def judge(self, state: TestState) -> Verdict:
        """Return the verdict on the answers so far."""
        e_values = [mean_capital(each) for each in state.against_good]
        e_value = sum(e_values) / len(e_values)
        if e_value * self.false_halt_rate >= 1:
            signal = SIGNALS[e_values.index(max(e_values))]
            return Halt(e_value, signal, state.answers)
        advance_e_values = [
            mean_capital(each) for each in state.against_harmful
        ]
        if min(advance_e_values) * self.false_advance_rate >= 1:
            return Advance(state.answers)
        return Continue()
