"""Copy held bills to another controller when their sender is gone.

Each record is normally kept twice: by its sender and by a holder on another
host. When the sender stops responding, or when this process shuts down, a
peer keeps the second copy until the record is in the store.
"""

from dataclasses import dataclass

from bamboodeck.billing.holder import BillHolder
from bamboodeck.billing.messages import BillAck, BillingLimits, SendBatch


@dataclass(slots=True)
class _Copy:
    peer: str
    next_number: int
    sent_s: float = 0.0
    awaiting_ack: bool = False


class BillCopier:
    """Copy the records of silent incarnations to peers and track progress."""

    def __init__(self, holder: BillHolder, limits: BillingLimits) -> None:
        """Start with no copies and no peers."""
        self._holder = holder
        self._limits = limits
        self._peers: tuple[str, ...] = ()
        self._copies: dict[bytes, _Copy] = {}
        self._leaving = False

    def update_peers(self, peers: tuple[str, ...]) -> None:
        """Set the controllers on other hosts of the zone."""
        self._peers = peers

    def poll(self, now_s: float, *, leaving: bool) -> tuple[SendBatch, ...]:
        """Return the batches to send now.

        A process that is shutting down copies all records and checks again
        what its peers hold.
        """
        if leaving and not self._leaving:
            self._copies.clear()
        self._leaving = leaving
        incarnations = self._incarnations_to_copy(now_s, leaving=leaving)
        for obsolete in self._copies.keys() - set(incarnations):
            self._copies.pop(obsolete)
        sends = []
        for incarnation in incarnations:
            send = self._send(incarnation, now_s)
            if send is not None:
                sends.append(send)
        return tuple(sends)

    def on_ack(self, peer: str, ack: BillAck) -> None:
        """Record what a peer holds of an incarnation."""
        self._holder.mark_folded(ack.incarnation, ack.folded_next)
        copy = self._copies.get(ack.incarnation)
        if copy is None or copy.peer != peer:
            return
        copy.awaiting_ack = False
        copy.next_number = ack.held_next

    def count_uncopied(self, now_s: float, *, leaving: bool) -> int:
        """Count the records that still need a copy on a peer."""
        uncopied = 0
        for incarnation in self._incarnations_to_copy(now_s, leaving=leaving):
            copy = self._copies.get(incarnation)
            copied_next = 0 if copy is None else copy.next_number
            uncopied += self._holder.count_from(incarnation, copied_next)
        return uncopied

    def _send(self, incarnation: bytes, now_s: float) -> SendBatch | None:
        copy = self._select_copy(incarnation, now_s)
        if copy is None or copy.awaiting_ack:
            return None
        batch = self._holder.copy_batch(incarnation, copy.next_number)
        # The answer to an empty batch shows whether the peer has restarted.
        due = now_s - copy.sent_s >= self._limits.silence_timeout_s
        if not batch.records and not due:
            return None
        copy.sent_s = now_s
        copy.awaiting_ack = True
        return SendBatch(copy.peer, batch)

    def _incarnations_to_copy(
        self, now_s: float, *, leaving: bool
    ) -> tuple[bytes, ...]:
        if leaving:
            return self._holder.incarnations()
        return self._holder.silent_incarnations(now_s)

    def _select_copy(self, incarnation: bytes, now_s: float) -> _Copy | None:
        """Return the copy to continue, on another peer after a timeout."""
        copy = self._copies.get(incarnation)
        if copy is not None and copy.peer in self._peers:
            elapsed_s = now_s - copy.sent_s
            if not copy.awaiting_ack or elapsed_s < self._limits.ack_timeout_s:
                return copy
        if not self._peers:
            return None
        previous_peer = '' if copy is None else copy.peer
        peer = self._choose_peer(incarnation, previous_peer)
        # The new peer may hold nothing, so copying starts at the first record.
        copy = _Copy(peer, 0)
        self._copies[incarnation] = copy
        return copy

    def _choose_peer(self, incarnation: bytes, previous_peer: str) -> str:
        """Spread incarnations over the peers, skipping the one that failed."""
        index = incarnation[0]
        if previous_peer in self._peers:
            index = self._peers.index(previous_peer) + 1
        return self._peers[index % len(self._peers)]
