"""Decide which requests meet a new version, and when it is good or bad.

Load pattern: a version is moved in while traffic goes on; it may be bad at
once, later, on one route or only under load. For half of the time a small
share of the sessions tries it. Then the share grows by steps, and every host
can stop it at once by evidence that all hosts share as plain counts.
"""

import math
from collections.abc import Mapping

import msgspec
import xxhash

# The share of sessions on the new version, and the part of the roll-out's time
# at which each step begins. Sessions may only change over in the second half.
STEP_SHARES = (0.08, 0.3, 0.6, 1.0)
STEP_BEGINS = (0.0, 0.54, 0.62, 0.7)
# The old engines stop at completion; until then their streams may end.
COMPLETE_AT = 0.9
# A version is bad if its failures fit this rate better than the usual one.
HARMFUL_RISE = 0.2
# A hundred to one, with a margin for looking after every answer.
BAD_LOG_ODDS = math.log(200)
SMALLEST_USUAL_RATE = 0.02
FEWEST_BAD_ANSWERS = 3
# Without its worst engine a version is judged if others were tried too, as one
# engine's own trouble says nothing of the version.
FEWEST_ENGINES = 3


class AnswerCounts(msgspec.Struct, frozen=True):
    """Count the answers of one engine, and those that failed or were slow."""

    answers: int = 0
    bad: int = 0


def share_at(step: int) -> float:
    """Return the share of sessions on the new version at a step."""
    return STEP_SHARES[min(step, len(STEP_SHARES) - 1)]


def step_due(elapsed_s: float, duration_s: float) -> int:
    """Return the step that a roll-out should have reached."""
    part = elapsed_s / duration_s if duration_s > 0 else 1.0
    return max(
        step for step, begins in enumerate(STEP_BEGINS) if part >= begins
    )


def is_complete(step: int, elapsed_s: float, duration_s: float) -> bool:
    """Tell whether all sessions have moved, for long enough."""
    last = len(STEP_SHARES) - 1
    return step >= last and elapsed_s >= duration_s * COMPLETE_AT


def falls_in_share(key: str, version: str, share: float) -> bool:
    """Tell whether a session is among the share; more join as it grows."""
    digest = xxhash.xxh32_intdigest(f'{version}/{key}'.encode())
    return digest / 0xFFFFFFFF < share


def is_bad(
    new: Mapping[str, AnswerCounts],
    old: Mapping[str, AnswerCounts],
) -> bool:
    """Tell whether a version fails more often than the one before."""
    judged = list(new.values())
    if len(judged) >= FEWEST_ENGINES:
        judged.remove(max(judged, key=lambda counts: counts.bad))
    answers = sum(counts.answers for counts in judged)
    bad = sum(counts.bad for counts in judged)
    if bad < FEWEST_BAD_ANSWERS:
        return False
    old_answers = sum(counts.answers for counts in old.values())
    old_bad = sum(counts.bad for counts in old.values())
    usual = max((old_bad + 1) / (old_answers + 40), SMALLEST_USUAL_RATE)
    harmful = min(usual + HARMFUL_RISE, 0.95)
    usual = min(usual, 0.75)
    log_odds = bad * math.log(harmful / usual)
    log_odds += (answers - bad) * math.log((1 - harmful) / (1 - usual))
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
    may_change_over: bool,
) -> VersionChoice:
    """Choose between the new version and what was there before."""
    if pinned == target:
        return VersionChoice(only=target)
    if pinned is not None and not may_change_over:
        return VersionChoice(excluded=target, strict=True)
    if falls_in_share(key, target, share):
        return VersionChoice(only=target)
    return VersionChoice(excluded=target)
