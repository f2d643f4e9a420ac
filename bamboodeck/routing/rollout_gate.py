"""Define admission control for versions in roll-out."""

from typing import Protocol


class RolloutGate(Protocol):
    """Bound the weight of requests that a version in roll-out gets."""

    def admit(self, version: str, weight: float, now_s: float) -> bool:
        """Consume the weight from the version's bound; false if exceeded."""


class ClosedGate:
    """Admit no request to versions in roll-out."""

    def admit(self, version: str, weight: float, now_s: float) -> bool:
        """Return false."""
        return False
