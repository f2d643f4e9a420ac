"""Find the cascade that reaches a mean score at the lowest cost.

The score price is the gain in score that each credit spent must bring (score
per credit). For a given price, the best cascade is found by dynamic
programming from the last step: a step's value is its expected score, with
rejected answers replaced, less its cost times the price. An answer is rejected
if its score is below the value of the next step. The search then takes the
highest price at which the weighted mean over all groups of requests still
reaches the goal, so that credits are spent on the groups where they raise the
score most.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import NamedTuple

from bamboodeck.quality.distribution import ScoreDistribution

MAX_STEPS = 3
PRICE_PRECISION = 1.01
GUESS_RATIO = 1.2
MIN_PRICE_RATIO = 0.001
MAX_PRICE_RATIO = 2.0
MIN_COST_CREDITS = 1e-9


class Candidate(NamedTuple):
    """Describe a version by its cost and its scores as a step.

    `first` are the scores of direct answers, `later` those of answers that
    replace a rejected one.
    """

    version: str
    cost_credits: float
    first: ScoreDistribution
    later: ScoreDistribution


class RequestGroup(NamedTuple):
    """Describe requests of one kind, weighted by their number.

    The candidates are ordered by cost, cheapest first. A first answer that
    scores below the floor is replaced if there is a more expensive version.
    """

    weight: float
    candidates: tuple[Candidate, ...]
    floor: float


class ScorePrice(NamedTuple):
    """Set the gain in score that each credit spent must bring."""

    score_per_credit: float
    reaches_goal: bool


class CascadeStep(NamedTuple):
    """Name a step's version and the lowest score that is accepted."""

    version: str
    acceptance_score: float


@dataclass(frozen=True, slots=True)
class Cascade:
    """Describe a cascade with its expected cost and mean score."""

    steps: tuple[CascadeStep, ...]
    expected_cost_credits: float
    expected_score: float
    reaches_goal: bool = False
    score_per_credit: float = 0.0


class _Node(NamedTuple):
    """Hold the value of running a candidate, and its best fallback."""

    value: float
    threshold: float
    next_index: int


class _Fallback(NamedTuple):
    """Hold the value and index of the best more expensive candidate."""

    value: float
    next_index: int


_NO_FALLBACK = _Fallback(0, -1)


def cheapest_cascade(
    candidates: Sequence[Candidate],
    goal: float,
    floor: float,
) -> Cascade:
    """Return the cheapest cascade that reaches a mean score, or the best one.

    A first answer that scores below the floor is replaced if there is a more
    expensive version. Raise `ValueError` if there is no candidate.
    """
    group = RequestGroup(1, tuple(sorted(candidates, key=_cost)), floor)
    price = find_price((group,), goal)
    return cascade_at_price(group, price)


def find_price(
    groups: Sequence[RequestGroup],
    goal: float,
    guess: float = 0.0,
) -> ScorePrice:
    """Return the highest price at which the groups' mean reaches the goal.

    A guess that is close to the result shortens the search. Raise
    `ValueError` if there is no group, or one without candidates.
    """
    if guess > 0:
        low, high = guess / GUESS_RATIO, guess * GUESS_RATIO
        enough = _mean_score(groups, low) >= goal
        if enough and _mean_score(groups, high) < goal:
            return _bisect(groups, goal, low, high)
    costs = [each.cost_credits for group in groups for each in group.candidates]
    low = MIN_PRICE_RATIO / max(*costs, MIN_COST_CREDITS)
    high = MAX_PRICE_RATIO / max(min(costs), MIN_COST_CREDITS)
    if _mean_score(groups, low) < goal:
        return ScorePrice(low, reaches_goal=False)
    return _bisect(groups, goal, low, high)


def _bisect(
    groups: Sequence[RequestGroup],
    goal: float,
    low: float,
    high: float,
) -> ScorePrice:
    while high > low * PRICE_PRECISION:
        price = (low * high) ** 0.5
        if _mean_score(groups, price) < goal:
            high = price
            continue
        low = price
    return ScorePrice(low, reaches_goal=True)


def best_cascade(group: RequestGroup, score_per_credit: float) -> Cascade:
    """Return the best cascade of a group at a score price."""
    return _best_cascade(group.candidates, score_per_credit, group.floor)


def cascade_at_price(group: RequestGroup, price: ScorePrice) -> Cascade:
    """Return the best cascade of a group, marked with its score price."""
    return replace(
        best_cascade(group, price.score_per_credit),
        reaches_goal=price.reaches_goal,
        score_per_credit=price.score_per_credit,
    )


def direct_at_price(group: RequestGroup, price: ScorePrice) -> Cascade:
    """Return the best single version at a score price."""
    best = max(
        group.candidates,
        key=lambda each: (
            each.first.mean - each.cost_credits * price.score_per_credit
        ),
    )
    return Cascade(
        (CascadeStep(best.version, 0),),
        best.cost_credits,
        best.first.mean,
        price.reaches_goal,
        price.score_per_credit,
    )


def _mean_score(groups: Sequence[RequestGroup], price: float) -> float:
    total = sum(group.weight for group in groups)
    scores = (
        group.weight * best_cascade(group, price).expected_score
        for group in groups
    )
    return sum(scores) / total


def _best_cascade(
    ordered: Sequence[Candidate],
    price: float,
    floor: float,
) -> Cascade:
    """Return the best cascade of ordered candidates at a score price."""
    layers: list[list[_Node]] = []
    fallbacks = _no_fallbacks(ordered)
    for _ in range(MAX_STEPS - 1):
        layer = [
            _later_node(candidate, fallback, price)
            for candidate, fallback in zip(ordered, fallbacks, strict=True)
        ]
        layers.append(layer)
        fallbacks = _fallbacks(layer)
    firsts = [
        _first_node(candidate, fallback, price, floor)
        for candidate, fallback in zip(ordered, fallbacks, strict=True)
    ]
    layers.append(firsts)
    values = [node.value for node in firsts]
    return _trace(ordered, layers, values.index(max(values)))


def _no_fallbacks(ordered: Sequence[Candidate]) -> list[_Fallback]:
    return [_NO_FALLBACK for _ in ordered]


def _fallbacks(layer: Sequence[_Node]) -> list[_Fallback]:
    """Return the best more expensive candidate for each candidate."""
    best = _NO_FALLBACK
    found: list[_Fallback] = []
    for index in range(len(layer) - 1, -1, -1):
        found.append(best)
        value = layer[index].value
        if best.next_index < 0 or value >= best.value:
            best = _Fallback(value, index)
    found.reverse()
    return found


def _later_node(
    candidate: Candidate,
    fallback: _Fallback,
    price: float,
) -> _Node:
    threshold = max(fallback.value, 0)
    mean = candidate.later.mean_with_fallback(threshold, fallback.value)
    value = mean - candidate.cost_credits * price
    return _Node(value, threshold, fallback.next_index)


def _first_node(
    candidate: Candidate,
    fallback: _Fallback,
    price: float,
    floor: float,
) -> _Node:
    threshold = max(fallback.value, 0)
    if fallback.next_index >= 0:
        threshold = max(threshold, floor)
    mean = candidate.first.mean_with_fallback(threshold, fallback.value)
    value = mean - candidate.cost_credits * price
    return _Node(value, threshold, fallback.next_index)


def _trace(
    ordered: Sequence[Candidate],
    layers: Sequence[Sequence[_Node]],
    first: int,
) -> Cascade:
    steps = []
    cost_credits = 0.0
    score = 0.0
    reach_probability = 1.0
    index = first
    for depth, layer in enumerate(reversed(layers)):
        candidate = ordered[index]
        node = layer[index]
        table = candidate.later if depth else candidate.first
        steps.append(CascadeStep(candidate.version, node.threshold))
        cost_credits += reach_probability * candidate.cost_credits
        score += reach_probability * table.sum_from(node.threshold)
        reach_probability *= table.share_below(node.threshold)
        index = node.next_index
        if index < 0 or reach_probability <= 0:
            break
    return Cascade(tuple(steps), cost_credits, score)


def _cost(candidate: Candidate) -> float:
    return candidate.cost_credits
