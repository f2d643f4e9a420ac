"""Simulate the spend of credits on a virtual clock.

`python -m tests.credits.trials` prints the figures.
"""

import itertools
import random
from dataclasses import dataclass, field

from bamboodeck.credits.decisions import decide, prices
from bamboodeck.credits.forecast import HOUR_S, SpendForecast
from bamboodeck.credits.state import (
    CreditLedgerState,
    MeterSpend,
    ProviderCredits,
    PublishPrices,
    ReportSpend,
    Reprice,
    SetCredits,
    SetForecast,
)

DAY_S = 24 * HOUR_S
TICK_S = 600.0
REPORT_DELAY_S = 6 * HOUR_S
CHARGE_FACTOR = 1.04
ZONES = ('z1', 'z2', 'z3')
Charges = list[tuple[float, dict[str, float]]]
EXPIRY_DAYS = (('early', 12), ('late', 30))


def build_shape() -> tuple[float, ...]:
    """Build a week with busy working hours and quiet nights."""
    hours = []
    for day, hour in itertools.product(range(7), range(24)):
        level = 1.0 if 7 <= hour < 19 else 0.2
        if day > 4:
            level /= 2
        hours.append(level)
    return tuple(hours)


@dataclass(frozen=True)
class Scenario:
    """Describe how the demand differs from the forecast."""

    volume: float = 1.0
    drift: float = 0.0
    cut_days: tuple[float, float] = (0.0, 0.0)
    expiry_days: tuple[tuple[str, int], ...] = EXPIRY_DAYS
    fixed_price: bool = False


@dataclass
class Outcome:
    """Report each provider's unused credits and day of exhaustion."""

    unused_fraction: dict[str, float] = field(default_factory=dict)
    exhausted_day: dict[str, float] = field(default_factory=dict)


class CreditTrial:
    """Simulate demand that follows the prices."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        """Give each provider the credits that the forecast needs of it."""
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._shape = SpendForecast(build_shape())
        last_s = max(days for _, days in scenario.expiry_days) * DAY_S
        total = self._shape.credits_between(0, last_s)
        self._credits = {
            name: total * days / sum(each for _, each in scenario.expiry_days)
            for name, days in scenario.expiry_days
        }
        self._expiry_s = {
            name: days * DAY_S for name, days in scenario.expiry_days
        }
        self._charged = dict.fromkeys(self._credits, 0.0)
        self._metered = {
            key: 0.0 for key in itertools.product(ZONES, self._credits)
        }
        self._state = CreditLedgerState()
        self._prices = dict.fromkeys(self._credits, 1.0)
        self._zone_prices = {zone: self._prices for zone in ZONES}
        self._caps: dict[tuple[str, str], float] = {}

    def run(self) -> Outcome:
        """Run until the last credits expire."""
        outcome = Outcome()
        self._decide(SetForecast(self._shape), 0)
        wanted = tuple(
            ProviderCredits(name, amount, self._expiry_s[name])
            for name, amount in self._credits.items()
        )
        self._decide(SetCredits(wanted), 0)
        charges: Charges = []
        now_s = 0.0
        while now_s < max(self._expiry_s.values()):
            self._spend(now_s)
            now_s += TICK_S
            charges.append((now_s, dict(self._charged)))
            self._report(charges, now_s)
            for name, charged in self._charged.items():
                if charged >= self._credits[name]:
                    outcome.exhausted_day.setdefault(name, now_s / DAY_S)
        for name, charged in self._charged.items():
            left = 1 - charged / self._credits[name]
            outcome.unused_fraction[name] = left
        return outcome

    def _spend(self, now_s: float) -> None:
        volume = self._shape.credits_between(now_s, now_s + TICK_S)
        days = now_s / DAY_S
        drift = 1 + self._scenario.drift * (2 * days / 30 - 1)
        volume *= self._scenario.volume * drift
        volume *= self._rng.lognormvariate(0, 0.3)
        for zone in ZONES:
            self._spend_in_zone(zone, volume / len(ZONES), now_s)

    def _spend_in_zone(self, zone: str, volume: float, now_s: float) -> None:
        live = {
            name: max(self._zone_prices[zone][name], 1e-3)
            for name, expiry_s in self._expiry_s.items()
            if now_s < expiry_s and not self._capped(zone, name)
        }
        if not live:
            return
        cheapest = min(live.values())
        # Callers spend more on quality while credits are cheap.
        demand = volume * (0.35 + 1.4 / (1 + cheapest**1.1))
        weights = {name: price**-1.5 for name, price in live.items()}
        for name, weight in weights.items():
            metered = demand * weight / sum(weights.values())
            self._metered[zone, name] += metered
            self._charged[name] += metered * CHARGE_FACTOR

    def _capped(self, zone: str, name: str) -> bool:
        cap = self._caps.get((zone, name))
        return cap is not None and self._metered[zone, name] >= cap

    def _report(self, charges: Charges, now_s: float) -> None:
        cut_from, cut_to = self._scenario.cut_days
        reachable = [
            zone
            for zone in ZONES
            if zone != 'z3' or not cut_from * DAY_S <= now_s < cut_to * DAY_S
        ]
        for zone, name in itertools.product(reachable, self._credits):
            total = self._metered[zone, name]
            expiry_s = self._expiry_s[name]
            self._decide(MeterSpend(zone, name, expiry_s, total), now_s)
        while charges and charges[0][0] <= now_s - REPORT_DELAY_S:
            covered_s, charged = charges.pop(0)
            for name, total in charged.items():
                report = ReportSpend(
                    name,
                    self._expiry_s[name],
                    total,
                    covered_s,
                )
                self._decide(report, now_s)
        if self._scenario.fixed_price:
            return
        self._publish(self._decide(Reprice(), now_s), reachable, now_s)

    def _publish(self, effects, reachable: list[str], now_s: float) -> None:
        found = {
            each.provider: each.multiplier
            for each in prices(self._state, now_s)
        }
        for zone in reachable:
            self._zone_prices[zone] = found
        for effect in effects:
            if not isinstance(effect, PublishPrices):
                continue
            for cap in effect.caps:
                if cap.zone in reachable:
                    self._caps[cap.zone, cap.provider] = cap.total_credits

    def _decide(self, message, now_s: float):
        state, effects = decide(self._state, message, now_s)
        self._state = state
        return effects


SCENARIOS = (
    Scenario(volume=0.7),
    Scenario(volume=1.0),
    Scenario(volume=1.3),
    Scenario(volume=0.7, expiry_days=(('only', 30),)),
    Scenario(volume=1.3, expiry_days=(('only', 30),)),
    Scenario(drift=0.3),
    Scenario(drift=-0.3),
    Scenario(volume=1.3, cut_days=(5, 6)),
    Scenario(volume=0.7, fixed_price=True),
    Scenario(volume=1.3, fixed_price=True),
)


def main() -> None:
    """Print the unused credits at expiry and the day of exhaustion, if any."""
    for scenario in SCENARIOS:
        outcomes = [CreditTrial(scenario, seed).run() for seed in range(10)]
        for name, _ in scenario.expiry_days:
            unused = sorted(each.unused_fraction[name] for each in outcomes)
            days = [each.exhausted_day.get(name) for each in outcomes]
            early = sorted(day for day in days if day is not None)
            print(  # noqa: WPS421
                scenario,
                f'{name}: unused median {unused[5]:.4f} worst {unused[-1]:.4f}',
                f'least {unused[0]:.4f} exhausted in {len(early)} of 10',
                f'first day {early[0]:.2f}' if early else '',
            )


if __name__ == '__main__':
    main()
