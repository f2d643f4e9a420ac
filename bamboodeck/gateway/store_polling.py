"""Decide when a host polls the store, and what it publishes to its zone.

Load pattern: many hosts follow one store, and each call is billed. In a larger
zone the host of the lowest rank polls often and publishes the changes. The
others poll only once their state is stale, the second host first. If the store
or the polling host stops responding, each host polls by itself within the time
in which changes have to be in force.
"""

from collections import deque
from collections.abc import Iterable

import msgspec

from bamboodeck.gateway.model import Bounds
from bamboodeck.gateway.peer_messages import StoreUpdate
from bamboodeck.gateway.ports import (
    ConfigurationListed,
    Fact,
    Unreadable,
)

# In smaller zones, one long poll by each host costs less than frequent polls by
# one of them.
MIN_SHARING_HOSTS = 6
# All fractions are of the time in which a change has to be in force.
# A pause after a change batches the following ones, since each call is billed.
UNSHARED_PAUSE_FRACTION = 0.4
SHARED_PAUSE_FRACTION = 0.2
# How long a call waits at the store for a change.
SHARED_WAIT_FRACTION = 0.25
# Longer than the first host's wait and its publishing period together.
SECOND_STALENESS_FRACTION = 0.45
STALENESS_FRACTION_PER_RANK = 0.075
MAX_STAGGERED_RANK = 3
# A store that stopped responding forgets waiting calls. This margin lets such a
# call time out before the host has to follow the store again.
ANSWER_SLACK_S = 1.0
MIN_WAIT_S = 0.5
# Changes are published repeatedly for this long, since messages may be lost.
RESEND_S = 1.0
# More changes would congest the slowest links: about 250 B each, to a dozen
# hosts, four times, over 5 Mbit/s. Hosts read them from the store instead.
MAX_SHARED_FACTS = 32


class ZoneRank(msgspec.Struct, frozen=True):
    """Hold a host's rank among the live hosts of its zone; 0 is first."""

    rank: int
    hosts: int


class PollSchedule(msgspec.Struct, frozen=True):
    """Define when to poll the store next."""

    # Pause after changes were read.
    pause_s: float
    # How long the call may wait at the store.
    wait_s: float
    # Age of the known state at which the host polls.
    max_staleness_s: float
    # Whether the host publishes changes to its zone.
    shares: bool


def build_schedule(rank: ZoneRank, bounds: Bounds) -> PollSchedule:
    """Return when a host polls, by its rank in the zone."""
    bound_s = min(bounds.drain_s, bounds.configuration_s)
    if rank.hosts < MIN_SHARING_HOSTS:
        return PollSchedule(
            pause_s=UNSHARED_PAUSE_FRACTION * bound_s,
            wait_s=max(bounds.stability_s - ANSWER_SLACK_S, MIN_WAIT_S),
            max_staleness_s=0.0,
            shares=False,
        )
    staleness_fraction = 0.0
    if rank.rank:
        later = min(rank.rank, MAX_STAGGERED_RANK) - 1
        staleness_fraction = (
            SECOND_STALENESS_FRACTION + STALENESS_FRACTION_PER_RANK * later
        )
    return PollSchedule(
        pause_s=SHARED_PAUSE_FRACTION * bound_s,
        wait_s=max(SHARED_WAIT_FRACTION * bound_s, MIN_WAIT_S),
        max_staleness_s=staleness_fraction * bound_s,
        shares=True,
    )


class StoreView(msgspec.Struct, frozen=True):
    """Hold the revision up to which a host knows the store."""

    revision: int
    configuration_revision: int
    # When the store last answered.
    last_reply_s: float
    # Until when missing engines may be listed again.
    relist_until_s: float


class _Batch(msgspec.Struct, frozen=True):
    recorded_s: float
    after_revision: int
    facts: tuple[Fact, ...]


class ChangeLog:
    """Hold recent changes to publish to the zone."""

    def __init__(self) -> None:
        """Start without changes."""
        self._batches: deque[_Batch] = deque()

    def record(
        self,
        after_revision: int,
        facts: Iterable[Fact],
        now_s: float,
    ) -> None:
        """Add the changes after a revision, in order of revisions."""
        shared = tuple(
            fact
            for fact in facts
            # The effect of an unreadable document is a separate fact.
            if not isinstance(fact, ConfigurationListed | Unreadable)
        )
        self._batches.append(_Batch(now_s, after_revision, shared))

    def build_update(
        self,
        known: StoreView,
        now_s: float,
    ) -> StoreUpdate:
        """Return the update to publish to the zone."""
        while self._batches and self._batches[0].recorded_s < now_s - RESEND_S:
            self._batches.popleft()
        after_revision = known.revision
        facts = tuple(fact for each in self._batches for fact in each.facts)
        if len(facts) > MAX_SHARED_FACTS:
            facts = ()
        elif self._batches:
            after_revision = self._batches[0].after_revision
        return StoreUpdate(
            after_revision=after_revision,
            revision=known.revision,
            configuration_revision=known.configuration_revision,
            age_ms=int((now_s - known.last_reply_s) * 1000),
            relist_ms=max(int((known.relist_until_s - now_s) * 1000), 0),
            facts=facts,
        )
