"""Judge a version on trial by its answers and those of the old version.

Load pattern: a version may be bad everywhere, on one route only, or only on
loaded engines. Answers are therefore counted by route and load, and a version
is compared with the old one on the same route.
"""

import enum
import math
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from functools import partial

import msgspec

from bamboodeck.gateway.answer_counts import (
    SLOW_RATIOS,
    AnswerCounts,
    Cell,
    CellCounts,
    Load,
    add_cells,
)

# A version is bad if its answers are better explained by the baseline rate plus
# such a rise than by the baseline rate.
FAILURE_RATE_RISES = (0.1, 0.2, 0.5)
SLOW_RATE_RISES = (0.25,)
# Odds of 100 to 1, doubled because the test is repeated after every answer.
BAD_ODDS = 200
# The other engines have to point to the version by these odds, since a fault of
# a single engine says nothing about it.
OTHERS_BAD_ODDS = 10
# Without its worst engine a version is good by these odds only.
OTHERS_GOOD_ODDS = 50
MIN_ENGINES_FOR_OUTLIER = 3
# A version is good once the baseline rate explains its answers this much better
# than a small rise, and those of each usual route better than a large one.
GOOD_ODDS = 20
GOOD_RISE = 0.1
GOOD_ROUTE_ODDS = 5
GOOD_ROUTE_RISE = 0.5
# Share of the old version's answers on a usual route.
USUAL_ROUTE_SHARE = 0.1
# Such odds for a rise on one route or at one load leave a version undecided.
DOUBT_ODDS = 8
DOUBTED_RISE = 0.2
MIN_BASELINE_RATE = 0.02
# Usual loads make some answers slow by the smallest ratio.
MIN_SLIGHTLY_SLOW_RATE = 0.15
MIN_SLOW_RATE = 0.1
# Above this rate of the old version, a rise says nothing about the new one.
MAX_BASELINE_RATE = 0.7
MAX_RATE = 0.97
MIN_BAD_ANSWERS = 3
# The rate of a route counts like this many answers in each of its load levels.
ROUTE_WEIGHT = 20
# An answer that took this many times as long as predicted was slow even if its
# engine had more load than was known.
ALWAYS_SLOW_RATIO = 2.0
# Without old answers a tenth of them is taken as bad, with this weight.
PRIOR_ANSWERS = 5
PRIOR_BAD_ANSWERS = 0.5
# If the old version has this share of its answers under high load, the new one
# needs some, or some of bursts, before it counts as good.
USUAL_HIGH_LOAD_SHARE = 0.03
MIN_HIGH_LOAD_ANSWERS = 6
_MAX_EXPONENT = 700.0


@enum.unique
class Verdict(enum.Enum):
    """Tell what the answers say about a version."""

    BAD = 'bad'
    GOOD = 'good'
    UNDECIDED = 'undecided'


class Judgement(msgspec.Struct, frozen=True):
    """Hold a verdict, and what speaks against the version or is missing."""

    verdict: Verdict
    reason: str


class RateTest(msgspec.Struct, frozen=True):
    """Tell a harmful rate of bad answers from the baseline rate by odds."""

    name: str
    count_bad: Callable[[AnswerCounts], int]
    rises: tuple[float, ...]
    min_baseline: float
    odds: float
    # Whether answers count only where the old version has some at that load.
    like_load_only: bool = False


def _count_failed(counts: AnswerCounts) -> int:
    return counts.failed


def _count_slow(index: int, counts: AnswerCounts) -> int:
    return counts.slow[index]


FAILURE_TEST = RateTest(
    'failures',
    _count_failed,
    FAILURE_RATE_RISES,
    MIN_BASELINE_RATE,
    BAD_ODDS,
)
# The odds are shared by the tests for all ratios.
SLOW_TESTS = tuple(
    RateTest(
        f'over {ratio} times the time',
        partial(_count_slow, index),
        SLOW_RATE_RISES,
        MIN_SLOW_RATE if ratio >= ALWAYS_SLOW_RATIO else MIN_SLIGHTLY_SLOW_RATE,
        BAD_ODDS * len(SLOW_RATIOS),
        like_load_only=ratio < ALWAYS_SLOW_RATIO,
    )
    for index, ratio in enumerate(SLOW_RATIOS)
)
RATE_TESTS = (FAILURE_TEST, *SLOW_TESTS)
# Few answers don't tell slightly slow from usual ones.
DOUBT_TESTS = tuple(test for test in RATE_TESTS if not test.like_load_only)


class CellRate(msgspec.Struct, frozen=True):
    """Hold the answers in a cell, the bad ones, and the baseline rate."""

    cell: Cell
    answers: int
    bad: int
    baseline: float

    def log_odds(self, rise: float) -> float:
        """Return the log odds of a rise against the baseline rate."""
        harmful = min(self.baseline + rise, MAX_RATE)
        return self.bad * math.log(harmful / self.baseline) + (
            self.answers - self.bad
        ) * math.log((1 - harmful) / (1 - self.baseline))


def judge(
    new: Mapping[str, CellCounts],
    before: CellCounts,
    engines: int,
) -> Judgement:
    """Judge a version by its answers and those of the old versions.

    `new` holds the counts of its engines that have answers, of `engines` in
    all.
    """
    after = add_cells(new.values())
    suspected = [
        test
        for test in RATE_TESTS
        if _are_odds_above(after, before, test, test.odds)
    ]
    if suspected:
        judgement = Judgement(Verdict.BAD, suspected[0].name)
    else:
        judgement = _look_for_good(after, before, GOOD_ODDS)
    if engines < MIN_ENGINES_FOR_OUTLIER or judgement.verdict is Verdict.GOOD:
        return judgement
    others = _judge_others(new, before, suspected)
    if suspected or others.verdict is Verdict.GOOD:
        return others
    return judgement


def _judge_others(
    new: Mapping[str, CellCounts],
    before: CellCounts,
    suspected: Collection[RateTest],
) -> Judgement:
    """Judge a version by its engines without the worst one."""
    judgement = Judgement(Verdict.GOOD, '')
    for test in suspected or (FAILURE_TEST,):
        others = _leave_out_worst(new, test)
        odds = OTHERS_BAD_ODDS * test.odds / BAD_ODDS
        if suspected and _are_odds_above(others, before, test, odds):
            return Judgement(Verdict.BAD, test.name)
        if judgement.verdict is Verdict.GOOD:
            judgement = _look_for_good(others, before, OTHERS_GOOD_ODDS)
    return judgement


def _leave_out_worst(
    new: Mapping[str, CellCounts],
    test: RateTest,
) -> dict[Cell, AnswerCounts]:
    bad = {engine: _count_bad(cells, test) for engine, cells in new.items()}
    worst = max(bad, key=bad.__getitem__, default=None)
    return add_cells(cells for engine, cells in new.items() if engine != worst)


def _are_odds_above(
    after: CellCounts,
    before: CellCounts,
    test: RateTest,
    odds: float,
) -> bool:
    if _count_bad(after, test) < MIN_BAD_ANSWERS:
        return False
    rates = _compare(after, before, test)
    groups = _group(rates)
    # The mean odds over all groups and rises holds for tests of all of them.
    logarithms = [
        sum(each.log_odds(rise) for each in group)
        for group in groups
        for rise in test.rises
    ]
    if not logarithms:
        return False
    mean = sum(
        math.exp(min(logarithm, _MAX_EXPONENT)) for logarithm in logarithms
    ) / len(logarithms)
    return mean >= odds


def _look_for_good(
    after: CellCounts,
    before: CellCounts,
    odds: float,
) -> Judgement:
    rates = _compare(after, before, FAILURE_TEST)
    reason = ''
    if sum(each.log_odds(GOOD_RISE) for each in rates) > -math.log(odds):
        reason = 'few answers'
    elif not _is_loaded_enough(after, before):
        reason = 'few answers under load'
    for route in _list_usual_routes(before):
        if not _is_route_good(route, rates):
            reason = reason or f'route {route}'
    for test in DOUBT_TESTS:
        if _is_doubted(_compare(after, before, test)):
            reason = reason or f'{test.name} in doubt'
    if reason:
        return Judgement(Verdict.UNDECIDED, reason)
    return Judgement(Verdict.GOOD, '')


def _is_route_good(route: str, rates: Collection[CellRate]) -> bool:
    log_odds = sum(
        each.log_odds(GOOD_ROUTE_RISE)
        for each in rates
        if each.cell.route == route
    )
    return log_odds <= -math.log(GOOD_ROUTE_ODDS)


def _list_usual_routes(before: CellCounts) -> list[str]:
    answers: Counter[str] = Counter()
    failed: Counter[str] = Counter()
    for cell, counts in before.items():
        answers[cell.route] += counts.answers
        failed[cell.route] += counts.failed
    return [
        route
        for route, number in answers.items()
        if number >= USUAL_ROUTE_SHARE * answers.total()
        and failed[route] <= MAX_BASELINE_RATE * number
    ]


def _is_loaded_enough(after: CellCounts, before: CellCounts) -> bool:
    loaded_before = _count_answers(before, loaded_only=True)
    if loaded_before < USUAL_HIGH_LOAD_SHARE * _count_answers(before):
        return True
    return _count_answers(after, loaded_only=True) >= MIN_HIGH_LOAD_ANSWERS


def _is_doubted(rates: Collection[CellRate]) -> bool:
    return any(
        sum(each.bad for each in group) >= MIN_BAD_ANSWERS
        and sum(each.log_odds(DOUBTED_RISE) for each in group)
        > math.log(DOUBT_ODDS)
        for group in _group(rates)
    )


def _group(rates: Collection[CellRate]) -> list[list[CellRate]]:
    """Return all rates together, those of each route, and of each load."""
    by_route: dict[str, list[CellRate]] = {}
    by_load: dict[Load, list[CellRate]] = {}
    for each in rates:
        by_route.setdefault(each.cell.route, []).append(each)
        by_load.setdefault(each.cell.load, []).append(each)
    return [list(rates), *by_route.values(), *by_load.values()]


def _compare(
    after: CellCounts,
    before: CellCounts,
    test: RateTest,
) -> list[CellRate]:
    rates = []
    for cell, counts in after.items():
        old = before.get(cell, AnswerCounts())
        if test.like_load_only and old.answers < ROUTE_WEIGHT:
            continue
        baseline = _find_baseline(cell, old, before, test)
        if baseline > MAX_BASELINE_RATE:
            continue
        bad = test.count_bad(counts)
        rates.append(CellRate(cell, counts.answers, bad, baseline))
    return rates


def _find_baseline(
    cell: Cell,
    old: AnswerCounts,
    before: CellCounts,
    test: RateTest,
) -> float:
    answers = PRIOR_ANSWERS
    bad = PRIOR_BAD_ANSWERS
    for each, counts in before.items():
        if each.route == cell.route:
            answers += counts.answers
            bad += test.count_bad(counts)
    rate = (test.count_bad(old) + ROUTE_WEIGHT * bad / answers) / (
        old.answers + ROUTE_WEIGHT
    )
    return max(rate, test.min_baseline)


def _count_bad(counts: CellCounts, test: RateTest) -> int:
    return sum(test.count_bad(each) for each in counts.values())


def _count_answers(counts: CellCounts, *, loaded_only: bool = False) -> int:
    return sum(
        each.answers
        for cell, each in counts.items()
        if cell.load is not Load.USUAL or not loaded_only
    )
