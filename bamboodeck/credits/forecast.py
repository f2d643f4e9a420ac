"""Forecast how spend is distributed over the week."""

import itertools
from dataclasses import dataclass
from functools import cached_property

HOUR_S = 3600.0
HOURS_PER_WEEK = 168
WEEK_S = HOUR_S * HOURS_PER_WEEK


@dataclass(frozen=True)
class SpendForecast:
    """Forecast the spend by hour of the week, starting at wall-clock time 0.

    Pacing uses only the shape; the level follows from the observed spend.
    """

    hourly_credits: tuple[float, ...] = (1.0,) * HOURS_PER_WEEK  # noqa: WPS435

    def credits_between(self, from_s: float, to_s: float) -> float:
        """Return the expected spend between two times."""
        if to_s <= from_s:
            return 0.0
        return self._credits_until(to_s) - self._credits_until(from_s)

    @cached_property
    def _totals(self) -> tuple[float, ...]:
        return tuple(itertools.accumulate(self.hourly_credits, initial=0.0))

    def _credits_until(self, time_s: float) -> float:
        weeks, rest_s = divmod(time_s, WEEK_S)
        hours, part_s = divmod(rest_s, HOUR_S)
        part = self.hourly_credits[int(hours)] * part_s / HOUR_S
        return weeks * self._totals[-1] + self._totals[int(hours)] + part
