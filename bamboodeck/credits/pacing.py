"""Plan the pace at which each provider's credits are spent."""

from collections.abc import Sequence
from dataclasses import dataclass

# The minimum pace of a provider whose credits expire later, as a fraction of
# its even pace: other providers can't replace all of its versions.
MIN_PACE = 0.5


@dataclass(frozen=True, slots=True)
class CreditBalance:
    """Describe a provider's remaining credits and forecast until expiry."""

    provider: str
    remaining_credits: float
    forecast_credits: float

    @property
    def even_pace(self) -> float:
        """Return the spend per forecast credit that uses it up at expiry."""
        if self.forecast_credits <= 0:
            return 0.0
        return max(self.remaining_credits, 0) / self.forecast_credits


def plan_paces(balances: Sequence[CreditBalance]) -> dict[str, float]:
    """Return the planned spend per forecast credit of each provider.

    Credits that expire first are spent evenly until expiry; later ones make up
    the difference, so that the sum is as constant as possible over time.
    """
    ordered = sorted(balances, key=lambda balance: balance.forecast_credits)
    level = _find_level(ordered)
    paces = {}
    for balance in ordered:
        pace = min(balance.even_pace, max(level, 0))
        level -= pace
        paces[balance.provider] = max(pace, MIN_PACE * balance.even_pace)
    return paces


def _find_level(ordered: Sequence[CreditBalance]) -> float:
    """Return the highest pace that the earliest balances need together."""
    level = 0.0
    cumulative_credits = 0.0
    for balance in ordered:
        cumulative_credits += max(balance.remaining_credits, 0)
        if balance.forecast_credits > 0:
            level = max(level, cumulative_credits / balance.forecast_credits)
    return level
