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
from bamboodeck.gateway.news import StoreNews
from bamboodeck.gateway.ports import (
    ConfigurationListed,
    Fact,
    Unreadable,
)

# With fewer hosts in a zone, a call of each that waits long costs less than
# frequent calls of one.
FEWEST_SHARING = 6
# All parts are of the time in which a change has to be in force.
# Changes that follow each other are read together, since each call is paid.
ALONE_PAUSE_PART = 0.4
FIRST_PAUSE_PART = 0.2
# How long a call waits at the store for the first change.
SHARED_WAIT_PART = 0.25
# Longer than the first host's wait and the period of its news.
SECOND_PATIENCE_PART = 0.45
NEXT_PATIENCE_PART = 0.075
LATEST_PLACE = 3
# A store that went silent forgets the calls that wait. Each is given up within
# the time after which a host has to follow the store again.
ANSWER_SLACK_S = 1.0
SHORTEST_WAIT_S = 0.5
# Changes are told this long, so that lost news are made up for.
TOLD_FOR_S = 1.0


class ZonePlace(msgspec.Struct, frozen=True):
    """Tell a host's place among the hosts of its zone that were heard."""

    place: int
    hosts: int


class Schedule(msgspec.Struct, frozen=True):
    """Tell when to ask the store next."""

    # After changes were read.
    pause_s: float
    # How long the call may wait there.
    wait_s: float
    # What is known may be this old before the host asks.
    patience_s: float
    # Whether the other hosts of the zone rely on this one's news.
    tells: bool


def find_schedule(place: ZonePlace, bounds: Bounds) -> Schedule:
    """Return when a host asks, by its place in the zone."""
    bound_s = min(bounds.drain_s, bounds.configuration_s)
    if place.hosts < FEWEST_SHARING:
        return Schedule(
            pause_s=ALONE_PAUSE_PART * bound_s,
            wait_s=max(bounds.stability_s - ANSWER_SLACK_S, SHORTEST_WAIT_S),
            patience_s=0.0,
            tells=False,
        )
    patience_part = 0.0
    if place.place:
        later = min(place.place, LATEST_PLACE) - 1
        patience_part = SECOND_PATIENCE_PART + NEXT_PATIENCE_PART * later
    return Schedule(
        pause_s=FIRST_PAUSE_PART * bound_s,
        wait_s=max(SHARED_WAIT_PART * bound_s, SHORTEST_WAIT_S),
        patience_s=patience_part * bound_s,
        tells=True,
    )


class _Batch(msgspec.Struct, frozen=True):
    noted_s: float
    after_revision: int
    untold: int
    facts: tuple[Fact, ...]


class ChangeLog:
    """Keep the newest changes for the hosts that follow by news."""

    def __init__(self) -> None:
        """Start without changes."""
        self._batches: deque[_Batch] = deque()

    def note(
        self,
        after_revision: int,
        revision: int,
        facts: Iterable[Fact],
        now_s: float,
    ) -> None:
        """Keep the changes after one revision and up to another."""
        told = []
        untold = 0
        for fact in facts:
            match fact:
                case ConfigurationListed():
                    untold = revision
                case Unreadable():
                    # What follows from it is a fact of its own.
                    continue
                case _:
                    told.append(fact)
        self._batches.append(
            _Batch(now_s, after_revision, untold, tuple(told)),
        )

    def note_all_read(self, revision: int, now_s: float) -> None:
        """Forget the changes, as everything was read anew."""
        self._batches.clear()
        self._batches.append(_Batch(now_s, revision, revision, ()))

    def tell(
        self,
        revision: int,
        now_s: float,
        *,
        heard_s: float,
        relist_until_s: float,
    ) -> StoreNews:
        """Return the news of what is known at a revision."""
        while self._batches and self._batches[0].noted_s < now_s - TOLD_FOR_S:
            self._batches.popleft()
        batches = tuple(self._batches)
        return StoreNews(
            after_revision=batches[0].after_revision if batches else revision,
            revision=revision,
            untold=max((each.untold for each in batches), default=0),
            age_ms=int((now_s - heard_s) * 1000),
            relist_ms=max(int((relist_until_s - now_s) * 1000), 0),
            facts=tuple(fact for each in batches for fact in each.facts),
        )
