"""Choose the requests that use a new version, and detect a bad version.

Load pattern: a version is rolled out under live traffic and may be bad from
the start, later, on one route or only under load. For the first half of the
roll-out a small share of the sessions uses it. Then the share grows in steps,
and any host can stop it at once, based on answer counts of all hosts.
"""

import math
from collections.abc import Iterable, Mapping

import msgspec
import xxhash

# Share of sessions on the new version at each step, and the fraction of the
# roll-out's duration at which the step starts. Running sessions may switch
# versions only in the second half.
STEP_SHARES = (0.08, 0.3, 0.6, 1.0)
STEP_START_FRACTIONS = (0.0, 0.54, 0.62, 0.7)
LAST_STEP = len(STEP_SHARES) - 1
# Old engines are stopped at completion, so their streams need time to end.
COMPLETION_FRACTION = 0.9
# A version is bad if its failures are better explained by the baseline rate
# plus this rise than by the baseline rate; likewise for slow answers.
FAILURE_RATE_RISE = 0.2
SLOW_RATE_RISE = 0.25
# Odds of 100 to 1, doubled because the test is repeated after every answer.
BAD_ODDS = 200
MIN_BASELINE_RATE = 0.02
MIN_SLOW_BASELINE_RATE = 0.15
# Above this rate of the old version, a rise says nothing about the new one.
MAX_BASELINE_RATE = 0.7
MIN_BAD_ANSWERS = 3
# With at least this many engines the worst one is left out, since a fault of a
# single engine says nothing about the version.
MIN_ENGINES_FOR_OUTLIER = 3
# Ratios of observed to predicted time above which an answer counts as slow. A
# version is slow if it is slow by any of them. They are the same on all hosts,
# whose counts are added, and each host has few answers.
SLOW_RATIOS = (1.5, 2.0, 3.0, 4.0, 6.0)


class AnswerCounts(msgspec.Struct, frozen=True):
    """Count the answers of one engine, and the failed and slow ones of them."""

    answers: int = 0
    failed: int = 0
    # By ratio of `SLOW_RATIOS`.
    slow: tuple[int, ...] = (0,) * len(SLOW_RATIOS)

    def add(self, *, failed: bool, time_ratio: float) -> 'AnswerCounts':
        """Return the counts with one more answer."""
        return AnswerCounts(
            self.answers + 1,
            self.failed + failed,
            tuple(
                count + (time_ratio > ratio)
                for count, ratio in zip(self.slow, SLOW_RATIOS, strict=True)
            ),
        )


class RateTest(msgspec.Struct, frozen=True):
    """Tell a harmful rate of bad answers from the baseline rate by odds."""

    min_baseline: float
    rise: float
    odds: float


FAILURE_TEST = RateTest(MIN_BASELINE_RATE, FAILURE_RATE_RISE, BAD_ODDS)
# The odds are shared by the tests for all ratios.
SLOW_TEST = RateTest(
    MIN_SLOW_BASELINE_RATE,
    SLOW_RATE_RISE,
    BAD_ODDS * len(SLOW_RATIOS),
)


def share_at(step: int) -> float:
    """Return the share of sessions on the new version at a step."""
    return STEP_SHARES[min(step, len(STEP_SHARES) - 1)]


def step_due(elapsed_s: float, duration_s: float) -> int:
    """Return the step that is due after the elapsed time."""
    fraction = elapsed_s / duration_s if duration_s > 0 else 1.0
    return max(
        step
        for step, start in enumerate(STEP_START_FRACTIONS)
        if fraction >= start
    )


def clamp_elapsed_s(elapsed_s: float, step: int, duration_s: float) -> float:
    """Limit an elapsed time to that in which a step is the newest one."""
    starts = (*STEP_START_FRACTIONS, 1.0)
    latest = starts[min(step + 1, len(starts) - 1)] * duration_s
    return max(min(elapsed_s, latest), starts[step] * duration_s)


def is_complete(step: int, elapsed_s: float, duration_s: float) -> bool:
    """Tell whether all sessions have used the new version long enough."""
    return step >= LAST_STEP and elapsed_s >= duration_s * COMPLETION_FRACTION


def is_in_share(key: str, version: str, share: float) -> bool:
    """Tell whether a session is in the share; a larger share contains it."""
    digest = xxhash.xxh32_intdigest(f'{version}/{key}'.encode())
    return digest / 0xFFFFFFFF < share


def is_bad(
    new: Mapping[str, AnswerCounts],
    before: AnswerCounts,
) -> bool:
    """Tell whether a version fails or is slow more often than the old one.

    `new` holds the counts of the version's engines.
    """
    judged = list(new.values())
    if len(judged) >= MIN_ENGINES_FOR_OUTLIER:
        worst = max(judged, key=lambda counts: counts.failed + counts.slow[0])
        judged.remove(worst)
    after = sum_counts(judged)
    return is_rate_harmful(
        (after.answers, after.failed),
        (before.answers, before.failed),
        FAILURE_TEST,
    ) or any(
        is_rate_harmful(
            (after.answers, slow),
            (before.answers, old_slow),
            SLOW_TEST,
        )
        for slow, old_slow in zip(after.slow, before.slow, strict=True)
    )


def sum_counts(counts: Iterable[AnswerCounts]) -> AnswerCounts:
    """Add up counts."""
    summed = (AnswerCounts(), *counts)
    by_ratio = zip(*(each.slow for each in summed), strict=True)
    return AnswerCounts(
        sum(each.answers for each in summed),
        sum(each.failed for each in summed),
        tuple(map(sum, by_ratio)),
    )


def is_rate_harmful(
    after: tuple[int, int],
    before: tuple[int, int],
    test: RateTest,
) -> bool:
    """Test a harmful rate of bad answers against the baseline rate.

    Both pairs hold a number of answers and the number of bad ones among them.
    """
    answers, bad = after
    if bad < MIN_BAD_ANSWERS:
        return False
    old_answers, old_bad = before
    # A prior of one bad answer in 40, for when there are few old answers.
    baseline = max((old_bad + 1) / (old_answers + 40), test.min_baseline)
    if baseline > MAX_BASELINE_RATE:
        return False
    harmful = baseline + test.rise
    log_odds = bad * math.log(harmful / baseline)
    log_odds += (answers - bad) * math.log((1 - harmful) / (1 - baseline))
    return log_odds >= math.log(test.odds)


class VersionChoice(msgspec.Struct, frozen=True):
    """Restrict the versions of a service that a request may use.

    With `only` set to `None`, every version but `excluded` may be used.
    """

    only: str | None = None
    excluded: str | None = None
    # Whether no other version may be used even if no engine matches.
    strict: bool = False


def choose_version(
    target: str,
    *,
    share: float,
    key: str,
    pinned: str | None,
    may_switch: bool,
) -> VersionChoice:
    """Choose between the new version and the old ones."""
    if pinned == target:
        return VersionChoice(only=target)
    if pinned is not None and not may_switch:
        return VersionChoice(excluded=target, strict=True)
    if is_in_share(key, target, share):
        return VersionChoice(only=target)
    return VersionChoice(excluded=target)
