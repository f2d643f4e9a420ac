"""Decide whether an engine is cold, and which hosts share its rate then.

Load pattern: a zone of engines returns cold, and a cold engine crashes if the
hosts together send it much more than its rate. Its entry tells that it is cold,
but a host may send before it reads the entry. So a host whose contact with an
engine failed takes it for cold until the store or a long enough time shows
otherwise. The rate is shared by few hosts, mostly of the engine's zone; the
order of the hosts for an engine depends on no other engine, and little on other
hosts, so hosts that know different fleets choose nearly the same ones.
"""

import heapq
import math
from collections.abc import Iterable, Sequence

import msgspec

from bamboodeck.gateway.limits import FLEET_BURST, RateShare
from bamboodeck.gateway.placement import rendezvous_hash

# Part of the allowed requests that is planned; the rest is for hosts that know
# other hosts, and for requests that are delayed on their way.
PLANNED_FRACTION = 0.75
# Requests wait for the next sweep, so shares are saved up over that time.
SAVED_S = 0.1
# Bounds what an entry may claim.
MAX_COLD_S = 600.0


class ColdRules(msgspec.Struct, frozen=True):
    """Hold the rate of a service's cold engines, and what is allowed."""

    per_s: float
    start_s: float
    over: float
    slack: float
    # The entry of an engine that restarted is read within this time.
    reading_s: float
    # An engine without an answer or an entry for this long may have restarted.
    unseen_s: float
    # A cold engine's next entry is read within this time.
    rewrite_s: float

    @property
    def allowed(self) -> float:
        """Return the requests that an engine may get in a second."""
        return self.per_s * self.over + self.slack


class ColdKnowledge(msgspec.Struct, frozen=True):
    """Hold what a host knows of an engine; times are monotonic."""

    # Until when the engine is cold by its entry.
    until_s: float = -math.inf
    # The last time at which it may have been down.
    failed_s: float | None = None
    # Its first answer after that.
    answered_s: float | None = None


def apply_entry(
    known: ColdKnowledge,
    cold_s: float,
    now_s: float,
    rules: ColdRules,
) -> ColdKnowledge:
    """Apply an entry that was just read."""
    until_s = now_s + min(max(cold_s, 0.0), MAX_COLD_S)
    # An entry that ends it early may be an older one, from a restored store.
    until_s = max(until_s, min(known.until_s, now_s + rules.rewrite_s))
    if known.failed_s is None or now_s >= known.failed_s + rules.reading_s:
        return ColdKnowledge(until_s)
    # It may have been written before the engine was down.
    return ColdKnowledge(until_s, known.failed_s, known.answered_s)


def record_failure(known: ColdKnowledge, now_s: float) -> ColdKnowledge:
    """Record that the engine may have been down just now."""
    return ColdKnowledge(known.until_s, now_s)


def apply_report(
    known: ColdKnowledge,
    failed_s: float,
    last_progress_s: float,
) -> ColdKnowledge:
    """Apply that another host found the engine down."""
    if last_progress_s >= failed_s or failed_s <= (known.failed_s or 0.0):
        return known
    return record_failure(known, failed_s)


def record_answer(
    known: ColdKnowledge,
    began_s: float,
    now_s: float,
) -> ColdKnowledge:
    """Record an answer to a request that was sent at `began_s`."""
    if known.failed_s is None or known.answered_s is not None:
        return known
    if began_s < known.failed_s:
        return known
    return ColdKnowledge(known.until_s, known.failed_s, now_s)


def check_contact(
    known: ColdKnowledge,
    last_contact_s: float,
    now_s: float,
    rules: ColdRules,
) -> ColdKnowledge:
    """Suspect an engine that neither an answer nor the store vouches for."""
    if now_s - last_contact_s <= rules.unseen_s:
        return known
    return record_failure(known, now_s)


def is_cold(
    known: ColdKnowledge,
    confirmed_s: float,
    now_s: float,
    rules: ColdRules,
) -> bool:
    """Tell whether the engine is, or may be, cold.

    `confirmed_s` is when the store last confirmed the known state.
    """
    if now_s < known.until_s:
        return True
    if known.failed_s is None:
        return False
    if known.answered_s is not None:
        if now_s >= known.answered_s + rules.start_s:
            return False
    # Had it restarted, its entry would have lapsed or been replaced.
    return confirmed_s < known.failed_s + rules.reading_s


def order_hosts(
    hosts: Iterable[tuple[str, str]],
    engine_id: str,
    zone: str,
    count: int,
) -> list[str]:
    """Return the first `count` hosts for an engine, those of its zone first.

    `hosts` are zones and names.
    """
    hosts = tuple(hosts)
    own = [host for host_zone, host in hosts if host_zone == zone]
    ordered = heapq.nsmallest(
        count,
        own,
        key=lambda host: rendezvous_hash(host, engine_id),
    )
    if len(ordered) < count:
        ordered += heapq.nsmallest(
            count - len(ordered),
            [host for host_zone, host in hosts if host_zone != zone],
            key=lambda host: rendezvous_hash(host, engine_id),
        )
    return ordered


def count_sharing(limit_per_s: float, hosts: int, allowed: float) -> int:
    """Return how many hosts share a rate, with a margin in every second."""
    count = max(min(hosts, int(limit_per_s) + FLEET_BURST), 1)
    planned = allowed * PLANNED_FRACTION
    while count > 1 and _count_most(limit_per_s, count) > planned:
        count -= 1
    return count


def build_share(limit_per_s: float, count: int, allowed: float) -> RateShare:
    """Return the share of each of the hosts that share a rate."""
    planned = allowed * PLANNED_FRACTION
    while limit_per_s > planned / 2 and (
        _count_most(limit_per_s, count) > planned
    ):
        # The bound leaves less than the rate.
        limit_per_s *= PLANNED_FRACTION
    rate_per_s = limit_per_s / count
    return RateShare(rate_per_s, 1 + SAVED_S * rate_per_s)


def choose_sharing(
    ordered: Sequence[str],
    lost: frozenset[str],
    count: int,
    allowed: float,
) -> tuple[str, ...]:
    """Return the hosts that share an engine, from those ordered for it.

    Hosts that were lost may serve on, cut off from the store. They keep their
    places, and others take as many more as the allowed requests leave.
    """
    first = tuple(ordered[:count])
    absent = sum(host in lost for host in first)
    spare = max(int(allowed) - count - 1, 0)
    others = [host for host in ordered[count:] if host not in lost]
    return first + tuple(others[: min(absent, spare)])


def _count_most(limit_per_s: float, count: int) -> int:
    rate_per_s = limit_per_s / count
    return count * int(1 + rate_per_s * (1 + SAVED_S))
