"""Test the retry budget under load with failures."""

from random import Random

from bamboodeck.gateway.budget import RetryBudget

RATIO = 0.9
WINDOW_S = 10.0
SLACK = 52.0
HOSTS = 6


class TestFleet:
    """Test that all hosts together keep the fleet's budget."""

    def test_everything_fails(self) -> None:
        """Bound the retries in each window while every request is retried."""
        random = Random(7)
        budgets = [RetryBudget(RATIO, WINDOW_S, SLACK) for _ in range(HOSTS)]
        requests: list[float] = []
        repeats: list[float] = []
        for budget in budgets:
            budget.hosts = HOSTS
        for step in range(12_000):
            now_s = step * 0.005
            budget = random.choice(budgets[: 1 + step % HOSTS])
            budget.record_request(SERVICE, now_s)
            requests.append(now_s)
            for _ in range(2):
                if budget.allows(SERVICE, now_s):
                    budget.record_retry(SERVICE, now_s)
                    repeats.append(now_s)
        for end_s in range(10, 60, 5):
            asked = count_within(requests, end_s)
            repeated = count_within(repeats, end_s)
            assert repeated <= RATIO * asked + SLACK
            assert repeated > asked / 2

    def test_idle_host(self) -> None:
        """Allow a host without requests no more than its share of the slack."""
        budget = RetryBudget(RATIO, WINDOW_S, SLACK)
        budget.hosts = HOSTS
        allowed = 0
        while budget.allows(SERVICE, 0.0):
            budget.record_retry(SERVICE, 0.0)
            allowed += 1
        assert 0 < allowed <= SLACK / HOSTS

    def test_window(self) -> None:
        """Allow retries again once the old ones are out of the window."""
        budget = RetryBudget(RATIO, WINDOW_S, SLACK)
        while budget.allows(SERVICE, 0.0):
            budget.record_retry(SERVICE, 0.0)
        assert not budget.allows(SERVICE, WINDOW_S)
        assert budget.allows(SERVICE, WINDOW_S + 0.1)


SERVICE = 'models'


def count_within(times_s: list[float], end_s: float) -> int:
    """Count the times within the window that ends at a time."""
    return sum(end_s - WINDOW_S < each <= end_s for each in times_s)
