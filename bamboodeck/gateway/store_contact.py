"""Tell outages of the store from calls that only some hosts lost.

Load pattern: a connection falls silent, or the store turns a host away, while
it serves others. Entries of running engines lapse only in an outage that meets
the engines too, and that is long enough to miss their heartbeats. After a
shorter gap in what is known of the store, a removed entry is that of an engine
that has left.
"""

import math

from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.store_polling import find_lapsing_outage_s

_MILLISECONDS_PER_S = 1000


class StoreContact:
    """Hold when the store last served any host, and its latest outage."""

    def __init__(self, context: GatewayContext) -> None:
        """Start without contact."""
        self.outage_ended_s = -math.inf
        self._context = context
        self._answered_s = -math.inf
        self._served_s = -math.inf

    def record_answer(self) -> None:
        """Record that the store answered this host."""
        self._answered_s = self._context.now_s()
        self._record(self._answered_s)

    def record_served(self, age_ms: int) -> None:
        """Record how long ago the store answered another host."""
        self._record(self._context.now_s() - age_ms / _MILLISECONDS_PER_S)

    def find_answer_age_ms(self) -> int | None:
        """Return how long ago the store answered this host, if it did."""
        age_s = self._context.now_s() - self._answered_s
        return None if math.isinf(age_s) else int(age_s * _MILLISECONDS_PER_S)

    def _record(self, served_s: float) -> None:
        gap_s = served_s - self._served_s
        lapsing_s = find_lapsing_outage_s(self._context.settings.bounds)
        if lapsing_s < gap_s < math.inf:
            self.outage_ended_s = served_s
        self._served_s = max(served_s, self._served_s)
