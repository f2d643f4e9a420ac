"""Test a hypothesis about a bounded mean by betting.

Each bet stakes a fixed fraction of the largest stake that can't lose all of its
capital. The mean capital over all fractions is a test martingale: while the
hypothesis is true, it ever exceeds `1 / alpha` with a probability of at most
`alpha`.
"""

from bamboodeck.rollout.evidence import PERFECT_SCORE, Score

STAKES = (0.03, 0.1, 0.25, 0.5, 0.8)

# Keep the capital finite and above 0 over any number of answers. The ceiling
# only lowers the capital; the floor adds less than 1e-18 to the false-alarm
# rate over 10**12 answers.
CAPITAL_CEILING = 1e30
CAPITAL_FLOOR = 1e-30

Capitals = tuple[float, ...]


def start_capitals() -> Capitals:
    """Return the initial capital of each bet, 1."""
    return (1.0,) * len(STAKES)


def bet_against_good(capitals: Capitals, score: Score) -> Capitals:
    """Bet that the mean is below that of a good version."""
    mean = score.good_mean
    gain = (mean - score.observed) / (PERFECT_SCORE - mean)
    return _settle(capitals, gain)


def bet_against_harmful(capitals: Capitals, score: Score) -> Capitals:
    """Bet that the mean is above that of a harmful version."""
    mean = score.harmful_mean
    gain = (score.observed - mean) / mean
    return _settle(capitals, gain)


def mean_capital(capitals: Capitals) -> float:
    """Return the e-value of the mixture."""
    return sum(capitals) / len(capitals)


def _settle(capitals: Capitals, gain: float) -> Capitals:
    grown = []
    for stake, capital in zip(STAKES, capitals, strict=True):
        result = capital * (1 + stake * gain)
        if result < CAPITAL_FLOOR:
            result = CAPITAL_FLOOR
        elif result > CAPITAL_CEILING:
            result = CAPITAL_CEILING
        grown.append(result)
    return tuple(grown)
