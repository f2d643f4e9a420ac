"""Split a capacity by weighted max-min fairness."""

from collections.abc import Sequence
from dataclasses import dataclass

_NEGLIGIBLE = 1e-12


@dataclass(frozen=True, slots=True)
class Claim:
    """Describe the demand and the weight of one claimant."""

    name: str
    demand: float
    weight: float = 1.0


def split_fairly(claims: Sequence[Claim], total: float) -> dict[str, float]:
    """Return shares by name, each within its demand and all within the total.

    What a claimant doesn't need goes to the others by their weights.
    """
    shares = {claim.name: 0.0 for claim in claims}
    # Claimants with the least demand per unit of weight are satisfied first.
    by_level = sorted(claims, key=_level)
    remaining = max(total, 0)
    remaining_weight = sum(claim.weight for claim in by_level)
    for claim in by_level:
        if remaining_weight <= _NEGLIGIBLE:
            break
        share = min(
            claim.demand, remaining * min(claim.weight / remaining_weight, 1)
        )
        shares[claim.name] = max(share, 0)
        remaining = max(remaining - shares[claim.name], 0)
        remaining_weight -= claim.weight
    return shares


def _level(claim: Claim) -> float:
    return claim.demand / max(claim.weight, _NEGLIGIBLE)
