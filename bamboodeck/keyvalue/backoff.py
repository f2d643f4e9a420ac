"""Compute retry delays for requests to the key-value service."""

import random

# Bounds the exponent during a long outage.
_MAX_DOUBLINGS = 16


def backoff_s(
    failures: int,
    base_s: float,
    max_s: float,
    rng: random.Random,
) -> float:
    """Return a random delay; its upper bound doubles with each failure."""
    doublings = min(failures, _MAX_DOUBLINGS)
    return rng.uniform(0, min(max_s, base_s * 2**doublings))
