"""Find the cascade that reaches a mean score at the lowest cost.

For a given price of score, in score per credit, the best cascade follows from
its end: an answer is replaced if it scores less than the next version is
worth, its cost included. The price is then chosen so that the mean over all
groups of requests reaches the goal: score is bought where it is cheapest.
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
    """Hold a version's cost and scores, as a first and a later step."""

    version: str
    cost_credits: float
    first: ScoreDistribution
    later: ScoreDistribution


class RequestGroup(NamedTuple):
    """Hold the candidates for requests of one kind, weighted by their number.

    The candidates are in the order of their costs.
    No first answer below the floor is kept if there is a dearer version.
    """

    weight: float
    candidates: tuple[Candidate, ...]
    floor: float


class ScorePrice(NamedTuple):
    """Tell how much score a credit has to bring."""

    score_per_credit: float
    reaches_goal: bool


class CascadeStep(NamedTuple):
    """Hold a step and the score from which its answer is kept."""

    version: str
    acceptance_score: float


@dataclass(frozen=True, slots=True)
class Cascade:
    """Hold the steps of a cascade and what they are expected to reach."""

    steps: tuple[CascadeStep, ...]
    expected_cost_credits: float
    expected_score: float
    reaches_goal: bool = False
    score_per_credit: float = 0.0


class _Node(NamedTuple):
    """Hold the best way on from a candidate, by its number."""

    value: float
    threshold: float
    next_index: int


class _Fallback(NamedTuple):
    """Hold what the best dearer candidate is worth, and its number."""

    value: float
    next_index: int


_NO_FALLBACK = _Fallback(0, -1)


def cheapest_cascade(
    candidates: Sequence[Candidate],
    goal: float,
    floor: float,
) -> Cascade:
    """Return the cheapest cascade that reaches a mean score, or the best one.

    No first answer below the floor is kept if there is a dearer version.
    Raise `ValueError` if there is no candidate.
    """
    group = RequestGroup(1, tuple(sorted(candidates, key=_cost)), floor)
    price = find_price((group,), goal)
    return cascade_at_price(group, price)


def find_price(
    groups: Sequence[RequestGroup],
    goal: float,
    guess: float = 0.0,
) -> ScorePrice:
    """Return the highest price at which the mean over the groups suffices.

    The search is shorter if a price near it is known. Raise `ValueError` if
    there is no group, or one without candidates.
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
    """Return the best cascade of a group at a price of score."""
    return _best_cascade(group.candidates, score_per_credit, group.floor)


def cascade_at_price(group: RequestGroup, price: ScorePrice) -> Cascade:
    """Return the best cascade of a group with the price that it follows."""
    return replace(
        best_cascade(group, price.score_per_credit),
        reaches_goal=price.reaches_goal,
        score_per_credit=price.score_per_credit,
    )


def direct_at_price(group: RequestGroup, price: ScorePrice) -> Cascade:
    """Return the version that is best at a price if none follows it."""
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
    """Return the best cascade at a price in score per credit."""
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
    worths = [node.value for node in firsts]
    return _trace(ordered, layers, worths.index(max(worths)))


def _no_fallbacks(ordered: Sequence[Candidate]) -> list[_Fallback]:
    return [_NO_FALLBACK for _ in ordered]


def _fallbacks(layer: Sequence[_Node]) -> list[_Fallback]:
    """Return for each candidate the best of the dearer ones."""
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
