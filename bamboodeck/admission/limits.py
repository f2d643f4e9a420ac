"""Split the customers' fleet-wide limits over zones and nodes.

A lowered share counts in full until its holder has confirmed the lower value.
So the shares in force never exceed the limit in sum, even if messages are lost
or duplicated or the network is partitioned.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from bamboodeck.admission.fairness import Claim, split_fairly

# Split evenly over all holders, so that a customer's first request at an idle
# node needn't wait for a new split.
RESERVE_FRACTION = 0.1
# Over-allocates, so that a holder's demand can grow until the next split.
HEADROOM_FACTOR = 1.25


@dataclass(frozen=True, slots=True)
class Rates:
    """Pair a request rate with a token rate."""

    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CustomerLimit:
    """Set the fleet-wide limit of a customer."""

    customer: str
    rates: Rates


@dataclass(frozen=True, slots=True)
class Demand:
    """Describe the demand of one customer at one holder.

    `held` is the largest share that may be in force there; an `unreachable`
    holder keeps it.
    """

    holder: str
    customer: str
    rates: Rates
    held: Rates = Rates()
    unreachable: bool = False


@dataclass(frozen=True, slots=True)
class LimitShare:
    """Allot a part of a customer's limit to one holder."""

    holder: str
    customer: str
    rates: Rates


def split_limits(
    demands: Sequence[Demand],
    limits: Sequence[CustomerLimit],
) -> tuple[LimitShare, ...]:
    """Return a share per customer for each reachable holder."""
    shares: list[LimitShare] = []
    for limit in limits:
        demanded = [each for each in demands if each.customer == limit.customer]
        requests = _split_rate(
            [
                _HolderDemand(
                    each.holder,
                    each.rates.requests_per_s,
                    each.held.requests_per_s,
                    each.unreachable,
                )
                for each in demanded
            ],
            limit.rates.requests_per_s,
        )
        tokens = _split_rate(
            [
                _HolderDemand(
                    each.holder,
                    each.rates.tokens_per_s,
                    each.held.tokens_per_s,
                    each.unreachable,
                )
                for each in demanded
            ],
            limit.rates.tokens_per_s,
        )
        shares.extend(
            LimitShare(
                each.holder,
                limit.customer,
                Rates(requests[each.holder], tokens[each.holder]),
            )
            for each in demanded
            if not each.unreachable
        )
    return tuple(shares)


@dataclass(frozen=True, slots=True)
class _HolderDemand:
    holder: str
    demand: float
    held: float
    unreachable: bool


def _split_rate(
    holders: Sequence[_HolderDemand], limit: float
) -> dict[str, float]:
    targets = _find_targets(holders, limit)
    shares: dict[str, float] = {}
    increases = []
    free = limit - sum(each.held for each in holders)
    for each in holders:
        if each.unreachable:
            continue
        shares[each.holder] = min(each.held, targets[each.holder])
        increase = targets[each.holder] - each.held
        if increase > 0:
            increases.append(Claim(each.holder, increase))
    for holder, increase in split_fairly(increases, free).items():
        shares[holder] += increase
    return shares


def _find_targets(
    holders: Sequence[_HolderDemand], limit: float
) -> dict[str, float]:
    reserved = sum(each.held for each in holders if each.unreachable)
    reachable = [each for each in holders if not each.unreachable]
    if not reachable:
        return {}
    left = max(limit - reserved, 0)
    floor = left * RESERVE_FRACTION / len(reachable)
    parts = split_fairly(
        [
            Claim(each.holder, each.demand * HEADROOM_FACTOR)
            for each in reachable
        ],
        left * (1 - RESERVE_FRACTION),
    )
    unused = left * (1 - RESERVE_FRACTION) - sum(parts.values())
    spare = max(unused, 0) / len(reachable)
    return {
        each.holder: parts[each.holder] + floor + spare for each in reachable
    }


@dataclass(frozen=True, slots=True)
class SentShare:
    """Record a share that was sent, with its sequence number."""

    sequence: int
    share: LimitShare


@dataclass(frozen=True, slots=True)
class LimitPlan:
    """Record all shares that may be in force; stored before sending."""

    sequence: int = 0
    sent: tuple[SentShare, ...] = ()

    def held(self, holder: str, customer: str) -> Rates:
        """Return the largest share that may be in force at a holder."""
        rates = [
            each.share.rates
            for each in self.sent
            if each.share.holder == holder and each.share.customer == customer
        ]
        return Rates(
            max((each.requests_per_s for each in rates), default=0.0),
            max((each.tokens_per_s for each in rates), default=0.0),
        )

    def send(self, shares: Iterable[LimitShare]) -> 'LimitPlan':
        """Add shares that are about to be sent with the next number."""
        sequence = self.sequence + 1
        added = tuple(SentShare(sequence, share) for share in shares)
        return replace(self, sequence=sequence, sent=self.sent + added)

    def confirm(self, holder: str, sequence: int) -> 'LimitPlan':
        """Drop a holder's shares that are older than the confirmed number.

        Holders accept only increasing numbers, so older shares can't come into
        force again.
        """
        remaining = tuple(
            each
            for each in self.sent
            if each.share.holder != holder or each.sequence >= sequence
        )
        return replace(self, sent=remaining)

    def forget(self, holder: str) -> 'LimitPlan':
        """Drop the shares of a holder that is known to have stopped."""
        remaining = tuple(
            each for each in self.sent if each.share.holder != holder
        )
        return replace(self, sent=remaining)
