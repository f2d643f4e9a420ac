"""Set the mean score to aim at from what was delivered so far."""

from bamboodeck.quality.cells import Cell

REPAY_COUNT = 75.0
REPAY_SHARE = 0.05
SCORE_DEVIATION = 0.2
MAX_OFFSET = 0.15


def quality_goal(delivered: Cell, target: float, z_score: float) -> float:
    """Return the target with a margin, less what was met beyond it."""
    count = delivered.count
    repay_count = correction_window(count)
    # As a debt is repaid, the mean errs by no more than what is open of it.
    open_error = SCORE_DEVIATION * repay_count**0.5
    offset = z_score * open_error / (count + repay_count)
    if count > 0:
        shortfall = target - delivered.score_sum / count
        offset += shortfall * count / repay_count
    return target + min(max(offset, -MAX_OFFSET), MAX_OFFSET)


def correction_window(count: float) -> float:
    """Return the number of answers over which a shortfall is repaid."""
    # Other nodes' answers are heard of late, so that a node which repaid the
    # shortfall of many answers within a few would overshoot.
    return max(REPAY_COUNT, count * REPAY_SHARE)
