"""Test the ledger, prices and caps of provider credits."""

import random

import pytest
from hypothesis import given, settings, strategies

from bamboodeck.credits.decisions import (
    MAX_MULTIPLIER,
    decide,
    prices,
    remaining_credits,
)
from bamboodeck.credits.forecast import HOUR_S, WEEK_S, SpendForecast
from bamboodeck.credits.pacing import MIN_PACE, CreditBalance, plan_paces
from bamboodeck.credits.state import (
    CreditLedgerState,
    MeterSpend,
    ProviderCredits,
    PublishPrices,
    RecordLedger,
    ReportSpend,
    Reprice,
    SetCredits,
)
from tests.credits.trials import DAY_S, CreditTrial, Scenario

SETTINGS = settings(derandomize=True, max_examples=100, deadline=None)
AMOUNTS = strategies.floats(0, 100)
EXPIRY_S = 10 * DAY_S


def start(credits_left: float = 1000) -> CreditLedgerState:
    """Start a period of one provider."""
    wanted = ProviderCredits('north', credits_left, EXPIRY_S)
    state, _ = decide(CreditLedgerState(), SetCredits((wanted,)), 0)
    return state


def meter(
    state: CreditLedgerState,
    zone: str,
    total: float,
    now_s: float,
) -> CreditLedgerState:
    """Report the total of a zone."""
    message = MeterSpend(zone, 'north', EXPIRY_S, total)
    return decide(state, message, now_s)[0]


class TestClosedLoop:
    """Simulate demand that follows the prices until expiry."""

    @pytest.mark.parametrize('volume', [0.7, 1.3])
    def test_wrong_forecast(self, volume: float) -> None:
        """Leave at most 2% unused, and never run out of credits."""
        for seed in range(3):
            outcome = CreditTrial(Scenario(volume=volume), seed).run()
            assert not outcome.exhausted_day
            assert max(outcome.unused_fraction.values()) <= 0.02

    def test_fixed_price_fails(self) -> None:
        """Check that the simulation can fail in both directions."""
        low = CreditTrial(Scenario(volume=0.7, fixed_price=True), 0).run()
        assert max(low.unused_fraction.values()) > 0.02
        high = CreditTrial(Scenario(volume=1.3, fixed_price=True), 0).run()
        assert high.exhausted_day


class TestPrices:
    """Check the reaction of prices to the spend."""

    def test_falls_on_underspending(self) -> None:
        """Fall far below face value when hardly anything is spent."""
        assert self._price_after(credits_per_hour=0.1) < 0.1

    def test_rises_on_overspending(self) -> None:
        """Rise far above face value when too much is spent."""
        assert self._price_after(credits_per_hour=15) > 10

    def test_expired_credits(self) -> None:
        """Set the maximum price for a provider with expired credits."""
        assert prices(start(), EXPIRY_S)[0].multiplier == MAX_MULTIPLIER

    def test_record_comes_first(self) -> None:
        """Publish prices only after they are stored."""
        state = meter(start(), 'z1', 1, HOUR_S)
        _, effects = decide(state, Reprice(), 2 * HOUR_S)
        assert isinstance(effects[0], RecordLedger)
        assert isinstance(effects[1], PublishPrices)

    def _price_after(self, credits_per_hour: float) -> float:
        state = start()
        for hour in range(1, 60):
            state = meter(state, 'z1', credits_per_hour * hour, hour * HOUR_S)
            state, _ = decide(state, Reprice(), hour * HOUR_S)
        return prices(state, 60 * HOUR_S)[0].multiplier


class TestLedger:
    """Estimate the remaining credits."""

    @SETTINGS
    @given(
        strategies.lists(
            strategies.tuples(strategies.sampled_from('xyz'), AMOUNTS),
            max_size=20,
        ),
    )
    def test_as_the_naive_sum(self, reports) -> None:
        """Agree with the largest total of each zone, in any order."""
        state = start()
        for now_s, (zone, total) in enumerate(reports, start=1):
            state = meter(state, zone, total, now_s)
            state = meter(state, zone, total, now_s)
        largest: dict[str, float] = {}
        for zone, total in reports:
            largest[zone] = max(largest.get(zone, 0), total)
        left = remaining_credits(state.ledgers[0], state, len(reports))
        assert left == pytest.approx(1000 - sum(largest.values()))

    def test_late_report_calibrates(self) -> None:
        """Apply the charge of the reported spend to the spend since then."""
        state = start()
        for hour in range(1, 11):
            state = meter(state, 'z1', 10 * hour, hour * HOUR_S)
            state, _ = decide(state, Reprice(), hour * HOUR_S)
        report = ReportSpend('north', EXPIRY_S, 60, 5 * HOUR_S)
        state, _ = decide(state, report, 10 * HOUR_S)
        left = remaining_credits(state.ledgers[0], state, 10 * HOUR_S)
        assert left == pytest.approx(1000 - 120)

    def test_new_period(self) -> None:
        """Drop the meters of a period that has ended."""
        state = meter(start(), 'z1', 500, 5)
        wanted = ProviderCredits('north', 800, 2 * EXPIRY_S)
        state, _ = decide(state, SetCredits((wanted,)), 10)
        assert remaining_credits(state.ledgers[0], state, 10) == 800
        assert meter(state, 'z1', 500, 11) == state

    def test_caps_never_exceed_what_is_left(self) -> None:
        """Reserve the cap of an unreachable zone."""
        state = start()
        caps: dict[str, float] = {}
        rng = random.Random(4)
        spent = dict.fromkeys(('z1', 'z2'), 0.0)
        for hour in range(1, 60):
            # After a day zone z2 is unreachable and spends up to its cap.
            for zone in spent:
                wished = spent[zone] + rng.uniform(0, 40)
                spent[zone] = min(wished, caps.get(zone, wished))
                if zone == 'z1' or hour < 24:
                    state = meter(state, zone, spent[zone], hour * HOUR_S)
            state, effects = decide(state, Reprice(), hour * HOUR_S)
            for cap in effects[1].caps:
                caps[cap.zone] = cap.total_credits
            allowed = sum(caps.values())
            assert allowed <= 1000
        assert sum(spent.values()) <= 1000


class TestPaces:
    """Plan the spend of several providers."""

    def test_early_credits_first(self) -> None:
        """Spend early credits first, and later ones at the minimum pace."""
        paces = plan_paces(
            [CreditBalance('late', 30, 30), CreditBalance('early', 12, 12)]
        )
        assert paces == {'early': 1, 'late': MIN_PACE}

    def test_level_over_time(self) -> None:
        """Let later credits make up for what early ones don't cover."""
        paces = plan_paces(
            [CreditBalance('early', 3, 10), CreditBalance('late', 27, 30)]
        )
        assert paces == pytest.approx({'early': 0.3, 'late': 0.7})

    @SETTINGS
    @given(
        strategies.lists(
            strategies.tuples(AMOUNTS, strategies.floats(0.1, 100)),
            min_size=1,
            max_size=5,
        ),
    )
    def test_pace_is_bounded(self, pairs) -> None:
        """Stay between minimum and even pace; the earliest is even."""
        balances = [
            CreditBalance(str(index), left, forecast)
            for index, (left, forecast) in enumerate(pairs)
        ]
        paces = plan_paces(balances)
        for balance in balances:
            pace = paces[balance.provider]
            assert MIN_PACE * balance.even_pace <= pace <= balance.even_pace
        first = min(balances, key=lambda balance: balance.forecast_credits)
        assert paces[first.provider] == pytest.approx(first.even_pace)


class TestForecast:
    """Check the sum of the expected spend."""

    @SETTINGS
    @given(
        strategies.integers(0, 3 * 168),
        strategies.integers(0, 3 * 168),
    )
    def test_as_the_naive_sum(self, first: int, last: int) -> None:
        """Agree with a sum over the hours."""
        hourly = tuple(float(hour % 7) for hour in range(168))
        forecast = SpendForecast(hourly)
        found = forecast.credits_between(first * HOUR_S, last * HOUR_S)
        expected = sum(hourly[hour % 168] for hour in range(first, last))
        assert found == pytest.approx(expected)
        assert WEEK_S == 168 * HOUR_S
