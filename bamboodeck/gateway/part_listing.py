"""List blamed prompt parts in the store, for hosts that start later.

Load pattern: all hosts restart while requests with the part still come. The
hosts blame a part at about the same time, so they write in turn by rank, and
the first one's entry spares the others their writes.
"""

from collections.abc import Callable

from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.events import PartListingFailed
from bamboodeck.gateway.ports import Outdated, Registry, WriteReply, Written
from bamboodeck.gateway.suspect_parts import EXPIRY_S

# An entry holds for all hosts, so a part has to be blamed for this long first.
FIRST_TURN_S = 1.0
# Longer than a write and its way back by the store's changes take.
TURN_S = 0.5
RETRY_S = 2.0


class PartListing:
    """List the parts that this host blames."""

    def __init__(
        self,
        context: GatewayContext,
        registry: Registry,
        find_rank: Callable[[], int],
    ) -> None:
        """Start without parts; `find_rank` returns this host's rank."""
        self._context = context
        self._registry = registry
        self._find_rank = find_rank
        # When each part that isn't listed yet is written.
        self._due_s: dict[str, float] = {}

    def check(self) -> None:
        """Write the entries that are due."""
        now_s = self._context.now_s()
        suspects = self._context.suspect_parts
        blamed = suspects.list_blamed(now_s)
        unlisted = (blamed - suspects.listed) | (blamed & suspects.lost)
        for part_id in self._due_s.keys() - unlisted:
            self._due_s.pop(part_id)
        for part_id in unlisted:
            due_s = self._due_s.setdefault(
                part_id,
                now_s + FIRST_TURN_S + self._find_rank() * TURN_S,
            )
            if due_s <= now_s:
                self._write(part_id, now_s)

    def _write(self, part_id: str, now_s: float) -> None:
        self._due_s[part_id] = now_s + RETRY_S

        def on_written(reply: WriteReply) -> None:
            # An entry arrives with the changes of the store.
            if not isinstance(reply, Written | Outdated):
                self._context.log.warn(PartListingFailed(part_id, repr(reply)))

        self._registry.list_part(part_id, EXPIRY_S, on_written)
