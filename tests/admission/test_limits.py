"""Test that the shares of a limit never exceed it in sum."""

from collections import Counter

import pytest
from hypothesis import Phase, given, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from bamboodeck.admission.buckets import TokenBucket
from bamboodeck.admission.fairness import Claim, split_fairly
from bamboodeck.admission.limits import (
    CustomerLimit,
    Demand,
    LimitPlan,
    LimitShare,
    Rates,
    split_limits,
)
from bamboodeck.admission.retries import RetryBudget

SETTINGS = settings(
    derandomize=True,
    max_examples=100,
    stateful_step_count=30,
    deadline=None,
)
AMOUNTS = strategies.floats(0, 100)
LIMIT = CustomerLimit('school', Rates(100, 1000))
HOLDERS = ('z1', 'z2', 'z3')


def split_naively(claims: list[Claim], total: float) -> list[float]:
    """Find the max-min fair level by bisection."""
    low, high = 0.0, 1e6
    for _ in range(200):
        level = (low + high) / 2
        used = sum(min(each.demand, level * each.weight) for each in claims)
        low, high = (level, high) if used <= total else (low, level)
    return [min(each.demand, low * each.weight) for each in claims]


class TestFairSplit:
    """Split by weighted max-min fairness."""

    @SETTINGS
    @given(
        strategies.lists(
            strategies.tuples(AMOUNTS, strategies.floats(0.1, 10)),
            min_size=1,
            max_size=6,
        ),
        AMOUNTS,
    )
    def test_against_naive_split(self, pairs, total) -> None:
        """Agree with a split by bisection."""
        claims = [
            Claim(str(index), demand, weight)
            for index, (demand, weight) in enumerate(pairs)
        ]
        parts = list(split_fairly(claims, total).values())
        assert parts == pytest.approx(split_naively(claims, total), abs=1e-6)


class LimitMachine(RuleBasedStateMachine):
    """Lose, duplicate and delay shares and reports of three holders."""

    def __init__(self) -> None:
        """Start without shares."""
        super().__init__()
        self.plan = LimitPlan()
        self.in_flight: list[tuple[int, LimitShare]] = []
        self.applied = {holder: (0, Rates()) for holder in HOLDERS}

    @rule(
        demands=strategies.tuples(AMOUNTS, AMOUNTS, AMOUNTS),
        unreachable=strategies.sets(strategies.sampled_from(HOLDERS)),
    )
    def split(self, demands, unreachable) -> None:
        """Split again while some holders are unreachable."""
        asked = [
            Demand(
                holder,
                'school',
                Rates(demand, demand * 10),
                self.plan.held(holder, 'school'),
                holder in unreachable,
            )
            for holder, demand in zip(HOLDERS, demands, strict=True)
        ]
        shares = split_limits(asked, [LIMIT])
        self.plan = self.plan.send(shares)
        self.in_flight.extend((self.plan.sequence, each) for each in shares)

    @rule(index=strategies.integers(0, 50), keep=strategies.booleans())
    def deliver(self, index: int, keep: bool) -> None:
        """Deliver a share in flight; a kept one is delivered again."""
        if not self.in_flight:
            return
        sequence, share = self.in_flight[index % len(self.in_flight)]
        if not keep:
            self.in_flight.pop(index % len(self.in_flight))
        if sequence > self.applied[share.holder][0]:
            self.applied[share.holder] = (sequence, share.rates)

    @rule(holder=strategies.sampled_from(HOLDERS))
    def confirm(self, holder: str) -> None:
        """Let a holder report which share is in force."""
        self.plan = self.plan.confirm(holder, self.applied[holder][0])

    @invariant()
    def limit_holds(self) -> None:
        """Check the sum of the shares in force."""
        rates = [each for _, each in self.applied.values()]
        assert sum(each.requests_per_s for each in rates) <= 100 + 1e-6
        assert sum(each.tokens_per_s for each in rates) <= 1000 + 1e-6


class TestLimitShares:
    """Split a limit over its holders."""

    def test_never_more_than_the_limit(self) -> None:
        """Hold in random interleavings."""
        run_state_machine_as_test(LimitMachine, settings=SETTINGS)

    def test_check_fails_on_early_raise(self, monkeypatch) -> None:
        """Fail if shares are raised before others are lowered."""
        monkeypatch.setattr(LimitPlan, 'held', lambda *_: Rates())
        with pytest.raises(AssertionError):
            run_state_machine_as_test(
                LimitMachine,
                settings=settings(
                    SETTINGS,
                    max_examples=3000,
                    phases=[Phase.generate],
                ),
            )

    def test_shares_follow_demand(self) -> None:
        """Move the limit to the holder with demand, within two splits."""
        plan = LimitPlan()
        for demands in ((90, 0, 0), (0, 90, 0), (0, 90, 0)):
            asked = [
                Demand(
                    holder,
                    'school',
                    Rates(demand, demand),
                    plan.held(holder, 'school'),
                )
                for holder, demand in zip(HOLDERS, demands, strict=True)
            ]
            shares = split_limits(asked, [LIMIT])
            plan = plan.send(shares)
            for holder in HOLDERS:
                plan = plan.confirm(holder, plan.sequence)
        rates = Counter(
            {each.holder: each.rates.requests_per_s for each in shares},
        )
        assert rates['z2'] >= 90
        assert rates.total() == pytest.approx(100)


class TestTokenBucket:
    """Limit a rate."""

    @SETTINGS
    @given(
        strategies.lists(
            strategies.tuples(strategies.floats(0, 2), strategies.floats(0, 9)),
            max_size=20,
        ),
    )
    def test_against_naive_sum(self, steps) -> None:
        """Pass at most the burst, the refill and one overdraft."""
        bucket = TokenBucket(rate_per_s=2, burst=5, now_s=0)
        now_s = 0.0
        taken = 0.0
        for passed_s, amount in steps:
            now_s += passed_s
            if bucket.wait_s(amount, now_s) == 0:
                bucket.take(amount)
                taken += amount
            assert taken <= 5 + 2 * now_s + 4 + 1e-6


class TestRetryBudget:
    """Limit the retries."""

    def test_ratio(self) -> None:
        """Retry at most a tenth of the requests once the reserve is used up."""
        budget = RetryBudget(ratio=0.1, reserve=5)
        retries = 0
        for _ in range(1000):
            budget.note_request()
            retries += budget.try_retry(idempotent=True)
        assert 95 <= retries <= 106

    def test_not_idempotent(self) -> None:
        """Never retry a request that isn't idempotent."""
        assert not RetryBudget(1).try_retry(idempotent=False)
