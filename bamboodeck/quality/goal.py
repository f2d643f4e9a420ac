"""Compute the mean score to aim at from the answers delivered so far."""

from bamboodeck.quality.cells import Cell

MIN_CORRECTION_COUNT = 75.0
CORRECTION_SHARE = 0.05
SCORE_DEVIATION = 0.2
MAX_OFFSET = 0.15


def quality_goal(delivered: Cell, target: float, z_score: float) -> float:
    """Return the target, corrected for a past shortfall or surplus.

    A margin of `z_score` standard errors is added; the offset from the target
    is at most `MAX_OFFSET`.
    """
    count = delivered.count
    window_count = correction_window(count)
    # Older shortfalls have been corrected already, so the error of the mean
    # stems only from the answers of one correction window.
    window_error = SCORE_DEVIATION * window_count**0.5
    offset = z_score * window_error / (count + window_count)
    if count > 0:
        shortfall = target - delivered.score_sum / count
        offset += shortfall * count / window_count
    return target + min(max(offset, -MAX_OFFSET), MAX_OFFSET)


def correction_window(count: float) -> float:
    """Return the number of answers over which a shortfall is corrected."""
    # Other nodes' ratings arrive late, so correcting the shortfall of many
    # answers within a few would overshoot.
    return max(MIN_CORRECTION_COUNT, count * CORRECTION_SHARE)
