"""Split a bound into shares whose sum never exceeds it."""

from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class HolderShare:
    """Grant one holder a total weight that it may risk.

    A holder is one incarnation of a zone's controller or of a node. After a
    restart it is a new holder, as it doesn't know what it had used.
    """

    holder: str
    granted_weight: float


@dataclass(frozen=True, slots=True)
class ShareLedger:
    """Record all shares that were granted from one bound."""

    shares: tuple[HolderShare, ...] = ()

    @property
    def granted_weight(self) -> float:
        """Return the sum of all shares."""
        return sum(share.granted_weight for share in self.shares)

    def share_of(self, holder: str) -> float:
        """Return the share of a holder, 0 if it has none."""
        for share in self.shares:
            if share.holder == holder:
                return share.granted_weight
        return 0.0

    def grant(
        self,
        holder: str,
        wanted_weight: float,
        ceiling_weight: float,
    ) -> 'ShareLedger':
        """Raise a holder's share towards the wanted total within the ceiling.

        Wanted weights are totals, so a duplicate request changes nothing.
        """
        held = self.share_of(holder)
        free = ceiling_weight - self.granted_weight
        added = min(wanted_weight - held, free)
        if added <= 0:
            return self
        others = tuple(share for share in self.shares if share.holder != holder)
        return replace(
            self,
            shares=(*others, HolderShare(holder, held + added)),
        )

    def release(self, holder: str, kept_weight: float) -> 'ShareLedger':
        """Lower the share of a closed holder to the weight that it has risked.

        A duplicate release changes nothing.
        """
        shares = []
        for share in self.shares:
            if share.holder == holder and kept_weight < share.granted_weight:
                share = replace(share, granted_weight=kept_weight)
            shares.append(share)
        return replace(self, shares=tuple(shares))
