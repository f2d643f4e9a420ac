"""Decide when a host asks the store, and what it tells its zone of it.

Load pattern: many hosts follow one store, and each call is paid for. In a
larger zone the first host asks often and tells the others; each of those asks
itself once what it was told grows old, the second host first. A host whose
store or neighbour has fallen silent is on its own within the time after which
changes have to be in force.
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

# With fewer hosts in a zone, a call of each that waits long costs less than
# frequent calls of one.
MIN_SHARING_HOSTS = 6
# All parts are of the time in which a change has to be in force.
# Changes that follow each other are read together, since each call is paid.
UNSHARED_PAUSE_FRACTION = 0.4
SHARED_PAUSE_FRACTION = 0.2
# How long a call waits at the store for the first change.
SHARED_WAIT_FRACTION = 0.25
# Longer than the first host's wait and the period of its news.
SECOND_STALENESS_FRACTION = 0.45
STALENESS_FRACTION_PER_RANK = 0.075
MAX_STAGGERED_RANK = 3
# A store that went silent forgets the calls that wait. Each is given up within
# the time after which a host has to follow the store again.
ANSWER_SLACK_S = 1.0
MIN_WAIT_S = 0.5
# Changes are told this long, so that lost news are made up for.
RESEND_S = 1.0
# More changes at once would fill the slowest links for too long: some 250 B
# each, to a dozen hosts, four times, over 5 Mbit/s. Hosts read them instead.
MAX_SHARED_FACTS = 32


class ZoneRank(msgspec.Struct, frozen=True):
    """Tell a host's place among the hosts of its zone that were heard."""

    rank: int
    hosts: int


class PollSchedule(msgspec.Struct, frozen=True):
    """Tell when to ask the store next."""

    # After changes were read.
    pause_s: float
    # How long the call may wait there.
    wait_s: float
    # What is known may be this old before the host asks.
    max_staleness_s: float
    # Whether the other hosts of the zone rely on this one's news.
    shares: bool


def build_schedule(rank: ZoneRank, bounds: Bounds) -> PollSchedule:
    """Return when a host asks, by its place in the zone."""
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
    """Tell up to which revision a host knows what the store lists."""

    revision: int
    configuration_revision: int
    # When the store has answered last.
    last_reply_s: float
    # Until when engines that are missing may be listed again.
    relist_until_s: float


class _Batch(msgspec.Struct, frozen=True):
    recorded_s: float
    after_revision: int
    facts: tuple[Fact, ...]


class ChangeLog:
    """Keep the newest changes for the hosts that follow by news."""

    def __init__(self) -> None:
        """Start without changes."""
        self._batches: deque[_Batch] = deque()

    def record(
        self,
        after_revision: int,
        facts: Iterable[Fact],
        now_s: float,
    ) -> None:
        """Keep the changes after a revision; each call follows the last."""
        shared = tuple(
            fact
            for fact in facts
            # What follows from an unreadable document is a fact of its own.
            if not isinstance(fact, ConfigurationListed | Unreadable)
        )
        self._batches.append(_Batch(now_s, after_revision, shared))

    def build_update(
        self,
        known: StoreView,
        now_s: float,
    ) -> StoreUpdate:
        """Return the news of what is known."""
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
