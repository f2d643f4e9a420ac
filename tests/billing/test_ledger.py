"""Test how records are folded into totals."""

import pytest

from bamboodeck.billing import ledger as ledgers
from bamboodeck.billing import messages
from bamboodeck.billing.window import SeenSlot, SeenWindow, WindowLimits

NODE = b'12345678'
DAY_S = 86_400


def make_bill(
    request_id: str,
    window: messages.DedupWindow = messages.DedupWindow.HOUR,
) -> messages.BillRecord:
    """Build a bill."""
    return messages.BillRecord(
        messages.build_bill_id('plum', request_id),
        'plum',
        request_id,
        'plan@2',
        'chat',
        1,
        2,
        0.5,
        'a',
        9.0,
        window,
    )


class FoldedLedger:
    """Fold records one at a time, encoding the ledger after each."""

    def __init__(self) -> None:
        """Start without a stored value."""
        self.body: bytes | None = None
        self.number = 0

    def fold(self, record: messages.BilledRecord, now_s: float) -> None:
        """Fold a record under a new number."""
        ledger = ledgers.Ledger(self.body, now_s)
        ledger.fold(NODE, self.number, record)
        self.body = ledger.pack()
        self.number += 1

    def count(self) -> int:
        """Count the requests billed."""
        totals = ledgers.Ledger(self.body, 0).bill_totals()
        return sum(total.requests for total in totals)


class TestLedger:
    """Test the detection of repeated requests and the size limit."""

    def test_seen_ids(self) -> None:
        """Return the truncated ids of both windows."""
        folded = FoldedLedger()
        records = (
            make_bill('r1'),
            make_bill('k1', messages.DedupWindow.DAY),
        )
        for record in records:
            folded.fold(record, 0)
        seen = ledgers.Ledger(folded.body, 0).seen_ids()
        assert seen == tuple(each.bill_id[:10] for each in records)

    def test_repeated_after_an_outage(self) -> None:
        """Recognize a repeat after hours in which nothing was folded."""
        folded = FoldedLedger()
        folded.fold(make_bill('r1'), 0)
        folded.fold(make_bill('r1'), 5 * 3600)
        assert folded.count() == 1

    def test_repeated_order(self) -> None:
        """Recognize a repeated order for a day under constant chat load."""
        folded = FoldedLedger()
        folded.fold(make_bill('o1', messages.DedupWindow.DAY), 0)
        for minute in range(24 * 60):
            folded.fold(make_bill(f'r{minute}'), minute * 60)
            folded.fold(
                make_bill(f'p{minute}', messages.DedupWindow.DAY),
                minute * 60,
            )
        folded.fold(make_bill('o1', messages.DedupWindow.DAY), DAY_S)
        assert folded.count() == 1 + 2 * 24 * 60

    def test_largest_value(self) -> None:
        """Stay below the store's 1 MB value limit with all limits reached."""
        ledger = ledgers.Ledger(None, 0)
        for number in range(90_000):
            window = messages.DedupWindow(1 + number % 2)
            node = (number % 12_000).to_bytes(8)
            ledger.fold(node, number, make_bill(f'r{number}', window))
        assert 700_000 < len(ledger.pack()) < 900_000

    def test_unreadable(self) -> None:
        """Refuse a stored value that can't be decoded."""
        with pytest.raises(messages.LedgerFormatError):
            ledgers.Ledger(b'something else', 0)


class TestSeenWindow:
    """Test the limits and the lookup of a window."""

    def test_drops_the_oldest(self) -> None:
        """Drop and count the oldest slots when the window is full."""
        window = SeenWindow([], WindowLimits(max_slots=60, max_bytes=20))
        for number in range(3):
            window.add(bytes([number]) * 16)
            dropped = window.flush(number * 60)
        assert dropped == 1
        fresh = SeenWindow(window.slots, WindowLimits(60, 20))
        assert bytes([0]) * 16 not in fresh
        assert bytes([2]) * 16 in fresh

    def test_busy_minute(self) -> None:
        """Keep the newest ids of a slot that exceeds the size limit."""
        slots: list[SeenSlot] = []
        limits = WindowLimits(max_slots=60, max_bytes=1000)
        for number in range(200):
            window = SeenWindow(slots, limits)
            for remembered in range(max(number - 90, 0), number):
                assert remembered.to_bytes(10) in window
            window.add(number.to_bytes(10))
            window.flush(0)
            slots = window.slots

    @pytest.mark.parametrize('lookups', [1, 100])
    def test_finds_whole_identities(self, lookups: int) -> None:
        """Match only at id boundaries, with and without the index."""
        window = SeenWindow([], WindowLimits(60, 1000))
        window.add(bytes(range(10)))
        window.add(bytes(range(10, 20)))
        window.flush(0)
        fresh = SeenWindow(window.slots, WindowLimits(60, 1000))
        for _ in range(lookups):
            assert bytes(range(5, 15)) not in fresh
            assert bytes(range(10, 20)) in fresh
