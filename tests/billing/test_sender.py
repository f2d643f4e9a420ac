"""Test how bills are buffered until they are in the store."""

import pytest

from bamboodeck.billing import messages
from bamboodeck.billing.holder import BillHolder
from bamboodeck.billing.sender import BillSender

LIMITS = messages.BillingLimits(max_records=4, max_batch_records=2)


def make_bill(number: int) -> messages.BillRecord:
    """Build a bill."""
    bill_id = messages.build_bill_id('plum', f'r{number}')
    return messages.BillRecord(
        bill_id, 'plum', f'r{number}', 'plan@2', 'chat', 1, 2, 0.5, 'a', 9.0
    )


def start_sender() -> BillSender:
    """Start a sender with two peers."""
    started = BillSender(b'12345678', LIMITS)
    started.update_peers(('h1', 'h2'))
    return started


@pytest.fixture
def sender() -> BillSender:
    """Start a sender for one test."""
    return start_sender()


class TestSender:
    """Test hold notifications, peer changes and back-pressure."""

    def test_held(self, sender: BillSender) -> None:
        """Report a held bill once and keep it until it is stored."""
        outcomes: list[messages.BillOutcome] = []
        sender.add(make_bill(1), 0, outcomes.append)
        sent = sender.poll(0)
        assert sent.peer == 'h1'
        assert not outcomes
        ack = BillHolder(LIMITS).receive(sent.batch, 0)
        sender.on_ack('h1', ack)
        sender.on_ack('h1', ack)
        assert outcomes == [messages.BillHeld(0)]
        assert sender.unheld_count == 0
        assert sender.pending_count == 1
        sender.on_ack('h1', messages.BillAck(b'12345678', 1, 1))
        assert sender.pending_count == 0

    def test_next_peer(self, sender: BillSender) -> None:
        """Send all records that aren't stored to the next peer."""
        sender.add(make_bill(1), 0, lambda _: None)
        first = sender.poll(0)
        sender.on_ack('h1', BillHolder(LIMITS).receive(first.batch, 0))
        sender.add(make_bill(2), 0, lambda _: None)
        assert sender.poll(0).peer == 'h1'
        again = sender.poll(1)
        assert again.peer == 'h2'
        assert len(again.batch.records) == 2

    def test_former_peer(self, sender: BillSender) -> None:
        """Ignore a late ack of a previous peer."""
        outcomes: list[messages.BillOutcome] = []
        sender.add(make_bill(1), 0, outcomes.append)
        late = BillHolder(LIMITS).receive(sender.poll(0).batch, 0)
        sender.update_peers(('h2',))
        sender.on_ack('h1', late)
        assert not outcomes

    def test_no_peer(self, sender: BillSender) -> None:
        """Report a bill without a second copy after the timeout."""
        outcomes: list[messages.BillOutcome] = []
        sender.update_peers(())
        sender.add(make_bill(1), 0, outcomes.append)
        assert sender.poll(1) is None
        assert not outcomes
        sender.poll(2)
        assert outcomes == [messages.BillUnprotected(0)]
        assert sender.pending_count == 1

    def test_full(self, sender: BillSender) -> None:
        """Refuse new work while too many bills wait for the store."""
        for number in range(4):
            assert sender.accepts()
            sender.add(make_bill(number), 0, lambda _: None)
        assert not sender.accepts()
        sender.on_ack('h1', messages.BillAck(b'12345678', 1, 1))
        assert sender.accepts()

    def test_full_peer(self) -> None:
        """Refuse new work while the peer is full, and poll it less often."""
        sender = start_sender()
        sender.add(make_bill(1), 0, lambda _: None)
        for now_s in (0.0, 0.1):
            assert sender.accepts()
            assert sender.poll(now_s)
            sender.on_ack('h1', messages.BillAck(b'12345678', 0, 0))
        assert not sender.accepts()
        assert sender.poll(0.2) is None
        assert sender.poll(0.1 + LIMITS.refresh_period_s)
        sender.on_ack('h1', messages.BillAck(b'12345678', 1, 0))
        assert sender.accepts()

    def test_price(self) -> None:
        """Refuse a price that can't be summed."""
        with pytest.raises(ValueError, match='credits'):
            messages.CostRecord('p', 'c', 'v', 1, 1, 1, 0, float('nan'))


class TestHolder:
    """Test gaps, bounds and expiry of held records."""

    def test_restarted(self, sender: BillSender) -> None:
        """Request all records again after a restart."""
        sender.add(make_bill(1), 0, lambda _: None)
        old = BillHolder(LIMITS)
        sender.on_ack('h1', old.receive(sender.poll(0).batch, 0))
        sender.add(make_bill(2), 0, lambda _: None)
        fresh = BillHolder(LIMITS)
        gap = fresh.receive(sender.poll(0).batch, 0)
        assert gap.held_next == 0
        sender.on_ack('h1', gap)
        sender.on_ack('h1', fresh.receive(sender.poll(0).batch, 0))
        assert fresh.record_count == 2

    def test_full(self) -> None:
        """Hold no more than the limit and acknowledge only that."""
        holder = BillHolder(LIMITS)
        packed = tuple(messages.pack_record(make_bill(at)) for at in range(6))
        batch = messages.BillBatch(b'12345678', 0, 0, packed)
        assert holder.receive(batch, 0).held_next == 4
        assert holder.record_count == 4

    def test_old(self) -> None:
        """Drop and count records after a day without news of the sender."""
        holder = BillHolder(LIMITS)
        packed = (messages.pack_record(make_bill(1)),)
        holder.receive(messages.BillBatch(b'12345678', 0, 0, packed), 0)
        assert holder.drop_old(86_399) == 0
        assert holder.drop_old(86_400) == 1
        assert holder.record_count == 0
