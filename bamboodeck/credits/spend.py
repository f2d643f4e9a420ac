"""Estimate spend from delayed provider reports and zone meters."""

import bisect
from collections.abc import Sequence
from dataclasses import replace

from bamboodeck.credits.state import Checkpoint, ProviderLedger, ZoneMeter

CHECKPOINT_PERIOD_S = 1800.0
MAX_CHECKPOINTS = 336
MIN_CALIBRATION_FRACTION = 0.005
CALIBRATION_BOUNDS = (0.5, 2.0)
RATE_SMOOTHING = 0.3


def estimate_metered(meters: Sequence[ZoneMeter], now_s: float) -> float:
    """Sum up the zones, extrapolating each at its last rate up to its cap."""
    total = 0.0
    for meter in meters:
        unreported_s = max(now_s - meter.heard_s, 0)
        estimated = meter.metered_credits + meter.credits_per_s * unreported_s
        total += max(min(estimated, meter.cap_credits), meter.metered_credits)
    return total


def update_meter(meter: ZoneMeter, total: float, now_s: float) -> ZoneMeter:
    """Update a zone's total; an older or duplicate one changes nothing."""
    elapsed_s = now_s - meter.heard_s
    if total < meter.metered_credits or elapsed_s <= 0:
        return meter
    rate = (total - meter.metered_credits) / elapsed_s
    if meter.heard_s:
        change = rate - meter.credits_per_s
        rate = meter.credits_per_s + RATE_SMOOTHING * change
    else:
        rate = 0.0
    return replace(
        meter,
        metered_credits=total,
        heard_s=now_s,
        credits_per_s=rate,
    )


def add_checkpoint(
    ledger: ProviderLedger,
    metered: float,
    now_s: float,
) -> ProviderLedger:
    """Record the metered spend at regular times."""
    points = ledger.checkpoints
    if points and now_s - points[-1].time_s < CHECKPOINT_PERIOD_S:
        return ledger
    points = (*points, Checkpoint(now_s, metered))[-MAX_CHECKPOINTS:]
    return replace(ledger, checkpoints=points)


def metered_at(ledger: ProviderLedger, time_s: float) -> float:
    """Return the metered spend at a time, interpolating checkpoints."""
    points = ledger.checkpoints
    index = bisect.bisect_right(points, time_s, key=_time_of)
    if index == 0:
        return 0.0
    before = points[index - 1]
    if index == len(points):
        return before.metered_credits
    after = points[index]
    part = (time_s - before.time_s) / (after.time_s - before.time_s)
    rise = after.metered_credits - before.metered_credits
    return before.metered_credits + rise * part


def _time_of(point: Checkpoint) -> float:
    return point.time_s


def calibration(ledger: ProviderLedger) -> float:
    """Return the credits that the provider charges per metered credit."""
    covered = metered_at(ledger, ledger.covered_s)
    if covered < MIN_CALIBRATION_FRACTION * ledger.credits:
        return 1.0
    low, high = CALIBRATION_BOUNDS
    return min(max(ledger.reported_credits / covered, low), high)


def estimate_spent(ledger: ProviderLedger, metered: float) -> float:
    """Return the last report plus the calibrated spend metered since."""
    covered = metered_at(ledger, ledger.covered_s)
    since = max(metered - covered, 0)
    return ledger.reported_credits + since * calibration(ledger)
