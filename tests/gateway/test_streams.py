"""Test the splitting of streams into events."""

import pytest

from bamboodeck.gateway.streams import (
    MAX_EVENT_BYTES,
    EventSplitter,
    EventTooLargeError,
)

STREAM = (
    b'id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\nversion: 3\nid: x\ndata: c\n\n'
)


class TestEvents:
    """Return complete events only."""

    @pytest.mark.parametrize('size', [1, 2, 3, 7, len(STREAM)])
    def test_any_pieces(self, size: int) -> None:
        """Return the same events for any chunking of the bytes."""
        splitter = EventSplitter()
        events = []
        for begin in range(0, len(STREAM), size):
            events.extend(splitter.feed(STREAM[begin : begin + size]))
        assert b''.join(event.content for event in events) == STREAM
        assert [event.event_id for event in events] == ['1', '2', 'x']
        assert splitter.rest == b''

    def test_cut_off(self) -> None:
        """Buffer an incomplete event."""
        splitter = EventSplitter()
        events = splitter.feed(b'id: 1\n\nid: 2\nda')
        assert len(events) == 1
        assert splitter.rest == b'id: 2\nda'

    def test_without_id(self) -> None:
        """Return an event without an id."""
        (event,) = EventSplitter().feed(b'data: id: 7\n\n')
        assert event.event_id is None

    def test_endless(self) -> None:
        """Reject an event that exceeds the size limit."""
        with pytest.raises(EventTooLargeError):
            EventSplitter().feed(b'x' * (MAX_EVENT_BYTES + 1))
