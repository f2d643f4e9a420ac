"""Share the rate of an engine in need among the hosts.

Load pattern: an engine names the requests a second that it takes from all hosts
together, which may be fewer than there are hosts. Neither a share of each host
that is rounded up nor one that saves up to a whole request keeps within that,
so only as many hosts as the rate allows share an engine. All hosts choose them
alike, from the listed hosts and engines, and those of the engine's zone come
first where zones are of one size.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import msgspec

# Requests beyond the rate that all hosts together may send at once. The users
# allow half of the rate and five in any four seconds.
FLEET_BURST = 2
# Allows for rounding when tokens are added up.
_ROUNDING = 1e-6

# A request that another host has lent has to be sent within this time.
LOAN_S = 0.5


class RateShare(msgspec.Struct, frozen=True):
    """Hold what a host may send to an engine."""

    rate_per_s: float
    # The most requests that are saved up while none are sent.
    burst: float


NO_SHARE = RateShare(0.0, 0.0)


def list_sharing_hosts(
    limit_per_s: float,
    hosts: Sequence[str],
    engine_id: str,
    engine_ids: Sequence[str],
) -> tuple[str, ...]:
    """Return the hosts that share an engine.

    `hosts` and `engine_ids` are sorted alike on every host.
    """
    count = min(len(hosts), int(limit_per_s) + FLEET_BURST)
    first = engine_ids.index(engine_id) * len(hosts) // len(engine_ids)
    return tuple(
        hosts[(first + number) % len(hosts)] for number in range(count)
    )


def find_share(
    limit_per_s: float,
    host: str,
    sharing: Sequence[str],
) -> RateShare:
    """Return the share of a host in the rate that some hosts share."""
    if host not in sharing:
        return NO_SHARE
    return RateShare(
        limit_per_s / len(sharing),
        (limit_per_s + FLEET_BURST) / len(sharing),
    )


@dataclass(slots=True)
class NamedLimit:
    """Hold the requests a second that an engine takes from all hosts."""

    limit_per_s: float
    # When an answer first named a limit, and when the last one did.
    named_s: float
    confirmed_s: float
    share: RateShare = NO_SHARE
    sharing_hosts: tuple[str, ...] = ()
    _tokens: float = 0.0
    _refilled_s: float = 0.0
    # A request that another host has lent has to be sent within this time.
    loan_s: float = LOAN_S
    # A lender's share grows this much later, since the borrower sends later.
    lend_pause_s: float = 0.0
    # Until when each request that another host has lent may be sent.
    _loans_s: list[float] = field(default_factory=list)

    def set_share(self, share: RateShare, now_s: float) -> None:
        """Replace this host's share; a new one starts without requests."""
        self._refill(now_s)
        self.share = share
        self._tokens = min(self._tokens, share.burst)

    def restart(self, saved: float, now_s: float) -> None:
        """Go on with another number of saved requests."""
        self._refill(now_s)
        self._tokens = min(saved, self.share.burst)

    def has_room(self, now_s: float) -> bool:
        """Tell whether this host may send a request now."""
        self._refill(now_s)
        return bool(self._loans_s) or self._tokens >= 1 - _ROUNDING

    def count_saved(self, now_s: float) -> float:
        """Return the requests of this host's share that are saved up."""
        self._refill(now_s)
        return self._tokens

    def has_own_room(self, now_s: float) -> bool:
        """Tell whether this host may send or lend a request of its share."""
        self._refill(now_s)
        return self._tokens >= 1 - _ROUNDING

    def take(self, now_s: float) -> None:
        """Count a request that this host sends."""
        self._refill(now_s)
        if self._loans_s:
            self._loans_s.pop(0)
            return
        self.take_own(now_s)

    def take_own(self, now_s: float) -> None:
        """Count a request of this host's share."""
        self._refill(now_s)
        self._tokens = max(self._tokens - 1, 0.0)

    def lend(self, now_s: float) -> None:
        """Count a request that another host will send."""
        self.take_own(now_s)
        self._tokens -= self.lend_pause_s * self.share.rate_per_s

    def add_loan(self, now_s: float) -> None:
        """Add a request that another host has lent."""
        self._loans_s.append(now_s + self.loan_s)

    def _refill(self, now_s: float) -> None:
        left_s = now_s - self._refilled_s
        self._refilled_s = now_s
        self._tokens = min(
            self._tokens + left_s * self.share.rate_per_s,
            self.share.burst,
        )
        self._loans_s = [
            until_s for until_s in self._loans_s if until_s > now_s
        ]


def find_wait_s(
    limits: Iterable[NamedLimit],
    waiting: int,
    now_s: float,
) -> float:
    """Return how long a request waits for shares, behind `waiting` others."""
    saved = 0.0
    total_per_s = 0.0
    for limit in limits:
        saved += limit.count_saved(now_s)
        total_per_s += limit.share.rate_per_s
    if not total_per_s:
        return math.inf
    return max(waiting + 1 - saved, 0.0) / total_per_s
