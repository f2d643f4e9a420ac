"""Decide on a node whether a request may go to a version in roll-out."""

import math
from dataclasses import dataclass, field

from bamboodeck.errors import BamboodeckError

DEFAULT_UNRATED_FRACTION = 0.5


class UnknownRolloutError(BamboodeckError):
    """Report a version without a share on this node."""


@dataclass(frozen=True, slots=True)
class NodeShare:
    """Grant a node the total weight that it may risk in one roll-out.

    `source` is the incarnation of the zone's controller that granted the share;
    the shares of several sources add up.
    """

    rollout_id: str
    version: str
    granted_weight: float
    source: str = ''


@dataclass(slots=True)
class _Exposure:
    rollout_id: str
    granted: dict[str, float] = field(default_factory=dict)
    admitted_weight: float = 0.0
    unrated_weight: float = 0.0
    lost_weight: float = 0.0
    refused_weight: float = 0.0

    @property
    def granted_weight(self) -> float:
        return sum(self.granted.values())

    @property
    def risked_weight(self) -> float:
        return self.unrated_weight + self.lost_weight


class RolloutGate:
    """Admit requests to versions in roll-out within the node's share.

    A request puts its weight at risk until its rating arrives; then only the
    shortfall against the baseline stays counted. So the weight that is unrated
    or lost against the baseline never exceeds the share. The gate is closed for
    versions that are blocked or have no share, and for all versions while the
    configuration is older than `stale_after_s`.
    """

    def __init__(
        self,
        stale_after_s: float,
        unrated_fraction: float = DEFAULT_UNRATED_FRACTION,
    ) -> None:
        """Start with the gate closed for all versions."""
        self._stale_after_s = stale_after_s
        self._unrated_fraction = unrated_fraction
        self._fresh_s = -math.inf
        self._exposures: dict[str, _Exposure] = {}
        self._blocked: set[str] = set()

    def mark_fresh(self, fresh_s: float) -> None:
        """Set the time up to which the configuration is known to be fresh."""
        self._fresh_s = max(self._fresh_s, fresh_s)

    def set_max_staleness(self, stale_after_s: float) -> None:
        """Set the age in seconds above which a configuration is stale."""
        self._stale_after_s = stale_after_s

    def set_share(self, share: NodeShare) -> None:
        """Raise a share; an older or duplicate grant changes nothing."""
        exposure = self._exposures.get(share.version)
        if exposure is None or exposure.rollout_id != share.rollout_id:
            exposure = _Exposure(share.rollout_id)
            self._exposures[share.version] = exposure
        exposure.granted[share.source] = max(
            exposure.granted.get(share.source, 0),
            share.granted_weight,
        )

    def close(self, version: str) -> None:
        """Drop the share of a version whose roll-out has ended."""
        self._exposures.pop(version, None)

    def block(self, version: str) -> None:
        """Admit no more requests to a version on this node."""
        self._blocked.add(version)

    def unblock(self, version: str) -> None:
        """Admit requests to a version again, after an operator cleared it."""
        self._blocked.discard(version)

    def is_blocked(self, version: str) -> bool:
        """Return whether this node has blocked a version."""
        return version in self._blocked

    def admit(self, version: str, weight: float, now_s: float) -> bool:
        """Charge weight to the share; return whether there was enough."""
        exposure = self._exposures.get(version)
        if exposure is None or version in self._blocked:
            return False
        if now_s - self._fresh_s > self._stale_after_s:
            return False
        if not self._fits(exposure, weight):
            exposure.refused_weight = max(exposure.refused_weight, weight)
            return False
        exposure.admitted_weight += weight
        exposure.unrated_weight += weight
        return True

    def record_rating(
        self,
        rollout_id: str,
        version: str,
        weight: float,
        shortfall: float,
    ) -> None:
        """Record the rating of an answer of admitted weight.

        `shortfall` is 0 for an answer as good as the baseline's, 1 for a
        worthless one, and below 0 for a better one.
        """
        exposure = self._exposures.get(version)
        if exposure is None or exposure.rollout_id != rollout_id:
            return
        weight = min(weight, exposure.unrated_weight)
        exposure.unrated_weight -= weight
        lost_weight = exposure.lost_weight + weight * shortfall
        exposure.lost_weight = max(lost_weight, 0)

    def refund(self, rollout_id: str, version: str, weight: float) -> None:
        """Refund the admitted weight of a request that never ran."""
        exposure = self._exposures.get(version)
        if exposure is None or exposure.rollout_id != rollout_id:
            return
        self.record_rating(rollout_id, version, weight, shortfall=0)
        exposure.admitted_weight = max(exposure.admitted_weight - weight, 0)

    def admitted_weight(self, version: str) -> float:
        """Return the weight that was admitted so far."""
        exposure = self._exposures.get(version)
        return exposure.admitted_weight if exposure else 0.0

    def risked_weight(self, version: str) -> float:
        """Return the weight that is unrated or lost against the baseline."""
        exposure = self._exposures.get(version)
        return exposure.risked_weight if exposure else 0.0

    def shut_down(self, version: str) -> float:
        """Close for good before the node stops; return the risked weight."""
        risked_weight = self.risked_weight(version)
        self.block(version)
        self.close(version)
        return risked_weight

    def wanted_weight(
        self,
        version: str,
        headroom_weight: float,
        source: str = '',
    ) -> float:
        """Return the total share to request from a source, with headroom.

        Raises `UnknownRolloutError` if no share was ever set, 0 included.
        """
        exposure = self._exposures.get(version)
        if exposure is None:
            raise UnknownRolloutError(f'version "{version}" has no roll-out')
        headroom_weight = max(headroom_weight, exposure.refused_weight)
        held_weight = exposure.granted.get(source, 0)
        others_weight = exposure.granted_weight - held_weight
        return exposure.risked_weight + headroom_weight - others_weight

    def is_exhausted(self, version: str) -> bool:
        """Return whether no more evidence can arrive without a larger share.

        While an answer still awaits its rating, weight may be freed.
        """
        exposure = self._exposures.get(version)
        if exposure is None or exposure.unrated_weight:
            return False
        remaining_weight = exposure.granted_weight - exposure.lost_weight
        return (
            remaining_weight <= 0 or remaining_weight < exposure.refused_weight
        )

    def _fits(self, exposure: _Exposure, weight: float) -> bool:
        if exposure.risked_weight + weight > exposure.granted_weight:
            return False
        # A request heavier than the window is admitted when it is alone.
        if not exposure.unrated_weight:
            return True
        window = exposure.granted_weight * self._unrated_fraction
        return exposure.unrated_weight + weight <= window
