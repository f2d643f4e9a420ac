"""Bound the requests that reach a version before it is known to be good.

Load pattern: every host sends requests to a version on trial. Each host keeps
its own share of the bound, so that the sum over all hosts keeps it, whatever
they know of each other.
"""

from random import Random

import msgspec

# The rest of the bound is for a version that turns bad after its trial, until
# all hosts have stopped using it.
TRIAL_FRACTION = 0.8


class ExposureBound(msgspec.Struct, frozen=True):
    """Hold a host's bound on requests to a version that may be bad."""

    # Share of the requests to the service.
    share: float
    # Requests beyond the share.
    slack: float

    def count_allowed(self, requests: float) -> float:
        """Return how many of a number of requests a bad version may get."""
        return self.share * requests + self.slack


class Exposure:
    """Count a host's requests to a service and to its new version."""

    def __init__(self, random: Random) -> None:
        """Start without requests."""
        self.requests = 0
        self.trial_requests = 0
        self._random = random
        # In large fleets a host's share is less than one request, so it rounds
        # up or down at random.
        self._rounding = random.random()

    def record(self, *, is_trial: bool) -> None:
        """Count a request that is sent to an engine."""
        self.requests += 1
        if is_trial:
            self.trial_requests += 1
            self._rounding = self._random.random()

    def allows_trial(self, bound: ExposureBound) -> bool:
        """Tell whether one more request may reach the new version."""
        allowed = TRIAL_FRACTION * bound.count_allowed(self.requests + 1)
        return self.trial_requests + self._rounding < allowed


class KnownRequests(msgspec.Struct, frozen=True):
    """Hold what is known of all hosts' requests since an order."""

    requests: float
    trial_requests: float
    elapsed_s: float
    duration_s: float


def is_affordable(
    bound: ExposureBound,
    known: KnownRequests,
    share: float,
) -> bool:
    """Tell whether a bad version may get a share until the roll-out's end.

    That is, the bound allows it so many requests at the rate so far.
    """
    duration_s = max(known.duration_s, known.elapsed_s)
    expected = known.requests * duration_s / max(known.elapsed_s, 1.0)
    coming = max(expected - known.requests, 0.0)
    allowed = TRIAL_FRACTION * bound.count_allowed(expected)
    return known.trial_requests + share * coming <= allowed
