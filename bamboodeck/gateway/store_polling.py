"""Decide when a host polls the store, and what it publishes to its zone.

Load pattern: many hosts follow one store, and each call is billed. In a larger
zone the host of the lowest rank polls often and publishes the changes. The
others poll only once their state is stale, one after the other by rank, and
tell the zone what they read. So a zone finds out within the time in which
changes have to be in force whether the store serves any of its hosts, and while
it serves none, the zone's calls are bounded, however many hosts it has.
"""

from collections import deque
from collections.abc import Iterable

import msgspec

from bamboodeck.gateway.model import Bounds
from bamboodeck.gateway.peer_messages import StoreUpdate
from bamboodeck.gateway.ports import (
    ConfigurationListed,
    Fact,
    Position,
    Unreadable,
)

# In smaller zones, one long poll by each host costs less than frequent polls by
# one of them.
MIN_SHARING_HOSTS = 6
# All fractions are of the time in which a change has to be in force.
# A pause after a change batches the following ones, since each call is billed.
UNSHARED_PAUSE_FRACTION = 0.4
SHARED_PAUSE_FRACTION = 0.2
# While engines may be listed again, their entries are read soon.
RELIST_PAUSE_S = 0.25
# An entry lapses after three heartbeats of silence, the first of which may have
# begun before the outage.
LAPSING_OUTAGE_HEARTBEATS = 2
# How long a call waits at the store for a change.
SHARED_WAIT_FRACTION = 0.25
# Longer than the first host's wait and its publishing period together.
SECOND_STALENESS_FRACTION = 0.45
THIRD_STALENESS_FRACTION = 0.525
# The other hosts follow at even distances, the last one at this fraction, which
# leaves time to catch up and to read a configuration. An answer takes
# milliseconds and is published at once, so that the next host usually learns of
# it before its own turn.
LAST_STALENESS_FRACTION = 0.65
MAX_STALENESS_STEP = 0.03
# Backoff of a host whose calls fail.
INITIAL_RETRY_S = 0.1
MAX_RETRY_S = 1.0
# While the store is away, the hosts of a zone other than the first one together
# make one call in this period.
ZONE_RETRY_PERIOD_S = 1.0
# A store that stopped responding forgets waiting calls. This margin lets such a
# call time out, and the next one be answered on a new connection, before the
# host has to follow the store again.
ANSWER_SLACK_S = 1.5
# The same margin, with the first retry's delay, for a store that serves on.
RECONNECT_SLACK_S = 1.25
MIN_WAIT_S = 0.5
# A host whose state is stale needs an answer before the next host polls too. It
# also finds out soon whether a store that didn't answer is back.
STALE_WAIT_S = 0.001
# Changes are published repeatedly for this long, since messages may be lost.
RESEND_S = 1.0
# More changes, published repeatedly to all hosts, would congest the slowest
# links: about 250 B each, to a dozen hosts, four times, over 5 Mbit/s. Hosts
# ask for them instead.
MAX_SHARED_FACTS = 32
# Changes are kept this long for hosts that ask.
KEEP_S = 10.0
# What fits a datagram at 250 B each.
MAX_REQUESTED_FACTS = 200
# A host that is behind reads from the store if its zone doesn't help in this
# time, about two publishing periods.
CATCH_UP_S = 0.6


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
    # How long after an answer the host publishes it to its zone; 0 if never.
    publish_s: float


def find_lapsing_outage_s(bounds: Bounds) -> float:
    """Return the shortest outage in seconds in which entries may lapse."""
    return LAPSING_OUTAGE_HEARTBEATS * bounds.heartbeat_s


def build_schedule(
    rank: ZoneRank,
    bounds: Bounds,
    reply_age_s: float = 0.0,
) -> PollSchedule:
    """Return when a host polls, by its rank in the zone.

    `reply_age_s` is the time since the store last answered the host.
    """
    bound_s = bounds.shortest_s
    left_s = _find_longest_wait_s(bounds) - reply_age_s
    longest_wait_s = max(left_s, STALE_WAIT_S)
    if rank.hosts < MIN_SHARING_HOSTS:
        return PollSchedule(
            pause_s=UNSHARED_PAUSE_FRACTION * bound_s,
            wait_s=longest_wait_s,
            max_staleness_s=0.0,
            publish_s=0.0,
        )
    shared_wait_s = max(SHARED_WAIT_FRACTION * bound_s, MIN_WAIT_S)
    return PollSchedule(
        pause_s=SHARED_PAUSE_FRACTION * bound_s,
        wait_s=(
            STALE_WAIT_S if rank.rank else min(shared_wait_s, longest_wait_s)
        ),
        max_staleness_s=_find_staleness_fraction(rank) * bound_s,
        publish_s=2 * shared_wait_s,
    )


def _find_longest_wait_s(bounds: Bounds) -> float:
    # A lost call must have timed out within the window after the last answer.
    longest_s = bounds.stability_s - ANSWER_SLACK_S
    # One that is answered anew before entries may lapse tells that engines
    # whose entries were removed meanwhile have left.
    conclusive_s = find_lapsing_outage_s(bounds) - RECONNECT_SLACK_S
    if conclusive_s < MIN_WAIT_S:
        return longest_s
    return min(longest_s, conclusive_s)


def _find_staleness_fraction(rank: ZoneRank) -> float:
    match rank.rank:
        case 0:
            return 0.0
        case 1:
            return SECOND_STALENESS_FRACTION
    span = LAST_STALENESS_FRACTION - THIRD_STALENESS_FRACTION
    step = min(span / (rank.hosts - 2), MAX_STALENESS_STEP)
    return THIRD_STALENESS_FRACTION + step * (rank.rank - 2)


def find_retry_delay_s(
    rank: ZoneRank,
    failures: int,
    *,
    zone_served: bool,
) -> float:
    """Return the mean delay in seconds after failed calls in a row.

    With `zone_served`, the store serves another host of the zone.
    """
    delay_s = min(INITIAL_RETRY_S * 2 ** (failures - 1), MAX_RETRY_S)
    if zone_served or rank.rank == 0 or rank.hosts < MIN_SHARING_HOSTS:
        return delay_s
    # The calls of a zone often fail at the same moment. The hosts take turns
    # from then on, so that one of them finds out soon that the store is back.
    turn = rank.rank if failures == 1 else rank.hosts - 1
    return max(delay_s, ZONE_RETRY_PERIOD_S * turn)


class StoreView(msgspec.Struct, frozen=True):
    """Hold the position up to which a host knows the store."""

    position: Position
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

    def clear(self) -> None:
        """Drop all changes, as they belong to an earlier history."""
        self._batches.clear()

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
        while self._batches and self._batches[0].recorded_s < now_s - KEEP_S:
            self._batches.popleft()
        recent = [
            batch
            for batch in self._batches
            if batch.recorded_s >= now_s - RESEND_S
        ]
        facts = _join_facts(recent)
        if not recent or len(facts) > MAX_SHARED_FACTS:
            return _build_message(known, now_s, known.position.revision, ())
        return _build_message(known, now_s, recent[0].after_revision, facts)

    def build_answer(
        self,
        known: StoreView,
        after_revision: int,
        now_s: float,
    ) -> StoreUpdate | None:
        """Return the changes after a revision, if all of them are kept."""
        for number, batch in enumerate(self._batches):
            if batch.after_revision > after_revision:
                return None
            following = list(self._batches)[number:]
            if len(following) > 1 and (
                following[1].after_revision <= after_revision
            ):
                continue
            facts = _join_facts(following)
            if len(facts) > MAX_REQUESTED_FACTS:
                return None
            return _build_message(known, now_s, batch.after_revision, facts)
        return None


def _join_facts(batches: Iterable[_Batch]) -> tuple[Fact, ...]:
    return tuple(fact for batch in batches for fact in batch.facts)


def _build_message(
    known: StoreView,
    now_s: float,
    after_revision: int,
    facts: tuple[Fact, ...],
) -> StoreUpdate:
    return StoreUpdate(
        after_revision=after_revision,
        revision=known.position.revision,
        configuration_revision=known.configuration_revision,
        age_ms=int((now_s - known.last_reply_s) * 1000),
        relist_ms=max(int((known.relist_until_s - now_s) * 1000), 0),
        facts=facts,
        era=known.position.era,
    )
