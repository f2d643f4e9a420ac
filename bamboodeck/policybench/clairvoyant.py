"""Compute a lower bound on any policy's cost from known scores."""

from bamboodeck.policybench.outcome import Tally
from bamboodeck.policybench.scenario import (
    Request,
    answer_credits,
    draw_requests,
    true_score,
)
from bamboodeck.policybench.workload import Workload

_MAX_SCORE_PRICE = 1e6
_BISECTION_STEPS = 60


class Choice:
    """Store the cost and score of each allowed version for a request."""

    __slots__ = ('costs', 'names', 'request', 'scores')

    def __init__(self, workload: Workload, request: Request) -> None:
        """Evaluate the customer's allowed versions, without roll-outs."""
        self.request = request
        allowed = [
            version
            for version in workload.versions
            if version.name in request.customer.versions
            and not version.rollout_baseline
        ]
        self.names = [version.name for version in allowed]
        self.scores = [
            true_score(workload, version, request, request.at_s)
            for version in allowed
        ]
        self.costs = [answer_credits(version, request) for version in allowed]

    def best(self, score_price: float) -> int:
        """Return the index that minimises cost minus price times score."""
        return min(
            range(len(self.names)),
            key=lambda index: (
                self.costs[index] - score_price * self.scores[index]
            ),
        )


def run_clairvoyant(
    workload: Workload,
    seed: int,
    *,
    by_class: bool,
) -> Tally:
    """Meet each mean quality target at the lowest cost, without queues."""
    groups: dict[tuple[str, str], list[Choice]] = {}
    for request in draw_requests(workload, seed):
        class_name = request.request_class.name if by_class else ''
        group = groups.setdefault((request.customer.name, class_name), [])
        group.append(Choice(workload, request))
    targets = {each.name: each.quality_target for each in workload.customers}
    tally = Tally(targets)
    for (customer, _), choices in groups.items():
        score_price = _find_score_price(choices, targets[customer])
        for choice in choices:
            _add_choice(tally, choice, choice.best(score_price))
    return tally


def _find_score_price(choices: list[Choice], target: float) -> float:
    low, high = 0.0, _MAX_SCORE_PRICE
    for _ in range(_BISECTION_STEPS):
        middle = (low + high) / 2
        scores = [choice.scores[choice.best(middle)] for choice in choices]
        if sum(scores) / len(scores) < target:
            low = middle
        else:
            high = middle
    return high


def _add_choice(tally: Tally, choice: Choice, index: int) -> None:
    customer = choice.request.customer.name
    tally.requests += 1
    tally.in_deadline += 1
    tally.add_cost(customer, choice.costs[index])
    tally.add_cost_part(
        choice.request.request_class.name,
        choice.names[index],
        'foreseen',
        choice.costs[index],
    )
    tally.add_answer(
        customer,
        choice.names[index],
        choice.scores[index],
        0,
        0,
    )
