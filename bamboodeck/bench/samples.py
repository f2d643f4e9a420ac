"""Summarise measured times by percentiles."""

from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True, slots=True)
class Percentiles:
    """Summarise times by count, percentiles and maximum in milliseconds."""

    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    max_ms: float


def summarise_times(times_s: list[float]) -> Percentiles:
    """Return the percentiles, in milliseconds, of times in seconds."""
    if not times_s:
        return Percentiles(0, 0, 0, 0, 0)
    times_ms = np.asarray(times_s) * 1000
    p50, p95, p99 = np.percentile(times_ms, [50, 95, 99])
    return Percentiles(
        len(times_s),
        round(float(p50), 3),
        round(float(p95), 3),
        round(float(p99), 3),
        round(float(times_ms.max()), 3),
    )
