"""Decide which requests meet a new version, and when it is good or bad.

Load pattern: a version is moved in while traffic goes on; it may be bad at
once, later, on one route or only under load. For half of the time a small
share of the sessions tries it. Then the share grows by steps, and every host
can stop it at once by evidence that all hosts share as plain counts.
"""

import math
from collections.abc import Iterable, Mapping

import msgspec
import xxhash

# The share of sessions on the new version, and the part of the roll-out's time
# at which each step begins. Sessions may only change over in the second half.
STEP_SHARES = (0.08, 0.3, 0.6, 1.0)
STEP_START_FRACTIONS = (0.0, 0.54, 0.62, 0.7)
# The old engines stop at completion; until then their streams may end.
COMPLETION_FRACTION = 0.9
# A version is bad if its failures fit this much higher a rate better than the
# usual one; likewise its slow answers.
FAILURE_RATE_RISE = 0.2
SLOW_RATE_RISE = 0.25
# A hundred to one, with a margin for looking after every answer.
BAD_LOG_ODDS = math.log(200)
MIN_BASELINE_RATE = 0.02
MAX_BASELINE_RATE = 0.7
MIN_BAD_ANSWERS = 3
# Without its worst engine a version is judged if others were tried too, as one
# engine's own trouble says nothing of the version.
MIN_ENGINES_FOR_OUTLIER = 3
# An answer is slow if it took longer, against its prediction, than this part
# of the answers of the version before.
SLOW_QUANTILE = 0.85
# ... until some were seen.
INITIAL_SLOW_RATIO = 1.7
# Moves the learned quantile by this much, so that a hundred answers settle it.
QUANTILE_STEP = 0.04


class AnswerCounts(msgspec.Struct, frozen=True):
    """Count the answers of one engine, those that failed and the slow ones."""

    answers: int = 0
    failed: int = 0
    slow: int = 0


class SlowRatio:
    """Learn the ratio of observed to predicted time that few answers pass."""

    def __init__(self) -> None:
        """Start with the assumed ratio."""
        self.ratio = INITIAL_SLOW_RATIO

    def learn(self, ratio: float) -> None:
        """Learn from an answer of the version before."""
        if ratio > self.ratio:
            self.ratio += QUANTILE_STEP * SLOW_QUANTILE
        else:
            self.ratio -= QUANTILE_STEP * (1 - SLOW_QUANTILE)


def share_at(step: int) -> float:
    """Return the share of sessions on the new version at a step."""
    return STEP_SHARES[min(step, len(STEP_SHARES) - 1)]


def step_due(elapsed_s: float, duration_s: float) -> int:
    """Return the step that a roll-out should have reached."""
    part = elapsed_s / duration_s if duration_s > 0 else 1.0
    return max(
        step
        for step, begins in enumerate(STEP_START_FRACTIONS)
        if part >= begins
    )


def is_complete(step: int, elapsed_s: float, duration_s: float) -> bool:
    """Tell whether all sessions have moved, for long enough."""
    last = len(STEP_SHARES) - 1
    return step >= last and elapsed_s >= duration_s * COMPLETION_FRACTION


def is_in_share(key: str, version: str, share: float) -> bool:
    """Tell whether a session is among the share; more join as it grows."""
    digest = xxhash.xxh32_intdigest(f'{version}/{key}'.encode())
    return digest / 0xFFFFFFFF < share


def is_bad(
    new: Mapping[str, AnswerCounts],
    before: AnswerCounts,
) -> bool:
    """Tell whether a version fails or is slow more often than before.

    `new` holds the counts of its engines.
    """
    judged = list(new.values())
    if len(judged) >= MIN_ENGINES_FOR_OUTLIER:
        worst = max(judged, key=lambda counts: counts.failed + counts.slow)
        judged.remove(worst)
    after = sum_counts(judged)
    return is_rate_harmful(
        (after.answers, after.failed),
        (before.answers, before.failed),
        MIN_BASELINE_RATE,
        FAILURE_RATE_RISE,
    ) or is_rate_harmful(
        (after.answers, after.slow),
        (before.answers, before.slow),
        1 - SLOW_QUANTILE,
        SLOW_RATE_RISE,
    )


def sum_counts(counts: Iterable[AnswerCounts]) -> AnswerCounts:
    """Add counts up."""
    total = AnswerCounts()
    for each in counts:
        total = AnswerCounts(
            total.answers + each.answers,
            total.failed + each.failed,
            total.slow + each.slow,
        )
    return total


def is_rate_harmful(
    after: tuple[int, int],
    before: tuple[int, int],
    smallest_rate: float,
    rise: float,
) -> bool:
    """Weigh a harmful rate of bad answers against the usual one.

    Both pairs are a number of answers and of the bad ones among them.
    """
    answers, bad = after
    if bad < MIN_BAD_ANSWERS:
        return False
    old_answers, old_bad = before
    # Few answers before say little: they count like one bad one in forty.
    baseline = max((old_bad + 1) / (old_answers + 40), smallest_rate)
    baseline = min(baseline, MAX_BASELINE_RATE)
    harmful = baseline + rise
    log_odds = bad * math.log(harmful / baseline)
    log_odds += (answers - bad) * math.log((1 - harmful) / (1 - baseline))
    return log_odds >= BAD_LOG_ODDS


class VersionChoice(msgspec.Struct, frozen=True):
    """Tell which version of a service a request may use.

    `None` stands for any version but the excluded ones.
    """

    only: str | None = None
    excluded: str | None = None
    # Whether another version may serve if none of the chosen one can.
    strict: bool = False


def choose_version(
    target: str,
    *,
    share: float,
    key: str,
    pinned: str | None,
    may_switch: bool,
) -> VersionChoice:
    """Choose between the new version and what was there before."""
    if pinned == target:
        return VersionChoice(only=target)
    if pinned is not None and not may_switch:
        return VersionChoice(excluded=target, strict=True)
    if is_in_share(key, target, share):
        return VersionChoice(only=target)
    return VersionChoice(excluded=target)
