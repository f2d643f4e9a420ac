"""Recognise rejected requests that come again, and spread their return.

Load pattern: rejected callers come back, some at once, and add to the load that
got them rejected.
"""

import math
from collections import OrderedDict

import msgspec

from bamboodeck.gateway.overload.admission import Repeat

# Bounds the memory of rejected requests.
MAX_REJECTED = 4000
# Callers round the delay, and their clocks differ.
EARLY_FRACTION = 0.9


class Rejection(msgspec.Struct, frozen=True):
    """Hold when a request was rejected, and when it may come again."""

    received_s: float
    rejected_s: float
    retry_s: float
    deadline_s: float


class RejectedRequests:
    """Hold the recently rejected requests by their fingerprint."""

    def __init__(self) -> None:
        """Start without requests."""
        self._rejected: OrderedDict[str, Rejection] = OrderedDict()
        # When the next caller of a service and rank may come back.
        self._next_return_s: dict[tuple[str, int], float] = {}

    def record(self, fingerprint: str, rejection: Rejection) -> None:
        """Record a rejected request."""
        self._rejected[fingerprint] = rejection
        self._rejected.move_to_end(fingerprint)
        while len(self._rejected) > MAX_REJECTED:
            self._rejected.popitem(last=False)

    def find(
        self,
        fingerprint: str,
        now_s: float,
    ) -> tuple[Repeat, float | None]:
        """Classify a request; also return when its first try came.

        A caller that came back as told has used up its turn.
        """
        known = self._rejected.get(fingerprint)
        if known is None or now_s > known.deadline_s:
            return Repeat.FIRST, None
        told_s = known.retry_s - known.rejected_s
        if now_s < known.rejected_s + told_s * EARLY_FRACTION:
            return Repeat.EARLY, known.received_s
        self._rejected.pop(fingerprint)
        return Repeat.AS_TOLD, known.received_s

    def reserve_return(
        self,
        service: str,
        rank: int,
        earliest_s: float,
        interval_s: float,
        latest_s: float = math.inf,
    ) -> float:
        """Return when a rejected caller may find room.

        It comes behind those of its own and of more urgent ranks. One that
        can't wait that long, until `latest_s`, takes no turn.
        """
        return_s = earliest_s
        for (other, other_rank), next_s in self._next_return_s.items():
            if other == service and other_rank <= rank:
                return_s = max(return_s, next_s)
        if return_s <= latest_s:
            self._next_return_s[service, rank] = return_s + interval_s
        return return_s
